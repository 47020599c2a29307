#include "cluster/agreement/config_version.h"

#include <cstdio>
#include <cstdlib>
#include <string_view>

#include "cluster/agreement/hash.h"

namespace linnetlead::agreement {

namespace {

constexpr char kSeparator = '#';
constexpr std::size_t kDigestDigits = 16;
constexpr std::string_view kDecisionSuffix = ".at";

}  // namespace

std::string to_string(Version version) {
    char text[48];
    std::snprintf(text, sizeof(text), "%llu (%016llx)", static_cast<unsigned long long>(version.number),
                  static_cast<unsigned long long>(version.digest));
    return text;
}

std::string proposal_prefix(const std::string& topic) { return topic + kSeparator; }

std::string proposal_key(const std::string& topic, Version version) {
    char rest[48];
    std::snprintf(rest, sizeof(rest), "#%llu#%016llx", static_cast<unsigned long long>(version.number),
                  static_cast<unsigned long long>(version.digest));
    return topic + rest;
}

std::optional<ProposalKey> parse_proposal_key(const std::string& key) {
    const auto first_separator = key.find(kSeparator), second_separator = key.rfind(kSeparator);
    if (first_separator == std::string::npos || second_separator == first_separator) return std::nullopt;
    ProposalKey parsed;
    parsed.topic = key.substr(0, first_separator);
    char* end = nullptr;
    parsed.version.number = std::strtoull(key.c_str() + first_separator + 1, &end, 10);
    if (end != key.c_str() + second_separator || parsed.version.number == 0) return std::nullopt;
    parsed.version.digest = std::strtoull(key.c_str() + second_separator + 1, &end, 16);
    if (*end != '\0' || key.size() - second_separator != kDigestDigits + 1) return std::nullopt;
    return parsed;
}

std::string decision_key(const std::string& topic) { return topic + std::string(kDecisionSuffix); }

std::optional<std::string> parse_decision_key(const std::string& key) {
    if (key.size() <= kDecisionSuffix.size()) return std::nullopt;
    const std::size_t topic_size = key.size() - kDecisionSuffix.size();
    if (key.compare(topic_size, kDecisionSuffix.size(), kDecisionSuffix) != 0) return std::nullopt;
    return key.substr(0, topic_size);
}

std::uint64_t version_hash(Version version) { return hash_of(proposal_key("", version)); }

}  // namespace linnetlead::agreement
