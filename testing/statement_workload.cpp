#include "testing/statement_workload.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace linnetlead::test_support {

using namespace std::chrono_literals;
using proxy::Handle;
using statements::PreparedStatements;

namespace {

constexpr Duration kNetworkDelay = 1ms, kWork = 20ms;
constexpr int kMaxAttempts = 4;

std::string text_of(const statements::Schemas& schemas) {
    std::string text;
    for (const auto& [name, version] : schemas) text += name + '=' + std::to_string(version) + '\n';
    return text;
}

statements::Schemas schemas_of(const std::string& text) {
    statements::Schemas schemas;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        const auto equals = line.find('=');
        if (equals != std::string::npos)
            schemas[line.substr(0, equals)] = std::strtoull(line.c_str() + equals + 1, nullptr, 10);
    }
    return schemas;
}

}  // namespace

StatementWorkload::StatementWorkload(StatementWorkloadSettings settings)
    : fleet(settings.fleet),
      settings_(std::move(settings)),
      random_(settings_.fleet.seed * 17 + 3),
      gateways_(static_cast<std::size_t>(settings_.fleet.gateways)),
      statements_(static_cast<std::size_t>(settings_.fleet.gateways)) {
    for (int i = 0; i < settings_.endpoints; ++i) {
        Endpoint one;
        one.id = "w" + std::to_string(i);
        endpoints_.push_back(std::move(one));
    }
    fleet.started = [this](int gateway) { begin(gateway); };
    fleet.crashed = [this](int gateway) {
        for (auto at = calls_.begin(); at != calls_.end();) {
            at = at->second.gateway == gateway ? calls_.erase(at) : std::next(at);
        }
        statements_[static_cast<std::size_t>(gateway)].reset();
    };
    fleet.ticked = [this](int gateway) { statements(gateway).tick(fleet.time_of(gateway)); };
    fleet.heard = [this](int gateway, int, const std::string& payload) {
        if (!payload.empty() && payload.front() == PreparedStatements::kPayloadMark)
            statements(gateway).on_payload(fleet.time_of(gateway), payload);
    };
    fleet.record = [this](int gateway, const agreement::Record& record) {
        if (statements_[static_cast<std::size_t>(gateway)])
            statements(gateway).on_record(fleet.time_of(gateway), record);
    };
    fleet.check = [this](int gateway, const std::string& topic, agreement::Version version,
                         const std::string& value) {
        if (topic != PreparedStatements::kTopic) return false;
        if (statements_[static_cast<std::size_t>(gateway)])
            statements(gateway).check_catalog(fleet.time_of(gateway), version, value);
        return true;
    };
    fleet.took = [this](int gateway, const std::string& topic, const std::string& value) {
        if (!statements_[static_cast<std::size_t>(gateway)]) return;
        const Timestamp now = fleet.time_of(gateway);
        if (topic == PreparedStatements::kTopic) statements(gateway).on_catalog_activated(now, value);
        if (topic == "settings") statements(gateway).set_schemas(now, schemas_of(value));
    };
    next_call();
}

// The prepared statements of one simulated gateway, connected with the simulated endpoints and requests.
class StatementWorkload::Gateway final : public statements::StatementGateway {
public:
    Gateway(StatementWorkload& workload, int gateway) : workload_(workload), gateway_(gateway) {}

    void prepare(const proxy::EndpointId& id, std::uint64_t key, const std::string& body) override {
        SimulatedCluster& cluster = workload_.fleet;
        if (cluster.reach_point(gateway_, "prepare") == Fault::kCrash) return;
        cluster.at(cluster.now() + kNetworkDelay, [this, id, key, body] { arrive(id, key, body); });
    }
    void release(Handle call) override {
        SimulatedCluster& cluster = workload_.fleet;
        cluster.at(cluster.now(), [&workload = workload_, id = call.packed()] { workload.attempt(id); });
    }
    void answer(Handle call, proxy::Verdict verdict, const std::string& value) override {
        workload_.conclude(call.packed(),
                           verdict == proxy::Verdict::kServed     ? Answer::kServed
                           : verdict == proxy::Verdict::kRejected ? Answer::kRejected
                                                                  : Answer::kFailed,
                           value);
    }
    void on_unready_changed() override {}
    void on_event(const statements::StatementEvent&) override {}
    std::string_view body_of(const proxy::Payload& payload) const override { return payload.bytes; }
    proxy::Payload with_body(const proxy::Payload&, std::string_view head,
                             std::string_view rest) const override {
        proxy::Payload payload;
        payload.bytes = std::string(head) + std::string(rest);
        return payload;
    }

private:
    void arrive(const proxy::EndpointId& id, std::uint64_t key, const std::string& body) {
        auto& endpoints = workload_.endpoints_;
        const auto endpoint = std::find_if(endpoints.begin(), endpoints.end(),
                                           [&](const Endpoint& one) { return one.id == id; });
        bool ran = false;
        const std::string error = workload_.arrive(*endpoint, body, ran);
        SimulatedCluster& cluster = workload_.fleet;
        cluster.at(cluster.now() + kWork, [&workload = workload_, gateway = gateway_, id, key, error] {
            if (!workload.fleet.runs(gateway) || !workload.has_statements(gateway)) return;
            workload.statements(gateway).on_prepared(workload.fleet.time_of(gateway), id, key,
                                                     error.empty() ? statements::PreparationResult::kDone
                                                                   : statements::PreparationResult::kRejected,
                                                     error);
        });
    }

