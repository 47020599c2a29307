// The lease that one gateway holds on one prepaid balance. Each gateway reserves units of the balance by an
// add to a name of the shared counter. The reply is the total after the add, so that all leases together
// never exceed the balance. Surplus units are returned by an add to a second name, since a counter's totals
// only grow.
//
// A counter keeps a name for 60 s at most, so reservations are counted in epochs, each with its own names.
// After the end of an epoch every gateway that knows the units reserved so far reads the final totals and
// publishes the new sum for gateways that have started since. Each publisher adds its sum to one name and 1
// to a second one; a reader divides the first total by the second.
//
// The lease is kept in memory only. If the process ends, the units that it has reserved and not charged stay
// reserved, and no gateway can use them. The class does no I/O and reads no clock; PrepaidBalances drives it.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "metering/prepaid_balance.h"

namespace linnetlead::metering {

// Adds to a name of the shared counter, which keeps it for `lifetime`. Each add results in one
// on_counter_reply(), and replies to adds of one name come in the order of the adds.
using CounterAdd = std::function<void(const std::string& name, double amount, Duration lifetime)>;

class BalanceLease {
public:
    static constexpr std::string_view kNamePrefix = "rv.";  // of all its names on the shared counter
    static constexpr Duration kEpochLength = std::chrono::seconds(20);
    // Units are reserved from this long before the balance's start, so that they are available at its start.
    static constexpr Duration kReserveAhead = std::chrono::seconds(2);

    // `gateways`: the number that share the balance. `max_units`: the most that one request costs.
    BalanceLease(PrepaidBalance balance, int gateways, double max_units, CounterAdd add);

    // Applies changed fields of the same balance; reservations stay.
    void update(const PrepaidBalance& balance) { balance_ = balance; }
    const PrepaidBalance& balance() const { return balance_; }
    bool active(Timestamp now) const { return now >= balance_.since && now < balance_.until; }

    // Reads totals, reserves ahead of demand and returns surplus units; to be called about every 50 ms.
    void tick(Timestamp now);
    // Charges a request of the balance's owner to the available units. False: there are too few, or the
    // balance's max_rate is reached.
    bool charge(Timestamp now, double units);
    // Charges a request of another tenant to units that the owner cannot use up.
    bool lend(Timestamp now, double units);
    // Refunds the charge of a request that was never forwarded.
    void refund(double units, bool lent) { (lent ? lent_available_ : available_) += units; }
    // Corrects a charge to the request's true units: `difference` more than were charged. The available units
    // may become negative.
    void correct(double difference, bool lent) { refund(-difference, lent); }
    // Handles the reply to an add; `total` is read only if `ok`. False: the name is not this lease's.
    bool on_counter_reply(Timestamp now, const std::string& name, bool ok, double total);

    struct State {
        bool known = false;                   // the sum that all gateways have reserved is known
        double reserved = 0;                  // by all gateways, net of what was returned
        double available = 0;                 // units here, for the owner
        double lent_available = 0;            // units here, for other tenants
        double charged = 0;                   // units that charge() has taken here so far
        double lent = 0;                      // units that lend() has taken here so far
        std::uint64_t lost_reservations = 0;  // adds without a reply, whose units nobody can use
        std::uint64_t counter_resets = 0;     // detected as totals that decreased
    };
    State state() const;

private:
    enum class Operation {
        kReserve,
        kReserveToLend,
        kReturn,
        kReadReserved,
        kReadReturned,
        kCloseReserved,  // the last read of an epoch's totals
        kCloseReturned,
        kPublishSum,
        kPublishCount,
        kReadSum,
        kReadCount
    };
    struct PendingAdd {
        Operation operation{};
        double amount = 0;
        std::int64_t epoch = 0;
    };
    // The kinds of names of an epoch; the letters are on the wire.
    enum class Name : char { kReserved = 'c', kReturned = 'r', kSum = 's', kPublishers = 'n' };

    std::string counter_name(Name name, std::int64_t epoch) const;
    void add(Operation operation, Name name, std::int64_t epoch, double amount);
    void publish_sum();

    void advance_epoch(Timestamp now, std::int64_t epoch);
    void close_epoch();
    void on_closing_total(const PendingAdd& pending, bool ok, double total);
    void on_published_count(const PendingAdd& pending, bool ok, double total);

    void observe_total(double& known_total, double total);
    void on_reserved(const PendingAdd& pending, double total, Timestamp now);
    void on_reservation_reply(const PendingAdd& pending, bool ok, double total, Timestamp now);
    void read_totals(Timestamp now);
    void reserve(Timestamp now);
    void return_surplus(Timestamp now);
    void reserve_to_lend(Timestamp now);

    double reserved_by_all() const {
        return reserved_before_epoch_ + reserved_in_epoch_ - returned_in_epoch_;
    }
    double unreserved() const { return balance_.units - reserved_by_all(); }
    double lendable(Timestamp now) const;
    double target(Timestamp now) const;
    void record_demand(Timestamp now, double units);
    double demand(Timestamp now) const;
    double lent_demand(Timestamp now) const;

    PrepaidBalance balance_;
    std::string id_;  // in the counter's names
    int gateways_;
    double max_units_;
    CounterAdd add_;
    std::unordered_map<std::string, std::deque<PendingAdd>>
        pending_;  // adds without a reply yet, by name, in the order in which they were sent

    std::int64_t epoch_ = -1;  // whose names are in use; -1: none yet, since the sum is unknown
    double reserved_before_epoch_ = 0;
    double reserved_in_epoch_ = 0, returned_in_epoch_ = 0;
    std::optional<double> closing_reserved_, closing_returned_;
    std::optional<double> published_sum_;  // until the number of its publishers is known
    bool reserving_ = false, returning_ = false, reading_ = false, advancing_ = false,
         reserving_to_lend_ = false;
    bool counter_silent_ = false;  // the last add had no reply
    Timestamp last_read_{}, last_advance_{};

    double available_ = 0, lent_available_ = 0;
    double charged_ = 0, lent_ = 0;
    double demand_ = 0, lent_demand_ = 0;  // recent units, decaying over kDemandWindowS
    Timestamp demand_at_{}, lent_demand_at_{};
    double rate_tokens_ = 0;  // units, refilled at the balance's max_rate
    Timestamp rate_tokens_at_{};
    std::uint64_t lost_reservations_ = 0, counter_resets_ = 0;
};

}  // namespace linnetlead::metering
