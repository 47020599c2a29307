// A request that has not finished yet, and its attempts.
#pragma once

#include <vector>

#include "linnetlead/policy.h"

namespace linnetlead::policy {

struct Attempt {
    EndpointId endpoint;
    Timestamp sent_at{};
    bool in_flight = true;
    bool may_have_run = true;
    bool occupies_endpoint = true;  // until its answer starts or its endpoint has finished the work
};

enum class QuotaDecision { kUndecided, kRejected, kAdmitted };

struct OpenRequest : Request {
    Timestamp arrived_at{};
    QuotaDecision quota_decision = QuotaDecision::kUndecided;
    bool holds_units = false;  // its units are taken from the token bucket and not used by an endpoint yet
    std::vector<Attempt> attempts;
    int in_flight = 0;                    // attempts
    bool is_waiting_for_counter = false;  // its first attempt waits for the counter's reply
    bool reported = false;                // its demand was added to the counter on arrival
    bool has_capacity = false;  // result of the concurrency limiter on arrival; consumed by the first attempt
    bool answered = false;
};

}  // namespace linnetlead::policy
