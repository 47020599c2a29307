#include "cluster/distribution/fan_out.h"

#include <algorithm>

#include "cluster/distribution/acknowledgement_check.h"

namespace linnetlead::distribution {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kBatchBytes = 128 * 1024, kBatchRecords = 512, kMaxCachedBatches = 16;
constexpr std::size_t kChunkBytes = 64 * 1024;
constexpr std::size_t kChunksPerTick = 32;     // snapshot chunks to all followers together
constexpr std::size_t kMaxOtherSessions = 64;  // tools, and sessions without a hello yet
constexpr Duration kHelloTimeout = 5s, kFollowerTimeout = 7s, kToolTimeout = 60s, kKeepaliveInterval = 1s;
// At most one follower per second is asked to leave. If every relay is above its target, followers would be
// asked forever, so a token bucket limits it: after the burst, one follower in 10 s is asked.
constexpr double kLeaveRequestBurst = 600, kLeaveRequestsPerS = 0.1;
constexpr Duration kLeaveRequestInterval = 1s, kMinSessionAge = 5s;
constexpr std::int64_t kLeaveDurationMs = 600 * 1000;  // sent to the follower that is asked to leave

}  // namespace

FanOut::FanOut(const Relay::Settings& settings, const Relay::Callbacks& callbacks, const History& history,
               RequestHandlers handlers)
    : settings_(settings),
      callbacks_(callbacks),
      history_(history),
      handlers_(std::move(handlers)),
      join_limiter_(settings.joins_per_s, settings.seed),
      chunks_left_(kChunksPerTick),
      leave_tokens_(kLeaveRequestBurst) {}

void FanOut::send_frame(Session session, const Frame& frame, std::size_t bytes) {
    ++traffic_.frames_down;
    traffic_.bytes_down += bytes;
    callbacks_.send_to_follower(session, frame);
}
void FanOut::send_frame(Session session, const Frame& frame) {
    send_frame(session, frame, write(frame).size());
}

std::size_t FanOut::followers() const {
    return static_cast<std::size_t>(std::count_if(sessions_.begin(), sessions_.end(), [](const auto& each) {
        return each.second.has_sent_hello && each.second.role != Role::kTool;
    }));
}

// ---- sessions ----

void FanOut::on_session_opened(Timestamp now, Session session) {
    if (sessions_.size() >= settings_.max_followers + kMaxOtherSessions) {
        reject_join(now, session);
        return;
    }
    Downstream downstream;
    downstream.opened_at = downstream.last_received_at = now;
    sessions_[session] = std::move(downstream);
}

void FanOut::remove_session(Session session) {
    const auto found = sessions_.find(session);
    if (found == sessions_.end()) return;
    if (found->second.snapshot) --active_snapshots_;
    counts_.remove(session);
    sessions_.erase(found);
}

void FanOut::on_session_closed(Session session) { remove_session(session); }

void FanOut::reject(Session session, Rejection rejection, const std::string& message) {
    callbacks_.on_event(EventKind::kRejected,
                        std::string(rejection_message(rejection)) + (message.empty() ? "" : ": " + message));
    send_frame(session, Error{rejection, message});
    remove_session(session);
    callbacks_.close_session(session);
}

void FanOut::reject_join(Timestamp now, Session session) {
    ++traffic_.rejected_joins;
    send_frame(session, Away{join_limiter_.on_rejected(now), Rejection::kTooManyFollowers});
    remove_session(session);
    callbacks_.close_session(session);
}

// Asks only while the relay has a valid heartbeat and nothing else to distribute. The follower tries one
// other relay and returns if that fails.
void FanOut::ask_one_to_leave(Timestamp now) {
    leave_tokens_ =
        std::min(kLeaveRequestBurst,
                 leave_tokens_ + std::chrono::duration<double>(now - leave_tokens_refilled_at_).count() *
                                     kLeaveRequestsPerS);
    leave_tokens_refilled_at_ = now;
    if (settings_.members.size() < 2) return;  // no other relay
    if (now < next_leave_request_ || leave_tokens_ < 1 || followers() <= settings_.target_followers) return;
    const bool has_heartbeat = heartbeat_.at != Timestamp{} && now < heartbeat_.at + settings_.follower.lease;
    if (join_limiter_.is_busy(now) || !has_heartbeat || active_snapshots_ > 0 ||
        history_.pending_change_count() > 0)
        return;
    // Asks the newest follower. If no nearby relay has capacity, the same follower returns as the newest and
    // is asked again, and the others keep their sessions.
    auto newest = sessions_.end();
    for (auto each = sessions_.begin(); each != sessions_.end(); ++each) {
        const Downstream& downstream = each->second;
        if (!downstream.has_sent_hello || downstream.role != Role::kGateway || downstream.needs_full_state ||
            downstream.sent_through != history_.last_index() || now - downstream.opened_at < kMinSessionAge)
            continue;
        if (newest == sessions_.end() || downstream.opened_at >= newest->second.opened_at) newest = each;
    }
    if (newest == sessions_.end()) return;
    leave_tokens_ -= 1;
    next_leave_request_ = now + kLeaveRequestInterval;
    const Session session = newest->first;
    ++traffic_.asked_to_leave;
    send_frame(session, Away{kLeaveDurationMs, Rejection::kTooManyFollowers});
    remove_session(session);
    callbacks_.close_session(session);
}

