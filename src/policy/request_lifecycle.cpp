#include "policy/request_lifecycle.h"

#include <utility>

namespace linnetlead::policy {

OpenRequest* RequestLifecycle::find(RequestId id) {
    const auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second;
}

Attempt* RequestLifecycle::find_attempt(OpenRequest& request, int attempt) const {
    const bool exists = attempt >= 0 && attempt < static_cast<int>(request.attempts.size());
    return exists ? &request.attempts[static_cast<std::size_t>(attempt)] : nullptr;
}

bool RequestLifecycle::is_valid(const Request& request) const {
    const bool has_class = request.traffic_class >= 0 &&
                           request.traffic_class < static_cast<int>(context_.settings.classes.size());
    return has_class && context_.schedule.has_plan(request.plan) && requests_.count(request.id) == 0;
}

void RequestLifecycle::on_request(const Request& request, Timestamp now) {
    if (!is_valid(request)) return;
    Tenant& tenant = context_.tenants.tenant_of(request, now);
    tenant.demand += context_.schedule.plan_of(tenant).rate > 0 ? request.units : 1;
    context_.statistics.add_request(request.units);
    OpenRequest open_request;
    static_cast<Request&>(open_request) = request;
    open_request.arrived_at = now;
    open_request.is_waiting_for_counter = ask_counter(tenant, open_request, request.id, now);
    OpenRequest& stored = requests_[request.id] = std::move(open_request);
    if (!stored.is_waiting_for_counter) decide(request.id, stored, now);
}

bool RequestLifecycle::ask_counter(Tenant& tenant, OpenRequest& request, RequestId id, Timestamp now) {
    if (!tenant.is_sampled) return context_.reservations.reserve(tenant, request, id, now);
    tenant.unreported_demand += context_.schedule.plan_of(tenant).rate > 0 ? request.units : 1;
    // The limiter is checked first, since a counter read would be wasted on a request that it rejects.
    request.has_capacity = context_.limiter.has_capacity(request.traffic_class);
    request.reported =
        request.has_capacity && context_.sampled_reads.read(request.tenant, tenant, id, request.due, now);
    return request.reported;
}

void RequestLifecycle::on_counter_reply(const std::string& count, CounterStatus status, double total,
                                        Timestamp now) {
    const auto call = context_.counter.take_reply(count, status, now);
    if (!call) return;
    Tenant* const tenant = context_.tenants.find(call->tenant);
    if (tenant) {
        const bool of_request = call->waiting_request != 0;
        if (tenant->is_sampled && status == CounterStatus::kOk && of_request) {
            context_.sampled_reads.on_total(*tenant, *call, total, now);
        }
        context_.reports.on_total(*tenant, *call, status, total, now);
    }
    OpenRequest* const request = find(call->waiting_request);
    if (!request || !std::exchange(request->is_waiting_for_counter, false)) return;
    if (tenant && request->holds_units) context_.reservations.on_reply(*tenant, *request, status, now);
    decide(call->waiting_request, *request, now);
}

void RequestLifecycle::decide(RequestId id, OpenRequest& request, Timestamp now) {
    Tenant* const tenant = context_.tenants.find(request.tenant);
    const bool admitted = tenant && context_.timeouts.is_in_time(request, now) &&
                          context_.admission.admits(*tenant, request, now);
    Endpoint* const endpoint = admitted ? context_.balancer.select(request, now) : nullptr;
    if (!endpoint) {
        if (tenant) context_.sampled_reads.withdraw(request, *tenant, now);
        const bool has_concurrency_limit = tenant && context_.schedule.plan_of(*tenant).max_concurrent > 0;
        answer(id, request, has_concurrency_limit && !admitted);
        forget_if_finished(id, request, now);
        return;
    }
    if (!std::exchange(request.holds_units, true)) context_.bucket.spend(*tenant, request.units, now);
    context_.hard_cap.spend(*tenant, request.units);
    send(id, request, *endpoint, now);
}

void RequestLifecycle::send(RequestId id, OpenRequest& request, Endpoint& endpoint, Timestamp now) {
    const bool is_first = request.attempts.empty();
    request.attempts.push_back({endpoint.info.id, now});
    ++request.in_flight;
    context_.endpoints.occupy(endpoint, now);
    context_.probes.on_attempt_sent(now);
    if (Tenant* const tenant = context_.tenants.find(request.tenant)) ++tenant->attempts_in_flight;
    if (is_first) context_.retry_budget.on_first_attempt();
    const auto& traffic_class = context_.settings.classes[static_cast<std::size_t>(request.traffic_class)];
    const bool may_retry_early = is_first && traffic_class.idempotency != Idempotency::kNonIdempotent &&
                                 context_.settings.max_attempts > 1 && context_.retry_budget.has_token();
    context_.actions.send(id, endpoint.info.id, context_.timeouts.timeout(request, may_retry_early, now));
}

// Once the answer has started, the endpoint has done its work, however slowly the client reads it.
void RequestLifecycle::on_stream_started(RequestId id, int attempt) {
    OpenRequest* const request = find(id);
    Attempt* const started = request ? find_attempt(*request, attempt) : nullptr;
    if (started && std::exchange(started->occupies_endpoint, false)) {
        context_.endpoints.release(started->endpoint, started->sent_at);
    }
}

void RequestLifecycle::on_result(const AttemptResult& result, Timestamp now) {
    OpenRequest* const request = find(result.id);
    Attempt* const attempt = request ? find_attempt(*request, result.attempt) : nullptr;
    if (!attempt || !std::exchange(attempt->in_flight, false)) return;
    attempt->may_have_run = !proves_not_run(result.outcome);
    const bool used_nothing = !attempt->may_have_run && result.outcome != Outcome::kRejected;
    request->holds_units = request->holds_units && used_nothing;
    --request->in_flight;
    Tenant* const tenant = context_.tenants.find(request->tenant);
    if (tenant) --tenant->attempts_in_flight;
    context_.statistics.add_attempt(now - attempt->sent_at);
    Endpoint* const endpoint = context_.endpoints.find(attempt->endpoint);
    const bool is_overload =
        endpoint && context_.results.record(*endpoint, request->traffic_class, result, now);
    release_endpoint(*attempt, is_overload && result.outcome == Outcome::kTimeout, now);
    if (tenant) apply_actual_units(*request, result, *tenant, now);
    if (result.concluded) request->answered = true;
    retry_or_answer(result.id, *request, result.outcome == Outcome::kConnectFailed, now);
    forget_if_finished(result.id, *request, now);
}

// After a timeout under load the endpoint probably continues its work for about as long again. It stays
// occupied for that time, since it would otherwise seem idle.
void RequestLifecycle::release_endpoint(const Attempt& attempt, bool timed_out_under_load, Timestamp now) {
    if (!attempt.occupies_endpoint) return;
    if (timed_out_under_load) {
        const Timestamp released = now + (now - attempt.sent_at);
        context_.tasks.schedule(released, {TaskKind::kReleaseEndpoint, attempt.endpoint, attempt.sent_at});
    } else {
        context_.endpoints.release(attempt.endpoint, attempt.sent_at);
    }
}

// Replaces the units announced by the request by those stated in the answer.
void RequestLifecycle::apply_actual_units(const OpenRequest& request, const AttemptResult& result,
                                          Tenant& tenant, Timestamp now) {
    if (result.outcome != Outcome::kOk || result.actual_units <= 0) return;
    const double difference = result.actual_units - request.units;
    context_.bucket.spend(tenant, difference, now);
    if (tenant.is_sampled && context_.schedule.plan_of(tenant).rate > 0)
        tenant.unreported_demand += difference;
}

void RequestLifecycle::retry_or_answer(RequestId id, OpenRequest& request, bool is_exempt_from_budget,
                                       Timestamp now) {
    if (request.answered || request.in_flight > 0) return;
    const bool may_retry = context_.timeouts.is_in_time(request, now) &&
                           (is_exempt_from_budget || context_.retry_budget.has_token());
    Endpoint* const endpoint = may_retry ? context_.balancer.select(request, now) : nullptr;
    if (!endpoint) {
        answer(id, request, false);
        return;
    }
    if (!is_exempt_from_budget) context_.retry_budget.spend();
    send(id, request, *endpoint, now);
}

void RequestLifecycle::answer(RequestId id, OpenRequest& request, bool by_concurrency_quota) {
    if (context_.rules.may_reject(request)) {
        context_.actions.reject(id, context_.retry_after.delay(by_concurrency_quota));
    } else {
        context_.actions.fail(id);
    }
    request.answered = true;
}

void RequestLifecycle::on_client_disconnected(RequestId id, Timestamp now) {
    OpenRequest* const request = find(id);
    if (!request) return;
    request->answered = true;
    forget_if_finished(id, *request, now);
}

// Units that no endpoint has used are returned to the tenant's token bucket.
void RequestLifecycle::forget_if_finished(RequestId id, OpenRequest& request, Timestamp now) {
    if (!request.answered || request.in_flight > 0) return;
    if (Tenant* const tenant = context_.tenants.find(request.tenant)) {
        context_.bucket.return_units(*tenant, request, now);
    }
    requests_.erase(id);
}

}  // namespace linnetlead::policy
