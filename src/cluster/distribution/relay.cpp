#include "cluster/distribution/relay.h"

#include <nlohmann/json.hpp>

#include "cluster/distribution/activation.h"
#include "cluster/distribution/change_router.h"
#include "cluster/distribution/fan_out.h"
#include "cluster/distribution/voter_reports.h"
#include "cluster/distribution/voting_log.h"

namespace linnetlead::distribution {

using namespace std::chrono_literals;
using nlohmann::json;

namespace {

// First byte of a message between voters: a Raft message or a frame.
constexpr char kRaftMessage = 'q', kFrameMessage = 'f';
constexpr std::size_t kMaxPendingListed = 256;  // pending changes listed in the state

Relay::Settings complete_settings(Relay::Settings settings) {
    settings.follower.role = Role::kRelay;
    settings.follower.name = settings.members.at(static_cast<std::size_t>(settings.self)).name;
    settings.follower.seed = settings.seed;
    settings.follower.retention = {settings.retained_records, settings.retained_bytes};
    return settings;
}

Relay::Callbacks complete_callbacks(Relay::Callbacks callbacks) {
    if (!callbacks.on_event) callbacks.on_event = [](EventKind, const std::string&) {};
    return callbacks;
}

}  // namespace

// A voting relay drives `voting_log` and, while it leads, validates changes and decides when they become
// active. A non-voting relay drives `follower`. Both distribute their history and forward submitted changes.
struct Relay::Impl final : private VotingLog::Listener, private ChangeRouter::Port {
    Impl(const Settings& new_settings, Callbacks new_callbacks, PersistentState state)
        : settings(complete_settings(new_settings)),
          callbacks(complete_callbacks(std::move(new_callbacks))),
          is_voter(settings.members.at(static_cast<std::size_t>(settings.self)).is_voter),
          validator({settings.max_pending_changes, settings.follower.max_pending_bytes / 4 * 3,
                     callbacks.validate_value}),
          voting_log(settings, callbacks, validator, *this),
          activation({settings.activation_lead, settings.follower.max_clock_skew,
                      settings.acknowledgement_timeout, settings.wait_for_all,
                      settings.max_unsupported_share}),
          router(*this, settings.seed) {
        if (is_voter) {
            voting_log.start(std::move(state));
        } else {
            follower.emplace(settings.follower, follower_callbacks());
        }
        FanOut::RequestHandlers handlers;
        handlers.submit = [this](Timestamp now, Session session, const Submit& submit) {
            router.on_submit(now, {false, session, submit.request, now + settings.answer_timeout},
                             submit.change, true);
        };
        handlers.state = [this](Timestamp now, Session session, const Ask& ask) {
            fan_out->answer(session, {ask.request, Rejection::kNone, history().revision(), state_json(now)});
        };
        fan_out.emplace(settings, callbacks, history(), std::move(handlers));
    }

    const History& history() const { return is_voter ? voting_log.history() : follower->history(); }

    // ---- non-voting relay ----

    FollowerCallbacks follower_callbacks() {
        FollowerCallbacks result;
        result.connect = callbacks.connect_upstream;
        result.disconnect = callbacks.disconnect_upstream;
        result.send = callbacks.send_upstream;
        result.on_event = callbacks.on_event;
        result.on_record = [this](const Record&) { is_extended = true; };
        result.on_heartbeat = [this](const Heartbeat& heartbeat) { unsent_heartbeat = heartbeat; };
        result.on_state_replaced = [this] { is_replaced = true; };
        result.downstream_acknowledgements = [this] {
            return fan_out->counts().aggregate(history().last_index(), history().scheduled_through());
        };
        return result;
    }
    // Sends what `follower` has received since the last call. Called after `follower` has processed an event,
    // when its history is consistent again.
    void send_updates(Timestamp now) {
        if (std::exchange(is_replaced, false)) fan_out->on_history_replaced(now);
        if (std::exchange(is_extended, false)) fan_out->send(now);
        if (!unsent_heartbeat) return;
        fan_out->send_heartbeat(now, *unsent_heartbeat);
        unsent_heartbeat.reset();
    }

    // ---- voting relay ----

