// Plans in service, without sockets: the book, changes of plan in the module at four gateways, the ledger,
// the lease, the store and its batches under every failure of disk that can be made here.
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
std::shared_ptr<const PlanSchedule> book_of(const std::string& text) {
    auto got = read_text(text);
    EXPECT_TRUE(std::holds_alternative<std::shared_ptr<const PlanSchedule>>(got))
        << std::get<Problem>(got).line();
    return std::get<std::shared_ptr<const PlanSchedule>>(got);
}

const std::string kTwoPlans =
    "small = plan(\"small\", rate = per_second(10), burst = 20)\n"
    "large = plan(\"large\", rate = per_second(40), burst = 80, open = 7)\n";

// ---- The book -------------------------------------------------------------------------------------------

TEST(PlanSchedule, AnAccountIsOnThePlanOfItsInstant) {
    const auto book = book_of(
        kTwoPlans +
        "account(\"00000000b4d65521\", plan = small)\n"
        "account(\"00000000b4d65521\", plan = large, since = instant(\"2026-12-01T10:00:00Z\"),\n"
        "        until = instant(\"2026-12-01T10:00:00Z\") + hours(1))\n"
        "account(\"00000000b4d65521\", plan = small, since = instant(\"2026-12-01T12:00:00.250Z\"))\n");
    const auto at = [&](const char* instant) { return book->plan_at(0xb4d65521, *read_instant(instant)); };
    EXPECT_EQ(at("2026-12-01T09:59:59.999Z"), 0);
    EXPECT_EQ(at("2026-12-01T10:00:00Z"), 1);
    EXPECT_EQ(at("2026-12-01T11:00:00Z"), std::nullopt);  // its calls say
    EXPECT_EQ(at("2026-12-01T12:00:00.249Z"), std::nullopt);
    EXPECT_EQ(at("2026-12-01T12:00:00.250Z"), 0);
    EXPECT_EQ(book->plan_at(1, 1h), std::nullopt);
    EXPECT_EQ(book->plans[1].max_concurrent, 7);
    EXPECT_NE(book->plans[0].tag, book->plans[1].tag);
}

TEST(PlanSchedule, EveryMistakeIsToldAtItsPlace) {
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
              "f:4:62: 'until' must lie behind 'since'"},
             {"account(\"0000000000000001\", plan = small)\naccount(\"0000000000000001\", plan = large)\n",
              "f:4:1: the account 0000000000000001 has another plan at that instant"},
             {"accounts(\"/nowhere/at/all\")\n", "f:3:1: the file '/nowhere/at/all' cannot be read"},
             // A folder can be opened; reading it fails.
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

// What was sent on beyond what the plans in force have granted, at worst over any window: a store that is
// never filled above its plan's burst and may go below nothing.
struct Excess {
    double store = 0, worst = 0;
    proxy::Timestamp at{};
    void sent(proxy::Timestamp now, double rate, double burst, double units) {
        if (at > proxy::Timestamp{0}) store = std::min(burst, store + rate * test_support::seconds(now - at));
        if (at == proxy::Timestamp{0}) store = burst;
        at = now;
        store = std::min(store, burst) - units;
        worst = std::max(worst, -store);
    }
};

constexpr AccountId kBusy = 0x77;

