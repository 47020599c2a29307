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

// Fallback for a request that the module has not answered: the answer is sent this long after the deadline,
// and still reaches the client in time.
constexpr Duration kOverdueDelay = 6ms;
// 1/20 of the window in which endpoints recognize a repeated key is left for the transfer to the endpoint.
constexpr int kDeliveryPart = 20;
constexpr std::size_t kKeptForRequests = 4;  // 1/4 of their memory is never given to anything else

std::string hex(std::uint64_t id) {
    constexpr int kDigits = 16;
    char text[kDigits + 1];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(id));
    return text;
}

std::string in_ms(Duration time) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + " ms";
}

}  // namespace

RequestManager::RequestManager(const config::Site& site, std::uint64_t seed, Limits limits, Timers& timers)
    : timers_(timers),
      limits_(limits),
      classes_(site.settings.classes),
      max_attempts_(site.settings.max_attempts),
      max_units_(site.settings.max_units),
      new_tenant_limiter_(limits.accounts),
      limiter_retry_after_(site.settings.retry_after ? site.settings.max_retry_after : Duration{0}),
      policy_(new policy::Policy(site.settings, seed, timers.now(), *this)) {
    counts_.classes.resize(classes_.size());
    for (const policy::RatePlanSettings& plan : site.settings.plans) plan_names_.push_back(plan.name);
}
RequestManager::~RequestManager() = default;

void RequestManager::attach(UpstreamPort& endpoints, CounterPort& counter) {
    endpoints_ = &endpoints;
    counter_ = &counter;
}

// An action can cause another event at once (unknown endpoint, no socket left). The module is not reentered:
// such events are deferred until it has returned.
template <typename Event>
void RequestManager::dispatch(Event event) {
    if (dispatching_) {
        deferred_events_.emplace_back(std::move(event));
        return;
    }
    dispatching_ = true;
    run_guarded(event);
    while (!deferred_events_.empty()) {
        const auto next = std::move(deferred_events_.front());
        deferred_events_.pop_front();
        run_guarded(next);
    }
    dispatching_ = false;
}

// An exception thrown by the module loses the current event only. A request that stays unanswered because of
// it is answered by fail_overdue().
template <typename Event>
void RequestManager::run_guarded(const Event& event) {
    try {
        event();
    } catch (const std::exception& e) {
        log(e.what());
    }
}

// ---- From the downstream server
// ------------------------------------------------------------------------------------

std::optional<RequestManager::Refusal> RequestManager::refusal_of(const DownstreamRequest& incoming) {
    const Timestamp now = timers_.now();
    const std::size_t size = incoming.payload.bytes.size();
    if (requests_.size() >= limits_.calls || bytes_ + size > limits_.bytes)
        return Refusal{Verdict::kRejected, {}, Event::kRequestWithoutRoom};
    if (!is_idempotent(incoming.request.traffic_class) && recent_.contains(incoming.name, now))
        return Refusal{Verdict::kFailed, {}, Event::kRequestWithRecentId};
    // Endpoints could not distinguish two open requests with the same id.
    if (client_ids_.count(incoming.name) > 0) return Refusal{Verdict::kFailed, {}, Event::kRequestWithOpenId};
    if (!new_tenant_limiter_.passes(now, incoming.request.tenant))
        return Refusal{Verdict::kRejected, limiter_retry_after_, Event::kRequestOfNewTenant};
    return std::nullopt;
}

