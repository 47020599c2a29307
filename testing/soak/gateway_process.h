// The processes of one gateway: started, signalled, probed and watched, with an entry in the record for each.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>

#include "net/loop.h"
#include "testing/soak/record.h"
#include "testing/soak/scenario.h"
#include "testing/socket_peer.h"

namespace linnetlead::test_support::soak {

// What a gateway's configuration says beside the settings.
struct GatewayAddresses {
    std::string listen;
    std::string discovery;
    std::string counter;
    std::string list;  // as known at the start
};
std::string config_of(const Scenario& scenario, int gateway, const GatewayAddresses& addresses,
                      const std::string& admin);

struct Heard {
    bool is_connected = false;
    bool is_good = false;  // the answer holds the word
    std::string answer;
};
// A call to the admin endpoint.
std::string admin_call(const char* method, const char* path);
// Asks one question over a connection of its own, and waits a second for an answer that holds a word.
void ask_once(net::Loop& loop, std::uint16_t port, const std::string& question, const std::string& word,
              std::function<void(const Heard&)> done);

struct StartOptions {
    bool is_second = false;  // beside an older one
    bool stalls = false;     // stops itself between listening and its first turn, where it holds points
};

// One process from its start to its end.
class GatewayProcess {
public:
    GatewayProcess(const std::string& program, const Scenario& scenario, int gateway,
                   const GatewayAddresses& addresses, const std::string& folder, StartOptions options,
                   net::Loop& loop, Record& record);

    void signal(int number);
    void terminate();
    void kill();
    // With a text that may be no configuration.
    void reload(const std::string& config) { process_.reload(config); }
    // Reads the log, descriptors, memory and waits; notes an end. False: it has ended.
    bool look();
    void note_ready();
    void note_let_in();
    bool is_stopped() const { return process_.is_stopped(); }
    bool is_ready() const { return life().ready != kNever; }
    std::uint16_t admin_port() const { return admin_port_; }
    std::string admin() const { return "127.0.0.1:" + std::to_string(admin_port_); }
    const ProcessLife& life() const { return record_.processes[index_]; }

private:
    static constexpr std::size_t kLooksInWindow = 4;  // some 0.2 s
    ProcessLife& entry() { return record_.processes[index_]; }
    void note_wait_for_processor();

    net::Loop& loop_;
    Record& record_;
    const std::uint16_t admin_port_;
    const std::size_t index_;  // of its life
    Process process_;
    std::uint64_t waited_ns_ = 0;                          // for a processor, since its start
    std::array<Duration, kLooksInWindow> recent_waits_{};  // of the latest looks, in a ring
    std::size_t looks_ = 0;
};

}  // namespace linnetlead::test_support::soak
