// Many gateways poll a registry that admits fewer requests than they send. A model with a virtual clock runs
// the real ListPollSchedule of each gateway; further tests run the watch that sends the requests on sockets.
#include "discovery/list_poll_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <numeric>
#include <queue>
#include <random>
#include <vector>

#include "discovery/discovery_watch.h"
#include "rig.h"

namespace {

using namespace linnetlead;
using namespace std::chrono_literals;
using net::ListPollSchedule;
using proxy::Duration;
using proxy::Timestamp;

constexpr net::ListPollPace kAsked = net::DiscoveryWatch::kAsked;

double seconds(Duration span) { return std::chrono::duration<double>(span).count(); }
Duration span_of(double s) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s)); }

// The schedule used before ListPollSchedule: every failure, including a rejection, discards the version and
// leads to a request for the complete list, after pauses that any list resets. The model has to show that it
// is slow.
class FormerSchedule {
public:
    FormerSchedule(std::int64_t version, std::uint64_t seed, const net::ListPollPace& pace, int /*gateways*/)
        : pace_(pace), version_(version), random_(seed) {}
    ListPollSchedule::Kind next_kind() const {
        return version_ < 0 || doubtful_ ? ListPollSchedule::Kind::kCompleteList
                                         : ListPollSchedule::Kind::kWatch;
    }
    std::int64_t version() const { return version_; }
    Duration wait() const { return next_kind() == ListPollSchedule::Kind::kWatch ? pace_.wait : Duration{0}; }
    Duration answer_timeout() const { return wait() + pace_.answer_timeout; }
    bool record_list(std::int64_t version, bool /*full*/) {
        version_ = version;
        doubtful_ = false;
        failures_ = 0;
        return true;
    }
    Duration record_disconnect() {
        doubtful_ = true;
        const int doubled = std::min(failures_++, 4);
        const Duration pause = std::min<Duration>(pace_.max_pause, 80ms * (1 << doubled));
        return doubled == 0 ? pause
                            : span_of(seconds(pause) * std::uniform_real_distribution<>(0.5, 1)(random_));
    }
    Duration record_timeout() { return record_disconnect(); }
    Duration record_rejection(Timestamp, Duration) {
        version_ = -1;
        return record_disconnect();
    }

private:
    net::ListPollPace pace_;
    std::int64_t version_;
    bool doubtful_ = false;
    int failures_ = 0;
    std::mt19937_64 random_;
};

struct Outcome {
    double until_held = 0;     // seconds from the change until 99 % of the gateways have it
    double until_last = 0;     // seconds until all have it
    double max_rejected = 0;   // rejected requests in one second, from the second second on
    double mean_rejected = 0;  // rejected requests per second, from the fifth second on; 0: the run had ended
};

// Initial state of the simulation.
enum class InitialState {
    kStart,  // all gateways start at once with a known list; a change follows after 2 s
    kReset,  // all gateways lose their watch at once; a change follows after 2 s
};

// The registry processes requests one after another in order and rejects new ones while a second's work is
// queued. Starting a watch takes 1/rate seconds, as do changes without a wait; a complete list takes four
// times as long, a rejection 1 ms. A watch continued within 200 ms costs nothing. Abandoned requests are
// processed too.
template <typename Schedule>
class SimulatedCluster {
public:
    static constexpr double kCompleteListCost = 4, kRejectionS = 0.001, kMaxQueueTimeS = 1, kTimeLimitS = 300;

