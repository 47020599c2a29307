// Connects the simulator's line protocol to one Policy per gateway. It parses and prints messages and makes
// no decisions.
//
// The simulator sends batches of lines, each for one point in simulated time, and reads one reply per batch.
#pragma once

#include <array>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "linnetlead/policy.h"
#include "simulator_adapter/gateway_instance.h"
#include "simulator_adapter/message_fields.h"

namespace linnetlead::simulator_adapter {

class SimulatorLink {
public:
    // Processes one line. Returns the whole reply at the end of a batch, else an empty string. Throws
    // WireError for malformed input; the link must not be used after that.
    std::string process_line(std::string_view line);

private:
    static constexpr std::size_t kPages = 16;

    void handle_begin_batch(MessageFields& fields);
    std::string handle_end_batch(MessageFields& fields);
    void dispatch(MessageFields& fields);
    void handle_start_gateway(MessageFields& fields);
    void handle_stop_gateway(MessageFields& fields);
    void handle_endpoint_page(MessageFields& fields);
    void handle_endpoint_row(MessageFields& fields);
    void handle_endpoint_list(MessageFields& fields);
    void handle_request(MessageFields& fields);
    void handle_attempt_result(MessageFields& fields);
    void handle_stream_started(MessageFields& fields);
    void handle_request_withdrawn(MessageFields& fields);
    void handle_counter_reply(MessageFields& fields);
    void handle_probe_result(MessageFields& fields);
    void handle_wake(MessageFields& fields);
    void handle_peer_message(MessageFields& fields);
    GatewayInstance& find_instance(MessageFields& fields);

    std::map<std::int64_t, std::unique_ptr<GatewayInstance>> instances_;
    std::array<std::vector<policy::EndpointInfo>, kPages> pages_;
    std::array<bool, kPages> page_received_{};
    std::string reply_;
    policy::Timestamp now_{};
    std::uint64_t line_number_ = 0;
    std::int64_t batch_ = 0;
    bool in_batch_ = false;
    std::int64_t rows_left_ = 0;  // still expected for the open page
    std::size_t open_page_ = 0;
};

// Processes all input. Returns the exit code: 0, or 2 for malformed input.
int run(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace linnetlead::simulator_adapter