struct Changing {
    explicit Changing(std::uint64_t seed)
        : world([&] {
              test_support::SimulatedGatewaysSettings settings;
              settings.seed = seed;
              settings.gateways = 4;
              settings.calls_per_s = 20;
              settings.max_skew = 100ms;
              return settings;
          }()) {
        for (int i = 0; i < 6; ++i) world.add_endpoint("w" + std::to_string(i), "std", {});
        world.tell_list();
        world.first_sent = [this](proxy::Timestamp now, AccountId account, double units) {
            if (account != kBusy) return;
            // A gateway's clock may be before or behind: the plan that grants more counts until all are over.
            const auto early = book->plan_at(kBusy, now - 60ms), late = book->plan_at(kBusy, now + 60ms);
            const auto& a = book->plans[static_cast<std::size_t>(*early)];
            const auto& b = book->plans[static_cast<std::size_t>(*late)];
            excess.sent(now, std::max(a.rate, b.rate), std::max(a.burst, b.burst), units);
            sent += units;
        };
        change({});
        world.ask_much(kBusy, 60);  // 150 units a second, of 10 or 40
    }
    // Terms by plan and instant, from now on.
    void change(const std::vector<std::pair<int, proxy::Duration>>& later) {
        PlanSchedule made = *book_of(kTwoPlans);
        made.terms.push_back({kBusy, now_on, 0s, kForever});
        for (const auto& [plan, in] : later) {
            made.terms.back().until = world.now() + in;
            made.terms.push_back({kBusy, plan, world.now() + in, kForever});
        }
        if (!later.empty()) now_on = later.back().first;
        book = std::make_shared<PlanSchedule>(made);
        world.take_book(book);
    }
    int now_on = 0;
    std::shared_ptr<const PlanSchedule> book;
    Excess excess;
    double sent = 0;
    SimulatedGateways world;
};

// The bound stated in docs/design/plans.md: one interval's refill of the larger plan, and a call for each
// gateway.
constexpr double kStated = 40 * 2 + 4 * 4;

TEST(PlanChange, NeverGrantsTheOldAndTheNewAllowanceTogether) {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        Changing scene(seed);
        scene.world.run_for(10s);
        scene.change({{1, 1s}});
        scene.world.run_for(8s);
        scene.change({{0, 1s}});
        scene.world.run_for(8s);
        scene.change({{1, 1s}, {0, 1500ms}});  // taken back within a second
        scene.world.run_for(6s);
        for (int i = 0; i < 6; ++i) {  // five changes and more in a minute
            scene.change({{1 - i % 2, 500ms}});
            scene.world.run_for(2s);
        }
        EXPECT_LE(scene.excess.worst, kStated) << seed;
        scene.world.load(false);
        scene.world.run_for(6s);
        EXPECT_EQ(scene.world.tally.taken, scene.world.tally.answered);
    }
}

TEST(PlanChange, TheNewQuotaIsThereAtOnceUpAndDown) {
    Changing scene(3);
    scene.world.run_for(20s);
    const auto sent_in = [&](proxy::Duration time) {
        const double before = scene.sent;
        scene.world.run_for(time);
        return (scene.sent - before) / test_support::seconds(time);
    };
    const double small = sent_in(10s);
    scene.change({{1, 0s}});
    scene.world.run_for(3s);
    const double large = sent_in(10s);
    scene.change({{0, 0s}});
    scene.world.run_for(3s);
    const double again = sent_in(10s);
    EXPECT_NEAR(small, 10, 2.5);
    EXPECT_NEAR(large, 40, 8);
    EXPECT_NEAR(again, 10, 2.5);
}

// Many changes, some within an interval, and the counter silent across every fourth. Guards against reads of
// a count that nobody has told, and shares that add up to more than one: either shows only in some of them.
TEST(PlanChange, HoldsThroughManyChangesWithACounterThatFallsSilent) {
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        Changing scene(seed);
        std::mt19937_64 random(seed);
        std::uniform_int_distribution<int> wait(300, 6000);
        scene.world.run_for(8s);
        for (int i = 0; i < 25; ++i) {
            scene.change({{1 - i % 2, 500ms}});
            if (i % 4 == 1) scene.world.counter.mood = test_support::CounterModel::Mood::kSilent;
            scene.excess.store = std::max(scene.excess.store, 0.0);  // a window a change
            scene.world.run_for(500ms + std::chrono::milliseconds(wait(random)));
            scene.world.counter.mood = test_support::CounterModel::Mood::kWell;
        }
        EXPECT_LE(scene.excess.worst, kStated) << seed;
    }
}

