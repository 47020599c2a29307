#include "testing/soak/fake_endpoint.h"

#include <algorithm>
#include <cmath>

#include "config/setting_words.h"

namespace linnetlead::test_support::soak {

using namespace std::chrono_literals;
using proxy::Handle;

namespace {

constexpr Duration kForgetsAfter = 20ms;  // a resting connection
constexpr Duration kResetsAfter = 3ms;
constexpr Duration kQueueIsReadWithin = 30ms;  // once connections come up again
constexpr Duration kValuePieceEvery = 15ms;
constexpr int kValuePieces = 6;
constexpr int kSmallBudget = 30;  // requests; below, chance is given more room

// What chance may add to a cold endpoint's budget of so many requests.
double allowed_beyond(double budget) {
    const double root = std::sqrt(budget);
    return budget < kSmallBudget ? 3 * root + 3 : 2 * root + 2;
}

double seconds_of(Duration time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

class FakeEndpoint::Connection final : public net::Stream {
public:
    Connection(net::Loop& loop, FakeEndpoint& endpoint)
        : Stream(loop), endpoint_(endpoint), came_late_(endpoint.releases_until_ > loop.now()) {}
    Handle self;

private:
    std::size_t on_bytes(std::string_view bytes) override {
        const Timestamp now = loop().now();
        if (begun_ == kNever) begun_ = now;
        std::size_t taken = 0;
        while (taken < bytes.size() &&
               resp::parse(bytes.substr(taken), endpoint_.message_) == resp::Parsed::kWhole) {
            taken += endpoint_.message_.size;
            take(endpoint_.message_, now);
            begun_ = taken < bytes.size() ? now : kNever;
        }
        return taken;
    }
    void take(const resp::Message& message, Timestamp now) {
        constexpr std::size_t kRequestItems = 4;
        if (message.items.size() < kRequestItems) {
            const bool asks_for_load = message.items.front().text == "INFO";
            to_write().append(asks_for_load ? "$18\r\ninflight=0,queue=0\r\n" : "+PONG\r\n");
            return;
        }
        constexpr int kHex = 16;
        request_ = config::parse<std::uint64_t>(message.items[2].text, kHex).value_or(0);
        const auto known = endpoint_.record_.requests.find(request_);
        if (known == endpoint_.record_.requests.end()) {
            endpoint_.record_.surplus.push_back("an endpoint got a request that no client sent: " +
                                                std::string(message.items[2].text));
            return;
        }
        known->second.attempts.push_back({endpoint_.number_, begun_, now, kNever, false, came_late_});
        attempt_ = known->second.attempts.size() - 1;
        busy_ = true;
        serve(now);
    }
    void serve(Timestamp now) {
        const EndpointMood mood = endpoint_.mood_;
        if (mood == EndpointMood::kTurnsAway) {
            attempt().turned_away = true;
            end();
            to_write().append("-BUSY\r\n");
            return;
        }
        loop().disarm(std::exchange(timer_, {}));  // of its rest
        endpoint_.note_arrival(now);
        if (mood == EndpointMood::kHangs) return;
        Timestamp at = endpoint_.done_at(now);
        if (mood == EndpointMood::kResets) at = now + kResetsAfter;
        if (mood == EndpointMood::kAnswersLate) {
            at += std::chrono::milliseconds(std::uniform_int_distribution<int>(300, 1500)(endpoint_.random_));
        }
        timer_ = loop().arm(at, [this, mood] { answer(mood); });
    }
    void answer(EndpointMood mood) {
        timer_ = {};
        if (!busy_ || closing()) return;
        const bool is_usual = mood == EndpointMood::kWell || mood == EndpointMood::kBreaksOff;
        if (is_usual && has_long_value(endpoint_.scenario_, request_)) return begin_value();
        end();
        if (mood == EndpointMood::kResets) return close();
        const std::string whole = reply_with(value_of_request());
        if (mood == EndpointMood::kGoesWhileAnswering) {
            to_write().append(whole.substr(0, whole.size() / 2));
            finish();
            return;
        }
        to_write().append(whole);
        if (mood == EndpointMood::kAnswersTwice) to_write().append(whole);
        if (mood == EndpointMood::kForgetsIdle) {
            timer_ = loop().arm(loop().now() + kForgetsAfter, [this] {
                timer_ = {};
                if (!busy_) close();
            });
        }
    }
    std::string value_of_request() const {
        char value[17];
        std::snprintf(value, sizeof(value), "%016llx", static_cast<unsigned long long>(request_));
        return value;
    }
    static std::string reply_with(const std::string& value) {
        return "*3\r\n$" + std::to_string(value.size()) + "\r\n" + value + "\r\n$-1\r\n$-1\r\n";
    }
    void begin_value() {
        std::string value = value_of_request();
        value.resize(endpoint_.scenario_.long_value_bytes, '.');
        left_ = reply_with(value);
        piece_bytes_ = left_.size() / kValuePieces + 1;
        attempt().value_begun = loop().now();
        write_piece();
    }
    void write_piece() {
        timer_ = {};
        if (!busy_ || closing()) return;
        std::uniform_int_distribution<int> chance(0, kValuePieces / 2);
        const bool has_begun = left_.size() < piece_bytes_ * (kValuePieces - 1);
        if (endpoint_.mood_ == EndpointMood::kBreaksOff && has_begun && chance(endpoint_.random_) == 0) {
            attempt().value_broken = loop().now();
            end();
            return close();
        }
        to_write().append(left_, 0, piece_bytes_);
        left_.erase(0, piece_bytes_);
        if (left_.empty()) return end();
        timer_ = loop().arm(loop().now() + kValuePieceEvery, [this] { write_piece(); });
    }
    Attempt& attempt() { return endpoint_.record_.requests.at(request_).attempts[attempt_]; }
    void end() {
        if (std::exchange(busy_, false)) attempt().ended = loop().now();
    }
    void on_end(int) override { end(); }
    void on_released() override {
        end();
        loop().disarm(timer_);
        endpoint_.server_.connections.remove(self);
    }

    FakeEndpoint& endpoint_;
    Handle timer_;
    RequestId request_ = 0;
    std::size_t attempt_ = 0;  // of the request's
    bool busy_ = false;
    Timestamp begun_ = kNever;  // the command that is not whole yet
    const bool came_late_;      // it may have waited in the kernel's queue
    std::string left_;          // of a long value's reply
    std::size_t piece_bytes_ = 0;
};

FakeEndpoint::FakeEndpoint(net::Loop& loop, const Scenario& scenario, int number, Timestamp started,
                           Record& record)
    : loop_(loop),
      scenario_(scenario),
      number_(number),
      started_(started),
      record_(record),
      random_(scenario.seed * 1000 + static_cast<std::uint64_t>(number)),
      server_(loop, *this) {
    for (int core = 0; core < scenario.endpoint_cores; ++core) free_at_.insert(kNever);
}

FakeEndpoint::~FakeEndpoint() = default;

void FakeEndpoint::close() { server_.close(); }

std::string FakeEndpoint::address() const { return "127.0.0.1:" + std::to_string(server_.port); }

void FakeEndpoint::set(EndpointMood mood) {
    mood_ = mood;
    if (mood == EndpointMood::kConnectsLate) {
        // One is taken by libuv and one by the kernel; connections of gateways wait behind them.
        constexpr int kFillers = 3;
        server_.hold();
        for (int i = 0; i < kFillers; ++i) fillers_.push_back(connect_to(server_.port));
    } else {
        fillers_.clear();
        if (server_.holds()) releases_until_ = loop_.now() + kQueueIsReadWithin;
        server_.release();
    }
}

double FakeEndpoint::warm_share(Timestamp now) const {
    if (started_ == kNever) return 1;
    const double from = scenario_.settings.slow_start_min_share;
    const double warmed = seconds_of(now - started_) / seconds_of(scenario_.settings.slow_start_window);
    return std::min(1.0, from + (1 - from) * warmed);
}

void FakeEndpoint::note_arrival(Timestamp now) {
    const double share = warm_share(now);
    if (share >= 1) return;
    const Duration window = scenario_.settings.overload_window;
    recent_.insert(now);
    recent_.erase(recent_.begin(), recent_.lower_bound(now - window));
    const double per_s = scenario_.endpoint_cores / seconds_of(scenario_.service_time);
    const double budget = scenario_.settings.overload_multiple * per_s * share * seconds_of(window);
    double& most = record_.most_beyond_cold_budget.try_emplace(number_, -1e9).first->second;
    most = std::max(most, static_cast<double>(recent_.size()) - budget - allowed_beyond(budget));
}

Timestamp FakeEndpoint::done_at(Timestamp now) {
    std::lognormal_distribution<double> spread(0, 0.5);
    const Timestamp core = *free_at_.begin();
    free_at_.erase(free_at_.begin());
    const double work = seconds_of(scenario_.service_time) * spread(random_) / warm_share(now);
    const Timestamp done =
        std::max(core, now) + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(work));
    free_at_.insert(done);
    return done;
}

}  // namespace linnetlead::test_support::soak
