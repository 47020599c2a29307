#include "server/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace linnetlead::server {

namespace {

std::string utc(proxy::Timestamp now) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    const std::time_t seconds = ms / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[64];
    const std::size_t size = std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text + size, sizeof(text) - size, ".%03dZ", static_cast<int>(ms % 1000));
    return text;
}

double rounded(double x) { return std::round(x * 1e4) / 1e4; }

}  // namespace

Log::Log(std::string gateway)
    : gateway_(std::move(gateway)),
      logger_(
          std::make_shared<spdlog::logger>("linnetlead", std::make_shared<spdlog::sinks::stderr_sink_st>())) {
    logger_->set_pattern("%v");
    logger_->flush_on(spdlog::level::info);
}

void Log::write(proxy::Timestamp now, const std::string& event, nlohmann::json fields) {
    const double passed = std::chrono::duration<double>(now - filled_).count();
    room_ = std::min(kLinesAtOnce, room_ + std::max(0.0, passed) * kLinesASecond);
    filled_ = now;
    if (room_ < 1) {
        ++left_out_;
        return;
    }
    room_ -= 1;
    fields["time"] = utc(now);
    fields["gateway"] = gateway_;
    fields["event"] = event;
    if (left_out_ > 0) fields["left_out"] = std::exchange(left_out_, 0);
    logger_->info("{}", fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

nlohmann::json fields_of(const traffic::Event& event) {
    return {{"move", event.move},   {"from", name_of(event.from)},   {"to", name_of(event.to)},
            {"stage", event.stage}, {"share", rounded(event.share)}, {"reason", event.reason}};
}

nlohmann::json fields_of(const traffic::CanaryRollout& move, proxy::Timestamp now) {
    const traffic::Evidence& seen = move.evidence();
    return {{"move", move.settings().name},
            {"run", move.settings().run},
            {"state", name_of(move.state())},
            {"stage", move.stage()},
            {"share", rounded(move.share(now))},
            {"reason", move.reason()},
            {"verdict", move.verdict(now)},
            {"outstanding", move.outstanding()},
            {"bounded", move.bounded()},
            {"counter_calls", move.counter_calls()},
            {"attempts", seen.attempts},
            {"log_evidence_slower", rounded(traffic::log_evidence(seen.slower, seen.weight))},
            {"log_evidence_failing", rounded(seen.failing)},
            {"log_evidence_good", rounded(traffic::log_evidence(-seen.shown, seen.stage_weight))}};
}

}  // namespace linnetlead::server
