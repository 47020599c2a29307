#include "proxy/request_manager.h"

#include <algorithm>
#include <cstdio>
#include <exception>
#include <utility>

namespace linnetlead::proxy {

using namespace std::chrono_literals;
using policy::Idempotency;
using policy::Outcome;
using policy::RequestId;

namespace {

// The last resort for a call that the module still holds: an answer on its way just in time.
constexpr Duration kOverdueAfter = 6ms;
// Of the window in which endpoints know a repeat by its key, what is left for its way to them.
constexpr int kDeliveryPart = 20;  // a twentieth of the key window is left for the bytes' way to the endpoint

}  // namespace

RequestManager::RequestManager(const config::Site& site, std::uint64_t seed, Limits limits, Timers& timers)
    : timers_(timers),
      limits_(limits),
      classes_(site.settings.classes),
      max_attempts_(site.settings.max_attempts),
      max_units_(site.settings.max_units),
      crowd_(limits.accounts),
      come_back_(site.settings.retry_after ? site.settings.max_retry_after : Duration{0}),
      policy_(new policy::Policy(site.settings, seed, timers.now(), *this)) {
    counts_.classes.resize(classes_.size());
    for (const policy::RatePlanSettings& plan : site.settings.plans) plan_names_.push_back(plan.name);
}
RequestManager::~RequestManager() = default;

void RequestManager::attach(UpstreamPort& endpoints, CounterPort& counter) {
    endpoints_ = &endpoints;
    counter_ = &counter;
}

// An action may end in another event at once (no such endpoint, no socket left). The module is not entered
// again from within: such events wait until it has returned.
template <typename Event>
void RequestManager::tell(Event event) {
    if (telling_) {
        later_.emplace_back(std::move(event));
        return;
    }
    telling_ = true;
    guarded(event);
    while (!later_.empty()) {
        const auto next = std::move(later_.front());
        later_.pop_front();
        guarded(next);
    }
    telling_ = false;
}

// An exception of the module's costs the event in hand, not the gateway. A call that it leaves without an
// answer gets one in overdue().
template <typename Event>
void RequestManager::guarded(const Event& event) {
    try {
        event();
    } catch (const std::exception& e) {
        log(e.what());
    }
}

// ---- From the fronts ------------------------------------------------------------------------------------

Handle RequestManager::take(DownstreamRequest call, DownstreamPort& front, Ticket ticket) {
    const std::size_t size = call.payload.bytes.size();
    const int traffic_class = call.request.traffic_class;
    if (calls_.size() >= limits_.calls || bytes_ + size > limits_.bytes) {
        count_end(traffic_class, Verdict::kRejected);
        front.answer(ticket, {Verdict::kRejected, {}, {}, false});
        return {};
    }
    // Guards the open call: endpoints would take the two for one.
    if (!names_.insert(call.name).second) {
        count_end(traffic_class, Verdict::kFailed);
        front.answer(ticket, {Verdict::kFailed, {}, {}, false});
        return {};
    }
    if (!crowd_.passes(timers_.now(), call.request.tenant)) {
        names_.erase(call.name);
        count_end(traffic_class, Verdict::kRejected);
        front.answer(ticket, {Verdict::kRejected, {}, come_back_, false});
        return {};
    }
    const Handle handle = calls_.add();
    Open& open = *calls_.find(handle);
    open.front = &front;
    open.ticket = ticket;
    open.name = call.name;
    open.payload = std::move(call.payload);
    open.due = call.request.due;
    open.traffic_class = call.request.traffic_class;
    open.units = static_cast<float>(call.request.units);
    if (accounts_) accounts_->taken(timers_.now(), handle, call.request);
    if (routes_) open.mark = routes_->route(timers_.now(), call.request);
    if (accounts_) accounts_->charge(timers_.now(), handle, call.request);
    open.deadline = timers_.arm(open.due + kOverdueAfter, [this, handle] { overdue(handle); });
    bytes_ += size;
    ++counts_.in_progress;
    // The handle serves as the module's id: a client's may come again once its call is over.
    call.request.id = handle.packed();
    if (forms_) {
        const StatementPort::Ruling ruling = forms_->taken(timers_.now(), handle, call.request, open.payload);
        open.form = ruling != StatementPort::Ruling::kPass;
        if (ruling == StatementPort::Ruling::kHold) {
            open.held = std::make_unique<policy::Request>(std::move(call.request));
            return handle;
        }
        if (ruling == StatementPort::Ruling::kReject || ruling == StatementPort::Ruling::kFail) {
            if (accounts_ && ruling == StatementPort::Ruling::kReject)
                accounts_->rejected(timers_.now(), handle);
            conclude(handle, open,
                     {ruling == StatementPort::Ruling::kReject ? Verdict::kRejected : Verdict::kFailed,
                      {},
                      {},
                      false});
            return {};
        }
    }
    tell([this, request = std::move(call.request)] { policy_->on_request(timers_.now(), request); });
    return calls_.find(handle) ? handle : Handle{};
}

void RequestManager::release(Handle handle) {
    Open* call = calls_.find(handle);
    if (!call || call->answered || !call->held) return;
    const auto request = std::move(call->held);
    tell([this, request = std::move(*request)] { policy_->on_request(timers_.now(), request); });
}

void RequestManager::answer_held(Handle handle, const Answer& answer) {
    Open* call = calls_.find(handle);
    if (!call || !call->held) return;
    if (accounts_ && answer.verdict == Verdict::kRejected) accounts_->rejected(timers_.now(), handle);
    conclude(handle, *call, answer);
}

void RequestManager::withdraw(Handle handle) {
    Open* call = calls_.find(handle);
    if (!call || call->answered) return;
    const Handle attempt = call->attempt;
    settle(handle, *call);
    abandon(handle, attempt);
}

// Behind a call's answer, whose client has gone: a connection that comes up later would still carry it.
void RequestManager::abandon(Handle handle, Handle attempt) {
    if (attempt) endpoints_->client_gone(attempt);
    tell([this, handle] { policy_->on_withdrawn(timers_.now(), handle.packed()); });
}

void RequestManager::answer_all() {
    std::vector<Handle> open;
    calls_.for_each([&open](Handle handle, const Open& call) {
        if (!call.answered && !call.passing) open.push_back(handle);
    });
    for (const Handle handle : open) {
        Open* call = calls_.find(handle);
        if (!call || call->answered) continue;
        const Handle attempt = call->attempt;
        // abandon() below keeps an attempt that has not been written from ever being so.
        const bool may_run = call->out && !endpoints_->is_unsent(attempt);
        const Verdict verdict = !may_run && is_harmless(*call) ? Verdict::kRejected : Verdict::kFailed;
        conclude(handle, *call, {verdict, {}, {}, false});
        abandon(handle, attempt);
    }
}

// The module answers before the deadline: attempts are cut to it. Should it not, the client still hears.
void RequestManager::overdue(Handle handle) {
    Open* call = calls_.find(handle);
    if (!call || call->answered) return;
    const Handle attempt = call->attempt;
    conclude(handle, *call, {Verdict::kFailed, {}, {}, false});
    abandon(handle, attempt);
}

void RequestManager::conclude(Handle handle, Open& call, const Answer& answer) {
    if (call.answered) return;
    DownstreamPort* const front = call.front;
    const Ticket ticket = call.ticket;
    count_end(call.traffic_class, answer.verdict);
    settle(handle, call);
    front->answer(ticket, answer);
}

void RequestManager::count_end(int traffic_class, Verdict verdict) {
    Counts::OfClass& of = counts_.classes[static_cast<std::size_t>(traffic_class)];
    ++(verdict == Verdict::kServed ? of.served : verdict == Verdict::kRejected ? of.rejected : of.failed);
}

std::size_t RequestManager::left_out() const { return policy_->ejected_count(timers_.now()); }

// Nothing more is owed to the client.
void RequestManager::settle(Handle handle, Open& call) {
    call.answered = true;
    --counts_.in_progress;
    timers_.disarm(std::exchange(call.deadline, {}));
    drop_if_done(handle);
}

// A request counts once, when its first attempt has reached an endpoint whole, whatever the endpoint made of
// it.
void RequestManager::note_use(Handle handle, Open& call, const AttemptEnd& end,
                              const policy::AttemptResult& result) {
    const double units = call.units;
    if (end.stage >= Stage::kWritten && !std::exchange(call.sent_on, true)) {
        accounts_->sent_on(timers_.now(), handle, units);
    }
    const bool told = end.ending == Ending::kServed && result.actual_units > 0;
    if (told && result.actual_units != units) accounts_->settled(handle, result.actual_units - units);
}

void RequestManager::add_plans(std::vector<policy::RatePlanSettings> more) {
    for (const policy::RatePlanSettings& plan : more) plan_names_.push_back(plan.name);
    if (routes_) routes_->plans_added(more);
    tell([this, more = std::move(more)] { policy_->on_plans_added(timers_.now(), more); });
}

void RequestManager::drop_if_done(Handle handle) {
    const Open* call = calls_.find(handle);
    if (!call || !call->answered || call->out) return;
    if (accounts_) accounts_->over(handle);
    if (forms_ && call->form) forms_->over(handle);
    bytes_ -= call->payload.bytes.size() + call->changed.bytes.size();
    names_.erase(call->name);
    calls_.remove(handle);
}

// ---- From endpoints, counter and registry -----------------------------------------------------------------

bool RequestManager::reserve(std::size_t bytes) {
    if (calls_.size() >= limits_.calls || bytes_ + bytes > limits_.bytes) return false;
    bytes_ += bytes;
    return true;
}

void RequestManager::take_over(const policy::QuotaState& told) {
    tell([this, told] { policy_->restore_quota(timers_.now(), told); });
}

void RequestManager::go_on(Handle handle) {
    const Open* call = calls_.find(handle);
    if (call && call->out && call->passing) endpoints_->go_on(call->attempt);
}

// First bytes in time are an answer in time: the deadline has nothing more to say.
RequestManager::Wanted RequestManager::value_begins(Handle handle, std::size_t size) {
    Open* call = calls_.find(handle);
    if (!call || call->answered) return Wanted::kNothing;
    call->passing = true;
    call->first_bytes = timers_.now();
    timers_.disarm(std::exchange(call->deadline, {}));
    call->front->begin_value(call->ticket, size);
    tell([this, handle, attempt = call->attempts - 1] {
        policy_->on_stream_started(timers_.now(), handle.packed(), attempt);
    });
    return Wanted::kMore;
}

RequestManager::Wanted RequestManager::value_piece(Handle handle, std::string_view piece) {
    Open* call = calls_.find(handle);
    if (!call || call->answered) return Wanted::kNothing;
    return call->front->pass_value(call->ticket, piece) ? Wanted::kMore : Wanted::kPause;
}

void RequestManager::value_ends(Handle handle) {
    Open* call = calls_.find(handle);
    if (call) conclude(handle, *call, {Verdict::kServed, {}, {}, true});
}

void RequestManager::attempt_ended(Handle handle, const AttemptEnd& told) {
    Open* call = calls_.find(handle);
    if (!call || !call->out) return;
    const Timestamp now = timers_.now();
    AttemptEnd end = told;
    // An endpoint that has moved on from a form says so, and has not run the call.
    const bool moved_on = call->form && forms_ && end.ending == Ending::kError &&
                          forms_->moved_on(now, handle, call->endpoint, end.error);
    if (moved_on) end = {Stage::kUnconnected, Ending::kGivenUp, {}, 0, {}, {}};
    policy::AttemptResult result;
    result.id = handle.packed();
    result.attempt = call->attempts - 1;
    result.endpoint = call->endpoint;
    result.outcome = outcome_of(end);
    result.latency = (call->passing ? call->first_bytes : now) - call->sent;
    // Guards the quotas against a cost that cannot be.
    result.actual_units = end.actual_units <= max_units_ ? end.actual_units : 0;
    result.report = end.report;
    call->out = false;
    if (routes_ && call->attempts == 1) {
        routes_->ended(call->mark, call->traffic_class, call->units, result.outcome, result.latency);
    }
    if (routes_)
        routes_->tried(now, call->endpoint, call->traffic_class, call->units, result.outcome, result.latency);
    if (accounts_) note_use(handle, *call, end, result);
    call->attempt = {};
    if (!proves_not_run(result.outcome) && !std::exchange(call->may_have_run, true)) {
        call->run_from = call->sent;
    }
    // Of a value that was cut short, its client has had a part: no other answer, and no other attempt.
    const bool cut = call->passing && !call->answered;
    result.concluded = call->answered || cut || end.ending == Ending::kServed;
    if (cut) {
        conclude(handle, *call, {Verdict::kFailed, {}, {}, true});
    } else if (end.ending == Ending::kServed && !call->answered) {
        conclude(handle, *call, {Verdict::kServed, end.value, {}, false});
    } else {
        drop_if_done(handle);
    }
    tell([this, result = std::move(result)] { policy_->on_result(timers_.now(), result); });
}

void RequestManager::probed(const EndpointId& endpoint, Outcome outcome, const policy::LoadReport& report) {
    tell([this, endpoint, outcome, report] {
        policy_->on_probe_result(timers_.now(), endpoint, outcome, report);
    });
}

void RequestManager::counted(const std::string& name, policy::CounterStatus status, double total) {
    if (routes_ && routes_->counted(timers_.now(), name, status, total)) return;
    if (accounts_ && accounts_->counted(timers_.now(), name, status, total)) return;
    tell([this, name, status, total] { policy_->on_counter_reply(timers_.now(), name, status, total); });
}

void RequestManager::listed(policy::EndpointListKind kind, const std::vector<DiscoveredEndpoint>& entries) {
    std::vector<policy::EndpointInfo> known;
    known.reserve(entries.size());
    for (const DiscoveredEndpoint& one : entries) known.push_back(one.entry);
    if (routes_) routes_->listed(timers_.now(), kind, known);
    // The endpoints' side hears before anything that the module does upon it.
    tell([this, kind, known = std::move(known), entries] {
        endpoints_->told(entries, kind != policy::EndpointListKind::kChanges);
        policy_->on_endpoint_list(timers_.now(), kind, known);
    });
}

void RequestManager::marked(std::vector<policy::EndpointInfo> entries) {
    tell([this, entries = std::move(entries)] {
        policy_->on_endpoint_list(timers_.now(), policy::EndpointListKind::kChanges, entries);
    });
}

// ---- The module's actions -------------------------------------------------------------------------------

// The rules are the module's to keep. What it asks for against them is not carried out.
void RequestManager::send(RequestId id, const EndpointId& endpoint, Duration timeout) {
    const Handle handle = Handle::unpacked(id);
    Open* call = calls_.find(handle);
    if (!call || call->answered || call->out) return;
    const Timestamp now = timers_.now();
    ++call->attempts;
    call->out = true;
    call->sent = now;
    call->endpoint = endpoint;
    if (accounts_ && call->attempts == 1) accounts_->sending(handle, call->units);
    if (routes_ && call->attempts == 1)
        call->mark = routes_->sent(now, call->mark, call->traffic_class, endpoint);
    const bool again =
        call->may_have_run &&
        classes_[static_cast<std::size_t>(call->traffic_class)].idempotency == Idempotency::kNonIdempotent;
    if (again || call->attempts > max_attempts_ || now >= call->due) {
        attempt_ended(handle, {Stage::kUnconnected, Ending::kGivenUp, {}, 0, {}, {}});
        return;
    }
    const Timestamp until = timeout > Duration{0} ? std::min(now + timeout, call->due) : call->due;
    if (call->form) {
        bytes_ -= call->changed.bytes.size();
        call->changed = {};
        const bool goes = !forms_ || forms_->sending(now, handle, endpoint, call->payload, call->changed);
        bytes_ += call->changed.bytes.size();
        if (!goes) {
            attempt_ended(handle, {Stage::kUnconnected, Ending::kGivenUp, {}, 0, {}, {}});
            return;
        }
    }
    const Payload& payload = call->changed.bytes.empty() ? call->payload : call->changed;
    const Handle attempt = endpoints_->start(handle, endpoint, payload, {until, write_by(*call)});
    if (call->out) call->attempt = attempt;
}

void RequestManager::reject(RequestId id, Duration retry_after) {
    const Handle handle = Handle::unpacked(id);
    Open* call = calls_.find(handle);
    if (!call) return;
    if (accounts_ && call->attempts == 0) accounts_->rejected(timers_.now(), handle);
    conclude(handle, *call,
             {is_harmless(*call) ? Verdict::kRejected : Verdict::kFailed, {}, retry_after, false});
}

// Whether a rejection, which invites the client to come again, does no harm.
bool RequestManager::is_harmless(const Open& call) const {
    const policy::TrafficClassSettings& traffic_class =
        classes_[static_cast<std::size_t>(call.traffic_class)];
    return !call.may_have_run || traffic_class.idempotency == Idempotency::kIdempotent ||
           (traffic_class.idempotency == Idempotency::kKeyed &&
            traffic_class.key_scope == policy::KeyScope::kAll);
}

// Between the choice of an endpoint and the last byte lie a connection that comes up late and a long body:
// what is chosen within the window may leave outside it.
Timestamp RequestManager::write_by(const Open& call) const {
    const policy::TrafficClassSettings& traffic_class =
        classes_[static_cast<std::size_t>(call.traffic_class)];
    if (traffic_class.idempotency != Idempotency::kKeyed || !call.may_have_run) return Timestamp::max();
    return call.run_from + traffic_class.key_window - traffic_class.key_window / kDeliveryPart;
}

void RequestManager::fail(RequestId id) {
    const Handle handle = Handle::unpacked(id);
    if (Open* call = calls_.find(handle)) conclude(handle, *call, {Verdict::kFailed, {}, {}, false});
}

void RequestManager::cancel(RequestId id, int attempt) {
    const Open* call = calls_.find(Handle::unpacked(id));
    if (call && call->out && !call->passing && attempt == call->attempts - 1)
        endpoints_->give_up(call->attempt);
}

void RequestManager::probe(const EndpointId& endpoint) { endpoints_->probe(endpoint); }

void RequestManager::add_to_counter(const std::string& name, double amount, Duration life) {
    counter_->add(name, amount, life);
}

// One timer, for the earliest wake-up asked for: the module asks again after each.
void RequestManager::wake(Timestamp at) {
    if (wake_ && at >= wake_at_) return;
    timers_.disarm(wake_);
    wake_at_ = at;
    wake_ = timers_.arm(at, [this] {
        wake_ = {};
        tell([this] { policy_->on_wake(timers_.now()); });
    });
}

void RequestManager::log(const std::string& text) { std::fprintf(stderr, "linnetlead: %s\n", text.c_str()); }

}  // namespace linnetlead::proxy
