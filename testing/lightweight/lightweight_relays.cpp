#include "testing/lightweight/lightweight_relays.h"

#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>
#include <utility>

namespace linnetlead::test_support {

using distribution::Answer;
using nlohmann::json;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

LightweightRelays::LightweightRelays(std::string program, int relays, int voters)
    : program_(std::move(program)),
      folder_(temporary_path("relays")),
      zones_(std::min(relays, 14)),
      voters_(voters) {
    constexpr int kRegions = 6;
    mkdir(folder_.c_str(), 0755);
    for (int i = 0; i < relays; ++i) {
        ports_.push_back(free_port());
        const int zone = i % zones_;
        text_ += "relay(\"relay-" + std::to_string(i) + "\", region = \"region-" +
                 std::to_string(zone % kRegions) + "\", zone = \"zone-" + std::to_string(zone) +
                 "\", address = \"127.0.0.1:" + std::to_string(ports_.back()) + "\"" +
                 (i < voters ? ", votes = True" : "") + ")\n";
    }
    text_ += "distribution(directory = \"" + folder_ + "/{relay}\")\n";
    write_file(file(), text_);
    processes_.resize(static_cast<std::size_t>(relays));
    for (int i = 0; i < relays; ++i) start(i);
}

LightweightRelays::~LightweightRelays() {
    processes_.clear();
    static_cast<void>(std::system(("rm -rf '" + folder_ + "'").c_str()));
}

void LightweightRelays::start(int relay) {
    auto& process = processes_[static_cast<std::size_t>(relay)];
    process = std::make_unique<Process>(
        program_, "{}",
        std::vector<std::string>{"relay", "--config", file(), "--name", "relay-" + std::to_string(relay)});
    process->listening();
}

void LightweightRelays::kill(int relay) { processes_[static_cast<std::size_t>(relay)].reset(); }

std::optional<Answer> LightweightRelays::submit(int relay, const distribution::Change& change) const {
    const std::uint64_t request = ++requests_;
    return ask(relay, request, distribution::Submit{request, change});
}

json LightweightRelays::state(int relay) const {
    if (!runs(relay)) return {};
    const std::uint64_t request = ++requests_;
    const auto answer = ask(relay, request, distribution::Ask{request});
    return answer ? json::parse(answer->message, nullptr, false) : json();
}

std::optional<int> LightweightRelays::leader() const {
    for (int i = 0; i < voters_; ++i) {
        const json told = state(i);
        if (told.is_object() && told.value("role", "") == "leads") return i;
    }
    return std::nullopt;
}

bool LightweightRelays::wait_for_leader() const {
    for (const auto end = Clock::now() + 10s; Clock::now() < end; std::this_thread::sleep_for(50ms)) {
        if (leader()) return true;
    }
    return false;
}

void LightweightRelays::read_logs() {
    for (auto& process : processes_) {
        if (process) process->errors_so_far();
    }
}

std::optional<Answer> LightweightRelays::ask(int relay, std::uint64_t request,
                                             const distribution::Frame& frame) const {
    SocketPeer peer = connect_to(ports_[static_cast<std::size_t>(relay)]);
    distribution::Hello hello;
    hello.role = distribution::Role::kTool;
    hello.name = "bench";
    const std::string text = distribution::write(hello) + distribution::write(frame);
    const auto end = Clock::now() + 10s;
    for (std::size_t sent = 0; sent < text.size() && Clock::now() < end;) {
        sent += peer.write_some(std::string_view(text).substr(sent));
        if (sent < text.size()) std::this_thread::sleep_for(1ms);
    }
    distribution::FrameReader reader;
    for (std::size_t taken = 0; Clock::now() < end; std::this_thread::sleep_for(1ms)) {
        peer.read();
        std::string_view bytes = std::string_view(peer.got).substr(taken);
        distribution::Frame got;
        distribution::Rejection rejection{};
        for (;;) {
            const auto before = bytes.size();
            const auto state = reader.take(bytes, got, rejection);
            taken += before - bytes.size();
            if (state != distribution::FrameReader::State::kFrame) break;
            const auto* answer = std::get_if<Answer>(&got);
            if (answer && answer->request == request) return *answer;
        }
        if (peer.ended) return std::nullopt;
    }
    return std::nullopt;
}

distribution::Change tenants_change(int first, int keys) {
    static int number = 0;
    distribution::Change change;
    change.id = "bench-" + std::to_string(getpid()) + '-' + std::to_string(++number);
    for (int i = 0; i < keys; ++i) {
        char key[32];
        std::snprintf(key, sizeof(key), "tenant/%016x", 1 + first + i);
        change.edits.push_back(
            {key, "{\"terms\":[{\"plan\":\"basico\",\"since\":" + std::to_string(number) + "}]}"});
    }
    return change;
}

}  // namespace linnetlead::test_support
