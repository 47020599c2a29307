// Simulated gateways and offered load for tests of quotas.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "harness.h"

namespace linnetlead::policy::testing {

inline Settings quota_settings() {
    Settings s = make_settings();
    s.plans[0].rate = 10;
    s.plans[0].burst = 10;  // gives an interval of one second
    return s;
}

// Offers a request of one unit every 20 ms for the given time; each attempt succeeds. Returns how many were
// admitted.
inline int offer_load(Gateway& g, Duration time, const std::string& tenant = "u", int gateway_set_size = 2) {
    int admitted = 0;
    for (const Timestamp end = g.now + time; g.now < end;) {
        const auto id = g.submit(1, tenant, gateway_set_size);
        if (g.sends(id) == 1) {
            ++admitted;
            g.resolve(id, Outcome::kOk, 5ms);
        } else {
            g.now += 5ms;
        }
        g.run_to(g.now + 15ms);
    }
    return admitted;
}

// Several gateways that serve one tenant and share a fake counter. offer_request() answers the counter's
// calls at once, with the given status.
struct GatewaysWithCounter {
    GatewaysWithCounter(int count, const Settings& settings) {
        for (int i = 0; i < count; ++i) {
            Settings own = settings;
            own.gateways = count;
            own.self = i;
            gateways.push_back(std::make_unique<Gateway>(own, endpoints, 100s, 7 + static_cast<unsigned>(i)));
        }
        answered_calls.resize(gateways.size());
    }
    void answer_calls(CounterStatus status = CounterStatus::kOk) {
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            for (; answered_calls[i] < gateways[i]->out.counted.size(); ++answered_calls[i]) {
                const auto call = gateways[i]->out.counted[answered_calls[i]];
                calls += 1;
                if (status == CounterStatus::kOk) totals[call.name] += call.amount;
                gateways[i]->policy.on_counter_reply(gateways[i]->now, call.name, status, totals[call.name]);
            }
        }
    }
    // Advances all gateways to `now` and offers a request of one unit at one of them. Returns whether it was
    // sent.
    bool offer_request(std::size_t index, Timestamp now, CounterStatus status = CounterStatus::kOk) {
        for (auto& g : gateways) g->run_to(now);
        answer_calls(status);
        Gateway& g = *gateways[index];
        const auto id = g.submit(1, "u", static_cast<int>(gateways.size()));
        answer_calls(status);
        const bool sent = g.sends(id) == 1;
        if (sent) g.resolve_now(id, Outcome::kOk, 5ms, 0);
        return sent;
    }
    std::vector<EndpointInfo> endpoints{make_endpoint("a"), make_endpoint("b"), make_endpoint("c")};
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::vector<std::size_t> answered_calls;
    std::map<std::string, double> totals;
    int calls = 0;
};

}  // namespace linnetlead::policy::testing
