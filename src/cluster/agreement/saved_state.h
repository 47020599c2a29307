// The part of the agreement's state that survives a crash, and its encoding. The encoding is the format of
// the state file. Used by ConfigAgreement.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cluster/agreement/config_topics.h"
#include "cluster/agreement/replicated_records.h"
#include "common/error.h"

namespace linnetlead::agreement {

struct SavedTopic {
    std::string name;
    Version active;
    Timestamp activated_at{};
    std::string value;
};

struct SavedState {
    Timestamp last_contact{};  // when the gateway last held a lease
    std::vector<Record> records;
    std::vector<SavedTopic> topics;
};

// `now`: the time of encoding.
std::string encode_state(Timestamp now, Timestamp last_contact, const ReplicatedRecords& records,
                         const std::map<std::string, Topic>& topics);
// kDataLoss if the bytes are not a valid state, or if a topic's content does not match its version's digest.
Result<SavedState> decode_state(const std::string& bytes);

}  // namespace linnetlead::agreement
