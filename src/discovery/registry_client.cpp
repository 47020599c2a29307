#include "discovery/registry_client.h"

#include <algorithm>
#include <utility>

#include "discovery/list_update_slicer.h"
#include "discovery/registry_snapshot.h"
#include "net/http/http_message.h"
#include "storage/checksummed_file.h"

namespace linnetlead::net {

using discovery::Ask;
using discovery::Response;
using proxy::Duration;
using proxy::Handle;
using namespace std::chrono_literals;

namespace {

constexpr Duration kConnectTimeout = 1s;
constexpr Duration kFirstPause = 100ms;
constexpr Duration kMaxPause = 10s;
constexpr Duration kSnapshotInterval = 10s;          // between snapshots, if anything has changed
constexpr Duration kRetentionCheckInterval = 200ms;  // between checks of the retained endpoints
constexpr std::size_t kMaxBytesParsedOnLoop = 32 * 1024;
constexpr std::size_t kMaxAnswerBytes = 128 * 1024 * 1024;
// From the first to the last byte of an answer or of a stream's message.
constexpr Duration kMaxAnswerTime = 60s;
constexpr std::size_t kMaxAdopted = 64;      // lists and changes of another process that wait
constexpr Duration kMinReadInterval = 50ms;  // between reads if the server answers without waiting

}  // namespace

bool RegistryClient::Settings::operator==(const Settings& other) const {
    return kind == other.kind && endpoints == other.endpoints && token == other.token &&
           source.prefix == other.source.prefix && source.wait == other.source.wait &&
           source.stale == other.source.stale && source.page == other.source.page &&
           snapshot == other.snapshot && snapshot_age == other.snapshot_age &&
           endpoint_set.max_gone == other.endpoint_set.max_gone &&
           endpoint_set.hold == other.endpoint_set.hold;
}

class RegistryClient::Connection final : public Stream {
public:
    Connection(Loop& loop, RegistryClient& client) : Stream(loop), client_(client), reader_(kMaxAnswerBytes) {
        reader_.keep_headers();
        arm(kConnectTimeout);
    }
    Handle self;

    void send_request() {
        ask_ = client_.shared_->source->ask();
        const std::string& host = client_.settings_.endpoints[client_.endpoint_];
        std::string& out = to_write();
        out.append(ask_.method).append(" ").append(ask_.target).append(" HTTP/1.1\r\nHost: ").append(host);
        if (!client_.settings_.token.empty()) {
            out.append(client_.settings_.kind == "consul" ? "\r\nX-Consul-Token: " : "\r\nAuthorization: ");
            out.append(client_.settings_.token);
        }
        if (!ask_.body.empty()) {
            out.append("\r\nContent-Type: application/json\r\nContent-Length: ");
            out.append(std::to_string(ask_.body.size()));
        }
        out.append("\r\n\r\n").append(ask_.body);
        stream_data_.clear();
        is_complete_ = answered_ = false;
        partial_since_ = {};
        client_.asked_at_ = loop().now();
        if (ask_.stream) {
            reader_.each_piece([this](std::string_view piece) { stream_data_.append(piece); });
        } else {
            reader_.each_piece({});
        }
        arm(ask_.silent);
    }

