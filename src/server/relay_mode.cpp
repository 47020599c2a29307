#include "server/relay_mode.h"

#include <sys/resource.h>
#include <sys/stat.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <utility>

#include "cluster/raft/raft_log_store.h"
#include "cluster/transport/relay_server.h"
#include "server/distribution_client.h"
#include "server/fleet_settings.h"
#include "server/log.h"
#include "server/sync_points.h"
#include "storage/state_file.h"

namespace linnetlead::server {

using distribution::Frame;
using distribution::Relay;
using distribution::Session;
using proxy::Duration;
using proxy::Timestamp;
using raft::RaftLogStore;
using namespace std::chrono_literals;

namespace {

constexpr Duration kTickEvery = 20ms;
constexpr Duration kSweepEvery = 1s;
constexpr Duration kSaveEvery = 2s;
constexpr Duration kConnectWithin = 2s;
constexpr std::string_view kSealedAs = "linnetlead-relay 1";
constexpr std::array<int, 3> kHandled{SIGTERM, SIGINT, SIGUSR1};

void hold_back_signals(bool hold) {
    sigset_t all;
    sigemptyset(&all);
    for (const int one : kHandled) sigaddset(&all, one);
    sigprocmask(hold ? SIG_BLOCK : SIG_UNBLOCK, &all, nullptr);
}

FleetSettings read_file(const std::string& path) {
    std::string text;
    if (const auto problem = operator_config::read_text(path, text))
        throw std::runtime_error(problem->line());
    const operator_config::Result document = operator_config::read_document(text, path);
    if (const auto* problem = std::get_if<operator_config::Problem>(&document)) {
        throw std::runtime_error(problem->line());
    }
    FleetSettings fleet = read_fleet(std::get<operator_config::Value>(document), path);
    if (fleet.relays.empty()) throw std::runtime_error(path + ": there is no relay() in it");
    if (!fleet.wanted) throw std::runtime_error(path + ": there is no distribution() in it");
    return fleet;
}

int number_of(const FleetSettings& fleet, const std::string& path, const std::string& name) {
    for (std::size_t i = 0; i < fleet.relays.size(); ++i) {
        if (fleet.relays[i].name == name) return static_cast<int>(i);
    }
    throw std::runtime_error(path + ": there is no relay '" + name + "' in it");
}

class RelayProgram {
public:
    RelayProgram(const std::string& path, const std::string& name)
        : fleet_(read_file(path)),
          self_(number_of(fleet_, path, name)),
          own_(fleet_.relays[static_cast<std::size_t>(self_)]),
          seed_(std::random_device()() + (std::uint64_t{std::random_device()()} << 32)),
          log_(name),
          directory_(path_of(fleet_.directory, "{relay}", name)),
          file_(directory_.empty() ? "" : directory_ + "/state", std::string(kSealedAs)),
          above_(loop_, {[this] {
                             relay_->on_upstream_connected(loop_.now());
                             arm();
                         },
                         [this] {
                             relay_->on_upstream_disconnected(loop_.now());
                             arm();
                         },
                         [this](const Frame& frame) {
                             reach_point();
                             relay_->on_upstream_frame(loop_.now(), frame);
                             arm();
                         }}),
          voters_(loop_, self_, voters_of(), seed_ + 2, {}),
          server_(loop_, limits(),
                  {[this](Session session) { relay_->on_session_opened(loop_.now(), session); },
                   [this](Session session, const Frame& frame) {
                       reach_point();
                       relay_->on_frame(loop_.now(), session, frame);
                       arm();
                   },
                   [this](int from, const std::string& message) {
                       reach_point();
                       relay_->on_voter_message(loop_.now(), from, message);
                       arm();
                   },
                   [this](Session session, distribution::Rejection rejection) {
                       relay_->on_invalid_bytes(loop_.now(), session, rejection);
                   },
                   [this](Session session) { relay_->on_session_closed(loop_.now(), session); }}) {
        hold_back_signals(true);
        try {
            start(path);
        } catch (...) {
            close();  // nothing may be destroyed while the loop still holds it
            throw;
        }
    }

    int run() {
        std::fprintf(stderr, "linnetlead: listening on port %d\n", server_.port());
        loop_.run();
        close();
        return code_;
    }

private:
    // Entries on their way to disk, on a thread of libuv's. The store is that thread's meanwhile.
    struct Writing {
        uv_work_t work{};
        RelayProgram* owner = nullptr;
        RaftLogStore* store = nullptr;
        raft::Ready ready;
        Status result = fail(ErrorCode::kIo, "");  // until it is written
    };
    struct Saving {
        uv_work_t work{};
        RelayProgram* owner = nullptr;
        std::function<Status()> write;
        Status result = fail(ErrorCode::kIo, "");  // until it is written
    };

