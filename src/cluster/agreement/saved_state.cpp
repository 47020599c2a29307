#include "cluster/agreement/saved_state.h"

#include <utility>

#include "cluster/agreement/cbor.h"

namespace linnetlead::agreement {

using nlohmann::json;
using namespace std::chrono_literals;

namespace {

std::vector<std::uint8_t> bytes_of(const std::string& text) { return {text.begin(), text.end()}; }

std::string text_of(const json& value) {
    const auto& bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

Timestamp time_of(const json& value) { return std::chrono::milliseconds(value.get<std::int64_t>()); }

// The read_ functions throw json::exception on invalid input.
SavedTopic read_topic(const json& from) {
    SavedTopic topic;
    topic.name = from.at(0).get<std::string>();
    topic.active = {from.at(1).get<std::uint64_t>(), from.at(2).get<std::uint64_t>()};
    topic.activated_at = time_of(from.at(3));
    topic.value = text_of(from.at(4));
    return topic;
}

Record read_record(const json& from) {
    Record record;
    record.key = from.at(0).get<std::string>();
    record.number = from.at(1).get<std::uint64_t>();
    record.origin = from.at(2).get<int>();
    record.deleted = from.at(3).get<bool>();
    record.expires_at = time_of(from.at(4));
    record.value = text_of(from.at(5));
    return record;
}

}  // namespace

std::string encode_state(Timestamp now, Timestamp last_contact, const ReplicatedRecords& records,
                         const std::map<std::string, Topic>& topics) {
    json saved_records = json::array(), saved_topics = json::array();
    records.for_each([&](const Record& record) {
        saved_records.push_back({record.key, record.number, record.origin, record.deleted,
                                 record.expires_at / 1ms, json::binary(bytes_of(record.value))});
    });
    for (const auto& [name, topic] : topics) {
        saved_topics.push_back({name, topic.active.number, topic.active.digest, topic.activated_at / 1ms,
                                json::binary(bytes_of(topic.value))});
    }
    return write_cbor(json{{"at_ms", now / 1ms},
                           {"in_touch_ms", last_contact / 1ms},
                           {"records", std::move(saved_records)},
                           {"topics", std::move(saved_topics)}});
}

Result<SavedState> decode_state(const std::string& bytes) {
    const json saved = read_cbor(bytes);
    if (!saved.is_object()) return fail(ErrorCode::kDataLoss, "not a saved agreement state");
    try {
        SavedState state;
        for (const json& saved_topic : saved.at("topics")) {
            SavedTopic topic = read_topic(saved_topic);
            if (topic.active.number > 0 && hash_of(topic.value) != topic.active.digest) {
                return fail(ErrorCode::kDataLoss, "content of a topic does not match its digest");
            }
            state.topics.push_back(std::move(topic));
        }
        for (const json& saved_record : saved.at("records"))
            state.records.push_back(read_record(saved_record));
        state.last_contact = time_of(saved.at("in_touch_ms"));
        return state;
    } catch (const json::exception& error) {
        return fail(ErrorCode::kDataLoss, error.what());
    }
}

}  // namespace linnetlead::agreement
