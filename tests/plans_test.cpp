// Rate plans without sockets: the plan schedule, plan changes at four simulated gateways, the usage ledger,
// the usage lease, and the ledger store with its batches under disk failures.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

#include "metering/ledger_store.h"
#include "metering/plan_accounts.h"
#include "metering/plan_schedule_reader.h"
#include "metering/usage_settings.h"
#include "storage/checksummed_file.h"
#include "testing/simulated_gateways.h"
#include "testing/socket_peer.h"

namespace linnetlead {
namespace {

using namespace std::chrono_literals;
using namespace metering;
using nlohmann::json;
using operator_config::Problem;
using test_support::SimulatedGateways;

std::variant<std::shared_ptr<const PlanSchedule>, Problem> read_text(const std::string& text,
                                                                     const std::string& file = "f") {
    const operator_config::Result document = operator_config::read_document(text, file);
    if (const auto* problem = std::get_if<Problem>(&document)) return *problem;
    return read_plan_schedule(std::get<operator_config::Value>(document), file, nullptr);
}
std::shared_ptr<const PlanSchedule> schedule_of(const std::string& text) {
    auto got = read_text(text);
    EXPECT_TRUE(std::holds_alternative<std::shared_ptr<const PlanSchedule>>(got))
        << std::get<Problem>(got).line();
    return std::get<std::shared_ptr<const PlanSchedule>>(got);
}

const std::string kTwoPlans =
    "small = plan(\"small\", rate = per_second(10), burst = 20)\n"
    "large = plan(\"large\", rate = per_second(40), burst = 80, open = 7)\n";

// ---- The plan schedule ----------------------------------------------------------------------------------

TEST(PlanSchedule, PutsAnAccountOnThePlanOfTheInstant) {
    const auto schedule = schedule_of(
        kTwoPlans +
        "account(\"00000000b4d65521\", plan = small)\n"
        "account(\"00000000b4d65521\", plan = large, since = instant(\"2026-12-01T10:00:00Z\"),\n"
        "        until = instant(\"2026-12-01T10:00:00Z\") + hours(1))\n"
        "account(\"00000000b4d65521\", plan = small, since = instant(\"2026-12-01T12:00:00.250Z\"))\n");
    const auto at = [&](const char* instant) {
        return schedule->plan_at(0xb4d65521, *read_instant(instant));
    };
    EXPECT_EQ(at("2026-12-01T09:59:59.999Z"), 0);
    EXPECT_EQ(at("2026-12-01T10:00:00Z"), 1);
    EXPECT_EQ(at("2026-12-01T11:00:00Z"), std::nullopt);  // the plan that its requests name
    EXPECT_EQ(at("2026-12-01T12:00:00.249Z"), std::nullopt);
    EXPECT_EQ(at("2026-12-01T12:00:00.250Z"), 0);
    EXPECT_EQ(schedule->plan_at(1, 1h), std::nullopt);
    EXPECT_EQ(schedule->plans[1].max_concurrent, 7);
    EXPECT_NE(schedule->plans[0].tag, schedule->plans[1].tag);
}

TEST(PlanSchedule, ReportsEachMistakeWithItsPosition) {
    const std::string list = test_support::temporary_path("csv");
    struct Mistake {
        const char *text, *line;
    };
    for (const Mistake& one : std::vector<Mistake>{
             {"account(\"00000000b4d65521\", plan = \"huge\")\n", "f:3:36: there is no plan 'huge'"},
             {"account(\"b4d65521\", plan = small)\n",
              "f:3:9: an account is 16 hex digits below 2^33, not 'b4d65521'"},
             {"account(\"0000000200000000\", plan = small)\n",
              "f:3:9: an account is 16 hex digits below 2^33, not '0000000200000000'"},
             {"plan(\"p\", rate = seconds(3), burst = 1)\n",
              "f:3:18: 'rate' wants a rate, as in per_second(20), not a time"},
             {"plan(\"p\", rate = 3, burst = 1)\n",
              "f:3:18: 'rate' wants a rate, as in per_second(20), not a number"},
             {"plan(\"small\", rate = per_second(3), burst = 1)\n", "f:3:1: there is a plan 'small' already"},
             {"account(\"0000000000000001\", plan = small, since = instant(\"2026-02-30T00:00:00Z\"))\n",
              "f:3:59: an instant is written \"2026-12-01T10:00:00Z\""},
             {"account(\"0000000000000001\", plan = small, since = seconds(3))\n",
              "f:3:51: 'since' wants an instant, as in instant(\"2026-12-01T10:00:00Z\"), not a time"},
             {"a = instant(\"2026-12-01T10:00:00Z\")\naccount(\"0000000000000001\", plan = small, since = a, "
              "until = a)\n",
              "f:4:62: 'until' must be later than 'since'"},
             {"account(\"0000000000000001\", plan = small)\naccount(\"0000000000000001\", plan = large)\n",
              "f:4:1: the account 0000000000000001 has another plan at that instant"},
             {"accounts(\"/nowhere/at/all\")\n", "f:3:1: the file '/nowhere/at/all' cannot be read"},
             // A directory can be opened, but reading it fails.
             {"accounts(\"/\")\n", "f:3:1: the file '/' cannot be read to its end"},
         }) {
        const auto got = read_text(kTwoPlans + one.text);
        ASSERT_TRUE(std::holds_alternative<Problem>(got)) << one.text;
        EXPECT_EQ(std::get<Problem>(got).line(), one.line);
    }
    for (const auto& [lines, line] : std::map<std::string, std::string>{
             {"0000000000000001,small\n0000000000000002\n", ":2:1: a line is ACCOUNT,PLAN[,SINCE[,UNTIL]]"},
             {"# x\n\n0000000000000001,huge\n", ":3:18: there is no plan 'huge'"},
             {"0000000000000001,small,10s\n", ":1:24: an instant is written 2026-12-01T10:00:00Z"},
             {"0000000000000001,small\n0000000000000001,small\n",
              ":2:1: the account 0000000000000001 has another plan at that instant"}}) {
        test_support::write_file(list, lines);
        const auto got = read_text(kTwoPlans + "accounts(\"" + list + "\")\n");
        ASSERT_TRUE(std::holds_alternative<Problem>(got)) << lines;
        EXPECT_EQ(std::get<Problem>(got).line(), list + line);
    }
    unlink(list.c_str());
}

// ---- Changes of plan at four gateways -------------------------------------------------------------------

// Measures by how much the forwarded units exceed what the active plans grant, at worst over any window. It
// is a token bucket that is capped at its plan's burst and may become negative.
struct Excess {
    double tokens = 0, worst = 0;
    proxy::Timestamp at{};
    void record_forwarded(proxy::Timestamp now, double rate, double burst, double units) {
        if (at > proxy::Timestamp{0})
            tokens = std::min(burst, tokens + rate * test_support::seconds(now - at));
        if (at == proxy::Timestamp{0}) tokens = burst;
        at = now;
        tokens = std::min(tokens, burst) - units;
        worst = std::max(worst, -tokens);
    }
};

constexpr AccountId kBusy = 0x77;

struct PlanChangeFixture {
    explicit PlanChangeFixture(std::uint64_t seed)
        : gateways([&] {
              test_support::SimulatedGatewaysSettings settings;
              settings.seed = seed;
              settings.gateways = 4;
              settings.calls_per_s = 20;
              settings.max_skew = 100ms;
              return settings;
          }()) {
        for (int i = 0; i < 6; ++i) gateways.add_endpoint("w" + std::to_string(i), "std", {});
        gateways.tell_list();
        gateways.first_sent = [this](proxy::Timestamp now, AccountId account, double units) {
            if (account != kBusy) return;
            // Gateways' clocks differ: near a change the larger of the two plans applies.
            const auto early = schedule->plan_at(kBusy, now - 60ms),
                       late = schedule->plan_at(kBusy, now + 60ms);
            const auto& a = schedule->plans[static_cast<std::size_t>(*early)];
            const auto& b = schedule->plans[static_cast<std::size_t>(*late)];
            excess.record_forwarded(now, std::max(a.rate, b.rate), std::max(a.burst, b.burst), units);
            forwarded_units += units;
        };
        change({});
        gateways.ask_much(kBusy, 60);  // 150 units a second; the plans grant 10 or 40
    }
    // Puts the account on each plan of `later` after the time beside it.
    void change(const std::vector<std::pair<int, proxy::Duration>>& later) {
        PlanSchedule updated = *schedule_of(kTwoPlans);
        updated.terms.push_back({kBusy, current_plan, 0s, kForever});
        for (const auto& [plan, in] : later) {
            updated.terms.back().until = gateways.now() + in;
            updated.terms.push_back({kBusy, plan, gateways.now() + in, kForever});
        }
        if (!later.empty()) current_plan = later.back().first;
        schedule = std::make_shared<PlanSchedule>(updated);
        gateways.take_book(schedule);
    }
    int current_plan = 0;
    std::shared_ptr<const PlanSchedule> schedule;
    Excess excess;
    double forwarded_units = 0;
    SimulatedGateways gateways;
};

// The bound stated in docs/design/plans.md: one interval's refill of the larger plan, and one request for
// each gateway.
constexpr double kMaxExcessUnits = 40 * 2 + 4 * 4;

TEST(PlanChange, NeverGrantsTheOldAndTheNewAllowanceTogether) {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        PlanChangeFixture fixture(seed);
        fixture.gateways.run_for(10s);
        fixture.change({{1, 1s}});
        fixture.gateways.run_for(8s);
        fixture.change({{0, 1s}});
        fixture.gateways.run_for(8s);
        fixture.change({{1, 1s}, {0, 1500ms}});  // reverted within a second
        fixture.gateways.run_for(6s);
        for (int i = 0; i < 6; ++i) {  // more than five changes in a minute
            fixture.change({{1 - i % 2, 500ms}});
            fixture.gateways.run_for(2s);
        }
        EXPECT_LE(fixture.excess.worst, kMaxExcessUnits) << seed;
        fixture.gateways.load(false);
        fixture.gateways.run_for(6s);
        EXPECT_EQ(fixture.gateways.tally.taken, fixture.gateways.tally.answered);
    }
}

TEST(PlanChange, AppliesAHigherAndALowerQuotaAtOnce) {
    PlanChangeFixture fixture(3);
    fixture.gateways.run_for(20s);
    const auto forwarded_per_s = [&](proxy::Duration time) {
        const double before = fixture.forwarded_units;
        fixture.gateways.run_for(time);
        return (fixture.forwarded_units - before) / test_support::seconds(time);
    };
    const double small = forwarded_per_s(10s);
    fixture.change({{1, 0s}});
    fixture.gateways.run_for(3s);
    const double large = forwarded_per_s(10s);
    fixture.change({{0, 0s}});
    fixture.gateways.run_for(3s);
    const double again = forwarded_per_s(10s);
    EXPECT_NEAR(small, 10, 2.5);
    EXPECT_NEAR(large, 40, 8);
    EXPECT_NEAR(again, 10, 2.5);
}

// Many changes, some within one interval, with a counter that does not reply across every fourth. Guards
// against the use of a counter total that was never received and against quota shares that add up to more
// than one; either occurs only at some of the changes.
TEST(PlanChange, KeepsTheBoundThroughManyChangesWithAnUnresponsiveCounter) {
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        PlanChangeFixture fixture(seed);
        std::mt19937_64 random(seed);
        std::uniform_int_distribution<int> wait(300, 6000);
        fixture.gateways.run_for(8s);
        for (int i = 0; i < 25; ++i) {
            fixture.change({{1 - i % 2, 500ms}});
            if (i % 4 == 1) fixture.gateways.counter.mood = test_support::CounterModel::Mood::kSilent;
            fixture.excess.tokens = std::max(fixture.excess.tokens, 0.0);  // each change starts a new window
            fixture.gateways.run_for(500ms + std::chrono::milliseconds(wait(random)));
            fixture.gateways.counter.mood = test_support::CounterModel::Mood::kWell;
        }
        EXPECT_LE(fixture.excess.worst, kMaxExcessUnits) << seed;
    }
}

