#include "server/admin_endpoint.h"

#include <uv.h>

#include "admin/metrics.h"

namespace linnetlead::server {

using admin::Reply;
using admin::Verb;

namespace {

std::size_t resident_kib() {
    constexpr std::size_t kKib = 1024;
    std::size_t bytes = 0;
    return uv_resident_set_memory(&bytes) == 0 ? bytes / kKib : 0;
}

}  // namespace

Reply AdminEndpoint::carry(const admin::Command& command) {
    Reply reply = carried(command);
    const bool changes =
        command.verb != Verb::kReadyz && command.verb != Verb::kMetrics && command.verb != Verb::kAgreement;
    if (changes && reply.status == 200) parts_.done(command);
    return reply;
}

Reply AdminEndpoint::carried(const admin::Command& command) {
    switch (command.verb) {
        case Verb::kReadyz:
            if (!up_) return {503, "not ready: still starting\n", {}};
            if (!parts_.suspensions.has_list()) return {503, "not ready: no list of quoters yet\n", {}};
            return {200, "ready\n", {}};
        case Verb::kMetrics:
            return {200, figures(), {}};
        case Verb::kAgreement:
            if (const std::string told = parts_.agreement(); !told.empty()) return {200, told + '\n', {}};
            return {404, "the operators' file has no accord\n", {}};
        case Verb::kSuspend:
            if (parts_.suspensions.suspend(command.endpoint)) return {200, "suspended\n", {}};
            break;
        case Verb::kResume:
            if (parts_.suspensions.resume(command.endpoint)) return {200, "resumed\n", {}};
            break;
        case Verb::kDrain:
            parts_.drain.drain();
            return {200, "draining\n", {}};
        case Verb::kActivate:
            if (parts_.drain.activate()) return {200, "serving\n", {}};
            return {409, "this gateway is about to end\n", {}};
    }
    return {404, "no such quoter was ever listed\n", {}};
}

std::string AdminEndpoint::figures() const {
    admin::Metrics figures;
    figures.classes = parts_.classes;
    figures.counts = parts_.gateway.counts();
    figures.events = parts_.gateway.events();
    figures.tries = parts_.pool.tries();
    figures.duplicate_replies = parts_.pool.duplicate_replies();
    figures.shed_answers = parts_.clients.shed_answers();
    figures.client_connections = parts_.clients.connections();
    figures.pending_answer_bytes = parts_.clients.pending_bytes();
    figures.request_bytes = parts_.gateway.request_bytes();
    figures.resident_kib = resident_kib();
    figures.known = parts_.suspensions.known();
    if (parts_.unusable_states) figures.unusable_states = parts_.unusable_states();
    figures.skipped = parts_.suspensions.skipped() + parts_.gateway.left_out();
    return admin::write_figures(figures);
}

}  // namespace linnetlead::server