// The counter silent through the instant; a gateway that starts anew across it; traffic that shifts across
// it; a gateway that gets the file late keeps to the old plan, which is not more than its slice of it.
TEST(PlanChange, HoldsThroughASilentCounterARestartAShiftAndALateFile) {
    Changing scene(5);
    scene.world.run_for(10s);
    scene.world.counter.mood = test_support::CounterModel::Mood::kSilent;
    scene.world.run_for(500ms);
    scene.change({{1, 1s}});
    scene.world.run_for(3s);
    scene.change({{0, 1s}});
    scene.world.run_for(4s);
    scene.world.counter.mood = test_support::CounterModel::Mood::kWell;
    EXPECT_LE(scene.excess.worst, kStated);
    scene.world.run_for(6s);
    scene.change({{1, 2s}});
    scene.world.run_for(1s);
    scene.world.kill(2);
    scene.world.start(2);
    scene.world.run_for(8s);
    // One that starts has a quarter of a full store: it cannot know that it is spent.
    EXPECT_LE(scene.excess.worst, kStated + 80.0 / 4);
    scene.world.weigh({1, 0, 0, 0});
    scene.change({{0, 50ms}});
    scene.world.run_for(100ms);
    scene.world.weigh({0, 0, 0, 1});
    scene.world.run_for(8s);
    EXPECT_LE(scene.excess.worst, kStated + 80.0 / 4);
}

// ---- Ledger and lease -----------------------------------------------------------------------------------

TEST(UsageLedger, CountsInThePeriodOfTheSendingAndSettlesThere) {
    UsageLedger ledger(1h, {});
    const auto plan = ledger.name_index("p");
    const UsageKey last = ledger.count(1h - 1ms, 7, plan, 2);  // outstanding over the boundary
    ledger.count(1h, 7, plan, 1.5);
    ledger.correct(last, 1);
    std::map<std::int64_t, Usage> by_period;
    for (const auto& [key, use] : ledger.take_changes()) by_period[key.period] = use;
    EXPECT_EQ(by_period[0], (Usage{1, 2000, 1000}));
    EXPECT_EQ(by_period[1], (Usage{1, 1500, 0}));
    ledger.correct(last, -0.5);  // true units that come after the period was taken out
    const auto late = ledger.take_changes();
    ASSERT_EQ(late.size(), 1u);
    EXPECT_EQ(late[0].first.period, 0);
    EXPECT_EQ(late[0].second, (Usage{0, 0, -500}));
    ledger.restore(late);
    EXPECT_EQ(ledger.take_changes().size(), 1u);
}

TEST(UsageLedger, IsBoundedAndKeepsItsSums) {
    UsageLedger ledger(1h, {10});
    for (AccountId account = 0; account < 1000; ++account)
        ledger.count(0s, account, ledger.name_index("p"), 1);
    EXPECT_LE(ledger.rows(), 11u);
    EXPECT_EQ(ledger.overflowed(), 990u);
    std::int64_t requests = 0;
    for (const auto& [key, use] : ledger.take_changes()) requests += use.requests;
    EXPECT_EQ(requests, 1000);
}

