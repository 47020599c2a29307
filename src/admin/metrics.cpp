#include "admin/metrics.h"

namespace linnetlead::admin {

std::string write_figures(const Metrics& figures) {
    std::string out;
    const auto line = [&out](const std::string& name, std::uint64_t value) {
        out += "edge_balancer." + name + '=' + std::to_string(value) + '\n';
    };
    for (std::size_t i = 0; i < figures.classes.size(); ++i) {
        const proxy::Counts::OfClass& of = figures.counts.classes[i];
        line("passed." + figures.classes[i], of.served);
        line("dropped." + figures.classes[i], of.rejected);
        line("bad_gateway." + figures.classes[i], of.failed);
    }
    line("upstream_tries", figures.tries);
    line("in_progress", figures.counts.in_progress);
    line("known_quoters", figures.known);
    line("skipped_quoters", figures.skipped);
    line("client_connections", figures.client_connections);
    line("pending_answer_bytes", figures.pending_answer_bytes);
    line("request_bytes", figures.request_bytes);
    line("resident_kib", figures.resident_kib);
    if (figures.duplicate_replies > 0) line("duplicate_replies", figures.duplicate_replies);
    if (figures.shed_answers > 0) line("shed_answers", figures.shed_answers);
    if (figures.unusable_states > 0) line("unusable_state_files", figures.unusable_states);
    for (std::size_t i = 0; i < static_cast<std::size_t>(proxy::Event::kCount); ++i) {
        const auto event = static_cast<proxy::Event>(i);
        const std::uint64_t count = figures.events.count(event);
        if (count > 0) line("events." + std::string(proxy::name_of(event)), count);
    }
    return out;
}

}  // namespace linnetlead::admin
