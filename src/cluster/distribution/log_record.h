// The records of the replicated configuration log, and their encoding in frames and on disk. A committed
// change is not active yet: a later activation record gives the time from which it, and all earlier changes
// that are not withdrawn, are active everywhere. A withdrawn change was never active. Activations and
// withdrawals are log records themselves, so the log is the complete history.
#pragma once

#include "cluster/distribution/change.h"
#include "cluster/raft/leadership_heartbeat.h"

namespace linnetlead::distribution {

enum class RecordKind : std::uint8_t {
    kTermStart,  // empty record at the start of a leader's term
    kChange,
    kActivate,  // activates all pending changes up to `through_index` at `activation_time`
    kWithdraw,  // withdraws the change `through_index` permanently
};

struct Record {
    LogIndex index = 0;
    std::uint64_t term = 0;  // of the leader that wrote it
    RecordKind kind = RecordKind::kTermStart;
    Change change;
    LogIndex through_index = 0;
    Timestamp activation_time{};  // Unix time; later than that of any earlier activation
    std::string reason;           // of a withdrawal; names some gateways
};

// The encoding omits index and term, which the log entry has itself.
std::string encode_record_body(const Record& record);
std::optional<Record> decode_record_body(std::string_view body);

// Proof by the leading relay of what was committed at a time; followers renew their leases by it.
using Heartbeat = raft::LeadershipHeartbeat;

}  // namespace linnetlead::distribution
