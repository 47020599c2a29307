// Prepaid balances: the leases of several gateways on one simulated counter and its failures, the check
// against the fleet's capacity, and the whole path through request manager and decision module, in virtual
// time and on sockets.
#include <gtest/gtest.h>

#include <map>

#include "metering/committed_capacity.h"
#include "metering/plan_accounts.h"
#include "metering/plan_schedule_reader.h"
#include "metering/prepaid_balances.h"
#include "testing/fake_platform.h"
#include "testing/simulated_gateways.h"

namespace linnetlead {
namespace {

using namespace std::chrono_literals;
using namespace metering;
using operator_config::Problem;
using test_support::CounterModel;
using test_support::FakePlatform;
using test_support::SimulatedGateways;

constexpr Timestamp kStart = 1'000'000s;

PrepaidBalance balance_of(double units, Duration from, Duration length) {
    PrepaidBalance one;
    one.id = "tender";
    one.account = 7;
    one.units = units;
    one.since = kStart + from;
    one.until = one.since + length;
    return one;
}

// Leases of several gateways on one counter that replies after 3 ms. An unresponsive counter times out after
// 80 ms, and may have added the units all the same.
struct LeaseHolders {
    LeaseHolders(PrepaidBalance of, int gateways, std::uint64_t seed = 1)
        : balance(std::move(of)), random(seed) {
        for (int i = 0; i < gateways; ++i) nodes.emplace_back();
        for (int i = 0; i < gateways; ++i) start(i);
    }
    struct Node {
        std::unique_ptr<BalanceLease> lease;
        double requests_per_s = 0;
        int incarnation = 0;
        Duration skew{};
    };
    struct Reply {
        std::size_t node = 0;
        int incarnation = 0;
        std::string name;
        bool good = false;
        double total = 0;
    };
    void start(int i) {
        Node& node = nodes[static_cast<std::size_t>(i)];
        const int incarnation = ++node.incarnation;
        node.lease = std::make_unique<BalanceLease>(
            balance, static_cast<int>(nodes.size()), 4,
            [this, i, incarnation](const std::string& name, double amount, Duration keep) {
                EXPECT_LE(name.size(), 64u);
                const bool received = counter.mood == CounterModel::Mood::kWell || random() % 2 == 0;
                const auto total = received ? counter.tally(now, name, amount, keep) : std::nullopt;
                replies.emplace(now + (total ? 3ms : 80ms),
                                Reply{static_cast<std::size_t>(i), incarnation, name, total.has_value(),
                                      total.value_or(0)});
            });
    }
    void kill(int i) { nodes[static_cast<std::size_t>(i)].lease.reset(); }
    void run(Duration time) {
        for (const Timestamp end = now + time; now < end; now += 5ms) {
            while (!replies.empty() && replies.begin()->first <= now) {
                const Reply reply = replies.begin()->second;
                replies.erase(replies.begin());
                Node& node = nodes[reply.node];
                if (!node.lease || node.incarnation != reply.incarnation) continue;
                EXPECT_TRUE(
                    node.lease->on_counter_reply(now + node.skew, reply.name, reply.good, reply.total));
            }
            for (Node& node : nodes) {
                if (!node.lease) continue;
                if (now / 5ms % 10 == 0) node.lease->tick(now + node.skew);
                if (std::uniform_real_distribution<double>(0, 1)(random) < node.requests_per_s * 0.005) {
                    const double units = static_cast<double>(1 + random() % 4);
                    requested_units += units;
                    if (node.lease->charge(now + node.skew, units)) charged_units += units;
                }
                if (borrowed_requests_per_s > 0 &&
                    std::uniform_real_distribution<double>(0, 1)(random) <
                        borrowed_requests_per_s / static_cast<double>(nodes.size()) * 0.005) {
                    if (node.lease->lend(now + node.skew, 1)) lent += 1;
                }
            }
        }
    }
    PrepaidBalance balance;
    std::mt19937_64 random;
    CounterModel counter;
    Timestamp now = kStart;
    std::vector<Node> nodes;
    std::multimap<Timestamp, Reply> replies;
    double requested_units = 0, charged_units = 0, lent = 0, borrowed_requests_per_s = 0;
};

TEST(BalanceLease, MakesTheWholeBalanceAvailableFromItsStartAtAnyGateway) {
    LeaseHolders holders(balance_of(1000, 7s, 30s), 4);
    holders.nodes[2].requests_per_s = 150;
    holders.run(6990ms);
    EXPECT_EQ(holders.charged_units, 0);
    holders.run(1s);  // an eighth of the balance is available here, and reservations add more
    EXPECT_GE(holders.charged_units, 300);
    holders.run(14s);
    EXPECT_GE(holders.charged_units, 996);  // the rest is less than one request
    EXPECT_LE(holders.charged_units, 1000);
}

// Slow use over ten epochs: the sum carries over from each epoch to the next, also to a gateway that starts
// in between.
TEST(BalanceLease, CarriesTheSumOverEpochsAndGatewayRestarts) {
    LeaseHolders holders(balance_of(600, 3s, 200s), 4);
    for (auto& node : holders.nodes) node.requests_per_s = 0.9;
    holders.run(50s);
    holders.kill(1);
    holders.run(13s);
    holders.start(1);
    holders.run(30s);
    EXPECT_TRUE(holders.nodes[1].lease->state().known);
    const double reserved = holders.nodes[0].lease->state().reserved;
    EXPECT_NEAR(holders.nodes[1].lease->state().reserved, reserved, 12);
    EXPECT_GT(reserved, 300);
    for (auto& node : holders.nodes) node.requests_per_s = 20;
    holders.run(107s);
    EXPECT_LE(holders.charged_units, 600);
    EXPECT_GE(holders.charged_units,
              600 - 16);  // the units of the killed gateway, at most two seconds' demand, are lost
}

TEST(BalanceLease, ChargesOnlyAvailableUnitsWhileTheCounterIsUnresponsive) {
    LeaseHolders holders(balance_of(800, 3s, 100s), 4);
    for (auto& node : holders.nodes) node.requests_per_s = 10;
    holders.run(2500ms);
    holders.counter.mood = CounterModel::Mood::kSilent;
    holders.run(3s);
    EXPECT_GT(holders.charged_units, 200);  // the balance started while the counter did not reply
    holders.run(20s);                       // an epoch ends meanwhile too
    EXPECT_LE(holders.charged_units, 400);
    holders.counter.mood = CounterModel::Mood::kWell;
    holders.run(30s);
    EXPECT_LE(holders.charged_units, 800);
    EXPECT_GE(holders.charged_units, 700);  // units of a lost reservation are usable by nobody
}

// Guards against a second grant of all units after the counter restarts empty. Reservations since a gateway's
// last read are unknown to it: at most two seconds' demand may be granted on top.
TEST(BalanceLease, DoesNotGrantUnitsAgainAfterACounterReset) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        LeaseHolders holders(balance_of(900, 3s, 55s), 4, seed);
        for (auto& node : holders.nodes) node.requests_per_s = 8;
        holders.run(8s + std::chrono::milliseconds(holders.random() % 5000));
        holders.counter.forget();
        holders.run(30s);
        EXPECT_GE(holders.nodes[0].lease->state().counter_resets, 1u);
        EXPECT_LE(holders.charged_units, 900 + 80 * 2) << seed;
    }
}