Handle RequestManager::take(DownstreamRequest incoming, DownstreamPort& downstream, Ticket ticket) {
    if (const auto refusal = refusal_of(incoming)) {
        note_turned_away(incoming, refusal->verdict, refusal->reason);
        downstream.answer(ticket, {refusal->verdict, {}, refusal->retry_after, false});
        return {};
    }
    client_ids_.insert(incoming.name);
    const std::size_t size = incoming.payload.bytes.size();
    const Handle handle = requests_.add();
    OpenRequest& open = *requests_.find(handle);
    open.downstream = &downstream;
    open.ticket = ticket;
    open.name = incoming.name;
    open.payload = std::move(incoming.payload);
    open.taken_at = timers_.now();
    open.due = incoming.request.due;
    open.traffic_class = incoming.request.traffic_class;
    open.units = static_cast<float>(incoming.request.units);
    if (accounts_) accounts_->taken(timers_.now(), handle, incoming.request);
    if (routes_) open.mark = routes_->route(timers_.now(), incoming.request);
    if (accounts_) accounts_->charge(timers_.now(), handle, incoming.request);
    open.deadline = timers_.arm(open.due + kOverdueDelay, [this, handle] { fail_overdue(handle); });
    bytes_ += size;
    ++counts_.in_progress;
    // The handle serves as the module's request id, because a client may reuse its own id once it is
    // answered.
    incoming.request.id = handle.packed();
    if (statements_) {
        const StatementPort::Ruling ruling =
            statements_->taken(timers_.now(), handle, incoming.request, open.payload);
        open.has_statement = ruling != StatementPort::Ruling::kPass;
        if (ruling == StatementPort::Ruling::kHold) {
            open.held = std::make_unique<policy::Request>(std::move(incoming.request));
            return handle;
        }
        if (ruling == StatementPort::Ruling::kReject || ruling == StatementPort::Ruling::kFail) {
            if (accounts_ && ruling == StatementPort::Ruling::kReject)
                accounts_->rejected(timers_.now(), handle);
            conclude(handle, open,
                     {ruling == StatementPort::Ruling::kReject ? Verdict::kRejected : Verdict::kFailed,
                      {},
                      {},
                      false},
                     Event::kRequestOfStatement);
            return {};
        }
    }
    dispatch([this, request = std::move(incoming.request)] { policy_->on_request(timers_.now(), request); });
    return requests_.find(handle) ? handle : Handle{};
}

void RequestManager::release(Handle handle) {
    OpenRequest* open = requests_.find(handle);
    if (!open || open->answered || !open->held) return;
    const auto request = std::move(open->held);
    dispatch([this, request = std::move(*request)] { policy_->on_request(timers_.now(), request); });
}

void RequestManager::answer_held(Handle handle, const Answer& answer) {
    OpenRequest* open = requests_.find(handle);
    if (!open || !open->held) return;
    if (accounts_ && answer.verdict == Verdict::kRejected) accounts_->rejected(timers_.now(), handle);
    if (answer.verdict == Verdict::kServed) return conclude(handle, *open, answer);
    conclude(handle, *open, answer, Event::kRequestOfStatement);
}

void RequestManager::withdraw(Handle handle) {
    OpenRequest* open = requests_.find(handle);
    if (!open || open->answered) return;
    const Handle attempt = open->attempt;
    note(Event::kRequestWithdrawn, *open);
    mark_answered(handle, *open);
    abandon(handle, attempt);
}

// Cancels the attempt of an answered request: it could still be sent on a connection that comes up later.
void RequestManager::abandon(Handle handle, Handle attempt) {
    if (attempt) endpoints_->client_gone(attempt);
    dispatch([this, handle] { policy_->on_withdrawn(timers_.now(), handle.packed()); });
}

void RequestManager::answer_all() {
    std::vector<Handle> unanswered;
    requests_.for_each([&unanswered](Handle handle, const OpenRequest& open) {
        if (!open.answered && !open.streaming) unanswered.push_back(handle);
    });
    for (const Handle handle : unanswered) {
        OpenRequest* open = requests_.find(handle);
        if (!open || open->answered) continue;
        const Handle attempt = open->attempt;
        // abandon() below makes sure that an attempt not written yet is never written.
        const bool may_run = open->attempt_pending && !endpoints_->is_unsent(attempt);
        const Verdict verdict = !may_run && is_harmless(*open) ? Verdict::kRejected : Verdict::kFailed;
        conclude(handle, *open, {verdict, {}, {}, false}, Event::kRequestAtShutdown);
        abandon(handle, attempt);
    }
}

