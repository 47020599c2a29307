#include "registry_watch.h"

#include <algorithm>
#include <utility>

namespace linnetlead::net {

using core::Handle;
using core::Span;
using namespace std::chrono_literals;

namespace {

// From an answer's first byte to its last.
constexpr Span longest_whole = 2s;
constexpr Span longest_news = 500ms;
constexpr Span retry_after = 80ms;  // a watch goes on if the next call comes within 200 ms

}  // namespace

class RegistryWatch::Connection final : public Stream {
public:
    Connection(Loop& loop, RegistryWatch& watch) : Stream(loop), watch_(watch) { arm(watch_.pace_.answer); }

    Handle self;

private:
    void arm(Span time) {
        loop().disarm(timer_);
        timer_ = loop().arm(loop().now() + time, [this] { fall_silent(); });
    }
    void ask() {
        to_write().append(watch_.request());
        const bool whole = watch_.wants_whole();
        const Span within = watch_.pace_.answer + (whole ? Span{0} : watch_.pace_.wait);
        whole_by_ = loop().now() + within + (whole ? longest_whole : longest_news);
        arm(within);
    }
    void give_up() {
        close();
        watch_.connect_later();
    }
    void fall_silent() {
        close();
        if (watch_.pace_.after_silence > Span{0}) return watch_.connect_later();
        watch_.doubtful_ = true;
        watch_.connect();
    }

    void on_connected() override { ask(); }
    std::size_t on_bytes(std::string_view bytes) override {
        std::size_t taken = 0;
        const auto state = reader_.take(bytes, taken);
        if (state == http::ResponseReader::State::partial) {
            // A long list takes its time, and is no silence while it comes; one that drips is.
            arm(std::min(watch_.pace_.answer, whole_by_ - loop().now()));
            return bytes.size();
        }
        take_response(state, taken == bytes.size());
        return bytes.size();
    }
    void take_response(http::ResponseReader::State state, bool clean) {
        const bool good = state == http::ResponseReader::State::whole && clean &&
                          watch_.apply(reader_.status(), reader_.body());
        if (!good) {
            give_up();
        } else if (!reader_.keeps_open()) {
            close();
            watch_.connect();
        } else {
            ask();
        }
    }
    void on_end(int error) override {
        // A response without a length ends with its connection.
        std::size_t taken = 0;
        const bool whole = error == UV_EOF && reader_.take({}, taken) == http::ResponseReader::State::whole;
        if (whole) return take_response(http::ResponseReader::State::whole, true);
        watch_.connect_later();
    }
    void on_released() override {
        loop().disarm(timer_);
        watch_.connections_.remove(self);
    }

    RegistryWatch& watch_;
    http::ResponseReader reader_;
    Handle timer_;
    core::Time whole_by_{};
};

RegistryWatch::RegistryWatch(Loop& loop, core::Lists& lists, std::string address, std::int64_t known_version,
                             std::uint64_t seed, const Pace& pace)
    : loop_(loop),
      lists_(lists),
      address_(std::move(address)),
      version_(known_version),
      pace_(pace),
      doubtful_(pace.wait == pushed.wait),  // what the agent holds is told from the first moment on
      random_(seed) {}
RegistryWatch::~RegistryWatch() = default;

bool RegistryWatch::start() {
    if (!read_address(address_, to_)) return false;
    connect();
    return true;
}

bool RegistryWatch::move(std::string address) {
    address_ = std::move(address);
    version_ = -1;
    failures_ = 0;
    hang_up();
    return start();
}

void RegistryWatch::close() {
    closed_ = true;
    hang_up();
}

void RegistryWatch::hang_up() {
    loop_.disarm(retry_);
    connections_.for_each([](Handle, Connection& connection) { connection.close(); });
}

void RegistryWatch::connect() {
    if (closed_) return;
    const Handle handle = connections_.add(loop_, *this);
    Connection& connection = *connections_.find(handle);
    connection.self = handle;
    if (connection.connect(to_) != 0) {
        connection.close();
        connect_later();
    }
}

void RegistryWatch::connect_later() {
    loop_.disarm(retry_);
    doubtful_ = true;  // news may have been missed, and may be by a watch that goes on from here
    // Guards a registry that comes back, or refuses, against all gateways at once and in step: the first
    // pause keeps the watch, further ones double and are spread.
    const int doubled = std::min(failures_++, 4);
    const Span pause = std::min<Span>(pace_.longest_pause, retry_after * (1 << doubled));
    const double part = doubled == 0 ? 1 : std::uniform_real_distribution<double>(0.5, 1)(random_);
    retry_ = loop_.arm(loop_.now() + std::chrono::duration_cast<Span>(pause * part), [this] { connect(); });
}

std::string RegistryWatch::request() const {
    std::string target = "/api/targets";
    if (!wants_whole()) {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(pace_.wait).count();
        target += "?index=" + std::to_string(version_) + "&wait=" + std::to_string(ms);
    }
    return http::write_get(target, address_);
}

// A response that is no list is answered by asking for the whole one.
bool RegistryWatch::apply(int status, const std::string& body) {
    constexpr int ok = 200;
    const auto list = status == ok ? http::read_list(body) : std::nullopt;
    if (!list || (!list->full && (version_ < 0 || list->version < version_))) {
        version_ = -1;
        return false;
    }
    version_ = list->version;
    doubtful_ = false;
    failures_ = 0;
    if (list->full) {
        lists_.listed(topazcrank::ListKind::full, list->entries);
    } else if (!list->entries.empty()) {
        lists_.listed(topazcrank::ListKind::changes, list->entries);
    }
    return true;
}

}  // namespace linnetlead::net
