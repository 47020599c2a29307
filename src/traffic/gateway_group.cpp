#include "traffic/gateway_group.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace linnetlead::traffic {

namespace {

using namespace std::chrono_literals;
constexpr Duration kCountLifetime = 8s;  // of a count, which is read once in the next slot

constexpr std::array<double Evidence::*, 6> kEvidenceFields{&Evidence::weight,  &Evidence::slower,
                                                            &Evidence::failing, &Evidence::stage_weight,
                                                            &Evidence::shown,   &Evidence::attempts};

}  // namespace

GatewayGroup::GatewayGroup(std::string rollout_id, int gateways, int phases, GroupChannel& channel)
    : id_(std::move(rollout_id)), gateways_(gateways), phases_(phases), channel_(channel) {
    phases_per_count_ = std::max(1, static_cast<int>(kMaxDigits / std::log10(gateways + 1.0)));
}

std::string GatewayGroup::count_name(char kind, std::int64_t slot_number, std::size_t part) const {
    return std::string(kPrefix) + id_ + '.' + kind + '.' + std::to_string(slot_number) + '.' +
           std::to_string(part);
}

std::string GatewayGroup::evidence_name(const Publication& publication, std::size_t part) const {
    return count_name('e', publication.slot, part) + '.' + std::to_string(publication.stage) + '.' +
           std::to_string(publication.epoch);
}

void GatewayGroup::add_to_count(const std::string& name, double amount) {
    ++counter_requests_;
    channel_.count(name, amount, kCountLifetime);
}

void GatewayGroup::publish_phase(std::int64_t slot_number, int phase) {
    const double digit = std::pow(gateways_ + 1.0, phase % phases_per_count_);
    add_to_count(count_name('p', slot_number, static_cast<std::size_t>(phase / phases_per_count_)), digit);
}

void GatewayGroup::send_query(agreement::SlotQuery query, agreement::SlotQuery& into) {
    into = std::move(query);
    counter_requests_ += into.size();
    into.send(channel_, kCountLifetime);
}

void GatewayGroup::query_phases(std::int64_t slot_number) {
    std::vector<std::string> names;
    for (int phase = 0; phase < phases_; phase += phases_per_count_) {
        names.push_back(count_name('p', slot_number, static_cast<std::size_t>(phase / phases_per_count_)));
    }
    send_query({slot_number, std::move(names)}, phases_query_);
}

void GatewayGroup::publish_evidence(const Publication& publication, const Evidence& own) {
    if (own.stage_weight <= 0) return;
    for (std::size_t part = 0; part < kEvidenceFields.size(); ++part) {
        if (const double amount = own.*kEvidenceFields[part]; amount != 0)
            add_to_count(evidence_name(publication, part), amount);
    }
}

void GatewayGroup::query_evidence(const Publication& publication) {
    queried_publication_ = publication;
    std::vector<std::string> names;
    for (std::size_t part = 0; part < kEvidenceFields.size(); ++part)
        names.push_back(evidence_name(publication, part));
    send_query({publication.slot, std::move(names)}, evidence_query_);
}

void GatewayGroup::tick(Timestamp now, std::optional<int> phase, int stage, const CanaryAnalysis& analysis,
                        bool wants_evidence) {
    if (gateways_ == 1) return tick_alone(now, phase, stage, analysis);
    if (phase && phases_clock_.begin_slot(now)) publish_phase(phases_clock_.slot_number(now), *phase);
    if (const auto complete = phases_clock_.take_complete_slot(now)) query_phases(*complete);
    const std::int64_t evidence_slot = evidence_clock_.slot_number(now);
    if (stage > 0 && evidence_slot != published_.slot) {
        published_before_ =
            std::exchange(published_, Publication{evidence_slot, stage, analysis.epoch_number()});
        publish_evidence(published_, analysis.evidence());
    }
    const auto complete = evidence_clock_.take_complete_slot(now);
    if (!complete || !wants_evidence) return;
    // The evidence published in the complete slot, even if its stage or epoch has ended since.
    for (const Publication& publication : {published_, published_before_}) {
        if (publication.slot == *complete) query_evidence(publication);
    }
}

// A group of one gateway needs no counter.
void GatewayGroup::tick_alone(Timestamp now, std::optional<int> phase, int stage,
                              const CanaryAnalysis& analysis) {
    if (!phases_clock_.begin_slot(now)) return;
    View view;
    view.at = now;
    view.gateways_in_phase.assign(static_cast<std::size_t>(phases_), 0);
    if (phase) view.gateways_in_phase[static_cast<std::size_t>(*phase)] = view.reporting_gateways = 1;
    view_ = std::move(view);
    is_view_new_ = true;
    pooled_ = {analysis.evidence(), stage, analysis.epoch_number(), now};
}

bool GatewayGroup::receive_count(Timestamp now, const std::string& name, bool ok, double total) {
    if (phases_query_.take_answer(name, ok, total)) {
        View view;
        view.at = now;
        view.gateways_in_phase.assign(static_cast<std::size_t>(phases_), 0);
        const auto base = static_cast<std::int64_t>(gateways_ + 1);
        for (int phase = 0; phase < phases_;) {
            auto digits =
                std::llround(phases_query_.total(static_cast<std::size_t>(phase / phases_per_count_)));
            for (int i = 0; i < phases_per_count_ && phase < phases_; ++i, ++phase) {
                const auto gateways = static_cast<int>(digits % base);
                view.gateways_in_phase[static_cast<std::size_t>(phase)] = gateways;
                view.reporting_gateways += gateways;
                digits /= base;
            }
        }
        phases_query_ = {};
        // More gateways than exist: one restarted within the slot, or the counts are damaged.
        if (view.reporting_gateways > gateways_) return false;
        view_ = std::move(view);
        is_view_new_ = true;
        return true;
    }
    if (evidence_query_.take_answer(name, ok, total)) {
        pooled_ = {};
        for (std::size_t part = 0; part < kEvidenceFields.size(); ++part) {
            pooled_.sum.*kEvidenceFields[part] = evidence_query_.total(part);
        }
        pooled_.stage = queried_publication_.stage;
        pooled_.epoch = queried_publication_.epoch;
        pooled_.at = now;
        evidence_query_ = {};
        return true;
    }
    return false;
}

bool GatewayGroup::take_view() { return std::exchange(is_view_new_, false); }

}  // namespace linnetlead::traffic