    SimulatedCluster(int gateways, double rate, InitialState initial_state, std::uint64_t seed)
        : rate_(rate), random_(seed) {
        for (int i = 0; i < gateways; ++i) {
            gateways_.emplace_back(1, random_(), kAsked, gateways);
            const double at = std::uniform_real_distribution<>(0, 0.02)(random_);
            if (initial_state == InitialState::kStart) {
                schedule_at(at, [this, i] { send_request(i); });
            } else {
                schedule_at(seconds(gateways_[i].schedule.record_disconnect()) + at,
                            [this, i] { send_request(i); });
            }
        }
    }
    Outcome run() {
        schedule_at(kChangedAt, [this] { change(); });
        const int wanted = (static_cast<int>(gateways_.size()) * 99 + 99) / 100;
        Outcome outcome{kTimeLimitS, kTimeLimitS, 0, 0};
        while (!events_.empty() && gateways_with_change_ < static_cast<int>(gateways_.size())) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at;
            if (now_ > kChangedAt + kTimeLimitS) break;
            event.action();
            if (gateways_with_change_ >= wanted)
                outcome.until_held = std::min(outcome.until_held, now_ - kChangedAt);
        }
        if (gateways_with_change_ == static_cast<int>(gateways_.size()))
            outcome.until_last = now_ - kChangedAt;
        for (std::size_t second = 1; second < rejected_.size(); ++second) {
            outcome.max_rejected = std::max<double>(outcome.max_rejected, rejected_[second]);
        }
        if (now_ >= 8) {
            rejected_.resize(static_cast<std::size_t>(now_) + 1);
            outcome.mean_rejected = std::accumulate(rejected_.begin() + 4, rejected_.end(), 0.0) / (now_ - 4);
        }
        return outcome;
    }

private:
    static constexpr double kChangedAt = 2, kNetworkDelayS = 0.002, kNeverS = -1;
    struct Gateway {
        Gateway(std::int64_t version, std::uint64_t seed, const net::ListPollPace& pace, int gateways)
            : schedule(version, seed, pace, gateways) {}
        Schedule schedule;
        std::uint64_t request = 0;     // number of the current request; events of earlier ones are ignored
        std::uint64_t waiting = 0;     // the request that waits for changes at the registry; 0: none
        double answered_at = kNeverS;  // when a watch was last answered
        bool has_change = false;
    };
    struct Event {
        double at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    void schedule_at(double at, std::function<void()> action) {
        events_.push({at, ++order_, std::move(action)});
    }

    void send_request(int i) {
        Gateway& gateway = gateways_[i];
        const std::uint64_t request = ++gateway.request;
        const ListPollSchedule::Kind kind = gateway.schedule.next_kind();
        const std::int64_t from =
            kind == ListPollSchedule::Kind::kCompleteList ? -1 : gateway.schedule.version();
        const double wait = seconds(gateway.schedule.wait());
        schedule_at(now_ + seconds(gateway.schedule.answer_timeout()), [this, i, request] {
            if (gateways_[i].request == request) retry(i, gateways_[i].schedule.record_timeout());
        });
        const bool continues_watch =
            from >= 0 && gateway.answered_at >= 0 && now_ - gateway.answered_at < 0.2;
        gateway.answered_at = kNeverS;
        if (continues_watch) return admit(i, request, from, wait);
        const double queue_time = std::max(0.0, free_at_ - now_);
        free_at_ = now_ + queue_time;
        if (queue_time >= kMaxQueueTimeS) {
            free_at_ += kRejectionS;
            rejected_.resize(std::max(rejected_.size(), static_cast<std::size_t>(now_) + 1));
            ++rejected_[static_cast<std::size_t>(now_)];
            return schedule_at(now_ + kNetworkDelayS, [this, i, request] {
                if (gateways_[i].request != request) return;
                retry(i, gateways_[i].schedule.record_rejection(Timestamp(span_of(now_)), Duration{0}));
            });
        }
        free_at_ += (from < 0 ? kCompleteListCost : 1) / rate_;
        schedule_at(free_at_, [this, i, request, from, wait] { admit(i, request, from, wait); });
    }
    void retry(int i, Duration pause) {
        gateways_[i].request++;
        schedule_at(now_ + seconds(pause), [this, i] { send_request(i); });
    }
    void admit(int i, std::uint64_t request, std::int64_t from, double wait) {
        if (from < version_ || wait == 0) return answer(i, request);
        gateways_[i].waiting = request;
        schedule_at(now_ + wait, [this, i, request] {
            if (gateways_[i].waiting == request) answer(i, request);
        });
    }
    void change() {
        ++version_;
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            if (gateways_[i].waiting != 0) answer(static_cast<int>(i), gateways_[i].waiting);
        }
    }
    void answer(int i, std::uint64_t request) {
        gateways_[i].waiting = 0;
        schedule_at(now_ + kNetworkDelayS, [this, i, request, version = version_] {
            Gateway& gateway = gateways_[i];
            if (gateway.request != request) return;
            const bool whole = gateway.schedule.next_kind() == ListPollSchedule::Kind::kCompleteList;
            ASSERT_TRUE(gateway.schedule.record_list(version, whole));
            if (!whole) gateway.answered_at = now_;
            if (!gateway.has_change && version > 1) {
                gateway.has_change = true;
                ++gateways_with_change_;
            }
            this->send_request(i);
        });
    }

    double rate_;
    std::mt19937_64 random_;
    std::vector<Gateway> gateways_;
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0;
    double now_ = 0, free_at_ = 0;
    std::int64_t version_ = 1;
    int gateways_with_change_ = 0;
    std::vector<int> rejected_;  // per second
};