    void on_committed(const Record& record) override {
        validator.on_committed(record);
        router.on_committed(record);
    }
    void on_history_extended(Timestamp now) override { fan_out->send(now); }
    void on_history_replaced(Timestamp now) override { fan_out->on_history_replaced(now); }
    void on_role_may_have_changed(Timestamp now) override { update_role(now); }
    void send_raft_message(int relay, const std::string& message) override {
        callbacks.send_to_voter(relay, kRaftMessage + message);
    }
    void send_frame_to_voter(int relay, const Frame& frame) {
        callbacks.send_to_voter(relay, kFrameMessage + write(frame));
    }

    bool leads() const { return is_voter && voting_log.leads(); }
    std::optional<int> leader() const { return is_voter ? voting_log.leader() : std::nullopt; }

    void update_role(Timestamp now) {
        if (!is_voter) return;
        if (!leads()) {
            if (voting_log.raft().is_leader()) return;
            led_term = 0;
            validator.discard_proposed();
            return;
        }
        if (led_term == voting_log.raft().term()) return;
        led_term = voting_log.raft().term();
        led_since = now;
        activation.start_term(now);
        validator.discard_proposed();
        callbacks.on_event(EventKind::kLeading, "leads in term " + std::to_string(led_term));
    }

    AcknowledgementCounts all_counts(Timestamp now) const {
        return leads() ? voter_reports.combined(now, fan_out->counts()) : fan_out->counts();
    }

    // At the leader: proposes activations and withdrawals that are due.
    void decide_activations(Timestamp now) {
        if (!leads() || led_term != voting_log.raft().term() || history().pending_change_count() == 0) return;
        // The counts cover all gateways when each voter has reported in this term or has had the time to.
        const bool has_all_counts = voter_reports.voters_reported_in(led_term) + 1 >= voting_log.voters() ||
                                    now - led_since >= settings.follower.max_ack_interval * 3 / 2;
        for (const Record& record : activation.decide(now, history(), all_counts(now), has_all_counts)) {
            if (voting_log.raft().propose(now, encode_record_body(record)) == 0)
                activation.on_not_proposed(record);
            if (record.kind == RecordKind::kWithdraw)
                callbacks.on_event(EventKind::kWithdrawn,
                                   "change " + std::to_string(record.through_index) + ": " + record.reason);
        }
    }

    // Reports to the leader what the followers of this relay have acknowledged.
    void report_counts(Timestamp now) {
        const auto leader_number = leader();
        if (!leader_number || *leader_number == settings.self) return voter_reports.on_no_leader();
        const std::pair leader_and_term(*leader_number, voting_log.raft().term());
        const auto& intervals = settings.follower;
        if (!voter_reports.may_be_due(now, leader_and_term, intervals.ack_interval)) return;
        std::string ack =
            write(fan_out->counts().aggregate(history().last_index(), history().scheduled_through()));
        if (!voter_reports.is_due(now, leader_and_term, ack, intervals.max_ack_interval)) return;
        callbacks.send_to_voter(*leader_number, kFrameMessage + ack);
        voter_reports.on_sent(now, leader_and_term, std::move(ack));
    }

    void on_voter_message(Timestamp now, int from, std::string_view message) {
        if (!is_voter || message.empty() || !voting_log.is_voter(from) || from == settings.self) return;
        std::string_view bytes = message.substr(1);
        if (message[0] == kRaftMessage) return voting_log.on_raft_message(now, from, bytes);
        Frame frame;
        Rejection rejection{};
        FrameReader reader;
        if (message[0] != kFrameMessage ||
            reader.take(bytes, frame, rejection) != FrameReader::State::kFrame || !bytes.empty()) {
            callbacks.on_event(EventKind::kRejected, "invalid message from a voter");
            return;
        }
        if (const auto* submit = std::get_if<Submit>(&frame)) {
            router.on_submit(
                now, {true, static_cast<std::uint64_t>(from), submit->request, now + settings.answer_timeout},
                submit->change, false);
        } else if (const auto* answer = std::get_if<Answer>(&frame)) {
            router.on_answer(*answer);
        } else if (const auto* ack = std::get_if<Ack>(&frame)) {
            voter_reports.on_report(now, from, voting_log.raft().is_leader() ? voting_log.raft().term() : 0,
                                    *ack);
        }
    }

    // ---- changes ----