TEST(BalanceLease, NeverExceedsTheBalanceThroughRestartsTimeoutsAndClockSkew) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        LeaseHolders holders(balance_of(700, 3s, 90s), 3, seed);
        for (auto& node : holders.nodes) {
            node.requests_per_s = static_cast<double>(holders.random() % 12);
            node.skew = std::chrono::milliseconds(holders.random() % 200);
        }
        for (int turn = 0; turn < 30; ++turn) {
            const int one = static_cast<int>(holders.random() % 3);
            switch (holders.random() % 4) {
                case 0:
                    holders.kill(one);
                    holders.run(std::chrono::milliseconds(holders.random() % 2000));
                    holders.start(one);
                    break;
                case 1:
                    holders.counter.mood = CounterModel::Mood::kSilent;
                    holders.run(std::chrono::milliseconds(holders.random() % 8000));
                    holders.counter.mood = CounterModel::Mood::kWell;
                    break;
                default:
                    holders.nodes[static_cast<std::size_t>(one)].requests_per_s =
                        static_cast<double>(holders.random() % 30);
            }
            holders.run(std::chrono::milliseconds(holders.random() % 3000));
        }
        EXPECT_LE(holders.charged_units, 700) << seed;
    }
}

// Four leases in virtual time through restarts, timeouts of the counter, its reset and a changed balance. The
// digest covers every add, the use of every reply and every grant. It was taken from the previous release,
// before its code was renamed: a different digest means that gateways of both releases no longer draw on a
// balance by the same rules.
class RecordedRun {
public:
    explicit RecordedRun(std::uint64_t seed) : seed_(seed), random_(seed), nodes_(4) {
        balance_.id = "tender";
        balance_.account = 7;
        balance_.units = 1500;
        balance_.since = kStart + 3s;
        balance_.until = balance_.since + 150s;
        balance_.max_rate = lends() ? 25 : 0;
    }
    std::uint64_t digest() {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            begin(i);
            nodes_[i].skew = std::chrono::milliseconds(random_() % 200);
        }
        for (int step = 0; now_ < kStart + 165s; now_ += 5ms, ++step) {
            disturb(step);
            deliver_replies();
            for (Node& node : nodes_) use(node, step);
        }
        for (Node& node : nodes_) {
            const BalanceLease::State state = node.lease->state();
            char text[400];
            std::snprintf(text, sizeof(text), "%d %.17g %.17g %.17g %.17g %.17g %llu %llu", state.known,
                          state.reserved, state.available, state.lent_available, state.charged, state.lent,
                          static_cast<unsigned long long>(state.lost_reservations),
                          static_cast<unsigned long long>(state.counter_resets));
            mix(text);
        }
        return digest_;
    }

