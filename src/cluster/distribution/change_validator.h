// Validates submitted changes at a voting relay. A change is checked against the latest state: the
// active state plus all pending and proposed changes. Repeated submissions are recognized by the change id.
// Relay validates with it while it leads, and every voter records the committed ids. No I/O and no clock.
#pragma once

#include <unordered_map>

#include "cluster/distribution/history.h"

namespace linnetlead::distribution {

class ChangeValidator {
public:
    static constexpr std::size_t kRememberedIds = 4096;  // committed changes; older ids may be used again
    struct Settings {
        std::size_t max_pending_changes = 0;                     // neither active nor withdrawn
        std::size_t max_pending_bytes = 0;                       // of those changes
        std::function<std::string(const Edit&)> validate_value;  // why no gateway can parse it; or empty
    };
    struct Verdict {
        Rejection rejection = Rejection::kNone;
        LogIndex index = 0;       // of an earlier submission of the same change
        bool is_pending = false;  // that submission was proposed and is not committed yet
        std::string message;
    };
    explicit ChangeValidator(Settings settings) : settings_(std::move(settings)) {}

    // kNone with index 0 means that the change may be proposed. `last_index` is the last index of the log.
    Verdict check(const Change& change, const History& history, LogIndex last_index) const;
    void on_proposed(const Change& change, LogIndex index);
    // Called by every voter, in log order.
    void on_committed(const Record& record);
    // Called when leadership ends: the proposed changes may or may not be committed.
    void discard_proposed();
    bool has_proposed() const { return !proposed_.empty(); }

    // The remembered ids, stored with the Raft snapshot. restore() returns false for damaged data.
    std::string save() const;
    bool restore(std::string_view saved);

private:
    struct KnownId {
        std::uint64_t digest = 0;
        LogIndex index = 0;
    };
    struct LatestKeyState {
        LogIndex revision = 0;
        bool exists = false;
    };
    struct ProposedChange {
        std::string id;
        std::vector<std::string> keys;
        std::size_t bytes = 0;
    };
    LatestKeyState latest_state(const std::string& key, const History& history) const;

    Settings settings_;
    std::unordered_map<std::string, KnownId> ids_;
    std::deque<std::string> id_order_;  // committed ids, oldest first
    std::map<LogIndex, ProposedChange> proposed_;
    std::unordered_map<std::string, KnownId> proposed_ids_;
    std::unordered_map<std::string, LatestKeyState> proposed_keys_;
    std::size_t proposed_bytes_ = 0;
};

}  // namespace linnetlead::distribution
