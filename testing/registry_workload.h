// One seeded course of a registry client in virtual time: changes, breaks, compactions, resets and servers
// that lag, with a roster behind the client as the gateway has it.
#pragma once

#include <functional>
#include <map>

#include "discovery/endpoint_set.h"
#include "testing/fake_registry.h"

namespace linnetlead::test_support {

struct KvRunSettings {
    KvProtocol protocol = KvProtocol::kEtcd;
    std::uint64_t seed = 1;
    int endpoints = 40;
    double changes_per_s = 20;
    double breaks_per_s = 0.3;  // the connection goes, also amid an answer
    double compactions_per_s = 0.2;
    double resets_per_s = 0;  // the store loses all, and is filled anew
    bool replicas = true;     // two servers, of which one lags by up to 300 ms
    Duration length = std::chrono::seconds(40);
};

struct KvRunResult {
    bool equal = false;        // the client's list is the store's
    double to_equal_s = 0;     // after the last fault
    std::uint64_t drains = 0;  // told by the store
    std::uint64_t drains_missed = 0;
    double worst_drain_s = 0;  // from when the client could learn of it
    std::uint64_t asks = 0, compactions = 0, resets = 0, changes = 0;
};

KvRunResult run_kv(const KvRunSettings& settings);

}  // namespace linnetlead::test_support
