#include "cluster/raft/raft_node.h"

#include <algorithm>
#include <utility>

namespace linnetlead::raft {

namespace {

constexpr std::size_t kMaxQueuedMessages = 1024;  // waiting for ready(); further ones are dropped as if lost
constexpr int kSnapshotRetryHeartbeats = 3;       // heartbeat intervals without progress of a transfer

Election::Settings election_settings(const RaftNode::Settings& settings) {
    return {settings.voters, settings.self, settings.seed, settings.heartbeat_interval,
            settings.election_timeout};
}

Leadership::Settings leadership_settings(const RaftNode::Settings& settings) {
    return {settings.voters, settings.self, settings.heartbeat_interval,
            FollowerProgress::Limits{settings.max_message_bytes, settings.max_inflight_bytes,
                                     settings.snapshot_chunk_bytes,
                                     kSnapshotRetryHeartbeats * settings.heartbeat_interval}};
}

}  // namespace

RaftNode::RaftNode(const Settings& settings, const HardState& hard, LogSnapshot snapshot,
                   std::vector<LogEntry> entries)
    : settings_(settings),
      hard_(hard),
      persisted_hard_(hard),
      log_(std::move(snapshot), std::move(entries)),
      election_(election_settings(settings)) {}

std::optional<int> RaftNode::leader() const {
    return election_.leader() < 0 ? std::nullopt : std::optional<int>(election_.leader());
}

void RaftNode::send(int to, const Message& message) {
    if (to == settings_.self || messages_.size() >= kMaxQueuedMessages) return;
    messages_.emplace_back(to, encode_message(message));
}

template <typename Request>
void RaftNode::request_votes(Term term) {
    for (int to = 0; to < settings_.voters; ++to) {
        send(to, Request{term, log_.last_index(), log_.last_term()});
    }
}

void RaftNode::enter_later_term(Term term) {
    hard_ = {term, -1};
    heartbeat_.reset();
    messages_.clear();
    leadership_.reset();
    election_.enter_later_term(now());
}

void RaftNode::begin_pre_vote(Timestamp wall_clock) {
    election_.begin_pre_vote(now());
    if (election_.has_won()) return begin_vote(wall_clock);
    request_votes<PreVoteRequest>(hard_.term + 1);
}

void RaftNode::begin_vote(Timestamp wall_clock) {
    enter_later_term(hard_.term + 1);
    hard_.vote = settings_.self;
    election_.begin_vote(now());
    if (election_.has_won()) return become_leader(wall_clock);
    request_votes<VoteRequest>(hard_.term);
}

void RaftNode::become_leader(Timestamp wall_clock) {
    election_.become_leader();
    const LogIndex first_index = log_.last_index() + 1;
    leadership_.emplace(leadership_settings(settings_), hard_.term, first_index, now());
    log_.append({first_index, hard_.term, std::string()});
    begin_heartbeat_round(wall_clock);
}

void RaftNode::step_down() {
    leadership_.reset();
    election_.step_down(now());
}

void RaftNode::update_heartbeat(const std::optional<LeadershipHeartbeat>& heartbeat) {
    if (heartbeat && (!heartbeat_ || heartbeat->at > heartbeat_->at)) heartbeat_ = heartbeat;
}

void RaftNode::begin_heartbeat_round(Timestamp wall_clock) {
    leadership_->begin_round(wall_clock, now(), log_.commit_index());
    update_heartbeat(leadership_->heartbeat(log_.commit_index()));
}

void RaftNode::advance_commit_index() {
    const LogIndex committable = leadership_->committable_index(log_.persisted_index());
    if (committable <= log_.commit_index()) return;
    log_.commit_up_to(committable);
    update_heartbeat(leadership_->heartbeat(log_.commit_index()));
}

void RaftNode::tick(Timestamp wall_clock) {
    clock_.advance(wall_clock);
    if (!is_leader()) {
        if (settings_.voters == 1) return begin_vote(wall_clock);
        if (election_.is_timed_out(now())) begin_pre_vote(wall_clock);
        return;
    }
    // No majority responds, or the clock went back to before the last heartbeat that this voter published:
    // another voter may lead.
    const Duration timeout = settings_.election_timeout;
    const bool has_lost_majority = settings_.voters > 1 && now() - leadership_->confirmed_at() >= timeout;
    const bool has_clock_gone_back = heartbeat_ && wall_clock + timeout < heartbeat_->at;
    if (has_lost_majority || has_clock_gone_back) return step_down();
    leadership_->cancel_unresponsive_transfers(now(), timeout);
    if (leadership_->is_round_due(now())) begin_heartbeat_round(wall_clock);
}

void RaftNode::receive(Timestamp wall_clock, int from, std::string_view bytes) {
    clock_.advance(wall_clock);
    const bool is_from_voter = from >= 0 && from < settings_.voters && from != settings_.self;
    if (!is_from_voter) {
        ++ignored_messages_;
        return;
    }
    auto message = decode_message(bytes);
    if (!message) {
        ++(message.error() == FlatError::kUnknownVersion ? unknown_versions_ : ignored_messages_);
        return;
    }
    // Pre-votes are about a term that has not begun, so they do not change the term here.
    if (const auto* request = std::get_if<PreVoteRequest>(&*message))
        return on_pre_vote_request(from, *request);
    if (const auto* response = std::get_if<PreVoteResponse>(&*message))
        return on_pre_vote_response(wall_clock, from, *response);
    if (term_of(*message) > hard_.term) enter_later_term(term_of(*message));
    if (const auto* request = std::get_if<VoteRequest>(&*message)) return on_vote_request(from, *request);
    if (const auto* response = std::get_if<VoteResponse>(&*message))
        return on_vote_response(wall_clock, from, *response);
    if (auto* request = std::get_if<AppendRequest>(&*message))
        return on_append_request(from, std::move(*request));
    if (const auto* chunk = std::get_if<SnapshotChunk>(&*message)) return on_snapshot_chunk(from, *chunk);
    if (const auto* response = std::get_if<AppendResponse>(&*message))
        return on_append_response(from, *response);
    if (const auto* response = std::get_if<SnapshotResponse>(&*message))
        return on_snapshot_response(from, *response);
}

void RaftNode::on_pre_vote_request(int from, const PreVoteRequest& request) {
    // Rejected while there is a leader, so that a voter that was partitioned from it does not end its term.
    const bool is_granted = request.term > hard_.term && !election_.has_leader(now()) &&
                            log_.is_candidate_up_to_date(request.last_index, request.last_term);
    if (is_granted) election_.yield_to(from, now());
    send(from, PreVoteResponse{hard_.term, request.term, is_granted});
}

void RaftNode::on_pre_vote_response(Timestamp wall_clock, int from, const PreVoteResponse& response) {
    if (!response.granted && response.term > hard_.term) return enter_later_term(response.term);
    const bool is_expected =
        election_.role() == Role::kPreCandidate && response.requested_term == hard_.term + 1;
    if (!is_expected) return;
    if (!response.granted) return election_.add_rejection(from, now());
    election_.add_vote(from);
    if (election_.has_won()) begin_vote(wall_clock);
}

void RaftNode::on_vote_request(int from, const VoteRequest& request) {
    const bool may_vote_for_sender = hard_.vote == -1 || hard_.vote == from;
    const bool is_granted = request.term == hard_.term && may_vote_for_sender &&
                            log_.is_candidate_up_to_date(request.last_index, request.last_term);
    if (is_granted) {
        hard_.vote = from;
        election_.on_vote_granted(now());
    }
    send(from, VoteResponse{hard_.term, is_granted});
}

void RaftNode::on_vote_response(Timestamp wall_clock, int from, const VoteResponse& response) {
    if (response.term != hard_.term || election_.role() != Role::kCandidate) return;
    if (!response.granted) return election_.add_rejection(from, now());
    election_.add_vote(from);
    if (election_.has_won()) become_leader(wall_clock);
}

// Whether the sender is the leader of this term. A leader of an older term gets a response with the current
// term; a second leader in the same term is impossible, so its message is ignored.
bool RaftNode::accept_leader(int from, Term term, LogIndex request_index,
                             const std::optional<LeadershipHeartbeat>& heartbeat) {
    if (term < hard_.term) {
        AppendResponse response;
        response.term = hard_.term;
        response.previous_index = request_index;
        send(from, response);
        return false;
    }
    if (is_leader() || (election_.leader() >= 0 && election_.leader() != from)) {
        ++ignored_messages_;
        return false;
    }
    election_.follow(from, now());
    update_heartbeat(heartbeat);
    return true;
}

void RaftNode::on_append_request(int from, AppendRequest request) {
    if (!accept_leader(from, request.term, request.previous_index, request.heartbeat)) return;
    if (reject_mismatch(from, request)) return;
    const LogIndex end = request.previous_index + request.entries.size();
    if (!append_entries(std::move(request.entries))) return;
    log_.commit_up_to(std::min(request.commit_index, end));
    send(from, AppendResponse{hard_.term, request.round, request.previous_index, true,
                              std::max(end, log_.snapshot_index())});
}

// If the entry before the request's entries differs from the leader's or is missing, sends a rejection with
// the index after which the leader may retry, and returns true. Entries up to the snapshot's index are
// committed, so they match the leader's; their terms are no longer known.
bool RaftNode::reject_mismatch(int from, const AppendRequest& request) {
    const LogIndex previous = request.previous_index;
    if (previous <= log_.snapshot_index()) return false;
    LogIndex retry_after_index = log_.last_index();
    if (previous <= log_.last_index()) {
        const Term held_term = log_.term_at(previous);
        if (held_term == request.previous_term) return false;
        // Skips the whole term, because the leader has another term at this index.
        LogIndex index_before_term = previous - 1;
        while (index_before_term > log_.commit_index() && log_.term_at(index_before_term) == held_term)
            --index_before_term;
        retry_after_index = std::max(index_before_term, log_.commit_index());
    }
    send(from, AppendResponse{hard_.term, request.round, previous, false, retry_after_index});
    return true;
}

// False: the entries contradict committed ones, which no valid leader sends.
bool RaftNode::append_entries(std::vector<LogEntry> entries) {
    for (LogEntry& entry : entries) {
        if (entry.index <= log_.snapshot_index()) continue;
        if (entry.index <= log_.last_index()) {
            if (log_.term_at(entry.index) == entry.term) continue;
            if (entry.index <= log_.commit_index()) {
                ++ignored_messages_;
                return false;
            }
            log_.truncate_from(entry.index);
        }
        log_.append(std::move(entry));
    }
    return true;
}

void RaftNode::on_snapshot_chunk(int from, const SnapshotChunk& chunk) {
    if (!accept_leader(from, chunk.term, chunk.snapshot_index, chunk.heartbeat)) return;
    SnapshotResponse response;
    response.term = hard_.term;
    response.round = chunk.round;
    response.snapshot_index = chunk.snapshot_index;
    response.checksum = chunk.checksum;
    // If the log has the snapshot's last entry, it has everything in the snapshot. Later entries stay,
    // because they may be committed with the help of this voter's copy.
    const bool has_last_entry = chunk.snapshot_index > log_.commit_index() &&
                                chunk.snapshot_index <= log_.last_index() &&
                                log_.term_at(chunk.snapshot_index) == chunk.snapshot_term;
    if (has_last_entry) log_.commit_up_to(chunk.snapshot_index);
    if (chunk.snapshot_index <= log_.commit_index()) {
        snapshot_receiver_.reset();
        response.complete = true;
        return send(from, response);
    }
    SnapshotReceiver::Progress progress = snapshot_receiver_.add(chunk);
    response.next_offset = progress.next_offset;
    if (progress.is_corrupt) ++ignored_messages_;
    if (progress.complete) {
        log_.install(std::move(*progress.complete), chunk.checksum);
        response.complete = true;
    }
    send(from, response);
}

// Whether this voter, as leader of this term, sent the request; if so, records the response.
bool RaftNode::accept_response(int from, Term term, std::uint64_t round) {
    if (!leadership_ || term != hard_.term) return false;
    if (round > leadership_->round()) {
        ++ignored_messages_;
        return false;
    }
    if (leadership_->follower(from).record_response(round, now())) {
        leadership_->confirm_rounds();
        update_heartbeat(leadership_->heartbeat(log_.commit_index()));
    }
    return true;
}

void RaftNode::on_append_response(int from, const AppendResponse& response) {
    const bool is_to_this_leader = leadership_ && response.term == hard_.term;
    if (is_to_this_leader && response.matched && response.match_index > log_.last_index()) {
        ++ignored_messages_;  // it acknowledges entries that were never sent
        return;
    }
    if (!accept_response(from, response.term, response.round)) return;
    if (leadership_->follower(from).on_append_response(response, log_.snapshot_index()))
        advance_commit_index();
}

void RaftNode::on_snapshot_response(int from, const SnapshotResponse& response) {
    if (!accept_response(from, response.term, response.round)) return;
    if (leadership_->follower(from).on_snapshot_response(response, now())) advance_commit_index();
}

LogIndex RaftNode::propose(Timestamp wall_clock, std::string body) {
    clock_.advance(wall_clock);
    if (!is_leader() || body.empty() || body.size() > kMaxEntryBytes) return 0;
    const std::uint64_t uncommitted = log_.uncommitted_bytes() + body.size() + kEntryOverheadBytes;
    if (uncommitted > settings_.max_uncommitted_bytes) return 0;
    log_.append({log_.last_index() + 1, hard_.term, std::move(body)});
    return log_.last_index();
}

Ready RaftNode::ready() {
    if (is_persisting_) return {};
    for (int to = 0; leadership_ && to < settings_.voters; ++to) {
        if (to == settings_.self) continue;
        while (const auto message = leadership_->next_message(to, log_, heartbeat_, now()))
            send(to, *message);
    }
    Ready out;
    log_.take_unpersisted(out);
    if (!(hard_ == persisted_hard_)) out.hard = persisted_hard_ = hard_;
    out.messages = std::exchange(messages_, {});
    log_.take_committed(out, settings_.max_uncommitted_bytes);
    is_persisting_ = out.to_disk();
    if (is_persisting_) log_.begin_persisting();
    return out;
}

void RaftNode::persisted(Timestamp wall_clock) {
    clock_.advance(wall_clock);
    if (!std::exchange(is_persisting_, false)) return;
    log_.end_persisting();
    if (leadership_) advance_commit_index();
}

}  // namespace linnetlead::raft
