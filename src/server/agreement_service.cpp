#include "server/agreement_service.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "server/fleet_settings.h"
#include "server/sync_points.h"
#include "storage/checksummed_file.h"

namespace linnetlead::server {

using agreement::ConfigAgreement;
using nlohmann::json;
using proxy::Duration;
using proxy::EndpointId;
using proxy::Timestamp;
using namespace std::chrono_literals;

namespace {

constexpr const char* kSettingsTopic = "settings";
constexpr std::string_view kSealedAs = "linnetlead-accord 1";
constexpr Timestamp kCountedFrom =
    std::chrono::hours(24 * 20454);  // 2026; incarnations are tenths of a second since

// A text that the accord can carry goes compressed; of a longer one only its hash goes, and each gateway has
// to be given the file itself.
std::string pack(const std::string& text) {
    std::string packed = 'z' + storage::compress(text);
    if (packed.size() <= agreement::kMaxValueBytes) return packed;
    const std::uint64_t hash = agreement::hash_of(text);
    return 'h' + std::string(reinterpret_cast<const char*>(&hash), sizeof(hash));
}
std::optional<std::string> unpack(const std::string& value) {
    if (value.empty() || value.front() != 'z') return std::nullopt;
    constexpr std::size_t kMost = 1024 * 1024;
    auto text = storage::decompress(std::string_view(value).substr(1), kMost);
    if (!text) return std::nullopt;
    return std::move(*text);
}

ConfigAgreement::Settings agreement_settings(const AgreementServiceSettings& settings, const Config& config,
                                             Timestamp now, bool peers) {
    ConfigAgreement::Settings made;
    made.gateways = config.site.settings.gateways;
    made.self = config.site.settings.self;
    const bool counts = config.site.settings.may_use_counter && !config.counter.empty();
    made.transport = peers    ? agreement::Transport::kDatagrams
                     : counts ? agreement::Transport::kCounter
                              : agreement::Transport::kNone;
    made.seed = config.seed;
    made.incarnation = static_cast<agreement::Incarnation>(std::max(now - kCountedFrom, Duration{1}) / 100ms);
    made.lease = settings.lease;
    made.tombstone_lifetime = settings.tombstones;
    return made;
}

// As the admin endpoint spells them.
const char* name_of(agreement::Transport transport) {
    constexpr const char* kNames[] = {"alone", "datagrams", "counter"};
    return kNames[static_cast<int>(transport)];
}

}  // namespace

// A state being written on a thread of libuv's. It outlives its owner, should that go first.
struct AgreementService::Saving {
    uv_work_t work{};
    AgreementService* owner = nullptr;
    std::function<Status()> write;
    Status result = fail(ErrorCode::kIo, "");  // until it is written
};

ConfigAgreement::Callbacks AgreementService::callbacks_to(net::DatagramLink* peers,
                                                          proxy::CounterPort& counter) {
    ConfigAgreement::Callbacks made;
    made.send = [peers](int to, const std::string& datagram) {
        reach_point();
        if (peers) peers->tell(to, datagram);
    };
    made.count = [&counter](const std::string& name, double amount, Duration life) {
        reach_point();
        counter.add(name, amount, life);
    };
    made.event = [this](const agreement::Event& event) {
        reach_point();
        log_.write(event.at, "accord", {{"what", to_string(event.kind)}, {"text", event.text}});
    };
    made.check = [this](const std::string& topic, agreement::Version version, const std::string& value) {
        if (topic == statements::PreparedStatements::kTopic) check_catalog(version, value);
        if (topic == kSettingsTopic) check_settings(version, value);
    };
    made.activated = [this](const std::string& name, agreement::Version version, const std::string& value) {
        if (name == kSettingsTopic) callbacks_.activated(version, unpack(value).value_or(""));
        if (name == statements::PreparedStatements::kTopic && statements_)
            statements_->on_catalog_activated(loop_.now(), value);
    };
    made.fenced = [this](bool fenced) { callbacks_.fenced(fenced); };
    made.record = [this](const agreement::Record& record) {
        if (statements_) statements_->on_record(loop_.now(), record);
        warnings_.on_record(record);
    };
    made.application = [this](int from, const std::string& payload) {
        if (!payload.empty() && payload.front() == statements::PreparedStatements::kPayloadMark) {
            if (statements_) statements_->on_payload(loop_.now(), payload);
            return;
        }
        if (health_) health_->on_report(loop_.now(), from, payload);
    };
    return made;
}

void AgreementService::check_catalog(agreement::Version version, const std::string& value) {
    if (statements_) return statements_->check_catalog(loop_.now(), version, value);
    // A gateway without prepared statements has nothing to act on.
    agreement_.set_check_result(loop_.now(), statements::PreparedStatements::kTopic, version, true);
}

// A text too long to be carried is known by its hash: it can be acted on where this gateway has the same
// file.
void AgreementService::check_settings(agreement::Version version, const std::string& value) {
    if (const auto text = unpack(value)) return callbacks_.check(version, *text);
    std::uint64_t hash = 0;
    const bool is_hash = value.size() == 1 + sizeof(hash) && value.front() == 'h';
    if (is_hash) std::memcpy(&hash, value.data() + 1, sizeof(hash));
    agreement_.set_check_result(loop_.now(), kSettingsTopic, version, is_hash && hash == own_hash_);
}

AgreementService::AgreementService(const AgreementServiceSettings& settings, const Config& config,
                                   const Parts& parts, Callbacks callbacks)
    : settings_(settings),
      file_(path_of(settings.snapshot, "{gateway}", config.name), std::string(kSealedAs)),
      loop_(parts.loop),
      overrides_(parts.overrides),
      log_(parts.log),
      callbacks_(std::move(callbacks)),
      agreement_(agreement_settings(settings, config, parts.loop.now(), parts.peers != nullptr),
                 callbacks_to(parts.peers, parts.counter)),
      warnings_(agreement_, overrides_, loop_),
      gateway_(parts.gateway) {
    overrides_.on_change([this](const EndpointId& endpoint, Timestamp started, bool wanted) {
        warnings_.on_own_list_change(endpoint, started, wanted);
    });
    if (settings_.with_statements) make_statements(config);
    if (settings_.with_health) make_health(config, parts.peers != nullptr);
}

void AgreementService::make_health(const Config& config, bool has_peers) {
    health::SharedHealth::Settings made = settings_.health_settings;
    made.gateways = config.site.settings.gateways;
    made.self = config.site.settings.self;
    made.process = static_cast<std::uint16_t>(agreement_.members().incarnation());
    made.shared = made.shared && has_peers;
    made.slow_start_min_share = config.site.settings.slow_start_min_share;
    health_adapter_ =
        std::make_unique<HealthAdapter>(agreement_, loop_, log_, [this] { callbacks_.set_aside(); });
    health_ = std::make_unique<health::SharedHealth>(made, *health_adapter_);
}

AgreementService::~AgreementService() { close(); }

void AgreementService::make_statements(const Config& config) {
    statements::PreparedStatements::Settings made = settings_.statement_settings;
    made.gateways = config.site.settings.gateways;
    made.self = config.site.settings.self;
    made.slow_start_min_share = config.site.settings.slow_start_min_share;
    made.slow_start_window = config.site.settings.slow_start_window;
    statement_adapter_ = std::make_unique<StatementAdapter>(config, agreement_, loop_, gateway_, log_,
                                                            [this] { callbacks_.unready(); });
    statements_ = std::make_unique<statements::PreparedStatements>(made, agreement_, *statement_adapter_);
    statement_adapter_->set_statements(statements_.get());
    gateway_.attach(statements_.get());
}

void AgreementService::schemas(const statements::Schemas& versions) {
    if (statements_) statements_->set_schemas(loop_.now(), versions);
}

void AgreementService::addresses(policy::EndpointListKind kind,
                                 const std::vector<proxy::DiscoveredEndpoint>& entries) {
    if (statement_adapter_) statement_adapter_->on_addresses(kind, entries);
}

void AgreementService::listed(policy::EndpointListKind kind,
                              const std::vector<policy::EndpointInfo>& entries) {
    if (health_) health_->on_endpoint_list(kind, entries);
    if (statements_) statements_->on_endpoint_list(kind, entries);
}

void AgreementService::start() {
    if (file_.is_kept()) {
        const auto state = file_.load();
        if (state && !agreement_.restore(loop_.now(), *state)) file_.reject("it is damaged");
        if (!file_.problem().empty())
            log_.write(loop_.now(), "accord", {{"what", "not restored"}, {"text", file_.problem()}});
    }
    tick();
}

void AgreementService::close() {
    loop_.disarm(std::exchange(timer_, {}));
    overrides_.on_change(nullptr);
    overrides_.on_list(nullptr);
    gateway_.attach(static_cast<proxy::StatementPort*>(nullptr));
    if (statement_adapter_) statement_adapter_->close();
    if (saving_) std::exchange(saving_, nullptr)->owner = nullptr;
}

Status AgreementService::propose(std::uint64_t version, const std::string& text) {
    own_hash_ = agreement::hash_of(text);
    return agreement_.propose(loop_.now(), kSettingsTopic, version, pack(text));
}

void AgreementService::set_check_result(agreement::Version version, bool can_act_on_it) {
    agreement_.set_check_result(loop_.now(), kSettingsTopic, version, can_act_on_it);
}

void AgreementService::on_datagram(int from, std::string_view datagram) {
    agreement_.on_datagram(loop_.now(), from, datagram);
    arm();
}

bool AgreementService::on_counter_answer(const std::string& name, policy::CounterStatus status,
                                         double total) {
    if (name.compare(0, std::strlen(agreement::CounterVoting::kPrefix), agreement::CounterVoting::kPrefix) !=
        0)
        return false;
    agreement_.on_counter_answer(loop_.now(), name, status == policy::CounterStatus::kOk, total);
    arm();
    return true;
}

// A settled instant is met when it comes, not at the next tick behind it.
void AgreementService::arm() {
    const auto wake = agreement_.next_activation();
    if (!wake || wake == asked_wake_) return;
    asked_wake_ = wake;
    loop_.disarm(timer_);
    const Timestamp now = loop_.now();
    timer_ = loop_.arm(std::min(now + kTickEvery, std::max(*wake, now)), [this] { tick(); });
}

void AgreementService::tick() {
    const Timestamp now = loop_.now();
    agreement_.tick(now);
    if (health_) health_->tick(now);
    if (statements_) statements_->tick(now);
    warnings_.remove_expired(now);
    save();
    asked_wake_.reset();
    Timestamp next = now + kTickEvery;
    if (const auto wake = agreement_.next_activation(); wake && *wake > now) next = std::min(next, *wake);
    timer_ = loop_.arm(next, [this] { tick(); });
}

void AgreementService::save() {
    const Timestamp now = loop_.now();
    if (!file_.is_kept() || saving_ || agreement_.change_count() == saved_changes_ ||
        now - saved_at_ < kSaveEvery)
        return;
    saved_changes_ = agreement_.change_count();
    saved_at_ = now;
    saving_ = new Saving;
    saving_->work.data = saving_;
    saving_->owner = this;
    saving_->write = file_.writer(agreement_.save());
    reach_point();
    uv_queue_work(
        loop_.uv(), &saving_->work,
        [](uv_work_t* work) {
            auto& self = *static_cast<Saving*>(work->data);
            self.result = self.write();
        },
        [](uv_work_t* work, int) {
            const std::unique_ptr<Saving> self(static_cast<Saving*>(work->data));
            if (!self->owner) return;
            self->owner->saving_ = nullptr;
            reach_point();
            self->owner->file_.written(self->result);
            if (self->result) return;
            self->owner->saved_changes_ = 0;  // tried again
            self->owner->log_.write(self->owner->loop_.now(), "accord",
                                    {{"what", "not saved"}, {"text", self->result.error().message}});
        });
}

// ---- For the admin endpoint ------------------------------------------------------------------------------

json AgreementService::state() const {
    const Timestamp now = loop_.now();
    const auto version = [](agreement::Version of) {
        char digest[20];
        std::snprintf(digest, sizeof(digest), "%016llx", static_cast<unsigned long long>(of.digest));
        return json{{"version", of.number}, {"content", digest}};
    };
    json state{{"way", name_of(agreement_.transport())},
               {"present", agreement_.present_gateways()},
               {"fenced", agreement_.fenced(now)},
               {"in_force", version(agreement_.active_version(kSettingsTopic))},
               {"longest_contradiction_ms", agreement_.longest_contradiction() == Duration::max()
                                                ? json()
                                                : json(agreement_.longest_contradiction() / 1ms)}};
    if (!file_.problem().empty()) state["state_not_restored"] = file_.problem();
    if (const auto since = agreement_.fenced_since()) state["fenced_since_ms"] = *since / 1ms;
    if (const auto next = agreement_.proposed_version(kSettingsTopic)) {
        state["proposed"] = version(*next);
        state["lacking"] = agreement_.members_without_proposal();
    }
    if (const auto at = agreement_.activation_time(kSettingsTopic)) state["takes_effect_ms"] = *at / 1ms;
    json members = json::array();
    if (agreement_.transport() == agreement::Transport::kDatagrams) {
        for (int i = 0; i < agreement_.gateways(); ++i)
            members.push_back(to_string(agreement_.members().presence(i)));
    }
    state["members"] = std::move(members);
    const auto& traffic = agreement_.traffic();
    state["datagrams"] = {{"sent", traffic.sent},
                          {"bytes", traffic.bytes},
                          {"taken", traffic.received},
                          {"held_back", traffic.held_back},
                          {"nonsense", traffic.invalid}};
    if (statements_) {
        state["forms"] = {{"in_force", statements_->catalog().size()},
                          {"preparations", statements_->preparations()},
                          {"held", statements_->parked()},
                          {"unready", statements_->unready().size()}};
    }
    if (health_) {
        state["degraded"] = health_->degraded();
        state["odd_one_out"] = health_->is_outlier();
    }
    return state;
}

}  // namespace linnetlead::server