// At the instant of a change the counter does not reply, a gateway restarts, or the traffic moves to other
// gateways. A gateway that gets the new file late stays on the old plan and grants at most its share of it.
TEST(PlanChange, KeepsTheBoundThroughAnUnresponsiveCounterARestartAndATrafficShift) {
    PlanChangeFixture fixture(5);
    fixture.gateways.run_for(10s);
    fixture.gateways.counter.mood = test_support::CounterModel::Mood::kSilent;
    fixture.gateways.run_for(500ms);
    fixture.change({{1, 1s}});
    fixture.gateways.run_for(3s);
    fixture.change({{0, 1s}});
    fixture.gateways.run_for(4s);
    fixture.gateways.counter.mood = test_support::CounterModel::Mood::kWell;
    EXPECT_LE(fixture.excess.worst, kMaxExcessUnits);
    fixture.gateways.run_for(6s);
    fixture.change({{1, 2s}});
    fixture.gateways.run_for(1s);
    fixture.gateways.kill(2);
    fixture.gateways.start(2);
    fixture.gateways.run_for(8s);
    // A gateway starts with a quarter of a full bucket, since it cannot know that the bucket is empty.
    EXPECT_LE(fixture.excess.worst, kMaxExcessUnits + 80.0 / 4);
    fixture.gateways.weigh({1, 0, 0, 0});
    fixture.change({{0, 50ms}});
    fixture.gateways.run_for(100ms);
    fixture.gateways.weigh({0, 0, 0, 1});
    fixture.gateways.run_for(8s);
    EXPECT_LE(fixture.excess.worst, kMaxExcessUnits + 80.0 / 4);
}

