#include "cluster/statements/prepared_statements.h"

#include <algorithm>
#include <optional>
#include <string_view>

namespace linnetlead::statements {

using namespace std::chrono_literals;
using Awaits = ParkedRequest::Awaits;

namespace {

constexpr Duration kKeeperUpdateInterval = 500ms;  // also of checks for a catalog to propose
constexpr std::size_t kMaxPendingCatalogs = 4;     // the oldest are dropped
// Changes during a pending proposal go into the next one; a proposal that is pending for longer is
// superseded.
constexpr Duration kProposalTimeout = 10s;
// A parked request leaves 1/4 of the time until its deadline for its execution.
constexpr int kExecutionTimeDivisor = 4;

StatementPreparation::Settings preparation_settings(const PreparedStatements::Settings& settings) {
    StatementPreparation::Settings made;
    made.gateways = settings.gateways;
    made.self = settings.self;
    made.prepares_per_s = settings.prepares_per_s;
    made.max_concurrent = settings.max_concurrent_prepares;
    made.slow_start_min_share = settings.slow_start_min_share;
    made.slow_start_window = settings.slow_start_window;
    made.one_keeper = !settings.test_seams.every_gateway_prepares;
    return made;
}

}  // namespace

const char* to_string(StatementEventKind kind) {
    constexpr const char* kNames[] = {"catalogue", "forgotten"};
    return kNames[static_cast<int>(kind)];
}

PreparedStatements::PreparedStatements(const Settings& settings, agreement::ConfigAgreement& agreement,
                                       StatementGateway& gateway)
    : settings_(settings),
      agreement_(agreement),
      gateway_(gateway),
      preparation_(preparation_settings(settings), agreement, catalog_, gateway) {}

void PreparedStatements::event(Timestamp now, StatementEventKind kind, const std::string& text) {
    gateway_.on_event({now, kind, text});
}

// ---- The catalog ----------------------------------------------------------------------------------------

void PreparedStatements::check_catalog(Timestamp now, agreement::Version version, const std::string& value) {
    pending_catalogs_.emplace_back(version, value);
    if (pending_catalogs_.size() > kMaxPendingCatalogs) pending_catalogs_.erase(pending_catalogs_.begin());
    check_pending_catalogs(now);
}

bool PreparedStatements::is_defined_here(const Statement& named) const {
    const agreement::Record* record = agreement_.find_record(definition_key(named.name));
    if (record && !record->deleted && record->stamp() == named.stamp) return true;
    const Statement* active = catalog_.find(named.name);
    return active && active->stamp == named.stamp && !active->text.empty();
}

// Reports a pending catalog as valid once every definition that it names has arrived, or as invalid if it
// can't be decoded.
void PreparedStatements::check_pending_catalogs(Timestamp now) {
    for (auto at = pending_catalogs_.begin(); at != pending_catalogs_.end(); ++at) {
        const auto statements = decode_catalog(at->second);
        const bool complete =
            statements && std::all_of(statements->begin(), statements->end(),
                                      [this](const Statement& one) { return is_defined_here(one); });
        if (!complete && statements) continue;
        const agreement::Version version = at->first;
        pending_catalogs_.erase(at);
        agreement_.set_check_result(now, kTopic, version, complete);
        return;  // the call may have changed the list; the next record or tick checks the rest
    }
}

void PreparedStatements::on_record(Timestamp now, const agreement::Record& record) {
    const std::string_view prefix = kCachePrefix;
    if (record.key.compare(0, prefix.size(), prefix) == 0) {
        preparation_.on_cache_record(record);
    } else {
        check_pending_catalogs(now);
    }
}

void PreparedStatements::on_catalog_activated(Timestamp now, const std::string& value) {
    const auto named = decode_catalog(value);
    if (!named) return;
    std::map<std::string, Statement> next;
    for (const Statement& one : *named) {
        const agreement::Record* record = agreement_.find_record(definition_key(one.name));
        const Statement* active = catalog_.find(one.name);
        if (active && active->stamp == one.stamp) {
            next[one.name] = *active;
        } else if (record && record->stamp() == one.stamp) {
            if (auto defined = decode_definition(*record)) next[one.name] = std::move(*defined);
        }
    }
    catalog_.set_statements(std::move(next));
    event(now, StatementEventKind::kCatalogActive,
          std::to_string(catalog_.statements().size()) + " statements active");
    preparation_.on_catalog_change();
}

void PreparedStatements::set_schemas(Timestamp, const Schemas& versions) {
    if (versions == catalog_.schemas()) return;
    catalog_.set_schemas(versions);
    preparation_.on_schema_change();
    preparation_.on_catalog_change();
}

Timestamp PreparedStatements::exclusive_from() const {
    if (settings_.test_seams.without_exclusive_wait) return {};
    return std::max(agreement_.exclusive_from(kTopic), agreement_.exclusive_from("settings"));
}

// Proposes a catalog of all definitions among the records, if this gateway is the one that decides and the
// active catalog differs.
void PreparedStatements::propose_catalog(Timestamp now) {
    if (!agreement_.may_decide(now)) return;
    std::vector<Statement> defined;
    agreement_.for_each_record(kDefinitionPrefix, [&](const agreement::Record& record) {
        if (defined.size() >= kMaxStatements) return;
        if (auto statement = decode_definition(record)) defined.push_back(std::move(*statement));
    });
    const std::string value = encode_catalog(defined);
    const std::string* const active = agreement_.active_value(kTopic);
    if (active ? *active == value : defined.empty()) return;
    const auto candidate = agreement_.proposed_version(kTopic);
    const bool is_proposed = candidate && candidate->digest == agreement::hash_of(value);
    const bool another_pending = candidate && now - proposed_at_ < kProposalTimeout;
    if (agreement_.activation_time(kTopic) || is_proposed || another_pending) return;
    proposed_at_ = now;
    const std::uint64_t highest =
        std::max(agreement_.highest_proposed_number(kTopic), agreement_.active_version(kTopic).number);
    // If the agreement refuses the proposal, a later tick repeats it.
    (void)agreement_.propose(now, kTopic, highest + 1, value);
}

// ---- Endpoints and time ---------------------------------------------------------------------------------

void PreparedStatements::on_endpoint_list(policy::EndpointListKind kind,
                                          const std::vector<policy::EndpointInfo>& entries) {
    if (kind == policy::EndpointListKind::kFailed) return;
    preparation_.on_endpoint_list(kind, entries);
    next_keeper_update_ = {};
}

void PreparedStatements::on_prepared(Timestamp now, const EndpointId& endpoint, std::uint64_t preparation_key,
                                     PreparationResult result, std::string_view error) {
    if (preparation_.on_prepared(now, endpoint, preparation_key, result, error)) handle_parked(now);
}

void PreparedStatements::on_payload(Timestamp now, const std::string& payload) {
    if (const auto endpoint = preparation_.on_rejection_notice(payload)) {
        event(now, StatementEventKind::kForgotten, *endpoint + " lost a prepared statement");
    }
}

void PreparedStatements::tick(Timestamp now) {
    if (now >= next_keeper_update_) {
        next_keeper_update_ = now + kKeeperUpdateInterval;
        preparation_.assign_keepers();
        propose_catalog(now);
    }
    check_pending_catalogs(now);
    preparation_.prepare(now);
    preparation_.update_unready(now);
    handle_parked(now);
}

bool PreparedStatements::is_prepared(const EndpointId& endpoint, const std::string& name) const {
    const Statement* statement = catalog_.find(name);
    return statement && preparation_.can_execute(endpoint, *statement);
}

// ---- Requests -------------------------------------------------------------------------------------------

proxy::StatementPort::Ruling PreparedStatements::taken(Timestamp now, Handle handle, policy::Request& request,
                                                       const proxy::Payload& payload) {
    const RequestHead head = parse_head(gateway_.body_of(payload));
    if (head.kind == RequestHead::Kind::kNone) return Ruling::kPass;
    if (head.kind == RequestHead::Kind::kMalformed) return Ruling::kFail;
    if (agreement_.fenced(now) || parked_.size() >= kMaxParkedRequests) return Ruling::kReject;
    ParkedRequest parked;
    parked.statement = head.name;
    parked.deadline = request.due;
    if (head.kind == RequestHead::Kind::kDefine) return define(now, handle, head, std::move(parked));
    if (head.kind == RequestHead::Kind::kDrop) return drop(now, handle, head, std::move(parked));
    return execute(now, handle, request, std::move(parked));
}

proxy::StatementPort::Ruling PreparedStatements::define(Timestamp now, Handle handle, const RequestHead& head,
                                                        ParkedRequest parked) {
    const std::string value = encode_definition(head.schemas, head.rest);
    const bool full = catalog_.statements().size() >= kMaxStatements && !catalog_.find(head.name);
    if (value.size() > agreement::kMaxValueBytes || full) return Ruling::kReject;
    const std::string key = definition_key(head.name);
    const agreement::Record* before = agreement_.find_record(key);
    const bool differs = !before || before->deleted || before->value != value;
    if (differs && !agreement_.put_record(now, key, value)) return Ruling::kReject;
    parked.awaits = Awaits::kDefinition;
    parked.stamp = agreement_.find_record(key)->stamp();
    parked_[handle.packed()] = std::move(parked);
    propose_catalog(now);
    return Ruling::kHold;
}

proxy::StatementPort::Ruling PreparedStatements::drop(Timestamp now, Handle handle, const RequestHead& head,
                                                      ParkedRequest parked) {
    if (!agreement_.delete_record(now, definition_key(head.name)) && !catalog_.find(head.name)) {
        return Ruling::kFail;
    }
    parked.awaits = Awaits::kDrop;
    parked_[handle.packed()] = std::move(parked);
    propose_catalog(now);
    return Ruling::kHold;
}

// Parks the request, as long as its deadline permits, if no endpoint can execute the statement yet or other
// gateways may still act on the previous catalog.
proxy::StatementPort::Ruling PreparedStatements::execute(Timestamp now, Handle handle,
                                                         policy::Request& request, ParkedRequest parked) {
    const Statement* statement = catalog_.find(parked.statement);
    if (!statement) return Ruling::kFail;
    preparation_.on_execute(now, parked.statement);
    executing_[handle.packed()] = parked.statement;
    const bool has_endpoint = preparation_.any_can_execute(*statement);
    if (has_endpoint && is_usable(now)) {
        request.pools &= ~kUnreadyBit;
        request.fallback &= ~kUnreadyBit;
        return Ruling::kForm;
    }
    parked.awaits = Awaits::kExecution;
    const Duration change_left = std::max(Duration{}, exclusive_from() - now);
    parked.deadline = std::min(request.due - (request.due - now) / kExecutionTimeDivisor,
                               now + settings_.max_wait + change_left);
    if (has_endpoint && exclusive_from() >= parked.deadline) {
        executing_.erase(handle.packed());
        return Ruling::kReject;
    }
    parked_[handle.packed()] = std::move(parked);
    return Ruling::kHold;
}

PreparedStatements::Outcome PreparedStatements::outcome_of_definition(const ParkedRequest& parked) const {
    const Statement* statement = catalog_.find(parked.statement);
    if (statement && statement->stamp == parked.stamp) {
        // The answer is "form NAME EDITION", without the schemas.
        constexpr std::size_t kBytesAroundName = 5 + 1 + 16;
        const std::string line = write_head(EndpointCommand::kExecute, *statement, catalog_.schemas());
        return {Outcome::Action::kAnswer, proxy::Verdict::kServed,
                line.substr(0, kBytesAroundName + parked.statement.size())};
    }
    const agreement::Record* record = agreement_.find_record(definition_key(parked.statement));
    // A newer definition has replaced this one, or its record is gone.
    if (!record || parked.stamp < record->stamp()) {
        return {Outcome::Action::kAnswer, proxy::Verdict::kFailed, ""};
    }
    return {};
}

PreparedStatements::Outcome PreparedStatements::outcome_of_execution(Timestamp now,
                                                                     const ParkedRequest& parked) const {
    const Statement* statement = catalog_.find(parked.statement);
    if (!statement) return {Outcome::Action::kAnswer, proxy::Verdict::kFailed, ""};
    if (is_usable(now) && preparation_.any_can_execute(*statement))
        return {Outcome::Action::kRelease, {}, {}};
    const bool fenced_after_change = agreement_.fenced(now) && now >= exclusive_from();
    if (now >= parked.deadline || fenced_after_change) {
        return {Outcome::Action::kAnswer, proxy::Verdict::kRejected, ""};
    }
    return {};
}

PreparedStatements::Outcome PreparedStatements::outcome_of(Timestamp now, const ParkedRequest& parked) const {
    switch (parked.awaits) {
        case Awaits::kDefinition:
            return outcome_of_definition(parked);
        case Awaits::kDrop:
            if (catalog_.find(parked.statement)) return {};
            return {Outcome::Action::kAnswer, proxy::Verdict::kServed, "dropped " + parked.statement};
        case Awaits::kExecution:
            return outcome_of_execution(now, parked);
    }
    return {};
}

void PreparedStatements::handle_parked(Timestamp now) {
    std::vector<std::pair<std::uint64_t, Outcome>> done;
    for (const auto& [packed, parked] : parked_) {
        Outcome outcome = outcome_of(now, parked);
        if (outcome.action != Outcome::Action::kWait) done.emplace_back(packed, std::move(outcome));
    }
    // release() and answer() may call this function again, so the requests are removed first.
    for (const auto& [packed, outcome] : done) parked_.erase(packed);
    for (const auto& [packed, outcome] : done) {
        const Handle handle = Handle::unpacked(packed);
        if (outcome.action == Outcome::Action::kRelease) {
            gateway_.release(handle);
        } else {
            gateway_.answer(handle, outcome.verdict, outcome.value);
        }
    }
}

bool PreparedStatements::sending(Timestamp now, Handle handle, const EndpointId& endpoint,
                                 const proxy::Payload& payload, proxy::Payload& changed) {
    const auto name = executing_.find(handle.packed());
    const Statement* statement = name == executing_.end() ? nullptr : catalog_.find(name->second);
    if (!statement || !is_usable(now) || !preparation_.can_execute(endpoint, *statement)) return false;
    const RequestHead head = parse_head(gateway_.body_of(payload));
    const std::string line = write_head(EndpointCommand::kExecute, *statement, catalog_.schemas());
    changed = gateway_.with_body(payload, line, head.rest);
    return true;
}

bool PreparedStatements::moved_on(Timestamp now, Handle handle, const EndpointId& endpoint,
                                  std::string_view error) {
    const auto rejection = parse_rejection(error);
    if (!rejection) return false;
    const auto name = executing_.find(handle.packed());
    if (name != executing_.end()) preparation_.on_rejection(now, endpoint, name->second, *rejection);
    return true;
}

void PreparedStatements::over(Handle handle) {
    parked_.erase(handle.packed());
    executing_.erase(handle.packed());
}

}  // namespace linnetlead::statements
