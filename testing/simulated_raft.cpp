#include "testing/simulated_raft.h"

#include <algorithm>
#include <utility>

#include "cluster/raft/flat_codec.h"
#include "cluster/raft/raft_log_store.h"
#include "cluster/raft/raft_message.h"

namespace linnetlead::test_support {

using namespace std::chrono_literals;

namespace {

constexpr Timestamp kStartTime = std::chrono::hours(500000);
constexpr Duration kRestartDelay = 700ms;  // after a crash fault
constexpr Duration kFaultDelay = 1500ms;   // of a message or write, or length of a stall, by a fault

std::uint64_t chain_digest(std::uint64_t chain, std::uint64_t term, std::string_view body) {
    return raft::checksum_of(body, chain * 31 + term);
}

constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325U, kFnvPrime = 0x100000001b3U;

void update_digest(std::uint64_t& digest, std::string_view bytes) {
    for (const char byte : bytes) digest = (digest ^ static_cast<std::uint8_t>(byte)) * kFnvPrime;
}
void update_digest(std::uint64_t& digest, std::uint64_t number) {
    std::string bytes;
    raft::append_fixed(bytes, number, 8);
    update_digest(digest, bytes);
}

}  // namespace

struct SimulatedRaft::Voter {
    std::unique_ptr<RaftNode> node;
    std::unique_ptr<raft::RaftLogStore> store;
    std::uint64_t incarnation = 1;
    Timestamp stalled_until{};
    std::optional<Timestamp> stalled_clock;  // time when a stall began; read once after it
    // Persisted state.
    HardState hard;
    LogSnapshot snapshot;
    std::vector<LogEntry> entries;
    bool is_writing = false;
    LogIndex applied = 0;
    std::uint64_t term_seen = 0;
    std::optional<LeadershipHeartbeat> last_heartbeat;
    Counts counts;
};

SimulatedRaft::SimulatedRaft(const Settings& settings)
    : settings_(settings),
      random_(settings.seed),
      now_(kStartTime),
      begin_(kStartTime),
      is_link_cut_(settings.voters, std::vector<bool>(settings.voters)) {
    for (int i = 0; i < settings_.voters; ++i) {
        voters_.push_back(std::make_unique<Voter>());
        restart(i);
    }
}
SimulatedRaft::~SimulatedRaft() = default;

Duration SimulatedRaft::draw(Duration max) {
    return Duration(
        std::uniform_int_distribution<Duration::rep>(0, std::max<Duration::rep>(0, max.count()))(random_));
}
bool SimulatedRaft::draw_bool(double probability) {
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

Timestamp SimulatedRaft::read_clock(int voter) {
    Voter& v = *voters_[voter];
    const Timestamp ahead =
        settings_.mutant == RaftMutant::kClockAhead ? settings_.clock_ahead : Timestamp{0};
    if (v.stalled_clock) {
        const Timestamp old = *v.stalled_clock;
        v.stalled_clock.reset();
        return old + ahead;
    }
    return now_ + ahead;
}

void SimulatedRaft::schedule(Timestamp when, int voter, std::uint64_t incarnation,
                             std::function<void()> action) {
    events_.emplace(std::max(when, now_), Event{voter, incarnation, std::move(action)});
}

void SimulatedRaft::run_for(Duration span) {
    run_until([] { return false; }, span);
}

bool SimulatedRaft::run_until(const std::function<bool()>& done, Duration within) {
    const Timestamp end = now_ + within;
    for (;;) {
        if (done()) return true;
        if (events_.empty() || events_.begin()->first > end) break;
        auto first = events_.extract(events_.begin());
        run_event(first.key(), std::move(first.mapped()));
    }
    now_ = end;
    return done();
}

void SimulatedRaft::run_event(Timestamp when, Event event) {
    now_ = when;
    Voter& v = *voters_[event.voter];
    if (event.incarnation != 0 && event.incarnation != v.incarnation) return;
    if (event.incarnation != 0 && v.stalled_until > now_) {  // deferred, in order, until the stall ends
        events_.emplace(v.stalled_until, std::move(event));
        return;
    }
    ++steps_;
    event.action();
    check_rules();
}

void SimulatedRaft::restart(int voter) {
    Voter& v = *voters_[voter];
    if (v.node) return;
    RaftNode::Settings node_settings = settings_.raft;
    node_settings.voters = settings_.voters;
    node_settings.self = voter;
    node_settings.seed = settings_.seed * 1000 + v.incarnation;
    if (v.incarnation > 1 && settings_.mutant == RaftMutant::kLoseHardState) v.hard = HardState();
    if (v.incarnation > 1 && settings_.mutant == RaftMutant::kLoseEntries) {
        for (int i = 0; i < 2 && !v.entries.empty(); ++i) v.entries.pop_back();
    }
    if (!settings_.directory.empty()) open_store(voter);
    v.node = std::make_unique<RaftNode>(node_settings, v.hard, v.snapshot, v.entries);
    v.is_writing = false;
    v.applied = v.snapshot.index;
    v.last_heartbeat.reset();
    const std::uint64_t incarnation = v.incarnation;
    schedule(now_ + draw(settings_.tick_interval), voter, incarnation, [this, voter] { tick(voter); });
}

void SimulatedRaft::crash(int voter) {
    Voter& v = *voters_[voter];
    if (!v.node) return;
    v.node.reset();
    v.store.reset();
    ++v.incarnation;
    v.stalled_until = {};
    v.stalled_clock.reset();
}

void SimulatedRaft::stall(int voter, Duration span) {
    Voter& v = *voters_[voter];
    if (!v.node) return;
    v.stalled_clock = now_;
    v.stalled_until = std::max(v.stalled_until, now_ + span);
}

void SimulatedRaft::cut_link(int from, int to, bool is_cut) { is_link_cut_[from][to] = is_cut; }
void SimulatedRaft::isolate(int voter, bool is_cut) {
    for (int other = 0; other < settings_.voters; ++other) {
        if (other == voter) continue;
        cut_link(voter, other, is_cut);
        cut_link(other, voter, is_cut);
    }
}
void SimulatedRaft::heal() {
    settings_.loss_share = settings_.duplicate_share = settings_.delayed_share = 0;
    for (auto& row : is_link_cut_) row.assign(row.size(), false);
    for (int i = 0; i < settings_.voters; ++i) restart(i);
}

RaftFault SimulatedRaft::next_point(RaftPoint kind) {
    if (++point_count_ != settings_.fault_at) return RaftFault::kNone;
    fault_point_ = kind;
    return settings_.fault;
}

void SimulatedRaft::tick(int voter) {
    Voter& v = *voters_[voter];
    const std::uint64_t incarnation = v.incarnation;
    v.node->tick(read_clock(voter));
    schedule(now_ + settings_.tick_interval, voter, incarnation, [this, voter] { tick(voter); });
    process_ready(voter);
}

LogIndex SimulatedRaft::propose(int voter, std::string body) {
    Voter& v = *voters_[voter];
    if (!v.node || v.stalled_until > now_) return 0;
    const LogIndex index = v.node->propose(read_clock(voter), std::move(body));
    process_ready(voter);
    check_rules();
    return index;
}

void SimulatedRaft::compact(int voter) {
    Voter& v = *voters_[voter];
    if (!v.node || v.applied <= v.snapshot.index) return;
    v.node->compact({v.applied, history_[v.applied - 1].term, state_of(v.applied)});
    process_ready(voter);
}

// A state that identifies all applied entries and is large enough for several chunks of 128 bytes.
std::string SimulatedRaft::state_of(LogIndex index) const {
    std::string state = std::to_string(index) + ' ' + std::to_string(history_[index - 1].chain) + ' ';
    state.resize(300 + index % 7, 'x');
    return state;
}

void SimulatedRaft::process_ready(int voter) {
    Voter& v = *voters_[voter];
    if (!v.node || v.is_writing) return;
    check_new_commits();  // before new commits are applied
    Ready ready = v.node->ready();
    if (ready.empty()) return;
    const std::uint64_t incarnation = v.incarnation;
    if (settings_.mutant == RaftMutant::kSendBeforePersisting && ready.to_disk()) {
        v.is_writing = true;
        v.node->persisted(read_clock(voter));
        send_messages(voter, std::exchange(ready.messages, {}));
        auto shared_ready = std::make_shared<Ready>(std::move(ready));
        schedule(now_ + 20 * (settings_.write_time + draw(settings_.write_jitter)), voter, incarnation,
                 [this, voter, shared_ready] { finish_write(voter, std::move(*shared_ready)); });
        return;
    }
    Duration delay{};
    if (ready.to_disk()) {
        delay = settings_.write_time + draw(settings_.write_jitter);
        switch (next_point(RaftPoint::kWrite)) {
            case RaftFault::kDrop:
            case RaftFault::kCrash:  // the write is lost
                crash(voter);
                return schedule(now_ + kRestartDelay, voter, 0, [this, voter] { restart(voter); });
            case RaftFault::kDelay:
                delay += kFaultDelay;
                break;
            case RaftFault::kStall:
                stall(voter, kFaultDelay);
                break;
            default:
                break;
        }
    }
    v.is_writing = true;
    auto shared_ready = std::make_shared<Ready>(std::move(ready));
    if (delay == Duration{}) return finish_write(voter, std::move(*shared_ready));
    schedule(now_ + delay, voter, incarnation,
             [this, voter, shared_ready] { finish_write(voter, std::move(*shared_ready)); });
}

void SimulatedRaft::finish_write(int voter, Ready ready) {
    Voter& v = *voters_[voter];
    const bool to_disk = ready.to_disk();
    persist(voter, ready);
    v.is_writing = false;
    if (to_disk) {
        switch (next_point(RaftPoint::kWritten)) {
            case RaftFault::kDrop:
            case RaftFault::kCrash:  // persisted, but no message was sent
                crash(voter);
                return schedule(now_ + kRestartDelay, voter, 0, [this, voter] { restart(voter); });
            case RaftFault::kStall:
            case RaftFault::kDelay: {
                stall(voter, kFaultDelay);
                break;
            }
            case RaftFault::kDuplicate:
                v.node->persisted(read_clock(voter));
                break;
            default:
                break;
        }
        v.node->persisted(read_clock(voter));
    }
    const std::uint64_t incarnation = v.incarnation;
    send_messages(voter, std::move(ready.messages));
    if (incarnation != v.incarnation) return;
    if (ready.install) {
        v.applied = ready.install->index;
        ++v.counts.snapshots;
        if (v.applied > history_.size() || ready.install->state != state_of(v.applied)) {
            record_violation("a snapshot is the state at its index", std::to_string(v.applied));
        }
    }
    apply(voter, ready.committed);
    if (incarnation != v.incarnation) return;
    if (settings_.compact_every_entries > 0 &&
        v.applied >= v.snapshot.index + settings_.compact_every_entries) {
        v.node->compact({v.applied, history_[v.applied - 1].term, state_of(v.applied)});
    }
    process_ready(voter);
}

// Opens the voter's RaftLogStore and checks that it has the same state as the model.
void SimulatedRaft::open_store(int voter) {
    Voter& v = *voters_[voter];
    raft::RaftLogStore::Settings store_settings;
    store_settings.directory = settings_.directory + "/" + std::to_string(voter);
    store_settings.self = voter;
    store_settings.slack_bytes = 2000;
    auto opened = raft::RaftLogStore::open(store_settings);
    const raft::PersistedState held = opened ? std::move(opened->state) : raft::PersistedState();
    if (opened) v.store = std::move(opened->store);
    const auto is_same_entry = [](const LogEntry& a, const LogEntry& b) {
        return a.index == b.index && a.term == b.term && a.body == b.body;
    };
    if (!v.store || !(held.hard == v.hard) || held.snapshot.index != v.snapshot.index ||
        held.snapshot.term != v.snapshot.term || held.snapshot.state != v.snapshot.state ||
        !std::equal(held.entries.begin(), held.entries.end(), v.entries.begin(), v.entries.end(),
                    is_same_entry)) {
        record_violation("written state is on disk",
                         "voter " + std::to_string(voter) + " " + (opened ? "" : opened.error().message));
    }
}

// Applies the changes to the persisted state of the model, and to the store if there is one.
void SimulatedRaft::persist(int voter, const Ready& ready) {
    Voter& v = *voters_[voter];
    if (v.store) {
        const Status written = v.store->write(ready);
        if (!written) record_violation("written state is on disk", written.error().message);
    }
    const std::string voter_name = "voter " + std::to_string(voter);
    if (ready.install) {
        v.snapshot = *ready.install;
        v.entries.clear();
    }
    if (ready.truncate_from) {
        while (!v.entries.empty() && v.entries.back().index >= ready.truncate_from) v.entries.pop_back();
        if (ready.truncate_from <= v.applied)
            record_violation("applied entries are never truncated", voter_name);
    }
    for (const LogEntry& entry : ready.append) {
        const LogIndex last = v.entries.empty() ? v.snapshot.index : v.entries.back().index;
        const std::uint64_t before = v.entries.empty() ? v.snapshot.term : v.entries.back().term;
        if (entry.index != last + 1)
            record_violation("logs have no gaps", voter_name + " writes " + std::to_string(entry.index) +
                                                      " after " + std::to_string(last));
        const auto key = std::make_pair(entry.index, entry.term);
        const auto known = entries_.emplace(key, entry.body);
        const auto known_before = previous_terms_.emplace(key, before);
        if ((!known.second && known.first->second != entry.body) ||
            (!known_before.second && known_before.first->second != before)) {
            record_violation("logs match", voter_name + " at " + std::to_string(entry.index));
        }
        v.entries.push_back(entry);
        ++v.counts.written_entries;
        // The first entry of a leader's own term must follow everything that older terms committed.
        if (entry.body.empty() && leaders_.count(entry.term) && leaders_[entry.term] == voter) {
            for (LogIndex index = v.snapshot.index + 1; index <= history_.size(); ++index) {
                const CommittedEntry& committed = history_[index - 1];
                if (committed.leader_term >= entry.term) continue;
                const std::size_t position = index - v.entries.front().index;
                if (index >= entry.index || position >= v.entries.size() ||
                    v.entries[position].term != committed.term) {
                    record_violation("a leader has all committed entries",
                                     voter_name + " lacks " + std::to_string(index));
                    break;
                }
            }
        }
    }
    if (ready.hard) {
        if (ready.hard->term < v.hard.term)
            record_violation("terms never decrease", voter_name);
        else if (ready.hard->vote >= 0) {
            const auto vote = votes_.emplace(std::make_pair(voter, ready.hard->term), ready.hard->vote);
            if (vote.first->second != ready.hard->vote) record_violation("one vote per term", voter_name);
        }
        v.hard = *ready.hard;
    }
    if (ready.compact) {
        v.snapshot = *ready.compact;
        auto end = std::find_if(v.entries.begin(), v.entries.end(),
                                [&](const LogEntry& entry) { return entry.index > v.snapshot.index; });
        v.entries.erase(v.entries.begin(), end);
    }
    if (ready.to_disk()) ++v.counts.writes;
}

void SimulatedRaft::apply(int voter, const std::vector<LogEntry>& entries) {
    Voter& v = *voters_[voter];
    for (const LogEntry& entry : entries) {
        switch (next_point(RaftPoint::kCommit)) {
            case RaftFault::kDrop:
            case RaftFault::kCrash:
                crash(voter);
                return schedule(now_ + kRestartDelay, voter, 0, [this, voter] { restart(voter); });
            case RaftFault::kDelay:
            case RaftFault::kStall:
            case RaftFault::kDuplicate:
                stall(voter, kFaultDelay);
                break;
            default:
                break;
        }
        if (entry.index != v.applied + 1) {
            record_violation("each entry is applied once and in order",
                             "voter " + std::to_string(voter) + " applies " + std::to_string(entry.index) +
                                 " after " + std::to_string(v.applied));
        }
        v.applied = entry.index;
        if (entry.index > history_.size() || history_[entry.index - 1].term != entry.term ||
            history_[entry.index - 1].body != entry.body) {
            record_violation("all voters apply the same entries",
                             "voter " + std::to_string(voter) + " at " + std::to_string(entry.index));
        }
    }
}

void SimulatedRaft::send_messages(int voter, std::vector<std::pair<int, std::string>> messages) {
    Voter& v = *voters_[voter];
    const std::uint64_t incarnation = v.incarnation;
    for (auto& [to, message] : messages) {
        v.counts.messages += 1;
        v.counts.bytes += message.size();
        bool is_delayed = false;
        int copies = 1;
        switch (next_point(RaftPoint::kSend)) {
            case RaftFault::kDrop:
                copies = 0;
                break;
            case RaftFault::kDuplicate:
                copies = 2;
                break;
            case RaftFault::kDelay:
                is_delayed = true;
                break;
            case RaftFault::kCrash:
                crash(voter);
                return schedule(now_ + kRestartDelay, voter, 0, [this, voter] { restart(voter); });
            case RaftFault::kStall:
                stall(voter, kFaultDelay);
                break;
            default:
                break;
        }
        // A stalled voter sends the message when the stall ends.
        if (v.stalled_until > now_) {
            for (int i = 0; i < copies; ++i) {
                schedule(v.stalled_until, voter, incarnation,
                         [this, voter, to = to, text = message, is_delayed] {
                             transmit(voter, to, text, is_delayed);
                         });
            }
            continue;
        }
        for (int i = 0; i < copies; ++i) transmit(voter, to, message, is_delayed);
    }
}

// Changes a message in transit as the mutant requires.
void SimulatedRaft::apply_message_mutant(int from, int to, std::string& message) {
    auto decoded = raft::decode_message(message);
    if (!decoded) return;
    if (const auto* request = std::get_if<raft::AppendRequest>(&*decoded)) {
        LogIndex& newest = newest_sent_index_[{from, to}];
        newest = std::max(newest, request->previous_index + request->entries.size());
    }
    auto* answer = std::get_if<raft::AppendResponse>(&*decoded);
    if (answer && settings_.mutant == RaftMutant::kForgeMatchIndex) {
        answer->matched = true;
        answer->match_index = std::max(answer->match_index, newest_sent_index_[{to, from}]);
        message = raft::encode_message(*decoded);
    }
    auto* pre_vote = std::get_if<raft::PreVoteResponse>(&*decoded);
    if (pre_vote && settings_.mutant == RaftMutant::kGrantAllPreVotes) {
        pre_vote->granted = true;
        message = raft::encode_message(*decoded);
    }
}

void SimulatedRaft::transmit(int from, int to, std::string message, bool is_delayed) {
    update_digest(sent_digest_, static_cast<std::uint64_t>(from));
    update_digest(sent_digest_, static_cast<std::uint64_t>(to));
    update_digest(sent_digest_, message);
    if (on_send) on_send(from, to, message);
    apply_message_mutant(from, to, message);
    if (is_link_cut_[from][to] || draw_bool(settings_.loss_share)) return;
    const int copies = draw_bool(settings_.duplicate_share) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        Duration delay = settings_.link_delay(from, to) + draw(settings_.link_jitter);
        if (is_delayed) delay += kFaultDelay;
        if (draw_bool(settings_.delayed_share)) delay += draw(settings_.max_extra_delay);
        // Incarnation 0: the message is delivered even if the receiver restarted meanwhile.
        schedule(now_ + delay, to, 0, [this, to, from, message] { receive(to, from, message); });
    }
}

void SimulatedRaft::receive(int to, int from, const std::string& message) {
    Voter& v = *voters_[to];
    if (!v.node) return;
    if (v.stalled_until > now_)
        return schedule(v.stalled_until, to, v.incarnation, [=] { receive(to, from, message); });
    switch (next_point(RaftPoint::kReceive)) {
        case RaftFault::kDrop:
            return;
        case RaftFault::kDuplicate:
            v.node->receive(read_clock(to), from, message);
            break;
        case RaftFault::kDelay:
            return schedule(now_ + kFaultDelay, to, 0, [=] { receive(to, from, message); });
        case RaftFault::kCrash:
            crash(to);
            return schedule(now_ + kRestartDelay, to, 0, [this, to] { restart(to); });
        case RaftFault::kStall:
            stall(to, kFaultDelay);
            return schedule(v.stalled_until, to, v.incarnation, [=] { receive(to, from, message); });
        default:
            break;
    }
    v.node->receive(read_clock(to), from, message);
    process_ready(to);
}

void SimulatedRaft::deliver(int to, int from, const std::string& message) {
    Voter& v = *voters_[to];
    if (!v.node) return;
    v.node->receive(read_clock(to), from, message);
    process_ready(to);
    check_rules();
}

void SimulatedRaft::record_violation(const std::string& rule, const std::string& text) {
    if (violations_.size() < 100) violations_.emplace_back(rule, text);
}
bool SimulatedRaft::has_violation(const std::string& rule) const {
    return std::any_of(violations_.begin(), violations_.end(),
                       [&](const auto& one) { return one.first == rule; });
}

void SimulatedRaft::check_rules() {
    for (int i = 0; i < settings_.voters; ++i) {
        Voter& v = *voters_[i];
        if (!v.node) continue;
        if (v.node->is_leader()) {
            const auto known = leaders_.emplace(v.node->term(), i);
            if (known.first->second != i)
                record_violation("one leader per term", "term " + std::to_string(v.node->term()));
        }
    }
    check_new_commits();
    for (int i = 0; i < settings_.voters; ++i) {
        Voter& v = *voters_[i];
        if (!v.node) continue;
        const auto heartbeat = v.node->heartbeat();
        if (!heartbeat || (v.last_heartbeat && *v.last_heartbeat == *heartbeat)) continue;
        v.last_heartbeat = heartbeat;
        ++heartbeats_;
        if (heartbeat->committed > history_.size())
            record_violation("a heartbeat names a committed index", std::to_string(i));
        if (heartbeat->at > now_) record_violation("a heartbeat is not in the future", std::to_string(i));
        // Every entry that was committed before heartbeat->at is covered by its commit index.
        for (LogIndex index = heartbeat->committed + 1; index <= history_.size(); ++index) {
            if (history_[index - 1].at >= heartbeat->at) break;
            record_violation("a heartbeat covers all earlier commits",
                             "voter " + std::to_string(i) + ", term " + std::to_string(heartbeat->term) +
                                 ", entry " + std::to_string(index));
            break;
        }
    }
}

void SimulatedRaft::check_new_commits() {
    for (int i = 0; i < settings_.voters; ++i) {
        Voter& v = *voters_[i];
        if (!v.node) continue;
        while (history_.size() < v.node->commit_index()) {
            const LogIndex index = history_.size() + 1;
            // A majority must have persisted an entry of the same term at this index.
            std::map<std::uint64_t, int> replicas;
            for (const auto& voter_state : voters_) {
                const LogIndex first = voter_state->snapshot.index + 1;
                if (index >= first && index - first < voter_state->entries.size())
                    ++replicas[voter_state->entries[index - first].term];
            }
            std::uint64_t term = 0;
            for (const auto& [copy_term, count] : replicas) {
                if (count > settings_.voters / 2) term = copy_term;
            }
            if (term == 0) {
                record_violation("committed entries are persisted by a majority",
                                 "entry " + std::to_string(index));
                // Records the entry of the highest term as committed, so that later checks can compare with
                // it.
                if (!replicas.empty()) term = replicas.rbegin()->first;
            }
            CommittedEntry committed;
            committed.term = term;
            committed.leader_term = v.node->term();
            committed.at = now_;
            const auto entry = entries_.find({index, term});
            if (entry != entries_.end()) committed.body = entry->second;
            committed.chain =
                chain_digest(history_.empty() ? 0 : history_.back().chain, term, committed.body);
            if (!committed.body.empty() && !index_by_body_.emplace(committed.body, index).second)
                record_violation("a proposal has one index", committed.body);
            history_.push_back(std::move(committed));
        }
    }
}

RaftNode& SimulatedRaft::node(int voter) { return *voters_[voter]->node; }
bool SimulatedRaft::is_up(int voter) const { return voters_[voter]->node != nullptr; }
const SimulatedRaft::Counts& SimulatedRaft::counts(int voter) const { return voters_[voter]->counts; }

std::uint64_t SimulatedRaft::committed_digest() const {
    std::uint64_t digest = kFnvOffset;
    for (const CommittedEntry& entry : history_) {
        update_digest(digest, entry.term);
        update_digest(digest, entry.body);
    }
    return digest;
}

std::optional<int> SimulatedRaft::leader() const {
    std::optional<int> newest;
    for (int i = 0; i < settings_.voters; ++i) {
        const Voter& v = *voters_[i];
        if (!v.node || !v.node->is_leader()) continue;
        if (!newest || v.node->term() > voters_[*newest]->node->term()) newest = i;
    }
    return newest;
}

bool SimulatedRaft::is_applied_by_all(const std::string& body) const {
    const auto found = index_by_body_.find(body);
    return found != index_by_body_.end() && std::all_of(voters_.begin(), voters_.end(), [&](const auto& v) {
               return !v->node || v->applied >= found->second;
           });
}

bool SimulatedRaft::has_converged() const {
    const auto leader_voter = leader();
    if (!leader_voter) return false;
    const Voter& first = *voters_[*leader_voter];
    return std::all_of(voters_.begin(), voters_.end(), [&](const auto& v) {
        return v->node && v->node->leader() == leader_voter && v->node->term() == first.node->term() &&
               v->applied == history_.size() && v->node->last_index() == history_.size() &&
               v->node->heartbeat();
    });
}

std::optional<Timestamp> SimulatedRaft::committed_at(const std::string& body) const {
    const auto found = index_by_body_.find(body);
    if (found == index_by_body_.end()) return std::nullopt;
    return history_[found->second - 1].at;
}

}  // namespace linnetlead::test_support
