#include "testing/soak/gateway_process.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <numeric>

#include "testing/fake_server.h"
#include "testing/site_settings.h"

namespace linnetlead::test_support::soak {

using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr Duration kAnswerWithin = 1s;  // of a question to a gateway

class Question final : public net::Stream {
public:
    using Done = std::function<void(const Heard&)>;
    Question(net::Loop& loop, std::string word, Done done)
        : Stream(loop), word_(std::move(word)), done_(std::move(done)) {
        timer_ = loop.arm(loop.now() + kAnswerWithin, [this] { over(); });
    }
    void over() {
        loop().disarm(std::exchange(timer_, {}));
        close();
        if (const Done done = std::exchange(done_, nullptr)) done({is_connected_, is_heard(), text_});
    }

private:
    bool is_heard() const { return text_.find(word_) != std::string::npos; }
    void on_connected() override { is_connected_ = true; }
    std::size_t on_bytes(std::string_view bytes) override {
        text_.append(bytes);
        // Of HTTP, all until the end; else the one line.
        if (is_heard() && text_.compare(0, 4, "HTTP") != 0) over();
        return bytes.size();
    }
    void on_end(int) override { over(); }
    void on_released() override { delete this; }

    std::string word_, text_;
    bool is_connected_ = false;
    Done done_;
    proxy::Handle timer_;
};

std::size_t descriptors_of(pid_t pid) {
    std::error_code error;
    std::size_t count = 0;
    for (auto at = std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd", error);
         !error && at != std::filesystem::directory_iterator(); at.increment(error)) {
        ++count;
    }
    return count;
}

std::vector<std::string> environment(const std::string& folder, StartOptions options) {
    std::vector<std::string> made{"TMPDIR=" + folder};
    if (options.stalls) made.push_back("LINNETLEAD_POINT=1:stall");
    return made;
}

}  // namespace

std::string config_of(const Scenario& scenario, int gateway, const GatewayAddresses& addresses,
                      const std::string& admin) {
    policy::Settings settings = scenario.settings;
    settings.self = gateway;
    json site = settings_json(settings, false);
    json& plan = site["tariffs"][0];
    site["limits"]["cancel"] = settings.may_cancel;
    site["limits"]["connect_timeout"] = scenario.connect_timeout.count();
    plan["hard_rate"] = settings.plans.front().hard_cap_rate;
    plan["never_over_depth"] = settings.plans.front().hard_cap_burst;
    plan["hard_slack"] = settings.plans.front().hard_cap_slack;
    return json{{"name", "n" + std::to_string(gateway)},
                {"listen", addresses.listen},
                {"mgmt", admin},
                {"discovery", addresses.discovery},
                {"counter", addresses.counter},
                {"seed", std::to_string(scenario.seed % 1000 + static_cast<std::uint64_t>(gateway))},
                {"limits", {{"memory_mb", scenario.memory_mb}, {"sockets", scenario.sockets}}},
                {"known", json::parse(addresses.list)},
                {"settings", site}}
        .dump();
}

std::string admin_call(const char* method, const char* path) {
    return std::string(method) + ' ' + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

void ask_once(net::Loop& loop, std::uint16_t port, const std::string& question, const std::string& word,
              std::function<void(const Heard&)> done) {
    auto* const asked = new Question(loop, word, std::move(done));  // deletes itself once it is released
    asked->to_write().append(question);
    if (asked->connect(address_of(port)) != 0) asked->over();
}

GatewayProcess::GatewayProcess(const std::string& program, const Scenario& scenario, int gateway,
                               const GatewayAddresses& addresses, const std::string& folder,
                               StartOptions options, net::Loop& loop, Record& record)
    : loop_(loop),
      record_(record),
      admin_port_(free_port()),
      index_(record.processes.size()),
      process_(program, config_of(scenario, gateway, addresses, admin()), {}, environment(folder, options)) {
    ProcessLife life;
    life.gateway = gateway;
    life.started = loop.now();
    life.is_second = options.is_second;
    record.processes.push_back(std::move(life));
}

void GatewayProcess::signal(int number) {
    if (!process_.has_ended()) process_.signal(number);
}

void GatewayProcess::terminate() {
    if (life().terminated == kNever) entry().terminated = loop_.now();
    signal(SIGTERM);
}

void GatewayProcess::kill() {
    if (process_.has_ended()) return;
    entry().killed = loop_.now();
    process_.signal(SIGKILL);
}

void GatewayProcess::note_let_in() {
    if (entry().let_in == kNever) entry().let_in = loop_.now();
}

void GatewayProcess::note_ready() {
    if (!is_ready()) entry().ready = loop_.now();
}

bool GatewayProcess::look() {
    ProcessLife& life = entry();
    if (life.ended != kNever) return false;
    life.log += process_.errors_so_far();
    if (process_.has_ended()) {
        life.ended = loop_.now();
        life.exit_code = process_.exit_code();
        return false;
    }
    life.most_descriptors = std::max(life.most_descriptors, descriptors_of(process_.pid));
    life.most_resident_kib =
        std::max(life.most_resident_kib, static_cast<std::size_t>(process_.resident_kib()));
    note_wait_for_processor();
    return true;
}

void GatewayProcess::note_wait_for_processor() {
    std::ifstream file("/proc/" + std::to_string(process_.pid) + "/schedstat");
    std::uint64_t ran_ns = 0, waited_ns = 0;
    if (!(file >> ran_ns >> waited_ns)) return;
    recent_waits_[looks_++ % kLooksInWindow] =
        Duration{static_cast<Duration::rep>(waited_ns - std::exchange(waited_ns_, waited_ns))};
    const Duration lately = std::accumulate(recent_waits_.begin(), recent_waits_.end(), Duration{});
    record_.longest_wait_for_processor = std::max(record_.longest_wait_for_processor, lately);
}

}  // namespace linnetlead::test_support::soak