// ---- Ledger and lease -----------------------------------------------------------------------------------

TEST(UsageLedger, CountsAndCorrectsInThePeriodOfTheForwarding) {
    UsageLedger ledger(1h, {});
    const auto plan = ledger.name_index("p");
    const UsageKey last = ledger.count(1h - 1ms, 7, plan, 2);  // still outstanding when the period ends
    ledger.count(1h, 7, plan, 1.5);
    ledger.correct(last, 1);
    std::map<std::int64_t, Usage> by_period;
    for (const auto& [key, use] : ledger.take_changes()) by_period[key.period] = use;
    EXPECT_EQ(by_period[0], (Usage{1, 2000, 1000}));
    EXPECT_EQ(by_period[1], (Usage{1, 1500, 0}));
    ledger.correct(last, -0.5);  // true units that arrive after the changes were taken out
    const auto late = ledger.take_changes();
    ASSERT_EQ(late.size(), 1u);
    EXPECT_EQ(late[0].first.period, 0);
    EXPECT_EQ(late[0].second, (Usage{0, 0, -500}));
    ledger.restore(late);
    EXPECT_EQ(ledger.take_changes().size(), 1u);
}

TEST(UsageLedger, BoundsItsRowsAndKeepsItsSums) {
    UsageLedger ledger(1h, {10});
    for (AccountId account = 0; account < 1000; ++account)
        ledger.count(0s, account, ledger.name_index("p"), 1);
    EXPECT_LE(ledger.rows(), 11u);
    EXPECT_EQ(ledger.overflowed(), 990u);
    std::int64_t requests = 0;
    for (const auto& [key, use] : ledger.take_changes()) requests += use.requests;
    EXPECT_EQ(requests, 1000);
}

