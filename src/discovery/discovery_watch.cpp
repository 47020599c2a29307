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

// Limits from the first to the last byte of an answer.
constexpr Duration kMaxCompleteListTime = 2s;
constexpr Duration kMaxChangesTime = 500ms;
constexpr std::size_t kMaxBytesParsedOnLoop = 64 * 1024;  // about 500 endpoints
constexpr int kOk = 200, kTooManyRequests = 429, kUnavailable = 503;

// The Retry-After header in seconds; 0 for a date, which the header may also hold.
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
        arm(watch_.pace_.answer_timeout);
    }

    Handle self;

    // Sends the next request after an accepted answer.
    void request_next() {
        if (reader_.keeps_open() && !closing()) {
            read_more(true);
            return send_request();
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
        timer_ = loop().arm(loop().now() + time, [this] { handle_timeout(); });
    }
    void send_request() {
        to_write().append(watch_.format_request());
        const bool whole = watch_.schedule_.next_kind() == ListPollSchedule::Kind::kCompleteList;
        const Duration within = watch_.schedule_.answer_timeout();
        answer_due_by_ = loop().now() + within + (whole ? kMaxCompleteListTime : kMaxChangesTime);
        arm(within);
    }
    void handle_timeout() { fail(watch_.schedule_.record_timeout()); }

    void on_connected() override { send_request(); }
    std::size_t on_bytes(std::string_view bytes) override {
        std::size_t taken = 0;
        const auto state = reader_.take(bytes, taken);
        if (state == http::ResponseReader::State::kPartial) {
            // A long list may take a while to arrive, but each part is due within the answer timeout and all
            // of it by answer_due_by_.
            arm(std::min(watch_.pace_.answer_timeout, answer_due_by_ - loop().now()));
            return bytes.size();
        }
        handle_response(state, taken == bytes.size());
        return bytes.size();
    }
    void handle_response(http::ResponseReader::State state, bool clean) {
        if (state != http::ResponseReader::State::kWhole || !clean) {
            // The reader keeps data up to its limit; one read adds at most a read buffer.
            if (reader_.body().size() + loop().scratch().len > http::kMaxBody)
                watch_.report_oversized_answer();
            return fail(watch_.schedule_.record_disconnect());
        }
        const int status = reader_.status();
        if (status == kTooManyRequests || status == kUnavailable) {
            return fail(watch_.schedule_.record_rejection(loop().now(), retry_after(reader_)));
        }
        if (status == kOk && reader_.body().size() > kMaxBytesParsedOnLoop) {
            // No request is outstanding meanwhile, so no data is due. The end of the connection is noticed
            // later.
            loop().disarm(std::exchange(timer_, {}));
            if (!closing()) read_more(false);
            return watch_.parse_on_thread(self, reader_.take_body());
        }
        auto list = status == kOk ? http::read_list(reader_.body()) : std::nullopt;
        if (!list || !watch_.apply(std::move(*list))) return fail(watch_.schedule_.record_invalid_answer());
        request_next();
    }
    void on_end(int error) override {
        // A response without a length ends with its connection.
        std::size_t taken = 0;
        const bool whole = error == UV_EOF && reader_.take({}, taken) == http::ResponseReader::State::kWhole;
        if (whole) return handle_response(http::ResponseReader::State::kWhole, true);
        watch_.connect_after(watch_.schedule_.record_disconnect());
    }
    void on_released() override {
        loop().disarm(timer_);
        watch_.connections_.remove(self);
    }

    DiscoveryWatch& watch_;
    http::ResponseReader reader_;
    Handle timer_;
    proxy::Timestamp answer_due_by_{};
};

DiscoveryWatch::DiscoveryWatch(Loop& loop, proxy::EndpointListPort& lists, std::string address,
                               std::int64_t known_version, std::uint64_t seed, const Pace& pace, int gateways)
    : loop_(loop),
      parsing_(loop),
      slicer_(loop, lists),
      address_(std::move(address)),
      pace_(pace),
      schedule_(known_version, seed, pace, gateways) {}
DiscoveryWatch::~DiscoveryWatch() = default;

bool DiscoveryWatch::start() {
    if (!read_address(address_, socket_address_)) return false;
    connect();
    return true;
}

bool DiscoveryWatch::move(std::string address) {
    address_ = std::move(address);
    reported_version_.reset();
    schedule_.record_new_registry();
    close_connections();
    return start();
}

void DiscoveryWatch::close() {
    closed_ = true;
    slicer_.discard();
    close_connections();
}

void DiscoveryWatch::close_connections() {
    parsing_.drop();
    loop_.disarm(retry_);
    connections_.for_each([](Handle, Connection& connection) { connection.close(); });
}

void DiscoveryWatch::connect() {
    if (closed_) return;
    const Handle handle = connections_.add(loop_, *this);
    Connection& connection = *connections_.find(handle);
    connection.self = handle;
    if (connection.connect(socket_address_) != 0) {
        connection.close();
        connect_after(schedule_.record_disconnect());
    }
}

void DiscoveryWatch::connect_after(Duration pause) {
    loop_.disarm(retry_);
    if (pause == Duration{0}) return connect();
    retry_ = loop_.arm(loop_.now() + pause, [this] { connect(); });
}

std::string DiscoveryWatch::format_request() const {
    std::string target = "/api/targets";
    if (schedule_.next_kind() != ListPollSchedule::Kind::kCompleteList) {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(schedule_.wait()).count();
        target += "?index=" + std::to_string(schedule_.version()) + "&wait=" + std::to_string(ms);
    }
    return http::write_get(target, address_);
}

// Without this message a gateway with a list that is too long would keep an old list and miss drains
// silently.
void DiscoveryWatch::report_oversized_answer() {
    if (std::exchange(oversize_reported_, true)) return;
    std::fprintf(stderr,
                 "linnetlead: discovery %s: its answer is over %zu bytes and cannot be read; keeping the "
                 "previous list\n",
                 address_.c_str(), http::kMaxBody);
}

bool DiscoveryWatch::apply(http::List list) {
    if (!schedule_.record_list(list.version, list.full)) return false;
    oversize_reported_ = false;
    reported_version_ = list.version;
    if (list.full) {
        slicer_.pass_complete_list(list.entries);
    } else if (!list.entries.empty()) {
        slicer_.pass_changes(std::move(list.entries));
    }
    return true;
}

void DiscoveryWatch::parse_on_thread(Handle handle, std::string body) {
    struct Job {
        std::string body;
        std::optional<http::List> list;
    };
    const auto job = std::make_shared<Job>();
    job->body = std::move(body);
    parsing_.run([job] { job->list = http::read_list(job->body); },
                 [this, job, handle] {
                     const bool good = job->list && apply(std::move(*job->list));
                     const Duration pause = good ? Duration{0} : schedule_.record_invalid_answer();
                     Connection* const connection = connections_.find(handle);
                     if (!connection) return connect_after(pause);  // the connection ended with the answer
                     good ? connection->request_next() : connection->fail(pause);
                 });
}

}  // namespace linnetlead::net