// Attempts are limited to the deadline, so the module answers before it. If it does not, the client still
// gets an answer here.
void RequestManager::fail_overdue(Handle handle) {
    OpenRequest* open = requests_.find(handle);
    if (!open || open->answered) return;
    const Handle attempt = open->attempt;
    conclude(handle, *open, {Verdict::kFailed, {}, {}, false}, Event::kRequestOverdue);
    abandon(handle, attempt);
}

void RequestManager::conclude(Handle handle, OpenRequest& open, const Answer& answer, Event reason) {
    if (!open.answered) note(reason, open);
    conclude(handle, open, answer);
}

void RequestManager::note(Event event, const OpenRequest& open) {
    if (!events_.note(event, timers_.now())) return;
    std::string text = "id " + hex(open.name) + " " +
                       classes_[static_cast<std::size_t>(open.traffic_class)].name + ", " +
                       in_ms(timers_.now() - open.taken_at) + " after it came, " +
                       std::to_string(open.attempts) + " attempts";
    if (open.attempt_pending) text += ", one is open at " + open.endpoint;
    if (open.may_have_run) text += ", it may have run";
    events_.write(event, text);
}

void RequestManager::note_unserved(const OpenRequest& open, const AttemptEnd& end) {
    const Event event = event_of(end);
    if (!events_.note(event, timers_.now())) return;
    events_.write(event, "id " + hex(open.name) + " " +
                             classes_[static_cast<std::size_t>(open.traffic_class)].name + ", attempt " +
                             std::to_string(open.attempts) + " at " + open.endpoint + " after " +
                             in_ms(timers_.now() - open.sent) + (open.streaming ? ", streaming" : ""));
}

void RequestManager::note_turned_away(const DownstreamRequest& request, Verdict verdict, Event reason) {
    count_answer(request.request.traffic_class, verdict);
    if (events_.note(reason, timers_.now())) events_.write(reason, "id " + hex(request.name) + ", not taken");
}

void RequestManager::conclude(Handle handle, OpenRequest& open, const Answer& answer) {
    if (open.answered) return;
    DownstreamPort* const downstream = open.downstream;
    const Ticket ticket = open.ticket;
    count_answer(open.traffic_class, answer.verdict);
    mark_answered(handle, open);
    downstream->answer(ticket, answer);
}

void RequestManager::count_answer(int traffic_class, Verdict verdict) {
    Counts::OfClass& of = counts_.classes[static_cast<std::size_t>(traffic_class)];
    ++(verdict == Verdict::kServed ? of.served : verdict == Verdict::kRejected ? of.rejected : of.failed);
}

std::vector<std::uint64_t> RequestManager::unrepeatable_ids() {
    std::vector<std::uint64_t> ids = recent_.newest(RecentRequests::kMaxIds, timers_.now());
    requests_.for_each([this, &ids](Handle, const OpenRequest& open) {
        if (open.attempts > 0 && !is_idempotent(open.traffic_class)) ids.push_back(open.name);
    });
    return ids;
}

void RequestManager::remember(const std::vector<std::uint64_t>& client_ids) {
    for (const std::uint64_t id : client_ids) recent_.add(id, timers_.now());
}

std::size_t RequestManager::left_out() const { return policy_->ejected_count(timers_.now()); }

// Marks the request as answered and removes it if no attempt is pending.
void RequestManager::mark_answered(Handle handle, OpenRequest& open) {
    open.answered = true;
    --counts_.in_progress;
    timers_.disarm(std::exchange(open.deadline, {}));
    drop_if_done(handle);
}

// A request is counted once, when its first attempt has reached an endpoint completely, whatever the result.
void RequestManager::record_usage(Handle handle, OpenRequest& open, const AttemptEnd& end,
                                  const policy::AttemptResult& result) {
    const double units = open.units;
    if (end.stage >= Stage::kWritten && !std::exchange(open.sent_on, true)) {
        accounts_->sent_on(timers_.now(), handle, units);
    }
    const bool has_actual_units = end.ending == Ending::kServed && result.actual_units > 0;
    if (has_actual_units && result.actual_units != units)
        accounts_->settled(handle, result.actual_units - units);
}