private:
    struct Node {
        std::unique_ptr<BalanceLease> lease;
        int incarnation = 0;
        double requests_per_s = 3;
        Duration skew{};
    };
    struct Reply {
        std::size_t node = 0;
        int incarnation = 0;
        std::string name;
        bool ok = false;
        double total = 0;
    };
    bool lends() const { return seed_ == 7; }
    double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    void mix(const std::string& text) {  // FNV-1a
        for (const char c : text) digest_ = (digest_ ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    }
    void begin(std::size_t i) {
        const int incarnation = ++nodes_[i].incarnation;
        nodes_[i].lease = std::make_unique<BalanceLease>(
            balance_, 4, 4, [this, i, incarnation](const std::string& name, double amount, Duration) {
                char text[200];
                std::snprintf(text, sizeof(text), "%lld %d %s %.17g", static_cast<long long>(now_.count()),
                              static_cast<int>(i), name.c_str(), amount);
                mix(text);
                const bool received = !silent_ || random_() % 2 == 0;
                const double total = received ? totals_[name] += amount : 0;
                const bool ok = received && !silent_;
                replies_.emplace(now_ + (ok ? 3ms : 80ms), Reply{i, incarnation, name, ok, total});
            });
    }
    void disturb(int step) {
        if (step % 1400 == 700) begin(random_() % 4);
        if (step % 2100 == 900) silent_ = true;
        if (step % 2100 == 1500) silent_ = false;
        if (step == 17000) totals_.clear();
        if (step == 20000) {
            balance_.units = 2200;
            for (Node& node : nodes_) node.lease->update(balance_);
        }
        if (step % 1000 != 0) return;
        for (Node& node : nodes_) node.requests_per_s = static_cast<double>(random_() % 25);
    }
    void deliver_replies() {
        while (!replies_.empty() && replies_.begin()->first <= now_) {
            const Reply reply = replies_.begin()->second;
            replies_.erase(replies_.begin());
            Node& node = nodes_[reply.node];
            if (node.incarnation != reply.incarnation) continue;
            mix(node.lease->on_counter_reply(now_ + node.skew, reply.name, reply.ok, reply.total) ? "r"
                                                                                                  : "x");
        }
    }
    void use(Node& node, int step) {
        if (step % 10 == 0) node.lease->tick(now_ + node.skew);
        if (draw() < node.requests_per_s * 0.005) {
            const double units = static_cast<double>(1 + random_() % 4);
            const bool charged = node.lease->charge(now_ + node.skew, units);
            mix(charged ? "p" : "-");
            if (charged && random_() % 10 == 0) node.lease->refund(units, false);
        }
        if (lends() && random_() % 20 == 0) mix(node.lease->lend(now_ + node.skew, 1) ? "l" : "_");
    }

    std::uint64_t seed_;
    std::mt19937_64 random_;
    PrepaidBalance balance_;
    std::vector<Node> nodes_;
    std::map<std::string, double> totals_;
    std::multimap<Timestamp, Reply> replies_;
    Timestamp now_ = kStart;
    bool silent_ = false;
    std::uint64_t digest_ = 14695981039346656037ULL;
};