TEST(UsageLease, WritesLimitsAheadAndReportsUnitsBeyondThem) {
    UsageLease lease(10);
    EXPECT_EQ(lease.next_limit(), 10000);
    lease.on_written(10000);
    EXPECT_EQ(lease.next_limit(), std::nullopt);
    lease.count(4);
    EXPECT_EQ(lease.next_limit(), std::nullopt);
    lease.count(2);
    EXPECT_EQ(lease.next_limit(), 16000);
    lease.count(5);
    EXPECT_EQ(lease.beyond_limit(), 1000);
    lease.on_written(21000);
    EXPECT_EQ(lease.beyond_limit(), 0);
    EXPECT_EQ(UsageLease(0).next_limit(), std::nullopt);
}

// ---- The ledger store -----------------------------------------------------------------------------------

struct LedgerFile {
    LedgerFile() : path(test_support::temporary_path("ledger")) {}
    ~LedgerFile() {
        for (const char* end : {"", "-wal", "-shm", ".lock"}) unlink((path + end).c_str());
    }
    std::unique_ptr<LedgerStore> open(const std::string& gateway = "n0") {
        auto store = LedgerStore::open({path, gateway, 1, 1 << 20});
        problem = store ? "" : store.error().message;
        return store ? std::move(*store) : nullptr;
    }
    std::string path, problem;
};

