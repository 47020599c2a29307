#include "cluster/distribution/change.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>

namespace linnetlead::distribution {

namespace {

constexpr std::array<std::string_view, 7> kResourceKinds{"pool",    "plan",     "route", "tenant",
                                                         "reserve", "capacity", "move"};

bool is_printable(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

std::uint64_t chain_hash(std::uint64_t seed, std::string_view text) {
    return XXH64(text.data(), text.size(), seed);
}

}  // namespace

const char* rejection_message(Rejection rejection) {
    switch (rejection) {
        case Rejection::kNone:
            return "accepted";
        case Rejection::kMalformed:
            return "malformed frame or change";
        case Rejection::kTooLarge:
            return "exceeds a size limit";
        case Rejection::kUnknownKind:
            return "unknown resource kind";
        case Rejection::kNoSuchKey:
            return "removes a key that does not exist";
        case Rejection::kStaleBase:
            return "one of its keys has changed since its base revision";
        case Rejection::kFutureBase:
            return "its base revision does not exist yet";
        case Rejection::kIdReused:
            return "its id belongs to a different change";
        case Rejection::kInvalidValue:
            return "a value that no gateway can parse";
        case Rejection::kBusy:
            return "too many pending changes; retry later";
        case Rejection::kNoLeader:
            return "no leader is available; retry later";
        case Rejection::kFalseAcknowledgement:
            return "acknowledges what was never sent to it";
        case Rejection::kTooManyFollowers:
            return "the relay has the maximum number of followers; retry later or use another relay";
    }
    return "rejected";
}

bool is_known_resource_kind(std::string_view kind) {
    return std::find(kResourceKinds.begin(), kResourceKinds.end(), kind) != kResourceKinds.end();
}

Rejection check(const Change& change) {
    if (change.id.empty() || change.edits.empty() || !is_printable(change.id)) return Rejection::kMalformed;
    if (change.id.size() > kMaxIdBytes || change.edits.size() > kMaxEdits) return Rejection::kTooLarge;
    std::size_t bytes = 0;
    std::vector<std::string_view> keys;
    keys.reserve(change.edits.size());
    for (const Edit& edit : change.edits) {
        if (edit.key.size() > kMaxKeyBytes || (edit.value && edit.value->size() > kMaxValueBytes))
            return Rejection::kTooLarge;
        bytes += edit.key.size() + (edit.value ? edit.value->size() : 0);
        const auto slash = edit.key.find('/');
        if (slash == std::string::npos || slash + 1 == edit.key.size() || !is_printable(edit.key))
            return Rejection::kMalformed;
        if (!is_known_resource_kind(std::string_view(edit.key).substr(0, slash)))
            return Rejection::kUnknownKind;
        keys.push_back(edit.key);
    }
    if (bytes > kMaxChangeBytes) return Rejection::kTooLarge;
    std::sort(keys.begin(), keys.end());
    if (std::adjacent_find(keys.begin(), keys.end()) != keys.end()) return Rejection::kMalformed;
    return Rejection::kNone;
}

std::uint64_t digest(const Change& change) {
    // Each hash is the seed of the next, so that the boundaries between the strings count.
    std::uint64_t value = chain_hash(change.base_revision, change.id);
    for (const Edit& edit : change.edits) {
        value = chain_hash(value, edit.key);
        value = edit.value ? chain_hash(value, *edit.value) : value + 1;
    }
    return value;
}

}  // namespace linnetlead::distribution