TEST(BalanceLease, ReservesAndGrantsLikeThePreviousRelease) {
    EXPECT_EQ(RecordedRun(1).digest(), 0x732b96382eb12c97U);
    EXPECT_EQ(RecordedRun(7).digest(), 0x98844917f2d2b94aU);
    EXPECT_EQ(RecordedRun(42).digest(), 0x6ccf27002edb055dU);
}

// The owner is idle and later requests all that it can still use. Meanwhile other tenants get gradually what
// it cannot use up any more.
TEST(BalanceLease, LendsGraduallyWhatTheOwnerCannotUseUp) {
    PrepaidBalance one = balance_of(1000, 3s, 50s);
    one.max_rate = 25;
    LeaseHolders holders(one, 4);
    holders.borrowed_requests_per_s = 60;
    holders.run(3s);
    double most = 0;
    for (int second = 0; second < 25; ++second) {
        const double before = holders.lent;
        holders.run(1s);
        most = std::max(most, holders.lent - before);
    }
    // 1250 units could be used at max_rate, so the time of the first 200 costs the owner nothing.
    EXPECT_GT(holders.lent, 200);
    EXPECT_LE(holders.lent, 1000 - 25 * 25 + 50);
    EXPECT_LE(most, 25 * 2.5);
    holders.nodes[0].requests_per_s = 40;
    holders.run(26s);
    EXPECT_GE(holders.charged_units, 25 * 25 * 0.85);
    EXPECT_LE(holders.charged_units + holders.lent, 1000);
    one.lend = false;
    LeaseHolders keeps(one, 4);
    keeps.borrowed_requests_per_s = 60;
    keeps.run(40s);
    EXPECT_EQ(keeps.lent, 0);
}

TEST(BalanceLease, KeepsReservationsWhenTheBalanceChanges) {
    LeaseHolders holders(balance_of(400, 3s, 30s), 2);
    for (auto& node : holders.nodes) node.requests_per_s = 60;
    holders.run(12s);
    EXPECT_GE(holders.charged_units, 390);
    const auto change = [&](double units, Duration length) {
        holders.balance = balance_of(units, 3s, length);
        for (auto& node : holders.nodes) node.lease->update(holders.balance);
    };
    change(700, 60s);  // more, and longer
    holders.run(10s);
    EXPECT_GE(holders.charged_units, 690);
    EXPECT_LE(holders.charged_units, 700);
    change(900, 60s);
    holders.run(1s);
    change(900, 24s);  // ends early: nothing is charged from here on
    holders.run(1s);
    const double charged_units = holders.charged_units;
    holders.run(5s);
    EXPECT_EQ(holders.charged_units, charged_units);
}