const std::vector<std::string> kNames{"p", "q"};
UsageLedger::Changes changes_of_accounts(int from, int count, std::int64_t period = 3) {
    UsageLedger::Changes changes;
    for (int i = from; i < from + count; ++i) {
        changes.push_back({{static_cast<AccountId>(i), i % 2, period}, {1, 2000, i % 3 * 500}});
    }
    return changes;
}

// Sums by account and plan of the batches, counting each batch number once.
std::map<std::string, std::int64_t> billed_sums(const std::vector<Batch>& batches) {
    std::map<std::int64_t, std::string> by_number;
    for (const Batch& batch : batches) {
        const auto [at, fresh] = by_number.try_emplace(batch.number, batch.content);
        EXPECT_EQ(at->second, batch.content) << "two contents under one batch number";
    }
    std::map<std::string, std::int64_t> sums;
    for (const auto& [number, content] : by_number) {
        const std::string text = *storage::decompress(content);
        std::size_t at = text.find('\n') + 1;
        for (; at < text.size(); at = text.find('\n', at) + 1) {
            const json line = json::parse(text.substr(at, text.find('\n', at) - at));
            sums[line["account"].get<std::string>() + line["plan"].get<std::string>()] +=
                line["milliunits"].get<std::int64_t>();
        }
    }
    return sums;
}

TEST(LedgerStore, NumbersEachBatchOnceAndExportsCorrectionsInLaterOnes) {
    LedgerFile ledger_file;
    auto store = ledger_file.open();
    ASSERT_TRUE(store) << ledger_file.problem;
    EXPECT_TRUE(store->record(kNames, changes_of_accounts(0, 10), 1h, 5000, 1000));
    const auto first = *store->make_batch(5h, 4h);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->number, 1);
    EXPECT_EQ(*store->make_batch(5h, 4h), std::nullopt);  // nothing new
    EXPECT_TRUE(store->record(kNames, {{{0, 0, 3}, {0, 0, -250}}}, 1h, 0, 2000));
    const auto second = *store->make_batch(6h, 5h);
    ASSERT_TRUE(second);
    EXPECT_NE(storage::decompress(second->content)->find("\"kind\":\"correction\""), std::string::npos);
    EXPECT_EQ(store->first_without_receipt()->number, 1);
    EXPECT_TRUE(store->record_receipt(1, 6h));
    EXPECT_EQ(store->first_without_receipt()->number, 2);
    EXPECT_EQ(store->first_without_receipt()->content, second->content);
    EXPECT_EQ(billed_sums({*first, *second, *first})["0000000000000000p"], 1750);
    EXPECT_TRUE(store->verify().empty());
    // A crash leaves as uncertain what was leased and not counted.
    store.reset();
    store = ledger_file.open();
    EXPECT_EQ(store->uncertain(), 3000);
    EXPECT_TRUE(store->close_epoch());
    store.reset();
    EXPECT_EQ(ledger_file.open()->uncertain(), 3000);
    EXPECT_TRUE(ledger_file.open()->prune(100h * 24));
}