    StatementWorkload& workload_;
    int gateway_;
};

StatementWorkload::~StatementWorkload() = default;

void StatementWorkload::begin(int gateway) {
    PreparedStatements::Settings made = settings_.statement_settings;
    made.gateways = settings_.fleet.gateways;
    made.self = gateway;
    const auto index = static_cast<std::size_t>(gateway);
    if (!gateways_[index]) gateways_[index] = std::make_unique<Gateway>(*this, gateway);
    statements_[index] =
        std::make_unique<PreparedStatements>(made, fleet.agreement(gateway), *gateways_[index]);
    tell_list();
}

void StatementWorkload::tell_list() {
    std::vector<policy::EndpointInfo> entries;
    for (const Endpoint& endpoint : endpoints_) {
        policy::EndpointInfo entry;
        entry.id = endpoint.id;
        entry.started = endpoint.started;
        entries.push_back(std::move(entry));
    }
    for (auto& one : statements_) {
        if (one) one->on_endpoint_list(policy::EndpointListKind::kComplete, entries);
    }
}

void StatementWorkload::give_file(int gateway, std::uint64_t version, const statements::Schemas& schemas) {
    fleet.propose(gateway, version, text_of(schemas));
}

void StatementWorkload::move(int number, const std::string& schema, std::uint64_t version) {
    Endpoint& endpoint = endpoints_[static_cast<std::size_t>(number)];
    endpoint.schemas[schema] = version;
    for (auto at = endpoint.prepared.begin(); at != endpoint.prepared.end();) {
        at = at->find(' ' + schema + '@') != std::string::npos ? endpoint.prepared.erase(at) : std::next(at);
    }
}

void StatementWorkload::restart(int number) {
    Endpoint& endpoint = endpoints_[static_cast<std::size_t>(number)];
    endpoint.started = fleet.now();
    endpoint.prepared.clear();
    endpoint.prepares.clear();
    tell_list();
}

// What the endpoint answers: nothing where it serves, else its error line.
std::string StatementWorkload::arrive(Endpoint& endpoint, const std::string& body, bool& ran) {
    const auto end = body.find('\n');
    std::istringstream words(body.substr(0, end));
    std::string word, name, edition, rest;
    words >> word >> name >> edition;
    std::getline(words, rest);
    std::istringstream versions(rest);
    for (std::string one; versions >> one;) {
        const auto sign = one.find('@');
        const std::string schema = one.substr(0, sign);
        const std::uint64_t version = endpoint.schemas[schema];
        if (std::to_string(version) != one.substr(sign + 1))
            return "ERR schema " + schema + ' ' + std::to_string(version);
    }
    const std::string head = name + ' ' + edition + rest;
    if (word == "prepare") {
        ++prepares;
        if (++endpoint.prepares[head] > 1) ++prepares_again;
        endpoint.prepared.insert(head);
        return {};
    }
    if (endpoint.prepared.count(head) == 0) return "ERR form " + name + ' ' + edition;
    ran = true;
    return {};
}

void StatementWorkload::next_call() {
    std::exponential_distribution<double> gap(settings_.calls_per_s);
    fleet.at(fleet.now() + span_of(gap(random_)), [this] {
        std::uniform_int_distribution<int> which(0, settings_.fleet.gateways - 1),
            account(1, settings_.accounts);
        std::uniform_int_distribution<std::size_t> form(0, settings_.statement_names.size() - 1);
        std::uniform_real_distribution<double> chance;
        const int gateway = which(random_), of = account(random_);
        const std::string& name = settings_.statement_names[form(random_)];
        const bool never_twice = chance(random_) < settings_.never_twice;
        if (loaded_ && fleet.runs(gateway)) {
            ask(gateway, "form " + name + "\nparameters", static_cast<std::uint64_t>(of), never_twice);
        }
        next_call();
    });
}