// Overlapping balances are used up in the order of their ends. A balance that is removed ends at once; when
// it is added again, its reservations still count.
TEST(PrepaidBalances, ChargesTheFirstEndingBalanceAndResumesARestoredOne) {
    CounterModel counter;
    Timestamp now = kStart;
    std::multimap<Timestamp, std::pair<std::string, double>> replies;
    PrepaidBalances balances(1, 4, [&](const std::string& name, double amount, Duration lifetime) {
        replies.emplace(now + 3ms, std::pair(name, *counter.tally(now, name, amount, lifetime)));
    });
    const auto run = [&](Duration time, int requests, AccountId account) {
        std::map<std::string, int> charged_units;
        for (const Timestamp end = now + time; now < end; now += 5ms) {
            while (!replies.empty() && replies.begin()->first <= now) {
                const auto [name, total] = replies.begin()->second;
                replies.erase(replies.begin());
                balances.on_counter_reply(now, name, true, total);
            }
            if (now / 5ms % 10 == 0) balances.tick(now);
            if (now / 5ms % 4 != 0 || requests <= 0) continue;
            const auto one = balances.charge(now, account, 1);
            if (one && --requests >= 0) ++charged_units[balances.find(one->lease)->balance().id];
        }
        return charged_units;
    };
    PrepaidBalance late = balance_of(100, 3s, 60s), soon = balance_of(50, 3s, 30s);
    soon.id = "soon";
    balances.update({late, soon});
    run(3s, 0, 7);
    auto charged_units = run(1s, 30, 7);
    EXPECT_EQ(charged_units["soon"], 30);
    EXPECT_EQ(run(1s, 10, 8).size(), 0u);  // another account
    charged_units = run(4s, 60, 7);
    EXPECT_EQ(charged_units["soon"], 20);
    EXPECT_EQ(charged_units["tender"], 40);
    balances.update({});
    EXPECT_EQ(run(1s, 50, 7).size(), 0u);
    balances.update({late});
    charged_units = run(12s, 500, 7);
    // Units available when the balance was removed are lost: at most two seconds' demand.
    EXPECT_LE(charged_units["tender"], 60);
    EXPECT_GE(charged_units["tender"], 1);
}

// ---- Capacity -------------------------------------------------------------------------------------------

TEST(Capacity, FindsTheSameOvercommitmentAsACheckOfEveryInstant) {
    std::mt19937_64 random(3);
    int rejected = 0;
    for (int round = 0; round < 300; ++round) {
        std::vector<Commitment> standing, reserves;
        const auto draw = [&] {
            const Timestamp since = std::chrono::seconds(random() % 40);
            return Commitment{static_cast<double>(1 + random() % 9), since,
                              since + std::chrono::seconds(1 + random() % 20)};
        };
        for (int i = 0; i < 4; ++i) standing.push_back(draw());
        for (int i = 0; i < 5; ++i) reserves.push_back(draw());
        const auto found = find_overcommitment(30, standing, reserves);
        const bool over = found.has_value();
        std::optional<std::size_t> wanted;
        for (std::size_t i = 0; i < reserves.size() && !wanted; ++i) {
            for (Timestamp at = reserves[i].since; at < reserves[i].until; at += 500ms) {
                double sum = 0;
                for (const auto& one : standing) sum += one.since <= at && at < one.until ? one.rate : 0;
                for (std::size_t k = 0; k <= i; ++k) {
                    sum += reserves[k].since <= at && at < reserves[k].until ? reserves[k].rate : 0;
                }
                if (sum > 30) wanted = i;
            }
        }
        ASSERT_EQ(over, wanted.has_value()) << round;
        if (over) {
            EXPECT_EQ(found->index, *wanted) << round;
        }
        rejected += over;
    }
    EXPECT_GT(rejected, 30);
    EXPECT_LT(rejected, 270);
}