    bool leads(Timestamp now) override {
        update_role(now);
        return leads();
    }
    ChangeRouter::Proposal propose(Timestamp now, const Change& change) override {
        const auto verdict = validator.check(change, history(), voting_log.raft().last_index());
        if (verdict.rejection != Rejection::kNone) return {verdict.rejection, verdict.message, 0, false};
        if (verdict.index != 0) return {Rejection::kNone, {}, verdict.index, !verdict.is_pending};
        Record record;
        record.kind = RecordKind::kChange;
        record.change = change;
        const LogIndex index = voting_log.raft().propose(now, encode_record_body(record));
        if (index == 0) return {Rejection::kBusy, "the log accepts no more changes now", 0, false};
        validator.on_proposed(change, index);
        return {Rejection::kNone, {}, index, false};
    }
    void on_proposed(Timestamp now) override { voting_log.process_ready(now); }
    std::optional<std::string> forward_problem() const override {
        if (!is_voter)
            return follower->connected_relay() ? std::nullopt
                                               : std::optional("not connected to an upstream relay");
        const auto leader_number = leader();
        return leader_number && *leader_number != settings.self ? std::nullopt : std::optional(std::string());
    }
    void forward(const Submit& submit) override {
        is_voter ? send_frame_to_voter(*leader(), submit) : callbacks.send_upstream(submit);
    }
    void answer(const ChangeRouter::Requester& requester, const Answer& reply) override {
        if (requester.is_voter) {
            send_frame_to_voter(static_cast<int>(requester.id), reply);
        } else {
            fan_out->answer(requester.id, reply);
        }
    }

    // ---- time ----

    void tick(Timestamp now) {
        last_tick = now;
        if (!is_voter) {
            follower->tick(now);
            send_updates(now);
            fan_out->tick(now);
            return router.expire(now);
        }
        if (voting_log.is_broken()) return;
        voting_log.activate_due(now);
        voting_log.raft().tick(now);
        decide_activations(now);
        voting_log.process_ready(now);
        update_role(now);
        voting_log.compact();
        voting_log.process_ready(now);
        report_counts(now);
        send_own_heartbeat(now);
        fan_out->tick(now);
        router.expire(now);
    }
    void send_own_heartbeat(Timestamp now) {
        const auto heartbeat = voting_log.raft().heartbeat();
        if (!heartbeat || heartbeat->committed > history().last_index() ||
            now - heartbeat_sent_at < settings.heartbeat_interval || *heartbeat == last_heartbeat)
            return;
        heartbeat_sent_at = now;
        last_heartbeat = *heartbeat;
        fan_out->send_heartbeat(now, *heartbeat);
    }

    const Heartbeat& newest_heartbeat() const { return is_voter ? last_heartbeat : follower->heartbeat(); }
    json pending_json(const AcknowledgementCounts& counts) const;
    std::string state_json(Timestamp now) const;

    const Settings settings;
    const Callbacks callbacks;
    const bool is_voter;
    Timestamp last_tick{};

    // Non-voting relay only.
    std::optional<Follower> follower;
    bool is_extended = false, is_replaced = false;
    std::optional<Heartbeat> unsent_heartbeat;

    // Voting relay only.
    ChangeValidator validator;
    VotingLog voting_log;
    ActivationPolicy activation;
    std::uint64_t led_term = 0;  // the term in which this relay leads; 0 if it does not
    Timestamp led_since{}, heartbeat_sent_at{};
    VoterReports voter_reports;
    Heartbeat last_heartbeat;