void FanOut::on_invalid_bytes(Timestamp, Session session, Rejection rejection) {
    if (sessions_.count(session) != 0) reject(session, rejection, "invalid frame bytes");
}

bool FanOut::answer(Session session, const Answer& answer) {
    if (sessions_.count(session) == 0) return false;
    send_frame(session, answer);
    return true;
}

// ---- received frames ----

void FanOut::on_frame(Timestamp now, Session session, const Frame& frame) {
    const auto found = sessions_.find(session);
    if (found == sessions_.end()) return;
    Downstream& downstream = found->second;
    downstream.last_received_at = now;
    ++traffic_.frames_up;
    traffic_.bytes_up += write(frame).size();
    if (const auto* hello = std::get_if<Hello>(&frame)) return on_hello(now, session, downstream, *hello);
    if (!downstream.has_sent_hello)
        return reject(session, Rejection::kMalformed, "the first frame has to be a hello");
    if (const auto* ack = std::get_if<Ack>(&frame)) return on_ack(now, session, downstream, *ack);
    // A session that does not read its answers may not request more of them.
    const bool is_slow = callbacks_.unsent_bytes(session) > settings_.send_window_bytes;
    if (const auto* submit = std::get_if<Submit>(&frame)) {
        if (is_slow) return reject(session, Rejection::kBusy, "the session does not read its answers");
        return handlers_.submit(now, session, *submit);
    }
    if (const auto* ask = std::get_if<Ask>(&frame)) {
        if (is_slow) return reject(session, Rejection::kBusy, "the session does not read its answers");
        return handlers_.state(now, session, *ask);
    }
    reject(session, Rejection::kMalformed, "a follower may not send this type of frame");
}

void FanOut::on_hello(Timestamp now, Session session, Downstream& downstream, const Hello& hello) {
    if (downstream.has_sent_hello) return reject(session, Rejection::kMalformed, "repeated hello");
    if (hello.version != kProtocolVersion)
        return reject(session, Rejection::kMalformed,
                      "protocol version " + std::to_string(hello.version) + " is not supported");
    if (hello.applied_index > hello.last_index)
        return reject(session, Rejection::kMalformed, "its applied index is after its last index");
    downstream.role = hello.role;
    downstream.name = hello.name;
    if (hello.role != Role::kTool) {
        join_limiter_.refill(now);
        if (followers() >= settings_.max_followers ||
            (!join_limiter_.has_capacity() && hello.role == Role::kGateway))
            return reject_join(now, session);
        join_limiter_.on_joined(now);
    }
    downstream.has_sent_hello = true;
    const Relay::Member& self = settings_.members.at(static_cast<std::size_t>(settings_.self));
    send_frame(session, Welcome{self.name, self.region});
    if (hello.role == Role::kTool) return;
    downstream.sent_through = downstream.claimed_index = downstream.max_acknowledgeable = hello.last_index;
    downstream.claimed_term = hello.last_term;
    downstream.applied_index = hello.applied_index;
    downstream.needs_full_state = downstream.wants_snapshot = hello.needs_full_state;
    if (hello.role == Role::kGateway) {
        Ack ack;
        ack.gateways = 1;
        ack.fenced = 1;
        counts_.update(session, ack);
    }
    if (!hello.needs_full_state) check_claimed_record(now, session, downstream);
    send(now, session, downstream);
    if (heartbeat_.at != Timestamp{} && !downstream.needs_full_state) send_frame(session, Lease{heartbeat_});
}

// Compares the newest record that the follower reported with the history, as soon as the history reaches it.
void FanOut::check_claimed_record(Timestamp, Session session, Downstream& downstream) {
    if (downstream.claimed_index == 0 || downstream.claimed_index > history_.last_index()) return;
    const auto term = history_.term_of(downstream.claimed_index);
    if (term && *term != downstream.claimed_term) return require_full_state(session, downstream);
    downstream.claimed_index = 0;
}

void FanOut::require_full_state(Session session, Downstream& downstream) {
    callbacks_.on_event(
        EventKind::kFollower,
        downstream.name + " holds records that are not committed here; it gets the full state");
    downstream.needs_full_state = downstream.wants_snapshot = true;
    downstream.claimed_index = 0;
    // Its acknowledgements so far refer to another history.
    counts_.remove(session);
}