    // Processes the next complete message; if there is none, reads on.
    void process_data() {
        if (closing() || client_.parsing_.busy()) return;
        if (ask_.stream) {
            stream_data_.erase(0, stream_data_.find_first_not_of('\n'));  // empty lines separate messages
            const auto end = stream_data_.find('\n');
            if (end != std::string::npos) {
                Response message{reader_.status(), {}, stream_data_.substr(0, end)};
                stream_data_.erase(0, end + 1);
                partial_since_ = {};
                return client_.handle_response(std::move(message));
            }
            // The answer is not a stream of messages, or the stream has ended.
            if (stream_data_.size() > kMaxAnswerBytes || is_complete_) return client_.handle_failure();
        } else if (std::exchange(is_complete_, false)) {
            reusable_ = reader_.keeps_open();
            answered_ = true;
            return client_.handle_response({reader_.status(), reader_.headers(), reader_.take_body()});
        }
        read_more(true);
    }
    // Processes all complete messages, until one has to be parsed on a thread.
    void process_all_data() {
        const Handle handle = self;
        RegistryClient& client = client_;
        while (!client.parsing_.busy()) {
            Connection* const still = client.connections_.find(handle);
            if (!still || still->closing()) return;
            const std::size_t before = still->stream_data_.size();
            const bool had = still->is_complete_ || still->stream_data_.find('\n') != std::string::npos;
            still->process_data();
            if (!had || (still->stream_data_.size() == before && !still->is_complete_)) return;
        }
    }
    bool can_reuse() const { return !ask_.stream && reusable_; }
    bool is_stream() const { return ask_.stream; }

private:
    void arm(Duration time) {
        loop().disarm(timer_);
        timer_ = loop().arm(loop().now() + time, [this] {
            timer_ = {};
            // A stream without messages is reopened from the known revision; any other timeout is a failure.
            ask_.stream&& reader_.status() != 0 ? client_.connect() : client_.handle_failure();
        });
    }
    void on_connected() override { send_request(); }
    std::size_t on_bytes(std::string_view bytes) override {
        arm(ask_.silent);
        std::size_t taken = 0;
        const auto state = reader_.take(bytes, taken);
        if (state == http::ResponseReader::State::kMalformed) {
            client_.handle_failure();
            return bytes.size();
        }
        is_complete_ = is_complete_ || state == http::ResponseReader::State::kWhole;
        // Guards against answers that arrive slowly without an end.
        if (partial_since_ == proxy::Timestamp{}) partial_since_ = loop().now();
        if (!client_.parsing_.busy() && loop().now() - partial_since_ > kMaxAnswerTime) {
            client_.handle_failure();
            return bytes.size();
        }
        // Reading pauses while a message is parsed on a thread. Otherwise all messages of one read are
        // processed; the loop runs other events between two reads.
        if (client_.parsing_.busy()) {
            read_more(false);
        } else {
            process_all_data();
        }
        return bytes.size();
    }
    void on_end(int error) override {
        std::size_t taken = 0;
        const bool whole =
            error == UV_EOF && !ask_.stream && reader_.take({}, taken) == http::ResponseReader::State::kWhole;
        if (whole) return client_.handle_response({reader_.status(), reader_.headers(), reader_.take_body()});
        if (client_.connection_ == self && !client_.parsing_.busy() && !answered_) client_.handle_failure();
    }
    void on_released() override {
        loop().disarm(timer_);
        client_.connections_.remove(self);
    }

