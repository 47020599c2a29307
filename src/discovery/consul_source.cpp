#include <nlohmann/json.hpp>
#include <unordered_set>

#include "config/setting_words.h"
#include "discovery/registry_source.h"

namespace linnetlead::discovery {

namespace {

using nlohmann::json;
using policy::EndpointState;

constexpr Duration kAnswerTimeout = std::chrono::seconds(5);

class Consul final : public Source {
public:
    explicit Consul(SourceSettings settings) : settings_(std::move(settings)) {}

    Ask ask() override {
        Ask ask;
        ask.method = "GET";
        ask.target = "/v1/kv/" + settings_.prefix + "?recurse=true";
        if (settings_.stale) ask.target += "&stale";
        ask.silent = kAnswerTimeout;
        if (index_ > 0) {
            const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(settings_.wait).count();
            ask.target += "&index=" + std::to_string(index_) + "&wait=" + std::to_string(ms) + "ms";
            // The server adds a random time of up to a sixteenth of the wait.
            ask.silent = settings_.wait + settings_.wait / 16 + kAnswerTimeout;
        }
        return ask;
    }

    bool take(const Response& response, bool&) override {
        constexpr int kOk = 200, kNoKeys = 404;
        if (response.status != kOk && response.status != kNoKeys) return false;
        const auto header = [&response](const char* name) {
            const auto at = response.headers.find(name);
            return at == response.headers.end() ? std::string() : at->second;
        };
        const auto index = config::parse<std::uint64_t>(header("x-consul-index"));
        if (!index || *index == 0) return false;
        if (settings_.stale) {
            const auto behind = config::parse<std::int64_t>(header("x-consul-lastcontact"));
            const bool lost = header("x-consul-knownleader") == "false";
            if (lost || (behind && std::chrono::milliseconds(*behind) > settings_.max_stale)) return false;
        }
        if (*index == index_) return true;  // the wait has ended without a change
        std::vector<DiscoveredEndpoint> entries;
        if (response.status == kOk && !parse_entries(response.body, entries)) return false;
        if (*index < newest_index_ && ++older_answers_ < kConfirmingAnswers) {
            // The server lags behind or has lost its data; the next answers tell which. Its drains are
            // applied in either case.
            ++counts_.resets;
            report_drains(entries);
            index_ = 0;
            state_ = State::kListing;
            return false;
        }
        older_answers_ = 0;
        index_ = newest_index_ = *index;
        state_ = State::kWatching;
        ++counts_.wholes;
        if (told) told({true, std::move(entries)});
        return true;
    }

    void broken() override {
        // An index is valid for every server of the same store, and every answer is a complete list.
    }

private:
    static constexpr int kConfirmingAnswers = 4;  // consecutive answers with an older index

    bool parse_entries(const std::string& body, std::vector<DiscoveredEndpoint>& entries) {
        const json all = json::parse(body, nullptr, false);
        if (!all.is_array()) return false;
        std::unordered_set<std::string> ids;
        for (const json& one : all) {
            if (!one.is_object()) return false;
            const auto key = one.find("Key"), value = one.find("Value");
            if (key == one.end() || !key->is_string() || value == one.end()) return false;
            const std::string& name = key->get_ref<const std::string&>();
            if (name.compare(0, settings_.prefix.size(), settings_.prefix) != 0) return false;
            const std::string id = name.substr(settings_.prefix.size());
            if (id.empty() || value->is_null()) continue;  // the key of the prefix itself
            std::string text;
            DiscoveredEndpoint listed;
            if (!value->is_string() || !from_base64(value->get_ref<const std::string&>(), text)) text.clear();
            ids.insert(id);
            if (parse_entry(id, text, listed)) entries.push_back(std::move(listed));
        }
        retain_values(ids);
        return true;
    }

    void report_drains(const std::vector<DiscoveredEndpoint>& entries) {
        News news;
        for (const DiscoveredEndpoint& one : entries) {
            if (one.entry.state == EndpointState::kDraining) news.entries.push_back(one);
        }
        if (told && !news.entries.empty()) told(news);
    }

    SourceSettings settings_;
    std::uint64_t index_ = 0;         // of the next request; 0: the complete list, at once
    std::uint64_t newest_index_ = 0;  // highest accepted index
    int older_answers_ = 0;
};

}  // namespace

std::unique_ptr<Source> make_consul(SourceSettings settings) {
    return std::make_unique<Consul>(std::move(settings));
}

}  // namespace linnetlead::discovery