// The medians of the times over the seeds, and the maximum of the rejected requests.
template <typename Schedule>
Outcome median(int gateways, double rate, InitialState initial_state) {
    constexpr int kSeeds = 5;
    std::vector<double> held, last, most, mean;
    for (int seed = 1; seed <= kSeeds; ++seed) {
        const Outcome one = SimulatedCluster<Schedule>(gateways, rate, initial_state, seed).run();
        held.push_back(one.until_held);
        last.push_back(one.until_last);
        most.push_back(one.max_rejected);
        mean.push_back(one.mean_rejected);
    }
    for (auto* values : {&held, &last, &most, &mean}) std::sort(values->begin(), values->end());
    return {held[kSeeds / 2], last[kSeeds / 2], most.back(), mean.back()};
}

class RegistryOverload : public testing::TestWithParam<InitialState> {};

TEST_P(RegistryOverload, AllGatewaysGetAChangeAboutAsSoonAsTheRegistryCanAdmitThem) {
    std::printf(
        "| gateways | admitted/s | at best | before: 99%%, rejected/s | after: 99%%, all, "
        "rejected/s, later |\n");
    for (const int gateways : {1, 30, 100, 300}) {
        for (const double rate : {2.0, 5.0, 10.0, 25.0}) {
            const Outcome before = median<FormerSchedule>(gateways, rate, GetParam());
            const Outcome after = median<ListPollSchedule>(gateways, rate, GetParam());
            // The time to start one watch for each gateway.
            const double at_best = std::max(0.0, gateways * 0.99 / rate - 2);
            std::printf("| %d | %.0f | %.1f | %.1f, %.0f | %.1f, %.1f, %.0f, %.0f |\n", gateways, rate,
                        at_best, before.until_held, before.max_rejected, after.until_held, after.until_last,
                        after.max_rejected, after.mean_rejected);
            EXPECT_LT(after.until_held, 1.15 * at_best + 2.5) << gateways << " at " << rate;
            EXPECT_LT(after.until_last, 1.15 * at_best + 4) << gateways << " at " << rate;
            EXPECT_LE(after.until_held, before.until_held + 0.1) << gateways << " at " << rate;
            // The common budget is 25 requests per second, or one per gateway every 3 s.
            EXPECT_LT(after.mean_rejected,
                      std::max(ListPollSchedule::kFleetRetriesPerS, gateways / 3.0) * 1.1)
                << gateways << " at " << rate;
            EXPECT_LT(after.max_rejected, 2 * std::max(ListPollSchedule::kFleetRetriesPerS, gateways / 3.0));
            if (gateways < 30 || rate > 10) continue;
            EXPECT_GT(before.until_held, 60)
                << "the model does not show the overload: " << gateways << " at " << rate;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Each, RegistryOverload, testing::Values(InitialState::kStart, InitialState::kReset),
                         [](const auto& one) {
                             return one.param == InitialState::kStart ? "start" : "reset";
                         });

// If a list reset the budget, alternating complete lists and rejected watches would be repeated without a
// pause.
TEST(ListPollSchedule, ListDoesNotResetTheRetryBudget) {
    for (const int gateways : {25, 50, 300}) {
        ListPollSchedule schedule(41, 7, kAsked, gateways);
        const double retry_interval_s = std::min(gateways / ListPollSchedule::kFleetRetriesPerS, 3.0);
        double now = 0;
        int rejected = 0;
        while (now < 60) {
            now += seconds(schedule.record_rejection(Timestamp(span_of(now)), Duration{0}));
            ++rejected;
            ASSERT_TRUE(schedule.record_list(42, true));
        }
        EXPECT_LE(rejected, 2 + 60 / retry_interval_s * 1.1) << gateways;
        EXPECT_GE(rejected, 60 / retry_interval_s / 1.4) << gateways;
    }
}

TEST(ListPollSchedule, PausesAfterRejectionsGrowAndVary) {
    for (const int gateways : {1, 10, 30, 100, 300}) {
        std::vector<double> firsts;
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            ListPollSchedule schedule(41, seed, kAsked, gateways);
            double now = 0, longest = 0;
            for (int i = 0; i < 12; ++i) {
                const double pause = seconds(schedule.record_rejection(Timestamp(span_of(now)), Duration{0}));
                if (i == 0) firsts.push_back(pause);
                EXPECT_GE(pause, 0.08);
                EXPECT_LE(pause, std::clamp(gateways / 25.0 * 4 / 3, 1.0, 4.0)) << gateways;
                longest = std::max(longest, pause);
                now += pause;
            }
            EXPECT_GT(longest, 0.5) << gateways;
        }
        const auto [least, most] = std::minmax_element(firsts.begin(), firsts.end());
        const double spread = std::min(gateways / 50.0, 1.5);
        EXPECT_GE(*most - *least, (spread - 0.08) * 0.7) << gateways << " gateways retry in step";
    }
}

// ---- On sockets -----------------------------------------------------------------------------------------

using std::chrono::steady_clock;
using tests::Listener;
using tests::Rig;
using tests::SocketPeer;

std::string answer(const std::string& json) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(json.size()) + "\r\n\r\n" + json;
}
std::string list(int version, bool full) {
    return answer(R"({"version":)" + std::to_string(version) + R"(,"full":)" + (full ? "true" : "false") +
                  R"(,"servers":[]})");
}
std::string rejection(const std::string& status, const std::string& header = "") {
    return "HTTP/1.1 " + status + "\r\nConnection: close\r\n" + header + "Content-Length: 0\r\n\r\n";
}

