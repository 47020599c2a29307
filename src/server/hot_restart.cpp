#include "server/hot_restart.h"

#include <sys/stat.h>

#include <algorithm>
#include <utility>

#include "admin/hot_restart/hot_restart_accounts.h"

namespace linnetlead::server {

using hot_restart::Kind;
using hot_restart::Message;
using namespace std::chrono_literals;

namespace {

// Longest time between two messages, and for all of the state; else the new process starts alone. It has to
// be ready within 6 s.
constexpr proxy::Duration kMessageWithin = 1s;
constexpr proxy::Duration kStateWithin = 4s;
constexpr std::size_t kMaxAccounts = 20000;   // go over; further ones begin anew
constexpr std::size_t kIdsInAMessage = 1000;  // some 20 KiB
constexpr std::size_t kMaxPath = 90;          // of a Unix socket's, with room for what is put behind it

}  // namespace

std::string meeting_place(const std::string& folder, const std::string& listen) {
    const bool any_port = listen.size() < 2 || listen.substr(listen.size() - 2) == ":0";
    if (folder.empty() || any_port) return {};
    std::string name = "/linnetlead-" + listen;
    for (char& c : name) {
        if (c == ':' || c == '[' || c == ']') c = '_';
    }
    name[0] = '/';
    const std::string place = folder + name;
    return place.size() > kMaxPath ? std::string() : place;
}

HotRestart::HotRestart(Parts parts, std::string place, std::string listen)
    : parts_(std::move(parts)), place_(std::move(place)), listen_(std::move(listen)), door_(parts_.loop) {}

// ---- The new process ------------------------------------------------------------------------------------

void HotRestart::begin(Other other) {
    link_to(other) = std::make_unique<net::HotRestartChannel>(
        parts_.loop, net::HotRestartChannel::Heard{[this, other](std::string_view line, uv_stream_t* from) {
                                                       return heard(other, line, from);
                                                   },
                                                   [this, other] {
                                                       const bool had_passed = passed_;
                                                       over(other);
                                                       if (other == Other::kNewer && had_passed)
                                                           wait_for_newer();
                                                   }});
}

bool HotRestart::take_over() {
    struct stat at {};
    if (place_.empty() || stat(place_.c_str(), &at) != 0) return false;
    begin(Other::kOlder);
    older_->connect(place_);
    Message hello{Kind::kHello, listen_, true, false};
    hello.takes_lists = true;
    send(Other::kOlder, hello);
    const proxy::Timestamp until = parts_.loop.now() + kStateWithin;
    std::size_t heard_before = 0;
    do {
        heard_before = messages_heard_;
        parts_.loop.turn_until([this] { return taken_ || !older_->is_open(); }, kMessageWithin);
    } while (!taken_ && older_->is_open() && messages_heard_ > heard_before && parts_.loop.now() < until);
    if (!taken_) older_->close();  // what comes late would find this one listening by itself
    if (!taken_) parts_.lists.drop_incomplete();
    share();
    return adopted_;
}

void HotRestart::ready() {
    send(Other::kOlder, {Kind::kReady, {}, false, false});
    wait_for_newer();
}

// Not once this process ends: the place is that of its successor, or of the one after it.
void HotRestart::wait_for_newer() {
    if (parts_.drain.state() == Drain::State::kLeaving) return;
    if (!place_.empty()) door_.open(place_, [this](uv_stream_t* listener) { hand_over(listener); });
}

bool HotRestart::heard_of_older(const Message& message, uv_stream_t* from) {
    switch (message.kind) {
        case Kind::kState:
            if (message.with) adopted_ = parts_.acceptor.adopt(from) == 0;
            if (message.on) parts_.drain.drain();
            older_takes_lists_ = message.takes_lists;
            return true;
        case Kind::kAccounts:
            for (const auto& told : hot_restart::read_accounts(message.text, parts_.gateway.plan_names())) {
                parts_.gateway.take_over(told);
            }
            return true;
        case Kind::kRequests:
            parts_.gateway.remember(hot_restart::read_ids(message.text));
            return true;
        case Kind::kEnd:
            taken_ = true;
            return true;
        case Kind::kClient:
            if (message.with) parts_.acceptor.take_in(from, message.on);
            return message.with;
        default:
            return false;
    }
}

// ---- The old process ------------------------------------------------------------------------------------

// One at a time, the latest: an earlier one that lives has taken the place.
void HotRestart::hand_over(uv_stream_t* listener) {
    if (newer_ && newer_->is_open()) {
        newer_->close();
        over(Other::kNewer);
    }
    begin(Other::kNewer);
    newer_takes_lists_ = false;
    list_.reset();
    newer_->accept(listener);
}

bool HotRestart::heard_of_newer(const Message& message) {
    if (message.kind == Kind::kHello) {
        if (message.text != listen_) return false;
        share();
        uv_stream_t* const listening = parts_.acceptor.listening();
        const bool draining = parts_.drain.state() == Drain::State::kDraining;
        Message state{Kind::kState, {}, draining, listening != nullptr};
        state.takes_lists = true;
        newer_->send(hot_restart::write(state), listening);
        for (const proxy::EndpointId& id : parts_.suspensions.all()) {
            send(Other::kNewer, {Kind::kBan, id, true, false});
        }
        if (message.on) share_requests();
        newer_takes_lists_ = message.takes_lists;
        if (newer_takes_lists_) list_ = parts_.lists.parts();
        send_list();
        return true;
    }
    if (message.kind != Kind::kReady) return false;
    passed_ = true;
    parts_.gateway.handed_over();  // else both would tally the same demand
    parts_.pool.retire(true);
    parts_.acceptor.pass_on([this](uv_stream_t* client, bool asked, std::function<void(bool)> sent) {
        newer_->send(hot_restart::write({Kind::kClient, {}, asked, true}), client, std::move(sent));
    });
    return true;
}

// A client that leaves here may send its request again to the newer process, which has to know by then that
// it may run.
void HotRestart::share_requests() {
    std::vector<std::uint64_t> ids = parts_.gateway.unrepeatable_ids();
    for (std::size_t from = 0; from < ids.size(); from += kIdsInAMessage) {
        const std::size_t to = std::min(ids.size(), from + kIdsInAMessage);
        const std::vector<std::uint64_t> some(ids.begin() + static_cast<std::ptrdiff_t>(from),
                                              ids.begin() + static_cast<std::ptrdiff_t>(to));
        send(Other::kNewer, {Kind::kRequests, hot_restart::write_ids(some), false, false});
    }
    parts_.gateway.tell_started([this](std::uint64_t id) {
        send(Other::kNewer, {Kind::kRequests, hot_restart::write_ids({id}), false, false});
    });
}

// A long list goes one part a turn of the loop, so that it delays no request, and as fast as it is read.
void HotRestart::send_list() {
    const auto part = list_ ? list_->next() : std::nullopt;
    if (!part) {
        list_.reset();
        send_accounts();  // last: units that are spent from here on are granted twice
        return send(Other::kNewer, {Kind::kEnd, {}, false, false});
    }
    newer_->send(hot_restart::write(*part), nullptr, [this](bool sent) {
        if (sent) send_list();
    });
}

void HotRestart::send_accounts() {
    const auto accounts = parts_.gateway.accounts();
    const std::size_t count = std::min(accounts.size(), kMaxAccounts);
    for (std::size_t from = 0; from < count; from += hot_restart::kAccountsInAMessage) {
        const std::string text = hot_restart::write_accounts(accounts, from, parts_.gateway.plan_names());
        send(Other::kNewer, {Kind::kAccounts, text, false, false});
    }
}

// ---- Both -----------------------------------------------------------------------------------------------

void HotRestart::send(Other other, const Message& message) {
    const auto& link = link_to(other);
    if (link && link->is_open()) link->send(hot_restart::write(message));
}

bool HotRestart::heard(Other other, std::string_view line, uv_stream_t* from) {
    const auto message = hot_restart::read(line);
    if (!message || (message->with && !from)) return false;
    ++messages_heard_;
    const Other beyond = other == Other::kOlder ? Other::kNewer : Other::kOlder;
    if (message->kind == Kind::kBan) {
        message->on ? parts_.suspensions.adopt(message->text) : parts_.suspensions.release(message->text);
        send(beyond, *message);
        return true;
    }
    if (message->kind == Kind::kDrain) {
        message->on ? void(parts_.drain.drain()) : void(parts_.drain.activate());
        send(beyond, *message);
        return true;
    }
    if (message->kind == Kind::kList) return heard_list(other, *message);
    return other == Other::kNewer ? heard_of_newer(*message) : heard_of_older(*message, from);
}

bool HotRestart::heard_list(Other from, const Message& message) {
    const ListHandover::Taken taken = parts_.lists.take(message);
    if (taken == ListHandover::Taken::kMalformed) return false;
    const Other beyond = from == Other::kOlder ? Other::kNewer : Other::kOlder;
    if (taken == ListHandover::Taken::kApplied && takes_lists(beyond)) send(beyond, message);
    return true;
}

void HotRestart::send_news(const Message& news) {
    for (const Other other : {Other::kOlder, Other::kNewer}) {
        if (takes_lists(other)) send(other, news);
    }
}

void HotRestart::tell(const admin::Command& done) {
    using admin::Verb;
    for (const Other other : {Other::kOlder, Other::kNewer}) {
        const bool ban = done.verb == Verb::kSuspend || done.verb == Verb::kResume;
        if (ban) send(other, {Kind::kBan, done.endpoint, done.verb == Verb::kSuspend, false});
        const bool drain = done.verb == Verb::kDrain || done.verb == Verb::kActivate;
        if (drain) send(other, {Kind::kDrain, {}, done.verb == Verb::kDrain, false});
    }
}

// An old process whose successor has died goes on as before.
void HotRestart::over(Other other) {
    share();
    if (other == Other::kNewer) parts_.gateway.tell_started(nullptr);
    if (other == Other::kOlder || !std::exchange(passed_, false)) return;
    parts_.acceptor.pass_on(nullptr);
    parts_.pool.retire(false);
    // A process that ends is not the next one to serve.
    if (parts_.drain.state() != Drain::State::kLeaving) parts_.gateway.hand_over_failed();
}

void HotRestart::share() {
    const bool is_shared = (older_ && older_->is_open()) || (newer_ && newer_->is_open());
    parts_.share(is_shared);
    ListHandover::Send send;
    if (is_shared) send = [this](const Message& news) { send_news(news); };
    parts_.lists.send_with(std::move(send));
}

void HotRestart::close() {
    door_.close();
    for (auto* link : {&older_, &newer_}) {
        if (*link) (*link)->close();
    }
}

}  // namespace linnetlead::server
