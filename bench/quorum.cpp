// Benchmark of a Raft group of relays: idle traffic and CPU use of the voters, commit latency, time without a
// leader after a crash (all in virtual time, with link delays between regions), and write times of the log
// store on the local disk.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <string>
#include <vector>

#include "cluster/raft/raft_log_store.h"
#include "testing/simulated_raft.h"

namespace {

using namespace std::chrono_literals;
using namespace linnetlead;
using policy::Duration;
using policy::Timestamp;
using raft::LogIndex;
using raft::RaftLogStore;
using raft::RaftNode;
using raft::Ready;
using test_support::SimulatedRaft;

double to_ms(Duration span) { return std::chrono::duration<double, std::milli>(span).count(); }

// Link delays between seven regions, 20 to 120 ms one way.
Duration between_regions(int from, int to) {
    static constexpr int kDelaysMs[7][7] = {{1, 20, 45, 70, 95, 110, 120}, {20, 1, 30, 60, 85, 100, 110},
                                            {45, 30, 1, 40, 75, 90, 105},  {70, 60, 40, 1, 50, 65, 80},
                                            {95, 85, 75, 50, 1, 35, 55},   {110, 100, 90, 65, 35, 1, 25},
                                            {120, 110, 105, 80, 55, 25, 1}};
    return std::chrono::milliseconds(kDelaysMs[from][to]);
}

Duration heartbeat_interval = RaftNode::Settings().heartbeat_interval,
         election_timeout = RaftNode::Settings().election_timeout;
double loss_share = 0;

SimulatedRaft::Settings settings_for(int voters, std::uint64_t seed) {
    SimulatedRaft::Settings settings;
    settings.voters = voters;
    settings.seed = seed;
    settings.link_delay = between_regions;
    settings.link_jitter = 10ms;
    settings.raft.heartbeat_interval = heartbeat_interval;
    settings.raft.election_timeout = election_timeout;
    settings.loss_share = loss_share;
    return settings;
}

void print_percentiles(const char* label, std::vector<double> values, const char* unit) {
    if (values.empty()) return void(std::printf("%s: none\n", label));
    std::sort(values.begin(), values.end());
    const auto percentile = [&](double fraction) {
        return values[std::min(values.size() - 1,
                               static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
    };
    std::printf("%-44s n %5d  median %8.3f  90%% %8.3f  99%% %8.3f  max %8.3f %s\n", label,
                static_cast<int>(values.size()), percentile(0.5), percentile(0.9), percentile(0.99),
                values.back(), unit);
}

bool wait_for_leader(SimulatedRaft& cluster) {
    return cluster.run_until([&] { return cluster.leader() && cluster.node(*cluster.leader()).heartbeat(); },
                             60s);
}

// Bytes per message beside its contents: the frame header, and the IP and UDP or TCP headers (with
// timestamps) of the message and of its acknowledgement.
constexpr double kHeaderBytesPerMessage = 16 + 52 + 52;

int run_idle(int voters, Duration span) {
    SimulatedRaft cluster(settings_for(voters, 1));
    if (!wait_for_leader(cluster)) return 1;
    std::vector<SimulatedRaft::Counts> before;
    for (int i = 0; i < voters; ++i) before.push_back(cluster.counts(i));
    const std::uint64_t term = cluster.node(*cluster.leader()).term();
    const std::clock_t begin = std::clock();
    cluster.run_for(span);
    const double cpu_seconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    const double seconds = std::chrono::duration<double>(span).count();
    for (int i = 0; i < voters; ++i) {
        const double messages =
            static_cast<double>(cluster.counts(i).messages - before[i].messages) / seconds;
        const double bytes = static_cast<double>(cluster.counts(i).bytes - before[i].bytes) / seconds;
        std::printf(
            "%d voters, idle, voter %d%s: %.1f messages/s, %.0f B/s of payload, %.0f B/s with headers\n",
            voters, i, cluster.leader() == i ? " (leader)" : "", messages, bytes,
            bytes + messages * kHeaderBytesPerMessage);
    }
    std::uint64_t newest = 0;
    for (int i = 0; i < voters; ++i) newest = std::max(newest, cluster.node(i).term());
    std::printf("%d voters, idle: %d needless elections\n", voters, static_cast<int>(newest - term));
    std::printf("%d voters, idle: %.4f%% of a core per voter, including the simulation\n", voters,
                100 * cpu_seconds / seconds / voters);
    return 0;
}

int run_proposals(int voters, int seeds, std::size_t size) {
    std::vector<double> commit_ms, applied_ms;
    for (int seed = 1; seed <= seeds; ++seed) {
        SimulatedRaft cluster(settings_for(voters, static_cast<std::uint64_t>(seed)));
        if (!wait_for_leader(cluster)) return 1;
        cluster.run_for(1s);
        for (int i = 0; i < 20; ++i) {
            std::string body = "p" + std::to_string(i) + " ";
            body.resize(size, 'x');
            const Timestamp proposed_at = cluster.now();
            if (cluster.propose(*cluster.leader(), body) == 0) return 1;
            if (!cluster.run_until([&] { return cluster.committed_at(body).has_value(); }, 10s)) return 1;
            commit_ms.push_back(to_ms(*cluster.committed_at(body) - proposed_at));
            if (!cluster.run_until([&] { return cluster.is_applied_by_all(body); }, 10s)) return 1;
            applied_ms.push_back(to_ms(cluster.now() - proposed_at));
            cluster.run_for(97ms);
        }
    }
    std::printf("%d voters, entries of %d bytes, time from the proposal:\n", voters, static_cast<int>(size));
    print_percentiles("  until it is committed", commit_ms, "ms");
    print_percentiles("  until all voters have applied it", applied_ms, "ms");
    return 0;
}

int run_elections(int voters, int seeds) {
    std::vector<double> new_leader_ms, first_heartbeat_ms;
    int terms = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
        SimulatedRaft cluster(settings_for(voters, static_cast<std::uint64_t>(seed)));
        if (!wait_for_leader(cluster)) return 1;
        cluster.run_for(2s + std::chrono::milliseconds(seed * 7 % 150));
        const int first = *cluster.leader();
        const std::uint64_t term = cluster.node(first).term();
        const Timestamp crashed_at = cluster.now();
        cluster.crash(first);
        if (!cluster.run_until([&] { return cluster.leader().has_value(); }, 60s)) return 1;
        new_leader_ms.push_back(to_ms(cluster.now() - crashed_at));
        if (!wait_for_leader(cluster)) return 1;
        first_heartbeat_ms.push_back(to_ms(cluster.now() - crashed_at));
        terms += static_cast<int>(cluster.node(*cluster.leader()).term() - term);
    }
    std::printf("%d voters, time from the leader's crash (%.2f terms each):\n", voters,
                static_cast<double>(terms) / seeds);
    print_percentiles("  until another voter leads", new_leader_ms, "ms");
    print_percentiles("  until its first heartbeat", first_heartbeat_ms, "ms");
    return 0;
}

int run_disk(int appends) {
    std::string name = (std::filesystem::temp_directory_path() / "bench-quorum-XXXXXX").string();
    if (!::mkdtemp(name.data())) return 1;
    const auto opened = RaftLogStore::open({name});
    RaftLogStore* const store = opened ? opened->store.get() : nullptr;
    LogIndex next = 1;
    std::vector<double> write_ms;
    const auto write = [&](const Ready& ready) {
        const auto begin = std::chrono::steady_clock::now();
        const bool is_written = store->write(ready).has_value();
        write_ms.push_back(to_ms(std::chrono::steady_clock::now() - begin));
        return is_written;
    };
    int result = store ? 0 : 1;
    for (const std::size_t size : {std::size_t{200}, std::size_t{4096}, std::size_t{262144}}) {
        write_ms.clear();
        for (int i = 0; i < appends && result == 0; ++i) {
            Ready ready;
            ready.append.push_back({next++, 1, std::string(size, 'x')});
            if (!write(ready)) result = 1;
            if (next % 100 == 0) {  // keeps the log small
                ready = {};
                ready.compact = raft::LogSnapshot{next - 1, 1, "state"};
                if (!store->write(ready)) result = 1;
            }
        }
        print_percentiles(("disk, append of " + std::to_string(size) + " bytes").c_str(), write_ms, "ms");
    }
    // A snapshot as large as the state at the target scale; zstd compresses the text to about a fifth.
    std::string state;
    for (std::uint64_t i = 0; state.size() < 64U * 1024 * 1024; ++i)
        state += "tenant/" + std::to_string(i * 2654435761U) +
                 " {\"plan\":\"standard\",\"rate\":" + std::to_string(i % 977) + "}\n";
    write_ms.clear();
    for (int i = 0; i < 5 && result == 0; ++i) {
        Ready ready;
        ready.append.push_back({next++, 1, "x"});
        if (!store->write(ready)) result = 1;
        ready = {};
        ready.compact = raft::LogSnapshot{next - 1, 1, state};
        if (!write(ready)) result = 1;
    }
    print_percentiles("disk, snapshot of 64 MiB", write_ms, "ms");
    std::filesystem::remove_all(name);
    return result;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"Benchmark of a Raft group of relays"};
    int voters = 5, seeds = 200, appends = 500;
    std::size_t size = 300;
    std::string part = "all";
    app.add_option("what", part, "quiet, proposals, elections, disk or all");
    app.add_option("--voters", voters)->check(CLI::IsMember({3, 5, 7}));
    app.add_option("--seeds", seeds)->check(CLI::Range(1, 100000));
    app.add_option("--size", size, "size of a proposal in bytes")->check(CLI::Range(8, 1000000));
    app.add_option("--appends", appends)->check(CLI::Range(1, 100000));
    int heartbeat_ms = static_cast<int>(to_ms(heartbeat_interval)),
        election_ms = static_cast<int>(to_ms(election_timeout));
    app.add_option("--heartbeat", heartbeat_ms, "ms")->check(CLI::Range(1, 10000));
    app.add_option("--election", election_ms, "ms")->check(CLI::Range(10, 100000));
    app.add_option("--lost", loss_share, "share of lost messages, 0 to 1")->check(CLI::Range(0.0, 1.0));
    CLI11_PARSE(app, argc, argv);
    heartbeat_interval = std::chrono::milliseconds(heartbeat_ms);
    election_timeout = std::chrono::milliseconds(election_ms);
    const bool all = part == "all";
    int result = 0;
    if (all || part == "quiet") result |= run_idle(voters, 600s);
    if (all || part == "proposals") result |= run_proposals(voters, std::min(seeds, 20), size);
    if (all || part == "elections") result |= run_elections(voters, seeds);
    if (all || part == "disk") result |= run_disk(appends);
    return result;
}