TEST(Capacity, ReportsEachMistakeWithItsPosition) {
    const std::string plan = "p = plan(\"p\", rate = per_second(10), burst = 20)\n";
    const std::string fleet = "capacity(per_second(100))\n";
    const std::string window =
        "since = instant(\"2026-12-01T10:00:00Z\"), until = instant(\"2026-12-01T10:01:00Z\")";
    const std::string good = "reserve(\"a\", account = \"0000000000000007\", units = 3000, " + window + ")\n";
    struct Case {
        std::string text, said;
    };
    const std::vector<Case> cases{
        {good, "f:1:1: a reserve requires the fleet's capacity to be stated"},
        {fleet + good + good, "f:3:1: there is a reserve 'a' already"},
        {fleet + "reserve(\"a\", account = \"7\", units = 3000, " + window + ")\n",
         "f:2:24: an account is 16"},
        {fleet + "reserve(\"a\", account = \"0000000000000007\", units = per_second(3), " + window + ")\n",
         "f:2:52: 'units' wants a number, not a rate"},
        {fleet + "reserve(\"a\", account = \"0000000000000007\", units = 30, since = seconds(3), until = "
                 "instant(\"2026-12-01T10:01:00Z\"))\n",
         "'since' wants an instant"},
        {fleet + "reserve(\"a\", account = \"0000000000000007\", units = 3000, pace = per_second(49), " +
             window + ")\n",
         "at this pace the units cannot be used"},
        // A balance of 50 and a plan of 10 commit 60 of 100; then one more balance of 50.
        {plan + "account(\"0000000000000007\", plan = p)\n" + fleet + good +
             "reserve(\"b\", account = \"0000000000000008\", units = 3000, " + window + ")\n",
         "f:5:1: 110 units/s would be committed at 2026-12-01T10:00:00Z, over the capacity of 100"}};
    const auto read = [](const std::string& text) -> std::string {
        const operator_config::Result document = operator_config::read_document(text, "f");
        if (const auto* problem = std::get_if<Problem>(&document)) return problem->line();
        const auto schedule = read_plan_schedule(std::get<operator_config::Value>(document), "f", nullptr);
        const auto* problem = std::get_if<Problem>(&schedule);
        return problem ? problem->line() : "";
    };
    EXPECT_EQ(read(plan + "capacity(per_second(100), plans = percent(50))\n" + good), "");
    for (const Case& one : cases)
        EXPECT_NE(read(one.text).find(one.said), std::string::npos) << read(one.text);
}

// ---- Through request manager and decision module --------------------------------------------------------

constexpr AccountId kOwner = 0x777;

// Every other account requests seven times its quota; the owner gets the units of its plan and of the
// balance.
TEST(PrepaidBalance, IsGrantedInFullWhileOthersRequestSevenTimesTheirQuota) {
    test_support::SimulatedGatewaysSettings settings;
    settings.gateways = 4;
    settings.calls_per_s = 20;
    settings.seed = 5;
    SimulatedGateways gateways(settings);
    for (int i = 0; i < 6; ++i) gateways.add_endpoint("w" + std::to_string(i), "std", {});
    gateways.tell_list();
    auto schedule = std::make_shared<PlanSchedule>();
    policy::RatePlanSettings plan;
    plan.name = plan.tag = "small";
    plan.rate = 10;
    plan.burst = 20;
    schedule->plans = {plan};
    for (AccountId account : {kOwner, AccountId{0x801}, AccountId{0x802}, AccountId{0x803}}) {
        schedule->terms.push_back({account, 0, Timestamp{0}, kForever});
    }
    PrepaidBalance one;
    one.id = "tender";
    one.account = kOwner;
    one.units = 1200;
    one.since = gateways.now() + 30s;
    one.until = one.since + 12s;
    schedule->balances = {one};
    gateways.take_book(schedule);
    std::map<AccountId, double> before, forwarded;
    gateways.first_sent = [&](Timestamp now, AccountId account, double units) {
        (now < one.since ? before : forwarded)[account] += units;
    };
    for (AccountId account : {AccountId{0x801}, AccountId{0x802}, AccountId{0x803}}) {
        gateways.ask_much(account, 28);  // 70 units a second
    }
    gateways.load(true);
    gateways.run_for(30s);
    gateways.ask_much(kOwner, 120);  // 300 units a second
    gateways.run_for(12s);
    // The plan's burst and twelve seconds of its rate are added.
    EXPECT_GE(forwarded[kOwner], 1200);
    EXPECT_LE(forwarded[kOwner], 1200 + 20 + 12 * 10 + 40);
    for (AccountId account : {AccountId{0x801}, AccountId{0x802}, AccountId{0x803}}) {
        EXPECT_LE(forwarded[account], 12 * 10 + 40) << account;  // their quota is unchanged
        EXPECT_GE(forwarded[account], 12 * 10 * 0.7) << account;
    }
    // Usage of the balance has rows of its own and does not exceed the balance.
    double apart = 0;
    for (int i = 0; i < 4; ++i) {
        UsageLedger& ledger = gateways.accounts(i)->ledger();
        for (const auto& [key, use] : ledger.take_changes()) {
            const RowName name = decode_row_name(ledger.names()[static_cast<std::size_t>(key.name)]);
            if (name.balance == "tender") apart += units_of(use.estimated);
        }
    }
    EXPECT_LE(apart, 1200);
    EXPECT_GE(apart, 1200 - 8);
    EXPECT_EQ(gateways.tally.answered_twice, 0u);
    const double after = forwarded[kOwner];
    gateways.run_for(10s);  // the balance has ended: only the plan's quota is left
    EXPECT_LE(forwarded[kOwner] - after, 10 * 10 + 40);
}