struct WatchFixture {
    explicit WatchFixture(int gateways)
        : watch(rig.loop, rig.gateway, discovery.address(), 41, 7, net::DiscoveryWatch::kAsked, gateways) {
        EXPECT_TRUE(watch.start());
    }
    ~WatchFixture() {
        watch.close();
        rig.loop.turn();
    }
    std::string next_request(SocketPeer& peer) {
        EXPECT_TRUE(rig.until([&] { return peer.read().find(" HTTP/1.1\r\n") != std::string::npos; }));
        return peer.got.substr(0, peer.got.find(" HTTP/1.1\r\n"));
    }
    Rig rig;
    Listener discovery;
    net::DiscoveryWatch watch;
};

TEST(RejectedListRequests, WatchIsRepeatedFromItsVersionWithinTheBudgetUntilAdmitted) {
    constexpr int kGateways = 50;  // a request every 2 s, varied from two thirds of that, and a burst of two
    WatchFixture one(kGateways);
    int rejections = 0;
    const auto begun = steady_clock::now();
    std::unique_ptr<SocketPeer> peer;
    for (;;) {
        peer = one.rig.accepted(one.discovery);
        ASSERT_NE(peer, nullptr);
        ASSERT_EQ(one.next_request(*peer), "GET /api/targets?index=41&wait=2000")
            << "a rejected request has missed no change";
        if (steady_clock::now() - begun > 4s) break;
        peer->write(rejection(++rejections % 2 == 0 ? "429 Too Many Requests" : "503 Service Unavailable"));
    }
    EXPECT_LE(rejections, 1 + 2 + 3);
    EXPECT_GE(rejections, 3);
    EXPECT_LT(steady_clock::now() - begun, 4s + 4s) << "repeated within the longest rejection pause";
    peer->write(list(43, false));
    EXPECT_TRUE(one.rig.until([&] { return peer->has("?index=43&wait=3000 "); }));
}

