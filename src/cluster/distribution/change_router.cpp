#include "cluster/distribution/change_router.h"

#include <random>
#include <utility>

namespace linnetlead::distribution {

namespace {

constexpr std::size_t kMaxRequesters = 1024;  // that await an answer
constexpr std::uint64_t kSeedMask = 0x72656c6179ULL;
const char* const kTimeoutMessage = "no answer in time: give it again, with the same id";

}  // namespace

ChangeRouter::ChangeRouter(Port& port, std::uint64_t seed)
    : port_(port), next_request_(std::mt19937_64(seed ^ kSeedMask)()) {}

std::size_t ChangeRouter::requester_count() const {
    std::size_t sum = forwarded_.size();
    for (const auto& [index, requesters] : proposed_) sum += requesters.size();
    return sum;
}

void ChangeRouter::answer(const Requester& requester, Answer answer) {
    answer.request = requester.request;
    port_.answer(requester, answer);
}

void ChangeRouter::on_submit(Timestamp now, const Requester& requester, const Change& change,
                             bool may_forward) {
    const auto reject = [&](Rejection rejection, std::string message) {
        answer(requester, {0, rejection, 0, std::move(message)});
    };
    // A malformed change is rejected without forwarding.
    if (const Rejection invalid = distribution::check(change); invalid != Rejection::kNone)
        return reject(invalid, {});
    if (requester_count() >= kMaxRequesters)
        return reject(Rejection::kBusy, "too many changes await an answer");
    if (port_.leads(now)) {
        const Proposal proposal = port_.propose(now, change);
        if (proposal.rejection != Rejection::kNone) return reject(proposal.rejection, proposal.message);
        if (proposal.is_committed) return answer(requester, {0, Rejection::kNone, proposal.index, {}});
        proposed_[proposal.index].emplace_back(change.id, requester);
        return port_.on_proposed(now);
    }
    if (!may_forward) return reject(Rejection::kNoLeader, {});
    if (auto problem = port_.forward_problem()) return reject(Rejection::kNoLeader, std::move(*problem));
    const std::uint64_t request = ++next_request_;
    forwarded_[request] = requester;
    port_.forward(Submit{request, change});
}

void ChangeRouter::on_answer(const Answer& received) {
    const auto found = forwarded_.find(received.request);
    if (found == forwarded_.end()) return;
    const Requester requester = found->second;
    forwarded_.erase(found);
    answer(requester, received);
}

void ChangeRouter::on_committed(const Record& record) {
    const auto found = proposed_.find(record.index);
    if (found == proposed_.end()) return;
    const auto requesters = std::move(found->second);
    proposed_.erase(found);
    for (const auto& [id, requester] : requesters) {
        const bool is_same = record.kind == RecordKind::kChange && record.change.id == id;
        answer(requester,
               is_same ? Answer{0, Rejection::kNone, record.index, {}}
                       : Answer{0, Rejection::kNoLeader, 0, "another change took its place; give it again"});
    }
}

void ChangeRouter::expire(Timestamp now) {
    const Answer timeout{0, Rejection::kNoLeader, 0, kTimeoutMessage};
    for (auto each = forwarded_.begin(); each != forwarded_.end();) {
        if (each->second.deadline > now) {
            ++each;
            continue;
        }
        const Requester requester = each->second;
        each = forwarded_.erase(each);
        answer(requester, timeout);
    }
    for (auto each = proposed_.begin(); each != proposed_.end();) {
        auto& requesters = each->second;
        for (std::size_t i = 0; i < requesters.size();) {
            if (requesters[i].second.deadline > now) {
                ++i;
                continue;
            }
            const Requester requester = requesters[i].second;
            requesters.erase(requesters.begin() + static_cast<std::ptrdiff_t>(i));
            answer(requester, timeout);
        }
        each = requesters.empty() ? proposed_.erase(each) : std::next(each);
    }
}

}  // namespace linnetlead::distribution
