// A version of a topic (a part of the configuration that the gateways agree on), and the keys of the records
// that carry proposals and activation decisions. The keys are part of the wire and state file formats. Used
// by TopicAgreement and ConfigTopics.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace linnetlead::agreement {

struct Version {
    std::uint64_t number = 0;  // 0: none
    std::uint64_t digest = 0;  // hash of the content
    friend bool operator==(const Version& a, const Version& b) {
        return a.number == b.number && a.digest == b.digest;
    }
    friend bool operator!=(const Version& a, const Version& b) { return !(a == b); }
};

// "NUMBER (DIGEST)", for log lines and error messages.
std::string to_string(Version version);

// A proposal's record has the key "TOPIC#NUMBER#DIGEST"; its value is the content.
struct ProposalKey {
    std::string topic;
    Version version;
};
std::string proposal_key(const std::string& topic, Version version);
std::optional<ProposalKey> parse_proposal_key(const std::string& key);
// The common prefix of the keys of a topic's proposals.
std::string proposal_prefix(const std::string& topic);

// The record of an activation decision has the key "TOPIC.at".
std::string decision_key(const std::string& topic);
// Returns the topic.
std::optional<std::string> parse_decision_key(const std::string& key);

// A hash of a version's number and digest.
std::uint64_t version_hash(Version version);

}  // namespace linnetlead::agreement