// An update must not bill anything twice, lose usage or change it. tests/data/usage_ledger.db was written by
// the previous release, before its code was renamed; usage_ledger_batches.txt has the numbers, checksums and
// lines of its batches, including the one that it would have exported next.
TEST(LedgerStore, ReadsAndExportsALedgerOfThePreviousReleaseUnchanged) {
    LedgerFile ledger_file;
    std::ifstream fixture(LINNETLEAD_TEST_DATA "/usage_ledger.db", std::ios::binary);
    test_support::write_file(ledger_file.path, std::string((std::istreambuf_iterator<char>(fixture)), {}));
    auto store = ledger_file.open();
    ASSERT_TRUE(store) << ledger_file.problem;
    EXPECT_EQ(store->ledger_id(), "1919e0a6e8b3dd72");
    EXPECT_EQ(store->epoch(), 2);
    EXPECT_EQ(store->uncertain(), 1000);
    EXPECT_EQ(store->rows().size(), 5u);
    EXPECT_EQ(store->first_without_receipt()->number, 2);
    const auto next = store->make_batch(1764030000s, 1764025000s);
    ASSERT_TRUE(next && *next);
    std::string batches;
    for (const auto number : store->batch_numbers()) {
        const auto batch = store->batch(number);
        EXPECT_EQ(checksum_of(batch->content), batch->checksum);
        batches +=
            std::to_string(number) + ' ' + batch->checksum + '\n' + *storage::decompress(batch->content);
    }
    std::ifstream expected(LINNETLEAD_TEST_DATA "/usage_ledger_batches.txt", std::ios::binary);
    EXPECT_EQ(batches, std::string((std::istreambuf_iterator<char>(expected)), {}));
    EXPECT_EQ(store->verify(), std::vector<std::string>{});
}

TEST(LedgerStore, RefusesAFileThatIsLockedOrAnotherGatewaysOrNoLedger) {
    LedgerFile ledger_file;
    auto store = ledger_file.open();
    EXPECT_FALSE(ledger_file.open());
    EXPECT_NE(ledger_file.problem.find("is held by another gateway"), std::string::npos);
    store.reset();
    EXPECT_FALSE(ledger_file.open("n1"));
    EXPECT_NE(ledger_file.problem.find("belongs to the gateway 'n0'"), std::string::npos);
    LedgerFile other;
    test_support::write_file(other.path, std::string(5000, 'x'));
    EXPECT_FALSE(other.open());
    EXPECT_NE(other.problem.find("is damaged"), std::string::npos) << other.problem;
    LedgerFile nowhere;
    nowhere.path = "/nowhere/at/all";
    EXPECT_FALSE(nowhere.open());
    EXPECT_EQ(nowhere.problem.find('\n'), std::string::npos);
}

// A flipped bit or a truncated file is either reported or affects nothing that is read; sums never change
// silently.
TEST(LedgerStore, ReportsADamagedFileAndNeverReadsWrongSums) {
    LedgerFile ledger_file;
    {
        auto store = ledger_file.open();
        store->record(kNames, changes_of_accounts(0, 200), 1h, 0, 0);
        store->make_batch(5h, 4h);
        store->record(kNames, changes_of_accounts(100, 200), 1h, 0, 0);
    }
    std::ifstream file(ledger_file.path, std::ios::binary);
    const std::string good((std::istreambuf_iterator<char>(file)), {});
    ASSERT_GT(good.size(), 8192u);
    const auto sums_of = [&](bool& reported) {
        std::map<AccountId, std::int64_t> sums;
        auto store = ledger_file.open();
        reported = !store;
        if (!store) return sums;
        for (const auto& row : store->rows()) sums[row.account] += row.usage.estimated + row.usage.corrected;
        return sums;
    };
    bool reported = false;
    const auto expected = sums_of(reported);
    ASSERT_FALSE(reported);
    int damaged = 0;
    for (std::size_t at = 100; at < good.size(); at += 997) {
        for (const char* end : {"-wal", "-shm"}) unlink((ledger_file.path + end).c_str());
        std::string bad = good;
        bad[at] = static_cast<char>(bad[at] ^ 0x10);
        test_support::write_file(ledger_file.path, bad);
        const auto sums = sums_of(reported);
        EXPECT_TRUE(reported || sums == expected) << "at " << at;
        damaged += reported;
    }
    EXPECT_GT(damaged, 10);
    for (const std::size_t size : {good.size() - 4096, good.size() / 2, std::size_t{1000}}) {
        for (const char* end : {"-wal", "-shm"}) unlink((ledger_file.path + end).c_str());
        test_support::write_file(ledger_file.path, good.substr(0, size));
        const auto sums = sums_of(reported);
        EXPECT_TRUE(reported || sums == expected) << "cut at " << size;
    }
}

