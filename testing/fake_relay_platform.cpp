#include "testing/fake_relay_platform.h"

#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace linnetlead::test_support {

using distribution::Answer;
using distribution::Frame;
using nlohmann::json;
using namespace std::chrono_literals;

namespace {

// Frames over one connection of a test's own.
class Tool {
public:
    explicit Tool(std::uint16_t port) : peer_(connect_to(port)) {
        distribution::Hello hello;
        hello.role = distribution::Role::kTool;
        hello.name = "test";
        tell(hello);
    }
    void tell(const Frame& frame) { peer_.write(distribution::write(frame)); }
    std::optional<Answer> answer(std::uint64_t request) {
        peer_.read();
        std::string_view bytes = std::string_view(peer_.got).substr(taken_);
        Frame frame;
        distribution::Rejection rejection{};
        for (;;) {
            const auto before = bytes.size();
            const auto state = reader_.take(bytes, frame, rejection);
            taken_ += before - bytes.size();
            if (state != distribution::FrameReader::State::kFrame) return std::nullopt;
            const auto* found = std::get_if<Answer>(&frame);
            if (found && found->request == request) return *found;
        }
    }

private:
    SocketPeer peer_;
    std::size_t taken_ = 0;
    distribution::FrameReader reader_;
};

}  // namespace

FakeRelayPlatform::FakeRelayPlatform(FakePlatformSettings settings, std::vector<Place> relays,
                                     std::vector<std::string> zones, std::string more)
    : town([&settings, &zones] {
          settings.gateways = static_cast<int>(zones.size());
          settings.second_address = true;
          return settings;
      }()),
      zones_(std::move(zones)),
      more_(std::move(more)),
      folder_(temporary_path("relays")),
      program_(settings.program) {
    mkdir(folder_.c_str(), 0755);
    for (Place& place : relays) {
        relays_.emplace_back();
        relays_.back().port = free_port();
        relays_.back().file = path(place.name + ".star");
        relays_.back().place = std::move(place);
    }
    const int count = static_cast<int>(relays_.size());
    for (int to = 0; to < count; ++to) {
        for (int from = 0; from < count; ++from) {
            if (from != to) links_[{from, to}] = std::make_unique<TcpRelay>(town.loop(), port(to));
        }
        for (int from = 0; from < town.settings().gateways; ++from) {
            gateway_links_[{from, to}] = std::make_unique<TcpRelay>(town.loop(), port(to));
        }
    }
    for (int i = 0; i < count; ++i) {
        const auto address_from = [&](int to) { return to == i ? address(i) : link(i, to).address(); };
        write_file(relays_[static_cast<std::size_t>(i)].file, declared(address_from, i) +
                                                                  "distribution(directory = \"" +
                                                                  path("{relay}") + "\"" + more_ + ")\n");
    }
    for (int i = 0; i < town.settings().gateways; ++i) {
        const auto address_from = [&](int to) { return gateway_link(i, to).address(); };
        town.settings().operators_of[i] = declared(address_from, -1) + "distribution(zone = \"" +
                                          zones_[static_cast<std::size_t>(i)] + "\", snapshot = \"" +
                                          path("{gateway}.state") + "\"" + more_ + ")\n";
    }
}

FakeRelayPlatform::~FakeRelayPlatform() {
    for (auto& [ends, link] : links_) link->close();
    for (auto& [ends, link] : gateway_links_) link->close();
    town.run_for(20ms);  // nothing of them is in the loop any more
    relays_.clear();
    static_cast<void>(std::system(("rm -rf '" + folder_ + "'").c_str()));
}

std::string FakeRelayPlatform::declared(const std::function<std::string(int)>& address_of_relay,
                                        int self) const {
    std::string text;
    for (std::size_t i = 0; i < relays_.size(); ++i) {
        const Place& one = relays_[i].place;
        text += "relay(\"" + one.name + "\", region = \"" + one.region + "\", zone = \"" + one.zone +
                "\", address = \"" + address_of_relay(static_cast<int>(i)) + "\"" +
                (static_cast<int>(i) == self ? ", listen = \"" + address(self) + "\"" : "") +
                (one.votes ? ", votes = True" : "") + ")\n";
    }
    return text;
}

void FakeRelayPlatform::start_relay(int number) {
    OneRelay& one = relays_[static_cast<std::size_t>(number)];
    one.process = std::make_unique<Process>(
        program_, "{}", std::vector<std::string>{"relay", "--config", one.file, "--name", one.place.name},
        environment[number]);
    one.process->listening();
}

void FakeRelayPlatform::kill_relay(int number) { relays_[static_cast<std::size_t>(number)].process.reset(); }

void FakeRelayPlatform::start() {
    for (std::size_t i = 0; i < relays_.size(); ++i) start_relay(static_cast<int>(i));
    town.run_until([this] { return leader().has_value(); }, 10s);
    town.start();
}