TEST(RejectedListRequests, RejectedCompleteListIsFollowedByARequestForChanges) {
    WatchFixture one(1);
    auto watch = one.rig.accepted(one.discovery);
    ASSERT_EQ(one.next_request(*watch), "GET /api/targets?index=41&wait=2000");
    watch->reset();
    auto whole = one.rig.accepted(one.discovery);
    ASSERT_EQ(one.next_request(*whole), "GET /api/targets") << "the connection was lost";
    whole->write(rejection("503 Busy"));
    auto changes = one.rig.accepted(one.discovery);
    ASSERT_EQ(one.next_request(*changes), "GET /api/targets?index=41&wait=0");
    changes->write(rejection("503 Busy"));
    auto again = one.rig.accepted(one.discovery);
    ASSERT_EQ(one.next_request(*again), "GET /api/targets?index=41&wait=0")
        << "changes may still have been missed";
    again->reset();
    auto begun_anew = one.rig.accepted(one.discovery);
    ASSERT_EQ(one.next_request(*begun_anew), "GET /api/targets");
    begun_anew->write(list(40, true));  // versions may decrease
    ASSERT_TRUE(one.rig.until([&] { return begun_anew->has("?index=40&wait=2000 "); }));
    begun_anew->write(answer("[no list]"));
    auto unknown = one.rig.accepted(one.discovery);
    for (int i = 0; i < 2; ++i) {
        ASSERT_EQ(one.next_request(*unknown), "GET /api/targets") << "no version is known any longer";
        unknown->write(rejection("503 Busy"));
        unknown = one.rig.accepted(one.discovery);
    }
}

TEST(RejectedListRequests, UnansweredCompleteListGetsTwiceTheTimeAndIsFollowedByARequestForChanges) {
    WatchFixture one(1);
    auto watch = one.rig.accepted(one.discovery);
    ASSERT_EQ(one.next_request(*watch), "GET /api/targets?index=41&wait=2000");
    watch->reset();
    auto whole = one.rig.accepted(one.discovery);
    ASSERT_EQ(one.next_request(*whole), "GET /api/targets");
    const auto asked_at = steady_clock::now();
    auto changes = one.rig.accepted(one.discovery);
    ASSERT_EQ(one.next_request(*changes), "GET /api/targets?index=41&wait=0");
    EXPECT_GT(steady_clock::now() - asked_at, 1900ms)
        << "a request abandoned while queued would be wasted work";
    EXPECT_LT(steady_clock::now() - asked_at, 3s);
    auto begun_anew = one.rig.accepted(one.discovery);
    ASSERT_EQ(one.next_request(*begun_anew), "GET /api/targets");
}

TEST(RejectedListRequests, RetryAfterIsHonoredUpToTheLongestPause) {
    struct Case {
        const char* header;
        Duration from, to;
    };
    for (const Case& one :
         {Case{"Retry-After: 1\r\n", 1s, 1500ms}, Case{"Retry-After: 3600\r\n", 2900ms, 4300ms},
          Case{"Retry-After: Wed, 21 Oct 2026 07:28:00 GMT\r\n", 0s, 500ms}}) {
        WatchFixture watched(1);
        auto first = watched.rig.accepted(watched.discovery);
        watched.next_request(*first);
        first->write(rejection("503 Busy", one.header));
        const auto rejected = steady_clock::now();
        auto second = watched.rig.accepted(watched.discovery);
        ASSERT_EQ(watched.next_request(*second), "GET /api/targets?index=41&wait=2000");
        EXPECT_GT(steady_clock::now() - rejected, one.from) << one.header;
        EXPECT_LT(steady_clock::now() - rejected, one.to) << one.header;
    }
}

// An agent next to the gateway serves this gateway alone, so the watch keeps to no common budget. It starts
// with the complete list, since the agent counts its list as delivered regardless of the watch.
TEST(RejectedListRequests, PushedListIsRequestedCompletelyAndWithoutABudget) {
    Rig rig;
    Listener discovery;
    net::DiscoveryWatch watch(rig.loop, rig.gateway, discovery.address(), 41, 7, net::DiscoveryWatch::kPushed,
                              300);
    ASSERT_TRUE(watch.start());
    for (int i = 0; i < 6; ++i) {
        const auto begun = steady_clock::now();
        auto peer = rig.accepted(discovery);
        EXPECT_LT(steady_clock::now() - begun, 300ms);
        ASSERT_TRUE(rig.until([&] { return peer->has("GET /api/targets HTTP/1.1\r\n"); }));
        peer->write(rejection("503 Busy", "Retry-After: 5\r\n"));
    }
    watch.close();
    rig.loop.turn();
}

}  // namespace
