#include <nlohmann/json.hpp>
#include <unordered_set>

#include "config/setting_words.h"
#include "discovery/registry_source.h"

namespace linnetlead::discovery {

namespace {

using nlohmann::json;
using policy::EndpointState;

constexpr Duration kAnswerTimeout = std::chrono::seconds(5);

// etcd's JSON gateway writes 64-bit numbers as strings.
std::int64_t read_number(const json& from, const char* name) {
    const auto at = from.find(name);
    if (at == from.end()) return 0;
    if (at->is_number_integer()) return at->get<std::int64_t>();
    return at->is_string() ? config::parse<std::int64_t>(at->get_ref<const std::string&>()).value_or(-1) : -1;
}

bool has_true(const json& from, const char* name) {
    const auto at = from.find(name);
    return at != from.end() && at->is_boolean() && at->get<bool>();
}

class Etcd final : public Source {
public:
    explicit Etcd(SourceSettings settings) : settings_(std::move(settings)) {
        // The end of the key range of a prefix is the prefix with its last byte incremented.
        range_end_ = settings_.prefix;
        while (!range_end_.empty() && static_cast<unsigned char>(range_end_.back()) == 0xff)
            range_end_.pop_back();
        if (range_end_.empty()) {
            range_end_.assign(1, '\0');
        } else {
            ++range_end_.back();
        }
    }

    Ask ask() override {
        Ask ask;
        ask.method = "POST";
        json body{{"range_end", to_base64(range_end_)}};
        if (state_ == State::kListing) {
            ask.target = "/v3/kv/range";
            ask.silent = kAnswerTimeout;
            body["key"] = to_base64(next_key_.empty() ? settings_.prefix : next_key_);
            body["limit"] = std::to_string(settings_.page);
            // All pages are read at the same revision.
            if (page_revision_ > 0) body["revision"] = std::to_string(page_revision_);
        } else {
            ask.target = "/v3/watch";
            ask.stream = true;
            // A stream without messages may be dead: it is reopened from the known revision.
            ask.silent = settings_.wait;
            body["key"] = to_base64(settings_.prefix);
            body["start_revision"] = std::to_string(revision_ + 1);
            body["progress_notify"] = body["fragment"] = true;
            body = json{{"create_request", body}};
        }
        ask.body = body.dump();
        return ask;
    }

    bool take(const Response& response, bool& ask_again) override {
        const json answer = json::parse(response.body, nullptr, false);
        if (!answer.is_object()) return false;
        return state_ == State::kListing ? handle_page(response.status, answer, ask_again)
                                         : handle_message(response.status, answer, ask_again);
    }

    void broken() override {
        fragments_.clear();
        newest_revision_ = 0;
        if (state_ == State::kListing) start_listing();
    }

private:
    static constexpr int kConfirmingAnswers = 4;  // in a row, of an older revision or another cluster

    void start_listing() {
        state_ = State::kListing;
        next_key_.clear();
        page_revision_ = 0;
        listed_.clear();
        ids_.clear();
        fragments_.clear();
    }

    // Revisions of another cluster cannot be compared with the known one. Its complete list is read after
    // several consecutive answers from it.
    bool is_foreign(const json& header) {
        const auto id = header.find("cluster_id");
        if (id == header.end()) return false;
        const std::string cluster = id->dump();
        if (cluster_.empty()) cluster_ = cluster;
        if (cluster == cluster_) return false;
        ++counts_.resets;
        start_listing();
        if (++older_answers_ < kConfirmingAnswers) return true;
        cluster_ = cluster;
        revision_ = 0;
        return true;
    }

    bool handle_page(int status, const json& answer, bool& ask_again) {
        constexpr int kOk = 200;
        const auto header = answer.find("header");
        if (status != kOk || header == answer.end() || !header->is_object()) {
            // This also happens if the revision of the pages was compacted between two of them.
            start_listing();
            return false;
        }
        const std::int64_t now = read_number(*header, "revision");
        if (now <= 0) return start_listing(), false;
        if (is_foreign(*header)) return false;
        if (page_revision_ == 0) page_revision_ = now;
        std::string last;
        if (const auto kvs = answer.find("kvs"); kvs != answer.end()) {
            if (!kvs->is_array()) return start_listing(), false;
            for (const json& kv : *kvs) {
                if (!parse_pair(kv, last, false, listed_)) return start_listing(), false;
            }
        }
        if (has_true(answer, "more")) {
            if (last.empty()) return start_listing(), false;
            next_key_ = last + '\0';  // the smallest key after it
            ask_again = true;
            return true;
        }
        if (page_revision_ < revision_ && ++older_answers_ < kConfirmingAnswers) {
            // The member lags behind, or the store was restored to an older state; the next answers tell
            // which. Its drains are applied in either case.
            ++counts_.resets;
            News drains;
            for (const DiscoveredEndpoint& one : listed_) {
                if (one.entry.state == EndpointState::kDraining) drains.entries.push_back(one);
            }
            start_listing();
            if (told && !drains.entries.empty()) told(drains);
            return false;
        }
        older_answers_ = 0;
        revision_ = page_revision_;
        retain_values(ids_);
        News news{true, std::move(listed_)};
        start_listing();
        state_ = State::kWatching;
        ++counts_.wholes;
        if (told) told(news);
        ask_again = true;
        return true;
    }

