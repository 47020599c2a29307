#include "server/statement_adapter.h"

#include <utility>

#include "server/sync_points.h"

namespace linnetlead::server {

using namespace std::chrono_literals;
using proxy::EndpointId;

namespace {

constexpr proxy::Duration kPrepareDeadline = 3s;
constexpr int kOwnRequestBits =
    20;  // of a request id; above them the incarnation, so that ids are not reused

statements::PreparationResult result_of(proxy::Ending ending) {
    switch (ending) {
        case proxy::Ending::kServed:
            return statements::PreparationResult::kDone;
        case proxy::Ending::kError:
            return statements::PreparationResult::kRejected;
        default:
            return statements::PreparationResult::kFailed;
    }
}

}  // namespace

StatementAdapter::StatementAdapter(const Config& config, const agreement::ConfigAgreement& agreement,
                                   net::Loop& loop, proxy::RequestManager& requests, Log& log,
                                   std::function<void()> unready_changed)
    : agreement_(agreement),
      loop_(loop),
      requests_(requests),
      log_(log),
      unready_changed_(std::move(unready_changed)),
      client_(loop),
      verb_("Q.DO"),
      pairs_("d=3000") {
    // Preparing is an ordinary request of a class that may run again: the first such class there is.
    for (const auto& traffic_class : config.site.settings.classes) {
        if (traffic_class.idempotency != policy::Idempotency::kIdempotent) continue;
        verb_ = "Q.ASK";
        pairs_ = "c=" + traffic_class.name + ",d=3000";
        break;
    }
    if (!config.site.settings.plans.empty()) pairs_ += ",t=" + config.site.settings.plans.front().name;
    pairs_ += ",units=1,spread=1,first=0";
}

void StatementAdapter::on_addresses(policy::EndpointListKind kind,
                                    const std::vector<proxy::DiscoveredEndpoint>& entries) {
    if (kind == policy::EndpointListKind::kFailed) return;
    if (kind != policy::EndpointListKind::kChanges) addresses_.clear();
    for (const proxy::DiscoveredEndpoint& one : entries) {
        if (one.entry.state == policy::EndpointState::kRemoved) {
            addresses_.erase(one.entry.id);
        } else {
            addresses_[one.entry.id] = one.address;
        }
    }
}

void StatementAdapter::prepare(const EndpointId& endpoint, std::uint64_t preparation_key,
                               const std::string& body) {
    reach_point();
    const auto at = addresses_.find(endpoint);
    const std::uint64_t id =
        (static_cast<std::uint64_t>(agreement_.members().incarnation()) << kOwnRequestBits) + ++own_requests_;
    client_.ask(at == addresses_.end() ? "" : at->second, resp::write_own_call(verb_, id, pairs_, body),
                kPrepareDeadline, [this, endpoint, preparation_key](const proxy::AttemptEnd& end) {
                    statements_->on_prepared(loop_.now(), endpoint, preparation_key, result_of(end.ending),
                                             end.error);
                });
}

void StatementAdapter::release(proxy::Handle request) { requests_.release(request); }

void StatementAdapter::answer(proxy::Handle request, proxy::Verdict verdict, const std::string& value) {
    requests_.answer_held(request, {verdict, value, {}, false});
}

void StatementAdapter::on_unready_changed() { unready_changed_(); }

void StatementAdapter::on_event(const statements::StatementEvent& event) {
    reach_point();
    log_.write(event.at, "forms", {{"what", to_string(event.kind)}, {"text", event.text}});
}

std::string_view StatementAdapter::body_of(const proxy::Payload& payload) const {
    return resp::body_of(payload);
}

proxy::Payload StatementAdapter::with_body(const proxy::Payload& payload, std::string_view head,
                                           std::string_view rest) const {
    return resp::with_body(payload, head, rest);
}

}  // namespace linnetlead::server
