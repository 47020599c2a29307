// Structured log: one JSON object a line on standard error, and no more lines than a bounded rate. Events of
// the gateway itself only, never of single requests: for those see proxy/event_log.h.
#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "traffic/router.h"

namespace spdlog {
class logger;
}

namespace linnetlead::server {

class Log {
public:
    explicit Log(std::string gateway);
    // `now`: the gateway's time. Adds "time", "gateway" and "event"; what is over the rate is counted, and
    // the next line says how many were left out.
    void write(proxy::Timestamp now, const std::string& event, nlohmann::json fields);

private:
    static constexpr double kLinesASecond = 20;
    static constexpr double kLinesAtOnce = 100;
    std::string gateway_;
    std::shared_ptr<spdlog::logger> logger_;
    double room_ = kLinesAtOnce;
    proxy::Timestamp filled_{};
    std::uint64_t left_out_ = 0;
};

nlohmann::json fields_of(const traffic::Event& event);
// The move as it stands, for SIGUSR1.
nlohmann::json fields_of(const traffic::CanaryRollout& move, proxy::Timestamp now);

}  // namespace linnetlead::server
