// Tests of the config agreement: its parts, some by properties, and complete simulated groups in virtual time
// with a fault injected at each numbered point in turn.
#include "cluster/agreement/config_agreement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "testing/simulated_cluster.h"

namespace linnetlead {
namespace {

using namespace std::chrono_literals;
using namespace agreement;
using test_support::Fault;
using test_support::SimulatedCluster;
using test_support::SimulatedClusterSettings;

constexpr Timestamp kStart = std::chrono::hours(500000);

Record generate_record() {
    Record record;
    record.key = "k" + std::to_string(*rc::gen::inRange(0, 6));
    record.number = *rc::gen::inRange<std::uint64_t>(1, 4);
    record.origin = *rc::gen::inRange(0, 3);
    record.deleted = *rc::gen::arbitrary<bool>();
    record.value = record.deleted ? "" : std::string(*rc::gen::element("a", "b", "c"));
    return record;
}

// Merging is idempotent and commutative.
RC_GTEST_PROP(AgreementRecords, MergeConvergesInAnyOrderAndWithRepetition, ()) {
    std::vector<Record> all;
    for (int i = *rc::gen::inRange(0, 20); i > 0; --i) all.push_back(generate_record());
    ReplicatedRecords one, other;
    for (const Record& record : all) one.merge(kStart, record);
    std::vector<Record> shuffled = all;
    for (std::size_t i = shuffled.size(); i > 1; --i) {
        std::swap(shuffled[i - 1], shuffled[*rc::gen::inRange<std::size_t>(0, i)]);
    }
    for (const Record& record : shuffled) other.merge(kStart, record);
    for (const Record& record : all) other.merge(kStart, record);
    RC_ASSERT(one.hash() == other.hash());
    RC_ASSERT(one.bucket_hashes() == other.bucket_hashes());
    RC_ASSERT(one.bytes() == other.bytes());
    one.for_each([&](const Record& record) {
        const Record* same = other.find(record.key);
        RC_ASSERT(same && same->value == record.value && same->deleted == record.deleted);
    });
}

// Guards against datagrams over the size limit, and against crashes on damaged ones.
RC_GTEST_PROP(AgreementCodec, DecodesWhatItEncodesAndSurvivesDamagedDatagrams, ()) {
    Message message;
    message.kind = static_cast<MessageKind>(*rc::gen::inRange(0, 11));
    message.from = *rc::gen::inRange(0, 1000);
    message.incarnation = *rc::gen::inRange<Incarnation>(0, 4'000'000'000);
    message.sequence = *rc::gen::arbitrary<std::uint32_t>();
    message.target = *rc::gen::inRange(0, 1000);
    message.heartbeat.sent_ms = 1'800'000'000'000;
    for (int i = *rc::gen::inRange(0, 8); i > 0; --i) {
        message.heartbeat.statements.push_back(
            {i - 1,
             *rc::gen::inRange<std::int64_t>(0, 4000),
             {*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint32_t>()}});
    }
    message.heartbeat.holders.assign(*rc::gen::inRange<std::size_t>(0, 126), 'x');
    for (int i = *rc::gen::inRange(0, 5); i > 0; --i) {
        message.heartbeat.gossip.push_back(
            {i, Presence::kSuspect, *rc::gen::inRange<Incarnation>(0, 4'000'000'000)});
    }
    message.bucket_hashes.assign(ReplicatedRecords::kBuckets, *rc::gen::arbitrary<std::uint32_t>());
    for (int i = *rc::gen::inRange(0, static_cast<int>(kMaxEntries)); i > 0; --i) {
        message.entries.push_back({*rc::gen::arbitrary<std::uint32_t>(), {20261201, false, 7}});
    }
    message.chunk.key = std::string(*rc::gen::inRange<std::size_t>(1, kMaxKeyBytes + 1), 'k');
    message.chunk.number = *rc::gen::arbitrary<std::uint64_t>();
    message.chunk.digest = *rc::gen::arbitrary<std::uint64_t>();
    message.chunk.expires_ms = 1'800'000'000'000;
    message.chunk.size = kMaxValueBytes;
    message.chunk.bytes.assign(chunk_capacity(message.chunk.key), 'y');
    Record record;
    record.key = std::string(*rc::gen::inRange<std::size_t>(1, kMaxKeyBytes + 1), 'k');
    record.number = *rc::gen::arbitrary<std::uint64_t>();
    record.value.assign(*rc::gen::inRange<std::size_t>(0, 100), 'v');
    for (std::size_t size = batch_size(record); size <= kBatchCapacity; size += batch_size(record)) {
        Chunk one;
        one.key = record.key;
        one.number = record.number;
        one.expires_ms = 1'800'000'000'000;
        one.bytes = record.value;
        message.batch.push_back(std::move(one));
    }
    message.payload.assign(*rc::gen::inRange<std::size_t>(0, 230), 'z');
    std::string bytes = encode(message, *rc::gen::inRange<std::uint64_t>(0, 2));
    RC_ASSERT(!bytes.empty() && bytes.size() <= kMaxDatagramBytes);
    const auto back = decode(bytes);
    RC_ASSERT(back.has_value());
    RC_ASSERT(back->kind == message.kind && back->from == message.from);
    if (message.kind == MessageKind::kChunk) RC_ASSERT(back->chunk.bytes == message.chunk.bytes);
    if (message.kind == MessageKind::kBatch) RC_ASSERT(back->batch.size() == message.batch.size());
    if (message.kind == MessageKind::kEntries) RC_ASSERT(back->entries.size() == message.entries.size());
    if (message.kind == MessageKind::kPing)
        RC_ASSERT(back->heartbeat.gossip.size() == message.heartbeat.gossip.size());
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] ^= static_cast<char>(*rc::gen::inRange(1, 256));
    (void)decode(bytes);  // the sanitizers detect invalid reads
    (void)decode(std::string_view(bytes).substr(0, *rc::gen::inRange<std::size_t>(0, bytes.size())));
}

TEST(AgreementMembership, NewerGossipWinsAndAMemberRefutesThatItIsGone) {
    Membership::Settings settings;
    settings.gateways = 3;
    settings.incarnation = 100;
    Membership members(settings);
    members.on_direct_message(kStart, 1, Presence::kAlive, 50);
    EXPECT_EQ(members.presence(1), Presence::kAlive);
    EXPECT_TRUE(members.apply_gossip(kStart, {1, Presence::kSuspect, 50}));
    EXPECT_FALSE(members.apply_gossip(kStart, {1, Presence::kAlive, 50}))
        << "only a higher incarnation overrides a suspicion";
    EXPECT_TRUE(members.apply_gossip(kStart, {1, Presence::kAlive, 51}));
    EXPECT_FALSE(members.apply_gossip(kStart, {1, Presence::kGone, 50})) << "of an earlier incarnation";
    EXPECT_TRUE(members.apply_gossip(kStart, {1, Presence::kGone, 51}));
    EXPECT_TRUE(members.apply_gossip(kStart, {1, Presence::kJoining, 90})) << "a higher incarnation";
    EXPECT_TRUE(members.apply_gossip(kStart, {0, Presence::kGone, 100}));
    EXPECT_EQ(members.incarnation(), 101u);
    EXPECT_EQ(members.times_declared_gone(), 1u);
    EXPECT_EQ(members.presence(0), Presence::kJoining);
}

TEST(AgreementCommittee, GrantsALeaseOnlyByAMajorityWithinTheLease) {
    Committee committee(300, 2s, 350ms);
    EXPECT_EQ(committee.size(), 7);
    const ConfigFingerprint own{1, 2}, other{3, 4}, same_planned{9, 2};
    for (int seat = 0; seat < 3; ++seat) committee.record_statement(kStart, seat, {kStart, own});
    EXPECT_FALSE(committee.lease_end(kStart, own));
    committee.record_statement(kStart, 3, {kStart - 1s, same_planned});
    EXPECT_EQ(committee.lease_end(kStart, own), kStart + 1s) << "by the oldest statement of the majority";
    EXPECT_FALSE(committee.lease_end(kStart + 1s, own));
    EXPECT_FALSE(committee.record_statement(kStart, 4, {kStart + 1s, own}))
        << "ahead of the clock by more than the skew";
    EXPECT_FALSE(committee.record_statement(kStart, 0, {kStart - 1s, other}))
        << "older than the stored statement";
    committee.discard_statements_until(kStart);
    EXPECT_FALSE(committee.lease_end(kStart, own));
}

// ---- Simulated groups in virtual time -------------------------------------------------------------------

// Runs until all gateways have activated the version, hold the same records and are not fenced; false on a
// timeout.
bool all_activate(SimulatedCluster& cluster, std::uint64_t number, Duration within) {
    return cluster.run_until([&] { return cluster.settled(number); }, within);
}

// The guaranteed limit on the time for which two gateways contradict each other.
Duration max_contradiction(SimulatedCluster& cluster) { return cluster.agreement(0).longest_contradiction(); }

TEST(ConfigAgreement, AVersionProposedOnOneGatewayBecomesActiveOnAllAtTheSameTime) {
    for (const int gateways : {1, 2, 3, 5, 9}) {
        SimulatedClusterSettings settings;
        settings.gateways = gateways;
        SimulatedCluster cluster(settings);
        ASSERT_TRUE(all_activate(cluster, 0, 4s)) << gateways;
        EXPECT_TRUE(cluster.propose(0, 7, std::string(3000, 'a') + "long enough for many datagrams"));
        ASSERT_TRUE(all_activate(cluster, 7, 12s))
            << gateways << " gateways; " << cluster.with(7) << " have activated it";
        EXPECT_LE(cluster.longest_contradiction, 500ms)
            << gateways << ": a gateway may learn the activation time late";
        EXPECT_EQ(cluster.broken, "");
        EXPECT_EQ(cluster.agreement(gateways - 1).active_value("settings")->size(), 3030u);
    }
}

TEST(ConfigAgreement, ConflictingProposalsAreNotActivatedAndTheNextVersionIs) {
    SimulatedCluster cluster(SimulatedClusterSettings{});
    ASSERT_TRUE(all_activate(cluster, 0, 4s));
    cluster.propose(0, 1, "one");
    ASSERT_TRUE(all_activate(cluster, 1, 4s));
    cluster.propose(0, 2, "left");
    cluster.propose(2, 2, "right");
    cluster.run_for(6s);
    EXPECT_EQ(cluster.with(1), 3) << "the old version stays active";
    EXPECT_EQ(cluster.count(EventKind::kConflict), 3u) << "each gateway reports it once";
    cluster.propose(1, 3, "both");
    EXPECT_TRUE(all_activate(cluster, 3, 5s));
    EXPECT_EQ(cluster.broken, "");
}

TEST(ConfigAgreement, RejectsOlderVersionsAfterARestartAndRollsBackUnderANewNumber) {
    SimulatedCluster cluster(SimulatedClusterSettings{});
    ASSERT_TRUE(all_activate(cluster, 0, 4s));
    cluster.propose(0, 4, "old");
    ASSERT_TRUE(all_activate(cluster, 4, 4s));
    cluster.propose(0, 5, "new");
    ASSERT_TRUE(all_activate(cluster, 5, 4s));
    cluster.crash(1);
    cluster.run_for(500ms);
    cluster.start(1);
    cluster.run_for(1ms);
    cluster.propose(1, 4, "old");  // the version in its old file
    ASSERT_TRUE(all_activate(cluster, 5, 6s));
    const Status older = cluster.propose(1, 4, "old");
    ASSERT_FALSE(older);
    EXPECT_NE(older.error().message, "") << "the reason is stated";
    EXPECT_FALSE(cluster.propose(1, 5, "other"));
    EXPECT_TRUE(cluster.propose(1, 6, "old")) << "old content under a new number";
    EXPECT_TRUE(all_activate(cluster, 6, 5s));
    EXPECT_EQ(cluster.broken, "");
}

TEST(ConfigAgreement, WaitsForAllPresentMembersAndNamesThoseWithoutTheProposal) {
    SimulatedCluster cluster(SimulatedClusterSettings{});
    cluster.can = [](int gateway, const std::string& value) {
        return gateway != 2 || value != "broken there";
    };
    ASSERT_TRUE(all_activate(cluster, 0, 4s));
    cluster.propose(0, 1, "broken there");
    cluster.run_for(5s);
    EXPECT_EQ(cluster.with(1), 0);
    EXPECT_EQ(cluster.agreement(0).members_without_proposal(), std::vector<int>{2});
    EXPECT_EQ(cluster.agreement(2).members_without_proposal(), std::vector<int>{2});
    cluster.crash(2);  // the others stop waiting for it once it is gone
    EXPECT_TRUE(cluster.run_until([&] { return cluster.with(1) == 2; }, 8s));
    EXPECT_LE(cluster.longest_contradiction, max_contradiction(cluster));
}

TEST(ConfigAgreement, TheMinorityOfAPartitionIsFencedAndTheMajorityContinues) {
    SimulatedClusterSettings settings;
    settings.gateways = 5;
    SimulatedCluster cluster(settings);
    ASSERT_TRUE(all_activate(cluster, 0, 4s));
    cluster.propose(0, 1, "one");
    ASSERT_TRUE(all_activate(cluster, 1, 4s));
    cluster.part({0, 1});
    cluster.run_for(2100ms);
    EXPECT_TRUE(cluster.fenced(0) && cluster.fenced(1));
    EXPECT_FALSE(cluster.fenced(2) || cluster.fenced(3) || cluster.fenced(4));
    cluster.propose(3, 2, "two");
    cluster.propose(0, 3, "of the smaller side");
    EXPECT_TRUE(cluster.run_until([&] { return cluster.with(2) == 3; }, 12s));
    EXPECT_EQ(cluster.with(3), 0);
    cluster.heal();
    EXPECT_TRUE(all_activate(cluster, 3, 15s))
        << "the minority's proposal becomes active after the partition";
    EXPECT_LE(cluster.longest_contradiction, max_contradiction(cluster));
    EXPECT_EQ(cluster.broken, "");
}

TEST(ConfigAgreement, AStalledGatewayIsFencedBeforeItActsOnAnOutdatedVersion) {
    SimulatedCluster cluster(SimulatedClusterSettings{});
    ASSERT_TRUE(all_activate(cluster, 0, 4s));
    cluster.propose(0, 1, "one");
    ASSERT_TRUE(all_activate(cluster, 1, 4s));
    cluster.stall(2, 8s);
    cluster.run_for(3s);
    cluster.propose(0, 2, "two");
    EXPECT_TRUE(cluster.run_until([&] { return cluster.with(2) == 2; }, 5s));
    cluster.run_for(1s);
    EXPECT_TRUE(cluster.fenced(2)) << "by its own clock, before it receives anything";
    EXPECT_TRUE(all_activate(cluster, 2, 6s));
    EXPECT_GE(cluster.count(EventKind::kStalled), 1u);
    EXPECT_LE(cluster.longest_contradiction, 40ms);
}

TEST(ConfigAgreement, VersionsSurviveACrashOfAllAndAnOldSavedStateIsFencedUntilItHasALease) {
    SimulatedClusterSettings settings;
    settings.saves = true;
    SimulatedCluster cluster(settings);
    ASSERT_TRUE(all_activate(cluster, 0, 4s));
    cluster.propose(0, 1, "one");
    ASSERT_TRUE(all_activate(cluster, 1, 4s));
    const std::string old = cluster.saved(2);
    for (int i = 0; i < 3; ++i) cluster.crash(i);
    cluster.run_for(100ms);
    for (int i = 0; i < 3; ++i) cluster.start(i);
    EXPECT_EQ(cluster.with(1), 3);
    EXPECT_TRUE(cluster.fenced(0) && cluster.fenced(1) && cluster.fenced(2));
    ASSERT_TRUE(all_activate(cluster, 1, 4s));
    cluster.propose(0, 2, "two");
    ASSERT_TRUE(all_activate(cluster, 2, 4s));
    cluster.crash(2);
    cluster.saved(2) = old;
    cluster.part({2});
    cluster.start(2);
    cluster.run_for(3s);
    EXPECT_TRUE(cluster.fenced(2)) << "with version "
                                   << cluster.agreement(2).active_version("settings").number;
    cluster.heal();
    EXPECT_TRUE(all_activate(cluster, 2, 6s));
    ConfigAgreement damaged(ConfigAgreement::Settings{}, {});
    EXPECT_FALSE(damaged.restore(kStart, old.substr(0, old.size() / 2)));
}

TEST(ConfigAgreement, ADeletedRecordStaysDeletedAfterPartitionsShorterAndLongerThanTombstones) {
    SimulatedClusterSettings settings;
    settings.with = [](ConfigAgreement::Settings& s) { s.tombstone_lifetime = 40s; };
    SimulatedCluster cluster(settings);
    ASSERT_TRUE(all_activate(cluster, 0, 4s));
    cluster.agreement(0).put_record(cluster.time_of(0), "x/1", "a");
    cluster.agreement(0).put_record(cluster.time_of(0), "x/2", "b");
    ASSERT_TRUE(cluster.run_until([&] { return cluster.agreement(2).find_record("x/2"); }, 4s));
    cluster.run_for(1s);
    const auto is_deleted = [&](int gateway, const std::string& key) {
        const Record* record = cluster.agreement(gateway).find_record(key);
        return !record || record->deleted;
    };
    cluster.part({2});
    cluster.agreement(0).delete_record(cluster.time_of(0), "x/1");
    cluster.run_for(10s);
    EXPECT_FALSE(is_deleted(2, "x/1"));
    cluster.heal();
    cluster.run_for(4s);
    for (int i = 0; i < 3; ++i) EXPECT_TRUE(is_deleted(i, "x/1")) << i;
    cluster.part({2});
    cluster.agreement(0).delete_record(cluster.time_of(0), "x/2");
    cluster.run_for(60s);  // longer than the tombstone
    EXPECT_EQ(cluster.agreement(0).find_record("x/2"), nullptr);
    EXPECT_FALSE(is_deleted(2, "x/2"));
    cluster.heal();
    cluster.run_for(6s);
    for (int i = 0; i < 3; ++i) EXPECT_TRUE(is_deleted(i, "x/2")) << i;
    EXPECT_EQ(cluster.count(EventKind::kRecordsDiscarded), 1u);
}

TEST(ConfigAgreement, AgreesAndFencesThroughTheCounterAlone) {
    SimulatedClusterSettings settings;
    settings.gateways = 5;
    settings.transport = Transport::kCounter;
    settings.max_skew = 300ms;
    SimulatedCluster cluster(settings);
    const auto count_unfenced = [&](std::uint64_t number) {
        int in_full = 0;
        for (int i = 0; i < 5; ++i) {
            const bool has =
                cluster.runs(i) && cluster.agreement(i).active_version("settings").number == number;
            in_full += has && !cluster.fenced(i) ? 1 : 0;
        }
        return in_full;
    };
    ASSERT_TRUE(cluster.run_until([&] { return count_unfenced(0) == 5; }, 6s));
    for (int i = 0; i < 4; ++i) cluster.propose(i, 1, "one");
    cluster.run_for(5s);
    EXPECT_EQ(cluster.with(1), 0) << "one gateway does not hold it yet";
    cluster.propose(4, 1, "one");
    ASSERT_TRUE(cluster.run_until([&] { return count_unfenced(1) == 5; }, 10s));
    cluster.cut(4, 4, true);  // from the counter
    ASSERT_TRUE(cluster.run_until([&] { return count_unfenced(1) == 4; }, 6s));
    EXPECT_TRUE(cluster.fenced(4));
    for (int i = 0; i < 4; ++i) cluster.propose(i, 2, "two");
    ASSERT_TRUE(cluster.run_until([&] { return count_unfenced(2) == 4; }, 10s));
    cluster.propose(4, 2, "two");
    cluster.cut(4, 4, false);
    EXPECT_TRUE(cluster.run_until([&] { return count_unfenced(2) == 5; }, 8s))
        << "the gateway that was cut off activates it too";
    EXPECT_LE(cluster.longest_contradiction, max_contradiction(cluster));
    cluster.counter.mood = test_support::CounterModel::Mood::kSilent;
    ASSERT_TRUE(cluster.run_until([&] { return count_unfenced(2) == 0; }, 6s))
        << "without answers of the counter all are fenced";
}

// ---- A fault at each numbered point in turn -------------------------------------------------------------

// Proposes a version, then another on a second gateway, and puts and deletes a record, while `prepare` may
// inject a fault. Returns the broken rule; empty if there is none.
std::string run_scenario(const std::function<void(SimulatedCluster&)>& prepare,
                         const std::function<void(SimulatedClusterSettings&)>& with = {}) {
    SimulatedClusterSettings settings;
    settings.saves = true;
    settings.lost = 0.02;
    if (with) with(settings);
    SimulatedCluster cluster(settings);
    cluster.run_until([&] { return cluster.settled(0); }, 3s);
    prepare(cluster);
    cluster.propose(0, 1, "the first");
    cluster.run_for(200ms);
    if (cluster.runs(1)) cluster.agreement(1).put_record(cluster.time_of(1), "x/1", "a");
    cluster.run_for(600ms);
    if (cluster.runs(2)) cluster.propose(2, 2, "the second");
    if (cluster.runs(1)) cluster.agreement(1).delete_record(cluster.time_of(1), "x/1");
    cluster.run_for(1200ms);
    cluster.inject({});
    cluster.run_for(4500ms);  // longer than any fault lasts
    const std::uint64_t newest = cluster.with(2) > 0 ? 2 : cluster.with(1) > 0 ? 1 : 0;
    if (!cluster.run_until([&] { return cluster.settled(newest); }, 10s))
        return "no agreement after the fault";
    for (int i = 0; i < 3; ++i) {
        const Record* record = cluster.agreement(i).find_record("x/1");
        if (record && !record->deleted) {
            const Record* at_origin = cluster.agreement(1).find_record("x/1");
            if (at_origin && at_origin->deleted) return "a deleted record is back";
        }
    }
    if (cluster.longest_contradiction > max_contradiction(cluster)) {
        return "two gateways contradicted each other for " +
               std::to_string(test_support::seconds(cluster.longest_contradiction)) + " s";
    }
    return cluster.broken;
}

TEST(AgreementFaults, NoFaultAtAnyPointBreaksTheGuarantees) {
    const std::vector<Fault> faults(std::begin(test_support::kAllFaults), std::end(test_support::kAllFaults));
    const auto all = test_support::at_each_point(
        [](const std::function<void(SimulatedCluster&)>& prepare) { return run_scenario(prepare); }, faults);
    EXPECT_GT(all.points, 100u);
    for (const std::string& failure : all.failures) ADD_FAILURE() << failure;
    std::printf("%llu points, %llu runs\n", static_cast<unsigned long long>(all.points),
                static_cast<unsigned long long>(all.runs));
}

// Each of the following tests disables a safeguard and expects the failure that the safeguard prevents.
TEST(AgreementFaults, WithoutFencingAPartitionedGatewayActsOnAnOutdatedVersion) {
    SimulatedClusterSettings settings;
    settings.with = [](ConfigAgreement::Settings& s) { s.test_seams.never_fenced = true; };
    SimulatedCluster cluster(settings);
    cluster.run_for(3s);
    cluster.propose(0, 1, "one");
    cluster.run_for(3s);
    cluster.part({2});
    cluster.propose(0, 2, "two");
    cluster.run_for(12s);
    EXPECT_GT(cluster.longest_contradiction, max_contradiction(cluster));
}

TEST(AgreementFaults, WithoutTombstonesADeletedRecordComesBack) {
    SimulatedClusterSettings settings;
    settings.with = [](ConfigAgreement::Settings& s) { s.test_seams.without_tombstones = true; };
    SimulatedCluster cluster(settings);
    cluster.run_for(3s);
    cluster.agreement(0).put_record(cluster.time_of(0), "x/1", "a");
    cluster.run_for(2s);
    cluster.agreement(0).delete_record(cluster.time_of(0), "x/1");
    cluster.run_for(3s);
    EXPECT_NE(cluster.agreement(0).find_record("x/1"), nullptr);
}

}  // namespace
}  // namespace linnetlead