void RequestManager::add_plans(std::vector<policy::RatePlanSettings> more) {
    for (const policy::RatePlanSettings& plan : more) plan_names_.push_back(plan.name);
    if (routes_) routes_->plans_added(more);
    dispatch([this, more = std::move(more)] { policy_->on_plans_added(timers_.now(), more); });
}

void RequestManager::drop_if_done(Handle handle) {
    const OpenRequest* open = requests_.find(handle);
    if (!open || !open->answered || open->attempt_pending) return;
    if (accounts_) accounts_->over(handle);
    if (statements_ && open->has_statement) statements_->over(handle);
    bytes_ -= open->payload.bytes.size() + open->changed.bytes.size();
    client_ids_.erase(open->name);
    if (open->may_have_run && !is_idempotent(open->traffic_class)) recent_.add(open->name, timers_.now());
    requests_.remove(handle);
}

// ---- From the upstream pool, the counter and discovery
// -----------------------------------------------------------------

bool RequestManager::reserve(std::size_t bytes) {
    if (requests_.size() >= limits_.calls || bytes_ + bytes > limits_.bytes) return false;
    bytes_ += bytes;
    return true;
}

bool RequestManager::reserve_spare(std::size_t bytes) {
    if (bytes_ + bytes > limits_.bytes - limits_.bytes / kKeptForRequests) return false;
    bytes_ += bytes;
    return true;
}

void RequestManager::take_over(const policy::QuotaState& state) {
    dispatch([this, state] { policy_->restore_quota(timers_.now(), state); });
}

void RequestManager::go_on(Handle handle) {
    const OpenRequest* open = requests_.find(handle);
    if (open && open->attempt_pending && open->streaming) endpoints_->go_on(open->attempt);
}

// A value whose first bytes arrive in time counts as answered in time: the deadline no longer applies.
RequestManager::Wanted RequestManager::value_begins(Handle handle, std::size_t size) {
    OpenRequest* open = requests_.find(handle);
    if (!open || open->answered) return Wanted::kNothing;
    open->streaming = true;
    open->first_bytes = timers_.now();
    timers_.disarm(std::exchange(open->deadline, {}));
    open->downstream->begin_value(open->ticket, size, std::max(Duration{0}, open->due - open->first_bytes));
    dispatch([this, handle, attempt = open->attempts - 1] {
        policy_->on_stream_started(timers_.now(), handle.packed(), attempt);
    });
    return Wanted::kMore;
}

RequestManager::Wanted RequestManager::value_piece(Handle handle, std::string_view piece) {
    OpenRequest* open = requests_.find(handle);
    if (!open || open->answered) return Wanted::kNothing;
    return open->downstream->pass_value(open->ticket, piece) ? Wanted::kMore : Wanted::kPause;
}

void RequestManager::value_ends(Handle handle) {
    OpenRequest* open = requests_.find(handle);
    if (open) conclude(handle, *open, {Verdict::kServed, {}, {}, true});
}

