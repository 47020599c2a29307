// The settings of the config agreement and the callbacks to its owner. Shared by ConfigAgreement,
// TopicAgreement and ActivationDecider.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "cluster/agreement/agreement_event.h"
#include "cluster/agreement/config_version.h"
#include "cluster/agreement/membership.h"
#include "cluster/agreement/replicated_records.h"

namespace linnetlead::agreement {

// How the gateways of a group reach each other.
enum class Transport {
    kNone,       // not at all: a single gateway
    kDatagrams,  // directly, by datagrams
    kCounter,    // only through the shared counter
};

struct AgreementSettings {
    int gateways = 1;
    int self = 0;
    Transport transport = Transport::kDatagrams;
    std::uint64_t seed = 0;
    Incarnation incarnation = 1;  // higher than in any earlier process of this gateway
    Duration lease = std::chrono::milliseconds(2000);
    Duration max_clock_skew = std::chrono::milliseconds(350);  // between any two gateways
    // From the decision to the activation; 0: derived from the group's size.
    Duration activation_delay{};
    double datagrams_per_s = 50;  // limit on sending; bursts of up to one second's worth are allowed
    Duration tombstone_lifetime = std::chrono::hours(1);
    Duration counter_slot = std::chrono::seconds(1);  // with Transport::kCounter
    // Each switches off a safeguard, so that a test can show what fails without it. Never set in production.
    struct TestSeams {
        bool never_fenced = false;
        bool without_tombstones = false;
    };
    TestSeams test_seams;
};

// The lease with Transport::kCounter, in counter slots.
constexpr int kCounterLeaseSlots = 3;

// Each callback may be empty.
struct AgreementCallbacks {
    std::function<void(int to, const std::string& datagram)> send;
    // Adds to a count of the shared counter; the owner answers with on_counter_answer().
    std::function<void(const std::string& name, double amount, Duration lifetime)> count;
    std::function<void(const Event&)> event;
    // A complete proposal has arrived: asks whether this gateway can act on it. The owner answers with
    // set_check_result(), at once or later.
    std::function<void(const std::string& topic, Version version, const std::string& value)> check;
    // The version is active from now on.
    std::function<void(const std::string& topic, Version version, const std::string& value)> activated;
    std::function<void(bool fenced)> fenced;
    // A record that belongs to no topic was received or restored.
    std::function<void(const Record&)> record;
    // A payload sent with send_application() by the gateway `from`.
    std::function<void(int from, const std::string& payload)> application;
};

}  // namespace linnetlead::agreement