void FanOut::on_ack(Timestamp, Session session, Downstream& downstream, const Ack& ack) {
    if (downstream.role == Role::kTool)
        return reject(session, Rejection::kMalformed, "a tool may not acknowledge records");
    // Until it holds the state of this history, its acknowledgements refer to another one.
    if (downstream.needs_full_state) return;
    if (downstream.awaits_full_state_ack) {
        if (ack.activation_index < downstream.full_state_activation ||
            ack.last_index > downstream.sent_through)
            return;
        downstream.awaits_full_state_ack = false;
        downstream.max_acknowledgeable = downstream.sent_through;
    }
    const std::string false_claim =
        find_false_claim(ack, downstream.role, downstream.max_acknowledgeable, history_);
    if (!false_claim.empty())
        return reject(session, Rejection::kFalseAcknowledgement, downstream.name + ": " + false_claim);
    if (const Record* activation = history_.at(ack.activation_index))
        downstream.applied_index =
            std::max(downstream.applied_index, std::min(activation->through_index, activation->index));
    counts_.update(session, ack);
}

// ---- sending ----

const FanOut::Batch& FanOut::batch_from(LogIndex from) {
    for (const Batch& batch : batches_) {
        if (batch.from == from) return batch;
    }
    Records records;
    std::size_t bytes = 0;
    for (LogIndex index = from; index <= history_.last_index() && records.records.size() < kBatchRecords;
         ++index) {
        bytes += history_.bytes(index, index);
        if (!records.records.empty() && bytes > kBatchBytes) break;
        records.records.push_back(*history_.at(index));
    }
    Batch batch;
    batch.from = from;
    batch.to = records.records.back().index;
    records.encoded = std::make_shared<const std::string>(write(records));
    batch.bytes = records.encoded->size();
    batch.frame = std::move(records);
    batches_.push_back(std::move(batch));
    if (batches_.size() > kMaxCachedBatches) batches_.pop_front();
    return batches_.back();
}

void FanOut::send(Timestamp now, Session session, Downstream& downstream) {
    if (!downstream.has_sent_hello || downstream.role == Role::kTool) return;
    if (downstream.claimed_index != 0 && !downstream.needs_full_state) {
        check_claimed_record(now, session, downstream);
        if (downstream.claimed_index != 0) return;  // the follower is ahead of this relay
    }
    while (true) {
        if (downstream.snapshot) return send_chunks(session, downstream);
        const LogIndex next = downstream.sent_through + 1;
        if (!downstream.wants_snapshot) {
            if (next > history_.last_index()) return;
            // A snapshot is sent if the next record is no longer retained, or if the records up to the
            // applied index take more bytes than the send window: the latest value of each key is then
            // cheaper.
            downstream.wants_snapshot =
                next < history_.first_index() ||
                (next <= history_.applied_index() &&
                 history_.bytes(next, history_.applied_index()) > settings_.send_window_bytes);
        }
        if (downstream.wants_snapshot) {
            // Waits until at most half a window of earlier records is unsent. The snapshot need not repeat
            // what the follower acknowledges until then.
            if (callbacks_.unsent_bytes(session) > settings_.send_window_bytes / 2 ||
                !begin_snapshot(downstream))
                return;
            continue;
        }
        if (callbacks_.unsent_bytes(session) > settings_.send_window_bytes) return;
        const Batch& batch = batch_from(next);
        downstream.sent_through = batch.to;
        downstream.max_acknowledgeable = std::max(downstream.max_acknowledgeable, batch.to);
        send_frame(session, batch.frame, batch.bytes);
    }
}

bool FanOut::begin_snapshot(Downstream& downstream) {
    if (static_cast<double>(active_snapshots_) >= settings_.max_concurrent_snapshots) return false;
    ++active_snapshots_;
    downstream.wants_snapshot = false;
    downstream.snapshot = Snapshot();
    Snapshot& snapshot = *downstream.snapshot;
    snapshot.tombstones_since = history_.store().tombstones_since();
    if (!downstream.needs_full_state && downstream.applied_index <= history_.applied_index() &&
        downstream.applied_index >= snapshot.tombstones_since)
        snapshot.since_revision = downstream.applied_index;
    return true;
}