void RequestManager::attempt_ended(Handle handle, const AttemptEnd& reported) {
    OpenRequest* open = requests_.find(handle);
    if (!open || !open->attempt_pending) return;
    const Timestamp now = timers_.now();
    AttemptEnd end = reported;
    // The endpoint reports that it no longer has the statement; it has not run the request.
    const bool moved_on = open->has_statement && statements_ && end.ending == Ending::kError &&
                          statements_->moved_on(now, handle, open->endpoint, end.error);
    if (moved_on) end = {Stage::kUnconnected, Ending::kGivenUp, {}, 0, {}, {}};
    policy::AttemptResult result;
    result.id = handle.packed();
    result.attempt = open->attempts - 1;
    result.endpoint = open->endpoint;
    result.outcome = outcome_of(end);
    result.latency = (open->streaming ? open->first_bytes : now) - open->sent;
    // Protects the quotas from an impossible cost.
    result.actual_units = end.actual_units <= max_units_ ? end.actual_units : 0;
    result.report = end.report;
    if (end.ending != Ending::kServed) note_unserved(*open, end);
    open->attempt_pending = false;
    if (routes_ && open->attempts == 1) {
        routes_->ended(open->mark, open->traffic_class, open->units, result.outcome, result.latency);
    }
    if (routes_)
        routes_->tried(now, open->endpoint, open->traffic_class, open->units, result.outcome, result.latency);
    if (accounts_) record_usage(handle, *open, end, result);
    open->attempt = {};
    if (!proves_not_run(result.outcome) && !std::exchange(open->may_have_run, true)) {
        open->first_run_at = open->sent;
    }
    // The client has received a part of a truncated value: no other answer and no retry is possible.
    const bool truncated = open->streaming && !open->answered;
    result.concluded = open->answered || truncated || end.ending == Ending::kServed;
    if (truncated) {
        conclude(handle, *open, {Verdict::kFailed, {}, {}, true}, Event::kRequestTruncated);
    } else if (end.ending == Ending::kServed && !open->answered) {
        conclude(handle, *open, {Verdict::kServed, end.value, {}, false});
    } else {
        drop_if_done(handle);
    }
    dispatch([this, result = std::move(result)] { policy_->on_result(timers_.now(), result); });
}

void RequestManager::probed(const EndpointId& endpoint, Outcome outcome, const policy::LoadReport& report) {
    dispatch([this, endpoint, outcome, report] {
        policy_->on_probe_result(timers_.now(), endpoint, outcome, report);
    });
}

void RequestManager::counted(const std::string& name, policy::CounterStatus status, double total) {
    if (routes_ && routes_->counted(timers_.now(), name, status, total)) return;
    if (accounts_ && accounts_->counted(timers_.now(), name, status, total)) return;
    dispatch([this, name, status, total] { policy_->on_counter_reply(timers_.now(), name, status, total); });
}

void RequestManager::listed(policy::EndpointListKind kind, const std::vector<DiscoveredEndpoint>& entries) {
    std::vector<policy::EndpointInfo> known;
    known.reserve(entries.size());
    for (const DiscoveredEndpoint& one : entries) known.push_back(one.entry);
    if (routes_) routes_->listed(timers_.now(), kind, known);
    // The upstream pool gets the list before the module acts on it.
    dispatch([this, kind, known = std::move(known), entries] {
        endpoints_->told(entries, kind != policy::EndpointListKind::kChanges);
        policy_->on_endpoint_list(timers_.now(), kind, known);
    });
}

void RequestManager::marked(std::vector<policy::EndpointInfo> entries) {
    dispatch([this, entries = std::move(entries)] {
        policy_->on_endpoint_list(timers_.now(), policy::EndpointListKind::kChanges, entries);
    });
}

// ---- The module's actions -------------------------------------------------------------------------------