    bool handle_message(int status, const json& answer, bool& ask_again) {
        constexpr int kOk = 200;
        const auto result = answer.find("result");
        if (status != kOk || result == answer.end() || !result->is_object()) return false;
        const auto header = result->find("header");
        const std::int64_t now =
            header != result->end() && header->is_object() ? read_number(*header, "revision") : 0;
        if (header != result->end() && header->is_object() && is_foreign(*header)) return false;
        if (const std::int64_t compacted = read_number(*result, "compact_revision"); compacted > 0) {
            ++counts_.compactions;
            start_listing();
            ask_again = true;
            return true;
        }
        if (has_true(*result, "canceled")) return false;
        if (has_true(*result, "created")) {
            if (now >= revision_) {
                older_answers_ = 0;
                return true;
            }
            // This member would send nothing until it reaches the requested revision.
            ++counts_.resets;
            if (++older_answers_ >= kConfirmingAnswers - 1) start_listing();
            return false;
        }
        const auto events = result->find("events");
        if (events == result->end()) {
            if (now > revision_ && fragments_.empty()) revision_ = now;  // progress
            return true;
        }
        if (!events->is_array()) return false;
        for (const json& event : *events) {
            const auto kv = event.is_object() ? event.find("kv") : event.end();
            if (!event.is_object() || kv == event.end()) return false;
            const bool gone = event.value("type", json("PUT")) == json("DELETE");
            std::string key;
            if (!parse_pair(*kv, key, gone, fragments_)) return false;
            const std::int64_t changed = read_number(*kv, "mod_revision");
            // Older changes were already reported.
            if (changed <= revision_) return false;
            newest_revision_ = std::max(newest_revision_, changed);
        }
        if (has_true(*result, "fragment")) return true;
        News news{false, std::move(fragments_)};
        fragments_.clear();
        revision_ = std::max(revision_, std::exchange(newest_revision_, 0));
        counts_.changes += news.entries.size();
        if (told && !news.entries.empty()) told(news);
        return true;
    }

    bool parse_pair(const json& kv, std::string& key, bool gone, std::vector<DiscoveredEndpoint>& into) {
        if (!kv.is_object()) return false;
        const auto coded = kv.find("key"), value = kv.find("value");
        if (coded == kv.end() || !coded->is_string()) return false;
        if (!from_base64(coded->get_ref<const std::string&>(), key)) return false;
        if (key.compare(0, settings_.prefix.size(), settings_.prefix) != 0) return false;
        const std::string id = key.substr(settings_.prefix.size());
        if (id.empty()) return true;
        DiscoveredEndpoint listed;
        if (gone) {
            listed.entry.id = id;
            listed.entry.state = EndpointState::kRemoved;
            into.push_back(std::move(listed));
            forget_value(id);
            return true;
        }
        std::string text;
        const bool coded_well = value != kv.end() && value->is_string() &&
                                from_base64(value->get_ref<const std::string&>(), text);
        if (!coded_well) text.clear();
        ids_.insert(id);
        if (parse_entry(id, text, listed)) into.push_back(std::move(listed));
        return true;
    }

    SourceSettings settings_;
    std::string range_end_;
    std::int64_t revision_ = 0;         // all changes up to it are known
    std::int64_t newest_revision_ = 0;  // in the collected fragments
    int older_answers_ = 0;
    std::string cluster_;
    // State of the listing in progress.
    std::string next_key_;
    std::int64_t page_revision_ = 0;
    std::vector<DiscoveredEndpoint> listed_;
    std::unordered_set<std::string> ids_;
    std::vector<DiscoveredEndpoint> fragments_;
};

}  // namespace

std::unique_ptr<Source> make_etcd(SourceSettings settings) {
    return std::make_unique<Etcd>(std::move(settings));
}

}  // namespace linnetlead::discovery