    std::vector<std::string> voters_of() const {
        std::vector<std::string> all;
        for (const auto& one : fleet_.relays) all.push_back(one.votes ? one.address : "");
        return all;
    }
    // What the system gives, but for what is not a session's.
    static transport::RelayServer::Limits limits() {
        transport::RelayServer::Limits made;
        rlimit files{};
        getrlimit(RLIMIT_NOFILE, &files);
        constexpr std::size_t kForTheRest = 64;
        const std::size_t given = files.rlim_cur;
        made.max_sessions =
            std::min(made.max_sessions, given > 2 * kForTheRest ? given - kForTheRest : given / 2);
        return made;
    }

    void start(const std::string& path) {
        Relay::Settings settings = relay_of(fleet_, self_, seed_);
        if (const std::string problem = distribution::check(settings); !problem.empty()) {
            throw std::runtime_error(path + ": " + problem);
        }
        Relay::PersistentState disk;
        if (own_.votes) {
            if (directory_.empty()) {
                throw std::runtime_error(path +
                                         ": a relay that votes keeps a log: distribution(directory = ...)");
            }
            auto opened = RaftLogStore::open({directory_, self_});
            if (!opened) throw std::runtime_error(opened.error().message);
            store_ = std::move(opened->store);
            raft::PersistedState& held = opened->state;
            disk = {held.hard, std::move(held.snapshot), std::move(held.entries)};
        }
        relay_ = std::make_unique<Relay>(settings, outside(), std::move(disk));
        restore();
        sockaddr_storage address{};
        net::read_address(own_.listen, address);
        if (const int error = server_.listen(address); error < 0) {
            throw std::runtime_error("cannot listen on " + own_.listen + ": " + uv_strerror(error));
        }
        for (std::size_t i = 0; i < signals_.size(); ++i) {
            uv_signal_init(loop_.uv(), &signals_[i]);
            signals_[i].data = this;
            uv_signal_start(
                &signals_[i],
                [](uv_signal_t* signal, int number) {
                    auto& self = *static_cast<RelayProgram*>(signal->data);
                    number == SIGUSR1 ? self.tell_state() : self.loop_.stop();
                },
                kHandled[i]);
        }
        has_signals_ = true;
        hold_back_signals(false);
        tick();
    }

    Relay::Callbacks outside() {
        Relay::Callbacks made;
        made.send_to_voter = [this](int voter, const std::string& message) {
            reach_point();
            voters_.send(voter, message);
        };
        made.send_to_follower = [this](Session session, const Frame& frame) {
            reach_point();
            server_.send(session, frame);
        };
        made.unsent_bytes = [this](Session session) { return server_.unsent(session); };
        made.close_session = [this](Session session) { server_.hang_up(session); };
        made.connect_upstream = [this](int relay) {
            above_.connect(fleet_.relays[static_cast<std::size_t>(relay)].address, kConnectWithin);
        };
        made.disconnect_upstream = [this] { above_.hang_up(); };
        made.send_upstream = [this](const Frame& frame) {
            reach_point();
            above_.send(frame);
        };
        made.persist = [this](const raft::Ready& ready) { write(ready); };
        made.on_event = [this](distribution::EventKind kind, const std::string& text) {
            log_.write(loop_.now(), "relay", {{"what", distribution::event_name(kind)}, {"text", text}});
        };
        made.validate_value = readable;
        return made;
    }

    void write(const raft::Ready& ready) {
        reach_point();
        writing_ = new Writing;
        writing_->work.data = writing_;
        writing_->owner = this;
        writing_->store = store_.get();
        writing_->ready = ready;
        uv_queue_work(
            loop_.uv(), &writing_->work,
            [](uv_work_t* work) {
                auto& self = *static_cast<Writing*>(work->data);
                self.result = self.store->write(self.ready);
            },
            [](uv_work_t* work, int) {
                const std::unique_ptr<Writing> self(static_cast<Writing*>(work->data));
                self->owner->written(self->result);
            });
    }
    void written(const Status& result) {
        writing_ = nullptr;
        if (closed_) return;
        reach_point();
        if (result) {
            relay_->on_persisted(loop_.now());
            return arm();
        }
        // Nothing that was not written may be told; whoever starts this again opens the log anew.
        std::fprintf(stderr, "linnetlead: %s\n", result.error().message.c_str());
        code_ = 1;
        loop_.stop();
    }

