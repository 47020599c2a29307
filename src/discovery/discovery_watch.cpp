#include "discovery/discovery_watch.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <memory>
#include <optional>
#include <utility>

namespace linnetlead::net {

using proxy::Duration;
using proxy::Handle;
using namespace std::chrono_literals;

namespace {

// From an answer's first byte to its last.
constexpr Duration kLongestWhole = 2s;
constexpr Duration kLongestNews = 500ms;
constexpr std::size_t kReadOnTheLoop = 64 * 1024;  // bytes; some 500 endpoints
constexpr int kOk = 200, kTooMany = 429, kUnavailable = 503;

// In seconds; a date, which the header may hold too, is none.
Duration retry_after(const http::ResponseReader& reader) {
    const auto found = reader.headers().find("retry-after");
    unsigned seconds = 0;
    if (found != reader.headers().end()) {
        const std::string& text = found->second;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
        if (error != std::errc() || end != text.data() + text.size()) seconds = 0;
    }
    return std::chrono::seconds(std::min(seconds, 3600u));
}

}  // namespace

class DiscoveryWatch::Connection final : public Stream {
public:
    Connection(Loop& loop, DiscoveryWatch& watch) : Stream(loop), watch_(watch) {
        reader_.keep_headers();
        arm(watch_.pace_.answer);
    }

    Handle self;

    // Behind an answer that was taken.
    void go_on() {
        if (reader_.keeps_open() && !closing()) {
            read_more(true);
            return ask();
        }
        if (!closing()) close();
        watch_.connect();
    }
    void fail(Duration pause) {
        if (!closing()) close();
        watch_.connect_after(pause);
    }

private:
    void arm(Duration time) {
        loop().disarm(timer_);
        timer_ = loop().arm(loop().now() + time, [this] { fall_silent(); });
    }
    void ask() {
        to_write().append(watch_.request());
        const bool whole = watch_.calls_.next() == ListPollSchedule::Kind::kWhole;
        const Duration within = watch_.calls_.answer_within();
        whole_by_ = loop().now() + within + (whole ? kLongestWhole : kLongestNews);
        arm(within);
    }
    void fall_silent() { fail(watch_.calls_.silent()); }

    void on_connected() override { ask(); }
    std::size_t on_bytes(std::string_view bytes) override {
        std::size_t taken = 0;
        const auto state = reader_.take(bytes, taken);
        if (state == http::ResponseReader::State::kPartial) {
            // A long list takes its time, and is no silence while it comes; one that drips is.
            arm(std::min(watch_.pace_.answer, whole_by_ - loop().now()));
            return bytes.size();
        }
        take_response(state, taken == bytes.size());
        return bytes.size();
    }
    void take_response(http::ResponseReader::State state, bool clean) {
        if (state != http::ResponseReader::State::kWhole || !clean) {
            // The reader keeps what it has taken up to its bound; a piece is one read buffer at most.
            if (reader_.body().size() + loop().scratch().len > http::kMaxBody) watch_.tell_too_long();
            return fail(watch_.calls_.broken());
        }
        const int status = reader_.status();
        if (status == kTooMany || status == kUnavailable) {
            return fail(watch_.calls_.rejected(loop().now(), retry_after(reader_)));
        }
        if (status == kOk && reader_.body().size() > kReadOnTheLoop) {
            // Nothing is asked meanwhile, and so nothing is to come; an end is seen behind it.
            loop().disarm(std::exchange(timer_, {}));
            if (!closing()) read_more(false);
            return watch_.read_aside(self, reader_.take_body());
        }
        auto list = status == kOk ? http::read_list(reader_.body()) : std::nullopt;
        if (!list || !watch_.apply(std::move(*list))) return fail(watch_.calls_.nonsense());
        go_on();
    }
    void on_end(int error) override {
        // A response without a length ends with its connection.
        std::size_t taken = 0;
        const bool whole = error == UV_EOF && reader_.take({}, taken) == http::ResponseReader::State::kWhole;
        if (whole) return take_response(http::ResponseReader::State::kWhole, true);
        watch_.connect_after(watch_.calls_.broken());
    }
    void on_released() override {
        loop().disarm(timer_);
        watch_.connections_.remove(self);
    }

    DiscoveryWatch& watch_;
    http::ResponseReader reader_;
    Handle timer_;
    proxy::Timestamp whole_by_{};
};

DiscoveryWatch::DiscoveryWatch(Loop& loop, proxy::EndpointListPort& lists, std::string address,
                               std::int64_t known_version, std::uint64_t seed, const Pace& pace, int gateways)
    : loop_(loop),
      reading_(loop),
      slices_(loop, lists),
      address_(std::move(address)),
      pace_(pace),
      calls_(known_version, seed, pace, gateways) {}
DiscoveryWatch::~DiscoveryWatch() = default;

bool DiscoveryWatch::start() {
    if (!read_address(address_, to_)) return false;
    connect();
    return true;
}

bool DiscoveryWatch::move(std::string address) {
    address_ = std::move(address);
    calls_.moved();
    hang_up();
    return start();
}

void DiscoveryWatch::close() {
    closed_ = true;
    slices_.drop();
    hang_up();
}

void DiscoveryWatch::hang_up() {
    reading_.drop();
    loop_.disarm(retry_);
    connections_.for_each([](Handle, Connection& connection) { connection.close(); });
}

void DiscoveryWatch::connect() {
    if (closed_) return;
    const Handle handle = connections_.add(loop_, *this);
    Connection& connection = *connections_.find(handle);
    connection.self = handle;
    if (connection.connect(to_) != 0) {
        connection.close();
        connect_after(calls_.broken());
    }
}

void DiscoveryWatch::connect_after(Duration pause) {
    loop_.disarm(retry_);
    if (pause == Duration{0}) return connect();
    retry_ = loop_.arm(loop_.now() + pause, [this] { connect(); });
}

std::string DiscoveryWatch::request() const {
    std::string target = "/api/targets";
    if (calls_.next() != ListPollSchedule::Kind::kWhole) {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(calls_.wait()).count();
        target += "?index=" + std::to_string(calls_.version()) + "&wait=" + std::to_string(ms);
    }
    return http::write_get(target, address_);
}

// Guards against a gateway whose list stands still, so that it hears of no drain, and that says nothing.
void DiscoveryWatch::tell_too_long() {
    if (std::exchange(told_too_long_, true)) return;
    std::fprintf(
        stderr,
        "linnetlead: discovery %s: its answer is over %zu bytes and cannot be read; the list before stays\n",
        address_.c_str(), http::kMaxBody);
}

bool DiscoveryWatch::apply(http::List list) {
    if (!calls_.listed(list.version, list.full)) return false;
    told_too_long_ = false;
    if (list.full) {
        slices_.whole(list.entries);
    } else if (!list.entries.empty()) {
        slices_.changes(std::move(list.entries));
    }
    return true;
}

void DiscoveryWatch::read_aside(Handle handle, std::string body) {
    struct Job {
        std::string body;
        std::optional<http::List> list;
    };
    const auto job = std::make_shared<Job>();
    job->body = std::move(body);
    reading_.run([job] { job->list = http::read_list(job->body); },
                 [this, job, handle] {
                     const bool good = job->list && apply(std::move(*job->list));
                     const Duration pause = good ? Duration{0} : calls_.nonsense();
                     Connection* const connection = connections_.find(handle);
                     if (!connection) return connect_after(pause);  // it ended with the answer
                     good ? connection->go_on() : connection->fail(pause);
                 });
}

}  // namespace linnetlead::net