TEST(PrepaidBalance, IsGrantedAndBilledSeparatelyByGatewayProcessesThroughAKill) {
    test_support::FakePlatformSettings settings;
    settings.program = LINNETLEAD_PROGRAM;
    settings.gateways = 3;
    settings.calls_per_s = 20;
    settings.tenants = 3;
    settings.operators = "pool(\"none\", ids = [\"none\"])\n";
    FakePlatform platform(settings);
    for (int i = 0; i < 4; ++i) platform.add_endpoint("w" + std::to_string(i), "std", {}).figures.cores = 4;
    const Timestamp since = std::chrono::ceil<std::chrono::seconds>(platform.now() + 4s);
    const auto schedule = [&](int units, Duration length) {
        return "p = plan(\"p\", rate = per_second(10), burst = 10)\naccount(\"0000000000000777\", plan = p)\n"
               "capacity(per_second(1000))\nreserve(\"tender\", account = \"0000000000000777\", units = " +
               std::to_string(units) + ", since = instant(\"" + write_instant(since) +
               "\"), until = instant(\"" + write_instant(since + length) +
               "\"))\nusage(every = ms(300), receiver = \"" + platform.receiver_address() + "\")\n";
    };
    platform.settings().operators = schedule(300, 20s);
    platform.start();
    platform.load(true);
    double forwarded = 0;
    platform.first_sent = [&](Timestamp, AccountId account, double units) {
        if (account == kOwner) forwarded += units;
    };
    platform.run_until([&] { return platform.now() >= since; }, 10s);
    platform.ask_much(kOwner, 100);
    platform.run_for(2s);
    // The balance is charged the true units of the answered requests. The clients' estimates are off by 1.6 a
    // request, by 30 over 300.
    EXPECT_GE(units_of(platform.seen[kOwner].estimated + platform.seen[kOwner].corrected), 290)
        << forwarded << " estimated";
    EXPECT_LE(forwarded, 300 + 10 + 2 * 10 + 15 + 60);
    platform.operate(schedule(600, 20s));  // extended
    platform.run_for(1s);
    platform.kill(1);
    platform.start_again(1);
    platform.run_for(4s);
    EXPECT_LE(forwarded, 600 + 10 + 8 * 10 + 15 + 100);
    EXPECT_GE(forwarded, 500);
    platform.operate(schedule(900, 5s));  // more units, but the balance has ended
    const double forwarded_before = forwarded;
    platform.run_for(3s);
    EXPECT_LE(forwarded - forwarded_before, 3 * 10 + 30);
    platform.ask_much(kOwner, 0);
    platform.load(false);
    platform.run_for(3s);
    EXPECT_EQ(platform.audit.broken(), "");
    // The receiver has the balance's usage separate from the plan's.
    const Usage use = platform.receipts.sum_of_reserve("tender");
    const double apart = units_of(use.estimated + use.corrected);
    EXPECT_LE(apart, 600 + 3 * 8);  // the last requests may have cost more than estimated
    EXPECT_GE(apart, 400);
}

}  // namespace
}  // namespace linnetlead