// The module is responsible for following the rules; an action that violates them is not carried out.
void RequestManager::send(RequestId id, const EndpointId& endpoint, Duration timeout) {
    const Handle handle = Handle::unpacked(id);
    OpenRequest* open = requests_.find(handle);
    if (!open || open->answered || open->attempt_pending) return;
    const Timestamp now = timers_.now();
    ++open->attempts;
    open->attempt_pending = true;
    open->sent = now;
    open->endpoint = endpoint;
    if (accounts_ && open->attempts == 1) accounts_->sending(handle, open->units);
    if (routes_ && open->attempts == 1)
        open->mark = routes_->sent(now, open->mark, open->traffic_class, endpoint);
    const bool is_unsafe_retry =
        open->may_have_run &&
        classes_[static_cast<std::size_t>(open->traffic_class)].idempotency == Idempotency::kNonIdempotent;
    if (is_unsafe_retry || open->attempts > max_attempts_ || now >= open->due) {
        attempt_ended(handle, {Stage::kUnconnected, Ending::kGivenUp, {}, 0, {}, {}});
        return;
    }
    const Timestamp until = timeout > Duration{0} ? std::min(now + timeout, open->due) : open->due;
    if (open->has_statement) {
        bytes_ -= open->changed.bytes.size();
        open->changed = {};
        const bool goes =
            !statements_ || statements_->sending(now, handle, endpoint, open->payload, open->changed);
        bytes_ += open->changed.bytes.size();
        if (!goes) {
            attempt_ended(handle, {Stage::kUnconnected, Ending::kGivenUp, {}, 0, {}, {}});
            return;
        }
    }
    if (started_ && !is_idempotent(open->traffic_class)) started_(open->name);
    const Payload& payload = open->changed.bytes.empty() ? open->payload : open->changed;
    const Handle attempt = endpoints_->start(handle, endpoint, payload, {until, open->due, write_by(*open)});
    if (open->attempt_pending) open->attempt = attempt;
}

void RequestManager::reject(RequestId id, Duration retry_after) {
    const Handle handle = Handle::unpacked(id);
    OpenRequest* open = requests_.find(handle);
    if (!open) return;
    if (accounts_ && open->attempts == 0) accounts_->rejected(timers_.now(), handle);
    conclude(handle, *open,
             {is_harmless(*open) ? Verdict::kRejected : Verdict::kFailed, {}, retry_after, false},
             Event::kRequestRejected);
}

// Whether the request may be rejected: a client may repeat a rejected request, so a repeat has to be
// harmless.
bool RequestManager::is_harmless(const OpenRequest& open) const {
    const policy::TrafficClassSettings& traffic_class =
        classes_[static_cast<std::size_t>(open.traffic_class)];
    return !open.may_have_run || traffic_class.idempotency == Idempotency::kIdempotent ||
           (traffic_class.idempotency == Idempotency::kKeyed &&
            traffic_class.key_scope == policy::KeyScope::kAll);
}

bool RequestManager::is_idempotent(int traffic_class) const {
    return classes_[static_cast<std::size_t>(traffic_class)].idempotency == Idempotency::kIdempotent;
}

// A slow connect or a long body can delay the last byte, so that an attempt that started within the key
// window would be written after it.
Timestamp RequestManager::write_by(const OpenRequest& open) const {
    const policy::TrafficClassSettings& traffic_class =
        classes_[static_cast<std::size_t>(open.traffic_class)];
    if (traffic_class.idempotency != Idempotency::kKeyed || !open.may_have_run) return Timestamp::max();
    return open.first_run_at + traffic_class.key_window - traffic_class.key_window / kDeliveryPart;
}

void RequestManager::fail(RequestId id) {
    const Handle handle = Handle::unpacked(id);
    if (OpenRequest* open = requests_.find(handle))
        conclude(handle, *open, {Verdict::kFailed, {}, {}, false}, Event::kRequestFailed);
}

void RequestManager::cancel(RequestId id, int attempt) {
    const OpenRequest* open = requests_.find(Handle::unpacked(id));
    if (open && open->attempt_pending && !open->streaming && attempt == open->attempts - 1)
        endpoints_->give_up(open->attempt);
}

void RequestManager::probe(const EndpointId& endpoint) { endpoints_->probe(endpoint); }

void RequestManager::add_to_counter(const std::string& name, double amount, Duration life) {
    counter_->add(name, amount, life);
}

// There is one timer, for the earliest requested wake-up: the module requests another one after each.
void RequestManager::wake(Timestamp at) {
    if (wake_ && at >= wake_at_) return;
    timers_.disarm(wake_);
    wake_at_ = at;
    wake_ = timers_.arm(at, [this] {
        wake_ = {};
        dispatch([this] { policy_->on_wake(timers_.now()); });
    });
}

void RequestManager::log(const std::string& text) { std::fprintf(stderr, "linnetlead: %s\n", text.c_str()); }

}  // namespace linnetlead::proxy
