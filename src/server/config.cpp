#include "server/config.h"

#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/setting_words.h"

namespace linnetlead::server {

namespace {

using nlohmann::json;

// A value as the wire writes it: in its lists the comma is taken.
std::string text_of(const json& value) {
    if (!value.is_string()) return value.dump();
    std::string text = value.get<std::string>();
    for (char& c : text) {
        if (c == ' ' || c == ',') c = '_';
    }
    return text;
}

// Nested settings to the path=value pairs of the simulator's wire: a list of values joined by commas, a list
// of objects with its length under .count and its items under .0, .1 and so on.
void flatten(const json& value, const std::string& path, config::Pairs& pairs) {
    const std::string below = path.empty() ? path : path + '.';
    if (value.is_object()) {
        for (const auto& [name, inner] : value.items()) flatten(inner, below + name, pairs);
    } else if (value.is_array() && !value.empty() && value.front().is_structured()) {
        pairs[below + "count"] = std::to_string(value.size());
        for (std::size_t i = 0; i < value.size(); ++i) flatten(value[i], below + std::to_string(i), pairs);
    } else if (value.is_array()) {
        std::string joined;
        for (const json& one : value) joined += (joined.empty() ? "" : ",") + text_of(one);
        pairs[path] = joined;
    } else if (!value.is_null()) {
        pairs[path] = text_of(value);
    }
}

}  // namespace

std::string variable(const char* name) {
    const char* value = std::getenv(name);
    return value ? value : "";
}

Config read_config(const std::string& text) {
    Config config;
    try {
        const json root = json::parse(text);
        config.name = root.value("name", std::string());
        config.listen = root.value("listen", std::string());
        config.discovery = root.value("discovery", std::string());
        config.mgmt = root.value("mgmt", std::string());
        config.counter = root.value("counter", std::string());
        config.peer_listen = root.value("peer_listen", std::string());
        config.peers_all = root.value("peers_all", std::string());
        config.peers = root.value("peers", std::vector<std::string>());
        constexpr int kHex = 16;
        const std::string seed = root.value("seed", std::string("0"));
        const auto number = config::parse<std::uint64_t>(seed, kHex);
        if (!number) throw std::runtime_error("seed is not a hex number: '" + seed + "'");
        config.seed = *number;
        if (const auto limits = root.find("limits"); limits != root.end()) {
            config.memory_mb = limits->value("memory_mb", config.memory_mb);
            config.sockets = limits->value("sockets", config.sockets);
        }
        config.known.version = -1;
        if (const auto known = root.find("known"); known != root.end() && !known->is_null()) {
            const auto list = http::read_list(known->dump());
            if (!list) throw std::runtime_error("known is not a list of workers");
            config.known = *list;
        }
        json fixed = root;
        for (const char* name : {"discovery", "counter", "known", "seed"}) fixed.erase(name);
        config.fixed = fixed.dump();
        config::Pairs pairs;
        flatten(root.at("settings"), "", pairs);
        config.site = config::read_site(pairs);
    } catch (const json::exception& e) {
        throw std::runtime_error(std::string("bad configuration: ") + e.what());
    }
    return config;
}

Config load_file() {
    const std::string path = variable("BALANCER_CONFIG");
    if (path.empty()) throw std::runtime_error("BALANCER_CONFIG is not set");
    return load_file(path);
}

Config load_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) throw std::runtime_error("cannot read " + path);
    return read_config(text.str());
}

void override_by_environment(Config& config) {
    const auto override_by = [&](const char* name, std::string& into) {
        if (std::string value = variable(name); !value.empty()) into = std::move(value);
    };
    override_by("BALANCER_NAME", config.name);
    override_by("BALANCER_LISTEN", config.listen);
    override_by("BALANCER_DISCOVERY", config.discovery);
    override_by("BALANCER_MGMT", config.mgmt);
}

}  // namespace linnetlead::server
