#include "admin/hot_restart/hot_restart_message.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

#include "config/setting_words.h"

namespace linnetlead::hot_restart {

namespace {

using nlohmann::json;

constexpr std::array<config::Word<Kind>, 10> kKinds{{{"hello", Kind::kHello},
                                                     {"state", Kind::kState},
                                                     {"ban", Kind::kBan},
                                                     {"accounts", Kind::kAccounts},
                                                     {"end", Kind::kEnd},
                                                     {"ready", Kind::kReady},
                                                     {"drain", Kind::kDrain},
                                                     {"requests", Kind::kRequests},
                                                     {"client", Kind::kClient},
                                                     {"list", Kind::kList}}};

}  // namespace

std::string write_ids(const std::vector<std::uint64_t>& ids) {
    std::string text;
    for (const std::uint64_t id : ids) text += std::to_string(id) + ' ';
    return text;
}

std::vector<std::uint64_t> read_ids(std::string_view text) {
    std::vector<std::uint64_t> ids;
    while (!text.empty()) {
        std::uint64_t id = 0;
        const auto result = std::from_chars(text.data(), text.data() + text.size(), id);
        if (result.ec == std::errc{}) ids.push_back(id);
        text.remove_prefix(std::min(text.find(' '), text.size() - 1) + 1);
    }
    return ids;
}

std::string write(const Message& message) {
    json out{{"v", kVersion}};
    for (const auto& word : kKinds) {
        if (word.value == message.kind) out["t"] = word.text;
    }
    if (!message.text.empty()) out["text"] = message.text;
    if (message.on) out["on"] = true;
    if (message.with) out["with"] = true;
    if (!message.registry.empty()) out["registry"] = message.registry;
    if (message.takes_lists) out["lists"] = true;
    // An endpoint's id is what the registry makes it: what is no UTF-8 of it is replaced, never thrown at.
    return out.dump(-1, ' ', false, json::error_handler_t::replace) + '\n';
}

std::optional<Message> read(std::string_view line) {
    const json in = json::parse(line, nullptr, false);
    if (!in.is_object()) return std::nullopt;
    try {
        if (in.at("v").get<int>() != kVersion) return std::nullopt;
        const auto kind = config::look_up(kKinds, in.at("t").get<std::string>());
        if (!kind) return std::nullopt;
        return Message{*kind,
                       in.value("text", std::string()),
                       in.value("on", false),
                       in.value("with", false),
                       in.value("registry", std::string()),
                       in.value("lists", false)};
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

}  // namespace linnetlead::hot_restart