TEST(UsageLease, IsWrittenAheadAndSaysWhatWentBeyondIt) {
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

// ---- The store ------------------------------------------------------------------------------------------

struct Shelf {
    Shelf() : path(test_support::temporary_path("ledger")) {}
    ~Shelf() {
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
UsageLedger::Changes some(int from, int count, std::int64_t period = 3) {
    UsageLedger::Changes changes;
    for (int i = from; i < from + count; ++i) {
        changes.push_back({{static_cast<AccountId>(i), i % 2, period}, {1, 2000, i % 3 * 500}});
    }
    return changes;
}

// Sums by account and plan of whole batches, each number once.
std::map<std::string, std::int64_t> billed(const std::vector<Batch>& batches) {
    std::map<std::int64_t, std::string> by_number;
    for (const Batch& batch : batches) {
        const auto [at, fresh] = by_number.try_emplace(batch.number, batch.content);
        EXPECT_EQ(at->second, batch.content) << "a number with other content";
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

TEST(Store, NumbersBatchesOnceAndSendsCorrectionsInLaterOnes) {
    Shelf shelf;
    auto store = shelf.open();
    ASSERT_TRUE(store) << shelf.problem;
    EXPECT_TRUE(store->record(kNames, some(0, 10), 1h, 5000, 1000));
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
    EXPECT_EQ(billed({*first, *second, *first})["0000000000000000p"], 1750);
    EXPECT_TRUE(store->verify().empty());
    // What a crash leaves open is what was leased and not counted.
    store.reset();
    store = shelf.open();
    EXPECT_EQ(store->uncertain(), 3000);
    EXPECT_TRUE(store->close_epoch());
    store.reset();
    EXPECT_EQ(shelf.open()->uncertain(), 3000);
    EXPECT_TRUE(shelf.open()->prune(100h * 24));
}

// A ledger that the release before wrote, with what it exported and what it would have exported next: an
// update must neither bill anything twice nor lose or change anything. tests/data/usage_ledger.db was written
// by the program before the renaming of its code, and usage_ledger_batches.txt are its batches' numbers,
// checksums and lines.
TEST(Store, ALedgerOfTheReleaseBeforeIsReadAndExportedAsItWouldHave) {
    Shelf shelf;
    std::ifstream fixture(LINNETLEAD_TEST_DATA "/usage_ledger.db", std::ios::binary);
    test_support::write_file(shelf.path, std::string((std::istreambuf_iterator<char>(fixture)), {}));
    auto store = shelf.open();
    ASSERT_TRUE(store) << shelf.problem;
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

TEST(Store, RefusesAFileThatIsHeldOrAnothersOrNoLedger) {
    Shelf shelf;
    auto store = shelf.open();
    EXPECT_FALSE(shelf.open());
    EXPECT_NE(shelf.problem.find("is held by another gateway"), std::string::npos);
    store.reset();
    EXPECT_FALSE(shelf.open("n1"));
    EXPECT_NE(shelf.problem.find("belongs to the gateway 'n0'"), std::string::npos);
    Shelf other;
    test_support::write_file(other.path, std::string(5000, 'x'));
    EXPECT_FALSE(other.open());
    EXPECT_NE(other.problem.find("is damaged"), std::string::npos) << other.problem;
    Shelf nowhere;
    nowhere.path = "/nowhere/at/all";
    EXPECT_FALSE(nowhere.open());
    EXPECT_EQ(nowhere.problem.find('\n'), std::string::npos);
}

// A bit flipped or an end cut off anywhere is told, or has hit nothing that is read; sums are never silently
// other.
TEST(Store, ADamagedFileIsToldAndNeverReadAsIfItWereGood) {
    Shelf shelf;
    {
        auto store = shelf.open();
        store->record(kNames, some(0, 200), 1h, 0, 0);
        store->make_batch(5h, 4h);
        store->record(kNames, some(100, 200), 1h, 0, 0);
    }
    std::ifstream file(shelf.path, std::ios::binary);
    const std::string good((std::istreambuf_iterator<char>(file)), {});
    ASSERT_GT(good.size(), 8192u);
    const auto sums_of = [&](bool& told) {
        std::map<AccountId, std::int64_t> sums;
        auto store = shelf.open();
        told = !store;
        if (!store) return sums;
        for (const auto& row : store->rows()) sums[row.account] += row.usage.estimated + row.usage.corrected;
        return sums;
    };
    bool told = false;
    const auto expected = sums_of(told);
    ASSERT_FALSE(told);
    int damaged = 0;
    for (std::size_t at = 100; at < good.size(); at += 997) {
        for (const char* end : {"-wal", "-shm"}) unlink((shelf.path + end).c_str());
        std::string bad = good;
        bad[at] = static_cast<char>(bad[at] ^ 0x10);
        test_support::write_file(shelf.path, bad);
        const auto sums = sums_of(told);
        EXPECT_TRUE(told || sums == expected) << "at " << at;
        damaged += told;
    }
    EXPECT_GT(damaged, 10);
    for (const std::size_t size : {good.size() - 4096, good.size() / 2, std::size_t{1000}}) {
        for (const char* end : {"-wal", "-shm"}) unlink((shelf.path + end).c_str());
        test_support::write_file(shelf.path, good.substr(0, size));
        const auto sums = sums_of(told);
        EXPECT_TRUE(told || sums == expected) << "cut at " << size;
    }
}

// The disk is full: nothing of the transaction is kept, it is told, and it goes through once there is room.
TEST(Store, AFullDiskKeepsNothingOfATransactionAndIsTold) {
    Shelf shelf;
    const pid_t child = fork();
    if (child == 0) {
        signal(SIGXFSZ, SIG_IGN);
        auto store = shelf.open();
        bool good = store && store->record(kNames, some(0, 10), 1h, 0, 0);
        rlimit before{};
        getrlimit(RLIMIT_FSIZE, &before);
        const rlimit full{64 * 1024, before.rlim_max};
        setrlimit(RLIMIT_FSIZE, &full);
        const Status full_disk = store->record(kNames, some(10, 5000), 1h, 0, 0);
        good = good && !full_disk && !full_disk.error().message.empty();
        setrlimit(RLIMIT_FSIZE, &before);
        good = good && store->rows().size() == 10 && store->record(kNames, some(10, 5000), 1h, 0, 0) &&
               store->rows().size() == 5010 && store->verify().empty();
        _exit(good ? 0 : 1);
    }
    int status = 0;
    waitpid(child, &status, 0);
    EXPECT_EQ(status, 0);
    // In memory there is a bound too.
    const auto memory = LedgerStore::open({"", "n0", 1, 256 << 10});
    ASSERT_TRUE(memory) << memory.error().message;
    EXPECT_FALSE((*memory)->record(kNames, some(0, 20000), 1h, 0, 0));
    EXPECT_TRUE((*memory)->record(kNames, some(0, 100), 1h, 0, 0));
}

// Killed at any moment, the ledger holds whole flushes alone, batches keep number and content, and all that
// was kept is billed once.
TEST(Store, KilledAtAnyMomentItBillsWhatWasKeptOnce) {
    Shelf shelf;
    std::vector<Batch> seen;
    int next = 0;
    for (int round = 0; round < 25; ++round) {
        int ends[2];
        ASSERT_EQ(pipe(ends), 0);
        const pid_t child = fork();
        if (child == 0) {
            auto store = shelf.open();
            for (int i = next; store; ++i) {
                if (!store->record(kNames, some(i, 1), 1h, 0, 0)) _exit(1);
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
        auto store = shelf.open();
        ASSERT_TRUE(store) << shelf.problem;
        const auto kept = static_cast<int>(store->rows().size());
        EXPECT_GE(kept, next + acknowledged);
        EXPECT_LE(kept, next + acknowledged + 1);
        next = kept;
        for (const auto number : store->batch_numbers()) seen.push_back(*store->batch(number));
    }
    auto store = shelf.open();
    if (const auto last = store->make_batch(6h, 5h); last && *last) seen.push_back(**last);
    std::map<std::string, std::int64_t> expected;
    for (const auto& row : store->rows()) {
        char account[17];
        std::snprintf(account, sizeof(account), "%016llx", static_cast<unsigned long long>(row.account));
        expected[account + row.name] += row.usage.estimated + row.usage.corrected;
    }
    EXPECT_EQ(billed(seen), expected);
    EXPECT_TRUE(store->verify().empty());
    EXPECT_GT(next, 25);
}

}  // namespace
}  // namespace linnetlead