    ChangeRouter router;
    std::optional<FanOut> fan_out;
};

json Relay::Impl::pending_json(const AcknowledgementCounts& counts) const {
    json pending = json::array();
    history().for_each_pending(false, [&](const Record& change) {
        if (pending.size() >= kMaxPendingListed) return;
        const UnsupportedCount unsupported = counts.unsupported(change.index);
        pending.push_back({{"change", change.index},
                           {"id", change.change.id},
                           {"keys", change.change.edits.size()},
                           {"settled", change.index <= history().scheduled_through()},
                           {"held", counts.replicated_through(change.index)},
                           {"cannot", unsupported.gateways},
                           {"names", unsupported.gateway_names}});
    });
    return pending;
}

std::string Relay::Impl::state_json(Timestamp now) const {
    const History& held = history();
    const AcknowledgementCounts counts = all_counts(now);
    const auto name_of = [this](const std::optional<int>& relay) {
        return relay ? json(settings.members.at(static_cast<std::size_t>(*relay)).name) : json();
    };
    json form{
        {"relay", settings.follower.name},     {"role", !is_voter ? "follows" : leads() ? "leads" : "votes"},
        {"committed", held.last_index()},      {"settled", held.newest_activation()},
        {"in_force", held.activation_index()}, {"revision", held.revision()},
        {"keys", held.store().size()},         {"bytes", held.store().bytes()},
        {"followers", fan_out->followers()},   {"gateways", counts.gateways()},
        {"fenced", counts.fenced()},           {"pending", pending_json(counts)}};
    if (is_voter) {
        form["term"] = voting_log.raft().term();
        form["leader"] = name_of(leader());
        form["fault"] = voting_log.is_broken();
    } else {
        form["follows"] = name_of(follower->connected_relay());
    }
    const Heartbeat& heartbeat = newest_heartbeat();
    form["beat_age_ms"] = heartbeat.at == Timestamp{} ? json() : json((now - heartbeat.at) / 1ms);
    return form.dump(-1, ' ', false, json::error_handler_t::replace);
}

Relay::Relay(const Settings& settings, Callbacks callbacks, PersistentState state)
    : impl_(std::make_unique<Impl>(settings, std::move(callbacks), std::move(state))) {}
Relay::~Relay() = default;

void Relay::tick(Timestamp now) { impl_->tick(now); }
std::optional<Timestamp> Relay::wake_at() const { return impl_->history().next_activation_time(); }
void Relay::on_persisted(Timestamp now) { impl_->voting_log.on_persisted(now); }
void Relay::on_voter_message(Timestamp now, int from, std::string_view message) {
    impl_->on_voter_message(now, from, message);
}
void Relay::on_session_opened(Timestamp now, Session session) {
    impl_->fan_out->on_session_opened(now, session);
}
void Relay::on_frame(Timestamp now, Session session, const Frame& frame) {
    impl_->fan_out->on_frame(now, session, frame);
}
void Relay::on_invalid_bytes(Timestamp now, Session session, Rejection rejection) {
    impl_->fan_out->on_invalid_bytes(now, session, rejection);
}
void Relay::on_session_closed(Timestamp, Session session) { impl_->fan_out->on_session_closed(session); }

void Relay::on_upstream_connected(Timestamp now) {
    if (impl_->follower) impl_->follower->on_connected(now);
}
void Relay::on_upstream_disconnected(Timestamp now) {
    if (impl_->follower) impl_->follower->on_disconnected(now);
}
void Relay::on_upstream_frame(Timestamp now, const Frame& frame) {
    if (!impl_->follower) return;
    impl_->follower->on_frame(now, frame);
    if (const auto* answer = std::get_if<Answer>(&frame)) impl_->router.on_answer(*answer);
    impl_->send_updates(now);
}

std::string Relay::save() const { return impl_->follower ? impl_->follower->save() : std::string(); }
bool Relay::restore(Timestamp now, const std::string& saved) {
    if (!impl_->follower || !impl_->follower->restore(now, saved)) return false;
    impl_->send_updates(now);
    return true;
}

bool Relay::leads() const { return impl_->leads(); }
std::optional<int> Relay::leader() const { return impl_->leader(); }
LogIndex Relay::committed() const { return impl_->history().last_index(); }
LogIndex Relay::newest_activation() const { return impl_->history().newest_activation(); }
std::optional<Heartbeat> Relay::heartbeat() const {
    const Heartbeat& heartbeat = impl_->newest_heartbeat();
    if (heartbeat.at == Timestamp{}) return std::nullopt;
    return heartbeat;
}
const ResourceStore& Relay::store() const { return impl_->history().store(); }
LogIndex Relay::last_index() const { return impl_->history().last_index(); }
Revision Relay::revision() const { return impl_->history().revision(); }
std::size_t Relay::followers() const { return impl_->fan_out->followers(); }
std::uint32_t Relay::gateways() const { return impl_->all_counts(impl_->last_tick).gateways(); }
std::string Relay::state_json(Timestamp now) const { return impl_->state_json(now); }
const Relay::TrafficCounters& Relay::traffic() const { return impl_->fan_out->traffic(); }

}  // namespace linnetlead::distribution