// On a full disk the transaction fails as a whole and is reported; it succeeds once there is space.
TEST(LedgerStore, ReportsAFullDiskAndKeepsNothingOfTheTransaction) {
    LedgerFile ledger_file;
    const pid_t child = fork();
    if (child == 0) {
        signal(SIGXFSZ, SIG_IGN);
        auto store = ledger_file.open();
        bool good = store && store->record(kNames, changes_of_accounts(0, 10), 1h, 0, 0);
        rlimit before{};
        getrlimit(RLIMIT_FSIZE, &before);
        const rlimit full{64 * 1024, before.rlim_max};
        setrlimit(RLIMIT_FSIZE, &full);
        const Status full_disk = store->record(kNames, changes_of_accounts(10, 5000), 1h, 0, 0);
        good = good && !full_disk && !full_disk.error().message.empty();
        setrlimit(RLIMIT_FSIZE, &before);
        good = good && store->rows().size() == 10 &&
               store->record(kNames, changes_of_accounts(10, 5000), 1h, 0, 0) &&
               store->rows().size() == 5010 && store->verify().empty();
        _exit(good ? 0 : 1);
    }
    int status = 0;
    waitpid(child, &status, 0);
    EXPECT_EQ(status, 0);
    // A ledger in memory is bounded too.
    const auto memory = LedgerStore::open({"", "n0", 1, 256 << 10});
    ASSERT_TRUE(memory) << memory.error().message;
    EXPECT_FALSE((*memory)->record(kNames, changes_of_accounts(0, 20000), 1h, 0, 0));
    EXPECT_TRUE((*memory)->record(kNames, changes_of_accounts(0, 100), 1h, 0, 0));
}

// When the process is killed at any moment, the ledger holds only whole flushes, batches keep their number
// and content, and all stored usage is billed once.
TEST(LedgerStore, BillsStoredUsageOnceWhenKilledAtAnyMoment) {
    LedgerFile ledger_file;
    std::vector<Batch> seen;
    int next = 0;
    for (int round = 0; round < 25; ++round) {
        int ends[2];
        ASSERT_EQ(pipe(ends), 0);
        const pid_t child = fork();
        if (child == 0) {
            auto store = ledger_file.open();
            for (int i = next; store; ++i) {
                if (!store->record(kNames, changes_of_accounts(i, 1), 1h, 0, 0)) _exit(1);
                if (write(ends[1], "k", 1) != 1) _exit(1);
                if (i % 3 == 0) store->make_batch(5h, 4h);
            }
            _exit(1);
        }
        ::close(ends[1]);
        usleep(static_cast<useconds_t>(3000 + 1371 * round));
        kill(child, SIGKILL);
        waitpid(child, nullptr, 0);
        int acknowledged = 0;
        char k = 0;
        while (read(ends[0], &k, 1) == 1) ++acknowledged;
        ::close(ends[0]);
        auto store = ledger_file.open();
        ASSERT_TRUE(store) << ledger_file.problem;
        const auto kept = static_cast<int>(store->rows().size());
        EXPECT_GE(kept, next + acknowledged);
        EXPECT_LE(kept, next + acknowledged + 1);
        next = kept;
        for (const auto number : store->batch_numbers()) seen.push_back(*store->batch(number));
    }
    auto store = ledger_file.open();
    if (const auto last = store->make_batch(6h, 5h); last && *last) seen.push_back(**last);
    std::map<std::string, std::int64_t> expected;
    for (const auto& row : store->rows()) {
        char account[17];
        std::snprintf(account, sizeof(account), "%016llx", static_cast<unsigned long long>(row.account));
        expected[account + row.name] += row.usage.estimated + row.usage.corrected;
    }
    EXPECT_EQ(billed_sums(seen), expected);
    EXPECT_TRUE(store->verify().empty());
    EXPECT_GT(next, 25);
}

}  // namespace
}  // namespace linnetlead