    // ---- one that does not vote: what it follows, for its next start ----

    void restore() {
        if (own_.votes || directory_.empty()) return;
        mkdir(directory_.c_str(), 0755);
        const auto state = file_.load();
        if (state && !relay_->restore(loop_.now(), *state)) file_.reject("it is damaged");
        if (!file_.problem().empty())
            log_.write(loop_.now(), "relay", {{"what", "not restored"}, {"text", file_.problem()}});
    }
    void save(Timestamp now) {
        if (own_.votes || directory_.empty() || saving_ || now < save_at_) return;
        if (relay_->last_index() == saved_) return;
        saved_ = relay_->last_index();
        saving_ = new Saving;
        saving_->work.data = saving_;
        saving_->owner = this;
        saving_->write = file_.writer(relay_->save());
        // Saving takes a hundredth of the loop at most.
        save_at_ = now + std::max<Duration>(kSaveEvery, 100 * (loop_.now() - now));
        uv_queue_work(
            loop_.uv(), &saving_->work,
            [](uv_work_t* work) {
                auto& self = *static_cast<Saving*>(work->data);
                self.result = self.write();
            },
            [](uv_work_t* work, int) {
                const std::unique_ptr<Saving> self(static_cast<Saving*>(work->data));
                RelayProgram& owner = *self->owner;
                owner.saving_ = nullptr;
                owner.file_.written(self->result);
                if (self->result || owner.closed_) return;
                owner.saved_ = 0;  // tried again
                owner.log_.write(owner.loop_.now(), "relay",
                                 {{"what", "not saved"}, {"text", self->result.error().message}});
            });
    }

    // ---- time ----

    // A settled instant is met when it comes.
    void arm() {
        const auto wake = relay_->wake_at();
        if (!wake || wake == asked_wake_) return;
        asked_wake_ = wake;
        loop_.disarm(timer_);
        const Timestamp now = loop_.now();
        timer_ = loop_.arm(std::min(now + kTickEvery, std::max(*wake, now)), [this] { tick(); });
    }
    void tick() {
        const Timestamp now = loop_.now();
        relay_->tick(now);
        if (now >= sweep_at_) {
            sweep_at_ = now + kSweepEvery;
            server_.tick(now);
            voters_.tick(now);
        }
        save(now);
        asked_wake_.reset();
        Timestamp next = now + kTickEvery;
        if (const auto wake = relay_->wake_at(); wake && *wake > now) next = std::min(next, *wake);
        timer_ = loop_.arm(next, [this] { tick(); });
    }

    void tell_state() {
        log_.write(loop_.now(), "state",
                   {{"relay", nlohmann::json::parse(relay_->state_json(loop_.now()), nullptr, false)},
                    {"sessions", server_.sessions()},
                    {"dropped_to_voters", voters_.dropped()},
                    {"state_not_restored", file_.problem()}});
    }

    void close() {
        closed_ = true;
        loop_.disarm(std::exchange(timer_, {}));
        server_.close();
        above_.close();
        voters_.close();
        hold_back_signals(true);
        for (uv_signal_t& signal : signals_) {
            if (has_signals_) uv_close(reinterpret_cast<uv_handle_t*>(&signal), nullptr);
        }
        loop_.drain();  // also waits for what is being written
    }

    const FleetSettings fleet_;
    const int self_;
    const FleetSettings::Place own_;
    const std::uint64_t seed_;
    net::Loop loop_;
    Log log_;
    const std::string directory_;
    storage::StateFile file_;  // of one that does not vote
    transport::FrameLink above_;
    transport::VoterLinks voters_;
    transport::RelayServer server_;
    std::unique_ptr<RaftLogStore> store_;  // of one that votes
    std::unique_ptr<Relay> relay_;
    Writing* writing_ = nullptr;
    Saving* saving_ = nullptr;
    distribution::LogIndex saved_ = 0;
    Timestamp save_at_{}, sweep_at_{};
    proxy::Handle timer_;
    std::optional<Timestamp> asked_wake_;
    std::array<uv_signal_t, kHandled.size()> signals_{};
    bool has_signals_ = false, closed_ = false;
    int code_ = 0;
};

}  // namespace

int run_relay(const std::string& file, const std::string& name) { return RelayProgram(file, name).run(); }

}  // namespace linnetlead::server