int StatementWorkload::ask(int gateway, const std::string& body, std::uint64_t account, bool never_twice) {
    const int number = static_cast<int>(answers_.size());
    answers_.emplace_back(Answer::kNone, "");
    ++asked;
    const std::uint64_t id = Handle::unpacked(++next_id_).packed();
    Call& call = calls_[id];
    call.gateway = gateway;
    call.number = number;
    call.account = account;
    call.never_twice = never_twice;
    call.due = fleet.now() + settings_.deadline;
    call.payload.bytes = body;
    call.request.due = fleet.time_of(gateway) + settings_.deadline;
    call.name = statements::parse_head(body).name;
    fleet.at(call.due, [this, id] { conclude(id, Answer::kFailed, ""); });
    using Ruling = proxy::StatementPort::Ruling;
    switch (
        statements(gateway).taken(fleet.time_of(gateway), Handle::unpacked(id), call.request, call.payload)) {
        case Ruling::kForm:
            attempt(id);
            break;
        case Ruling::kReject:
            conclude(id, Answer::kRejected, "");
            break;
        case Ruling::kPass:
        case Ruling::kFail:
            conclude(id, Answer::kFailed, "");
            break;
        case Ruling::kHold:
            break;
    }
    return number;
}

void StatementWorkload::attempt(std::uint64_t id) {
    const auto at = calls_.find(id);
    if (at == calls_.end() || !fleet.runs(at->second.gateway)) return;
    Call& call = at->second;
    PreparedStatements& here = statements(call.gateway);
    std::vector<Endpoint*> among;
    for (Endpoint& endpoint : endpoints_) {
        if (here.unready().count(endpoint.id) == 0) among.push_back(&endpoint);
    }
    while (call.attempts++ < kMaxAttempts && !among.empty()) {
        std::uniform_int_distribution<std::size_t> pick(0, among.size() - 1);
        Endpoint& endpoint = *among[pick(random_)];
        proxy::Payload changed;
        if (!here.sending(fleet.time_of(call.gateway), Handle::unpacked(id), endpoint.id, call.payload,
                          changed)) {
            ++elsewhere;
            continue;
        }
        const Timestamp sent = fleet.now();
        const std::string body = changed.bytes;
        const std::string endpoint_id = endpoint.id;
        fleet.at(sent + kNetworkDelay, [this, id, endpoint_id, body, sent] {
            const auto now_at = calls_.find(id);
            const auto to = std::find_if(endpoints_.begin(), endpoints_.end(),
                                         [&](const Endpoint& w) { return w.id == endpoint_id; });
            bool ran = false;
            const std::string error = arrive(*to, body, ran);
            if (now_at != calls_.end() && ran) {
                if (now_at->second.never_twice && now_at->second.may_have_run)
                    broken += "a never-twice call ran again; ";
                now_at->second.may_have_run = true;
            }
            fleet.at(fleet.now() + kWork, [this, id, endpoint_id, error, body, sent] {
                const auto open = calls_.find(id);
                if (open == calls_.end() || !fleet.runs(open->second.gateway)) return;
                if (error.empty()) {
                    audit.answered(open->second.account, open->second.name, body.substr(0, body.find('\n')),
                                   sent, fleet.agreement(open->second.gateway).longest_contradiction());
                    return conclude(id, Answer::kServed, "");
                }
                const bool moved = statements(open->second.gateway)
                                       .moved_on(fleet.time_of(open->second.gateway), Handle::unpacked(id),
                                                 endpoint_id, error);
                if (!moved) return conclude(id, Answer::kFailed, "");
                attempt(id);
            });
        });
        return;
    }
    conclude(id, Answer::kRejected, "");
}

void StatementWorkload::conclude(std::uint64_t id, Answer answer, const std::string& value) {
    const auto at = calls_.find(id);
    if (at == calls_.end()) return;
    answers_[static_cast<std::size_t>(at->second.number)] = {answer, value};
    ++(answer == Answer::kServed ? served : answer == Answer::kRejected ? rejected : failed);
    const int gateway = at->second.gateway;
    calls_.erase(at);
    if (statements_[static_cast<std::size_t>(gateway)]) statements(gateway).over(Handle::unpacked(id));
}

bool StatementWorkload::all_have(const std::string& form, const std::string& text) {
    for (int i = 0; i < settings_.fleet.gateways; ++i) {
        if (!fleet.runs(i)) return false;
        const auto at = statements(i).catalog().find(form);
        if (at == statements(i).catalog().end() || at->second.text != text) return false;
    }
    return true;
}

bool StatementWorkload::none_has(const std::string& form) {
    for (int i = 0; i < settings_.fleet.gateways; ++i) {
        if (!fleet.runs(i) || statements(i).catalog().count(form) > 0) return false;
    }
    return true;
}

bool StatementWorkload::prepared_everywhere(const std::string& form) {
    for (int i = 0; i < settings_.fleet.gateways; ++i) {
        for (const Endpoint& endpoint : endpoints_) {
            if (!fleet.runs(i) || !statements(i).is_prepared(endpoint.id, form)) return false;
        }
    }
    return true;
}

}  // namespace linnetlead::test_support
