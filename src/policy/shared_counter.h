// Calls to the counter that all gateways share. Tracks the outstanding calls and whether the counter is
// reachable.
//
// The replies for one count arrive in the order of its calls. Each call records its tenant and interval, so
// that a reply after the end of the interval, or after the tenant was forgotten, is recognised.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "linnetlead/policy.h"
#include "policy/quota_schedule.h"

namespace linnetlead::policy {

enum class CounterCallKind {
    kReport,   // adds demand or units spent
    kReserve,  // as kReport, and a request waits for the reply
    kRead,     // adds nothing and reads the total of the previous interval
};

struct CounterCall {
    std::string tenant;
    std::int64_t interval = 0;
    CounterCallKind kind = CounterCallKind::kReport;
    RequestId waiting_request = 0;  // 0: none
    double amount = 0;              // added, in the counter's encoding
    double reported = 0;            // by this gateway to that count, this call included
    double reported_spent = 0;      // of that, units spent
    Timestamp sent_at{};
};

class SharedCounter {
public:
    SharedCounter(const Settings& settings, const QuotaSchedule& schedule, Actions& actions)
        : settings_(settings), schedule_(schedule), actions_(actions) {}

    // Makes a call for the tenant's current interval, or for the previous one with kRead. Returns false if no
    // call is made because the counter is unreachable.
    bool call(const std::string& name, const Tenant& tenant, Timestamp now, CounterCallKind kind,
              double amount, RequestId waiting_request = 0);
    // Returns the call that this reply answers, or nullopt if none is outstanding. Updates the counter's
    // reachability and the sampling share.
    std::optional<CounterCall> take_reply(const std::string& count, CounterStatus status, Timestamp now);

    // Whether several calls in a row have failed and the last success is some time ago.
    bool is_unreachable(Timestamp now) const;
    // Share of the requests that may wait for the counter; lower while it is slow.
    double sampling_share() const { return sampling_share_; }

private:
    void record(CounterStatus status, Duration latency, Timestamp now);

    const Settings& settings_;
    const QuotaSchedule& schedule_;
    Actions& actions_;
    std::unordered_map<std::string, std::deque<CounterCall>> outstanding_;  // by name of the count
    int consecutive_failures_ = 0;
    Timestamp next_trial_call_at_{};
    Timestamp last_success_at_{};
    double sampling_share_ = 1;
};

}  // namespace linnetlead::policy