    RegistryClient& client_;
    http::ResponseReader reader_;
    Ask ask_;
    std::string stream_data_;  // data of a stream, up to the next incomplete message
    Handle timer_;
    bool is_complete_ = false;
    bool reusable_ = false;
    bool answered_ = false;             // and no further request has been sent
    proxy::Timestamp partial_since_{};  // arrival of the first byte of an incomplete message
};

RegistryClient::RegistryClient(Loop& loop, proxy::EndpointListPort& lists, Settings settings,
                               std::uint64_t seed, Report report)
    : loop_(loop),
      lists_(lists),
      settings_(std::move(settings)),
      report_(std::move(report)),
      random_(seed),
      shared_(std::make_shared<SharedState>(settings_.endpoint_set)),
      parsing_(loop),
      saving_(loop) {
    make_source();
}
RegistryClient::~RegistryClient() { close(); }

void RegistryClient::make_source() {
    shared_->source = settings_.kind == "consul" ? discovery::make_consul(settings_.source)
                                                 : discovery::make_etcd(settings_.source);
    SharedState* const shared = shared_.get();
    shared->source->told = [shared](const discovery::Source::News& news) {
        news.whole ? shared->endpoint_set.whole(shared->now, news.entries)
                   : shared->endpoint_set.changes(shared->now, news.entries);
    };
    shared->source->bad_value = [shared](const std::string& id, const std::string& what) {
        constexpr std::size_t kMaxEvents = 100;
        if (shared->events.size() < kMaxEvents) shared->events.emplace_back("bad_value", id + ": " + what);
    };
    endpoint_ = static_cast<std::size_t>(random_() % settings_.endpoints.size());
}

// For a cold start while the registry is down; its first complete list later shows the difference.
void RegistryClient::load_snapshot() {
    if (settings_.snapshot.empty()) return;
    const auto bytes = storage::read_file(settings_.snapshot);
    if (!bytes) return;
    const auto snapshot = discovery::decode_snapshot(*bytes, loop_.now(), settings_.snapshot_age);
    if (!snapshot) return report_("snapshot", settings_.snapshot + ": rejected: " + snapshot.error().message);
    shared_->endpoint_set.whole(loop_.now(), snapshot->entries);
    pass_all();
    report_("snapshot", settings_.snapshot + ": " + std::to_string(snapshot->entries.size()) + " endpoints");
}

void RegistryClient::pass_all() {
    while (shared_->endpoint_set.pending()) {
        lists_.listed(policy::EndpointListKind::kChanges,
                      shared_->endpoint_set.next(ListUpdateSlicer::kMinSliceSize));
    }
}

void RegistryClient::adopt(policy::EndpointListKind kind,
                           const std::vector<proxy::DiscoveredEndpoint>& entries) {
    if (parsing_.busy()) {
        if (adopted_.size() < kMaxAdopted) adopted_.push_back({kind, entries});
        return;
    }
    if (shared_->source->counts().wholes > 0) return;
    const bool is_whole = kind != policy::EndpointListKind::kChanges;
    is_whole ? shared_->endpoint_set.adopt_whole(entries) : shared_->endpoint_set.adopt_changes(entries);
    pass_all();
}

// Stores a snapshot only once the complete list is known, and not while removed endpoints are retained, since
// the list may be wrong then.
void RegistryClient::save_snapshot() {
    if (settings_.snapshot.empty() || saving_.busy() || !snapshot_outdated_ ||
        loop_.now() < next_snapshot_at_)
        return;
    if (!state_.watching || shared_->endpoint_set.held() > 0 || shared_->endpoint_set.size() == 0) return;
    next_snapshot_at_ = loop_.now() + kSnapshotInterval;
    snapshot_outdated_ = false;
    struct Job {
        std::string path;
        discovery::Snapshot snapshot;
        bool good = false;
    };
    const auto job =
        std::make_shared<Job>(Job{settings_.snapshot, {loop_.now(), shared_->endpoint_set.all()}});
    saving_.run(
        [job] {
            job->good =
                storage::replace_file(job->path, discovery::encode_snapshot(job->snapshot)).has_value();
        },
        [this, job] {
            if (job->good) return;
            snapshot_outdated_ = true;
            report_("snapshot", job->path + ": cannot be written");
        });
}

void RegistryClient::start() {
    load_snapshot();
    connect();
    tick();
}

void RegistryClient::change(Settings settings) {
    if (settings == (next_settings_ ? *next_settings_ : settings_)) return;
    next_settings_ = std::make_unique<Settings>(std::move(settings));
    if (!parsing_.busy()) finish_response(true, true);
}

void RegistryClient::close() {
    closed_ = true;
    loop_.disarm(std::exchange(retry_, {}));
    loop_.disarm(std::exchange(timer_, {}));
    parsing_.drop();
    saving_.drop();
    connections_.for_each([](Handle, Connection& connection) { connection.close(); });
}

void RegistryClient::connect() {
    loop_.disarm(std::exchange(retry_, {}));
    if (Connection* const before = connections_.find(std::exchange(connection_, {}))) before->close();
    if (closed_) return;
    if (!parsing_.busy()) shared_->source->broken();
    sockaddr_storage to{};
    connection_ = connections_.add(loop_, *this);
    Connection& connection = *connections_.find(connection_);
    connection.self = connection_;
    if (!read_address(settings_.endpoints[endpoint_], to) || connection.connect(to) != 0) handle_failure();
}

void RegistryClient::handle_failure() {
    if (Connection* const before = connections_.find(std::exchange(connection_, {}))) before->close();
    ++state_.failures;
    if (failures_in_a_row_++ == 0) report_("registry_lost", settings_.endpoints[endpoint_]);
    endpoint_ = (endpoint_ + 1) % settings_.endpoints.size();
    // Tries every endpoint once, then doubles the pause.
    const int round = failures_in_a_row_ / static_cast<int>(settings_.endpoints.size());
    const Duration pause = std::min<Duration>(kMaxPause, kFirstPause * (1 << std::min(round, 10)));
    const double part = std::uniform_real_distribution<double>(0.2, 1)(random_);
    loop_.disarm(retry_);
    retry_ =
        loop_.arm(loop_.now() + std::chrono::duration_cast<Duration>(pause * part), [this] { connect(); });
}

void RegistryClient::handle_response(Response response) {
    shared_->now = loop_.now();
    if (response.body.size() <= kMaxBytesParsedOnLoop) {
        bool ask_again = false;
        const bool good = shared_->source->take(response, ask_again);
        return finish_response(good, ask_again);
    }
    struct Job {
        std::shared_ptr<SharedState> shared;
        Response response;
        bool good = false, ask_again = false;
    };
    const auto job = std::make_shared<Job>(Job{shared_, std::move(response)});
    parsing_.run(
        [job] {
            job->good = job->shared->source->take(job->response, job->ask_again);
            job->response = {};
        },
        [this, job, from = connection_] {
            finish_response(job->good, job->ask_again);
            // Messages that came behind it, or meanwhile.
            Connection* const connection = connections_.find(from);
            if (connection && connection_ == from && connection->is_stream()) connection->process_all_data();
        });
}

void RegistryClient::finish_response(bool good, bool ask_again) {
    report_events();
    if (next_settings_) {
        settings_ = std::move(*std::exchange(next_settings_, nullptr));
        make_source();
        failures_in_a_row_ = 0;
        return connect();
    }
    if (!good) return handle_failure();
    if (std::exchange(failures_in_a_row_, 0) > 0) report_("registry_back", settings_.endpoints[endpoint_]);
    Connection* const connection = connections_.find(connection_);
    const bool is_stream = connection && !connection->closing() && connection->is_stream();
    if (is_stream && !ask_again) return;
    const proxy::Timestamp next = asked_at_ + kMinReadInterval;
    const bool watching = shared_->source->state() == discovery::Source::State::kWatching;
    if (!watching || ask_again || loop_.now() >= next) return send_request();
    loop_.disarm(retry_);
    retry_ = loop_.arm(next, [this] { send_request(); });
}

void RegistryClient::send_request() {
    Connection* const connection = connections_.find(connection_);
    if (connection && !connection->closing() && connection->can_reuse()) {
        connection->send_request();
    } else {
        connect();
    }
}

void RegistryClient::report_events() {
    for (const auto& [event, what] : std::exchange(shared_->events, {})) report_(event, what);
}

void RegistryClient::tick() {
    Duration again = kRetentionCheckInterval;
    if (!parsing_.busy()) {
        for (const Adopted& one : std::exchange(adopted_, {})) adopt(one.kind, one.entries);
        shared_->endpoint_set.tick(loop_.now());
        const auto& counts = shared_->source->counts();
        state_.watching = shared_->source->state() == discovery::Source::State::kWatching;
        state_.endpoints = shared_->endpoint_set.size();
        if (shared_->endpoint_set.held() > 0 && state_.held == 0) {
            report_("registry_held", std::to_string(shared_->endpoint_set.held()) +
                                         " endpoints removed at once are retained for a while");
        }
        state_.held = shared_->endpoint_set.held();
        state_.wholes = counts.wholes;
        state_.changes = counts.changes;
        state_.resets = counts.resets;
        state_.compactions = counts.compactions;
        state_.bad_values = counts.bad;
        if (shared_->endpoint_set.pending()) {
            const proxy::Timestamp begun = loop_.now();
            lists_.listed(policy::EndpointListKind::kChanges,
                          shared_->endpoint_set.next(ListUpdateSlicer::kMinSliceSize));
            const Duration took = loop_.now() - begun;
            state_.longest_slice_ms =
                std::max(state_.longest_slice_ms, std::chrono::duration<double, std::milli>(took).count());
            again = ListUpdateSlicer::kSliceInterval;
            snapshot_outdated_ = true;
        } else {
            save_snapshot();
        }
    }
    // The short interval makes sure that a drain is passed on within 10 ms of its arrival.
    timer_ = loop_.arm(loop_.now() + std::min<Duration>(again, 10ms), [this] { tick(); });
}

RegistryClient::State RegistryClient::state() const {
    State state = state_;
    state.endpoint = settings_.endpoints[endpoint_];
    return state;
}

}  // namespace linnetlead::net