void FanOut::send_chunks(Session session, Downstream& downstream) {
    Snapshot& snapshot = *downstream.snapshot;
    while (chunks_left_ > 0 && callbacks_.unsent_bytes(session) <= settings_.snapshot_window_bytes) {
        // The store has dropped tombstones since the snapshot began, so the snapshot may lack the removal of
        // a key. It starts again, as a full one if the dropped tombstones are newer than its base revision.
        if (history_.store().tombstones_since() != snapshot.tombstones_since) {
            const bool is_full = snapshot.since_revision < history_.store().tombstones_since();
            snapshot =
                Snapshot{is_full ? 0 : snapshot.since_revision, history_.store().tombstones_since(), 0, 0};
        }
        --chunks_left_;
        SnapshotChunk chunk;
        chunk.since_revision = snapshot.since_revision;
        chunk.sequence = snapshot.next_sequence++;
        snapshot.store_position = history_.store().read_slice(
            snapshot.store_position, snapshot.since_revision, kChunkBytes,
            [&chunk](std::string_view key, std::optional<std::string_view> value, LogIndex index) {
                chunk.entries.push_back({std::string(key), std::nullopt, index});
                if (value) chunk.entries.back().value = std::string(*value);
            });
        const bool is_last = snapshot.store_position == 0;
        if (is_last) {
            chunk.is_last = true;
            chunk.last_included_index = history_.applied_index();
            chunk.last_included_term = history_.applied_term();
            chunk.hash = history_.store().hash();
            chunk.tombstones_since = history_.store().tombstones_since();
            chunk.activated_at = history_.activated_at();
            chunk.activation_index = history_.activation_index();
            chunk.revision = history_.revision();
            downstream.sent_through = downstream.applied_index = chunk.last_included_index;
            downstream.max_acknowledgeable =
                std::max(downstream.max_acknowledgeable, chunk.last_included_index);
            if (downstream.needs_full_state) {
                downstream.awaits_full_state_ack = true;
                downstream.full_state_activation = chunk.activation_index;
            }
            downstream.needs_full_state = false;
            downstream.claimed_index = 0;
            downstream.snapshot.reset();
            --active_snapshots_;
            ++traffic_.snapshots;
        }
        chunk.encoded = std::make_shared<const std::string>(write(chunk));
        const std::size_t bytes = chunk.encoded->size();
        send_frame(session, chunk, bytes);
        if (is_last) return;
    }
}

void FanOut::send(Timestamp now) {
    for (auto each = sessions_.begin(); each != sessions_.end();) {
        // Sending may remove the session.
        const auto next = std::next(each);
        send(now, each->first, each->second);
        each = next;
    }
}

void FanOut::on_history_replaced(Timestamp now) {
    batches_.clear();
    std::vector<Session> ahead;
    for (auto& [session, downstream] : sessions_) {
        // It holds records that this relay no longer has; it reports its position again on reconnection.
        if (downstream.has_sent_hello && downstream.role != Role::kTool && downstream.claimed_index == 0 &&
            downstream.sent_through > history_.last_index())
            ahead.push_back(session);
        if (!downstream.snapshot) continue;
        downstream.snapshot.reset();
        --active_snapshots_;
        downstream.wants_snapshot = true;
    }
    for (const Session session : ahead) {
        remove_session(session);
        callbacks_.close_session(session);
    }
    send(now);
}

void FanOut::send_heartbeat(Timestamp now, const Heartbeat& heartbeat) {
    heartbeat_ = heartbeat;
    heartbeat_sent_at_ = now;
    const Frame frame = Lease{heartbeat};
    const std::size_t bytes = write(frame).size();
    for (const auto& [session, downstream] : sessions_) {
        if (!downstream.has_sent_hello || downstream.role == Role::kTool) continue;
        if (callbacks_.unsent_bytes(session) > settings_.send_window_bytes) continue;
        // A follower that needs the full state must not renew its lease by this heartbeat. It gets an empty
        // one, which only shows that this relay is alive.
        if (downstream.needs_full_state) {
            send_frame(session, Lease{});
        } else {
            send_frame(session, frame, bytes);
        }
    }
}

void FanOut::tick(Timestamp now) {
    chunks_left_ = kChunksPerTick;
    std::vector<Session> timed_out;
    for (auto& [session, downstream] : sessions_) {
        const Duration silence = now - downstream.last_received_at;
        const Duration max_silence = !downstream.has_sent_hello       ? kHelloTimeout
                                     : downstream.role == Role::kTool ? kToolTimeout
                                                                      : kFollowerTimeout;
        if (silence > max_silence) timed_out.push_back(session);
        // A heartbeat from after the session opened shows that less is committed than the follower claims to
        // hold.
        if (downstream.has_sent_hello && downstream.claimed_index > heartbeat_.committed &&
            !downstream.needs_full_state &&
            heartbeat_.at > downstream.opened_at + settings_.follower.max_clock_skew)
            require_full_state(session, downstream);
    }
    for (const Session session : timed_out) {
        remove_session(session);
        callbacks_.close_session(session);
    }
    send(now);
    ask_one_to_leave(now);
    // Repeats the newest heartbeat, so that followers do not consider this relay lost when no newer one
    // arrives.
    if (now - heartbeat_sent_at_ > kKeepaliveInterval) send_heartbeat(now, heartbeat_);
}

}  // namespace linnetlead::distribution