void FakeRelayPlatform::partition(const std::vector<int>& relays, const std::vector<int>& gateways, bool on) {
    const auto within = [](const std::vector<int>& side, int one) {
        return std::find(side.begin(), side.end(), one) != side.end();
    };
    for (auto& [ends, link] : links_) {
        if (within(relays, ends.first) != within(relays, ends.second)) link->cut(on);
    }
    for (auto& [ends, link] : gateway_links_) {
        if (within(gateways, ends.first) != within(relays, ends.second)) link->cut(on);
    }
}

std::optional<Answer> FakeRelayPlatform::submit(int number, const distribution::Change& change,
                                                Duration within) {
    Tool tool(port(number));
    const std::uint64_t request = 17;
    tool.tell(distribution::Submit{request, change});
    std::optional<Answer> found;
    town.run_until([&] { return found || (found = tool.answer(request)); }, within);
    return found;
}

json FakeRelayPlatform::relay_state(int number) {
    Process* const process = relays_[static_cast<std::size_t>(number)].process.get();
    if (!process || process->has_ended() || process->is_stopped()) return {};
    Tool tool(port(number));
    tool.tell(distribution::Ask{5});
    std::optional<Answer> found;
    // Not by the town's loop: this is asked from within its conditions too.
    for (int tries = 0; tries < 100 && !found; ++tries) {
        found = tool.answer(5);
        if (!found) usleep(2000);
    }
    return found ? json::parse(found->message, nullptr, false) : json();
}

std::optional<int> FakeRelayPlatform::leader() {
    for (std::size_t i = 0; i < relays_.size(); ++i) {
        const OneRelay& one = relays_[i];
        if (!one.place.votes) continue;
        const json told = relay_state(static_cast<int>(i));
        if (told.is_object() && told["role"] == "leads") return static_cast<int>(i);
    }
    return std::nullopt;
}

std::vector<json> FakeRelayPlatform::states() {
    std::vector<std::optional<SocketPeer>> callers;
    for (int i = 0; i < town.settings().gateways; ++i) {
        callers.emplace_back();
        try {
            callers.back().emplace(connect_to(town.second_address(i)));
            callers.back()->write("GET /v1/accord HTTP/1.1\r\nHost: x\r\n\r\n");
        } catch (const std::exception&) {
            callers.back().reset();  // it is gone
        }
    }
    town.run_until(
        [&] {
            bool all = true;  // each is read, whatever another does
            for (auto& caller : callers) all = (!caller || caller->is_over()) && all;
            return all;
        },
        1s);
    std::vector<json> all;
    for (auto& caller : callers) {
        const auto body = caller ? caller->got.find("\r\n\r\n") : std::string::npos;
        all.push_back(body == std::string::npos ? json()
                                                : json::parse(caller->got.substr(body), nullptr, false));
    }
    return all;
}

std::vector<int> FakeRelayPlatform::all_gateways() const {
    std::vector<int> all;
    for (std::size_t i = 0; i < zones_.size(); ++i) all.push_back(static_cast<int>(i));
    return all;
}

bool FakeRelayPlatform::wait_for_revision(distribution::LogIndex revision, const std::vector<int>& gateways,
                                          Duration within) {
    for (const Timestamp until = town.now() + within;;) {
        const auto all = states();
        const bool good = std::all_of(gateways.begin(), gateways.end(), [&](int one) {
            const json& told = all[static_cast<std::size_t>(one)];
            return told.is_object() && told["distribution"]["revision"] >= revision;
        });
        if (good || town.now() >= until) return good;
        town.run_for(50ms);
    }
}

bool FakeRelayPlatform::wait_for_fenced(bool fenced, const std::vector<int>& gateways, Duration within) {
    for (const Timestamp until = town.now() + within;;) {
        const auto all = states();
        const bool good = std::all_of(gateways.begin(), gateways.end(), [&](int one) {
            const json& told = all[static_cast<std::size_t>(one)];
            return told.is_object() && told["fenced"] == fenced;
        });
        if (good || town.now() >= until) return good;
        town.run_for(50ms);
    }
}

std::string FakeRelayPlatform::relay_log(int number) {
    OneRelay& one = relays_[static_cast<std::size_t>(number)];
    if (one.process) one.log += one.process->errors_so_far();
    return one.log;
}

int FakeRelayPlatform::logged(const std::string& text, int gateway, Timestamp since) const {
    int lines = 0;
    for (const auto& one : town.log()) {
        const bool here = one.gateway == gateway && one.at >= since;
        lines += here && one.line.find(text) != std::string::npos ? 1 : 0;
    }
    return lines;
}

int FakeRelayPlatform::command(const std::vector<std::string>& arguments, Duration within) {
    Process process(program_, "{}", arguments, {"BALANCER_CONFIG="});
    if (!town.run_until([&] { return process.has_ended(); }, within)) return -1;
    return process.exit_code();
}

}  // namespace linnetlead::test_support
