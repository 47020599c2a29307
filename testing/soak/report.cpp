#include "testing/soak/report.h"

#include <cstdio>

namespace linnetlead::test_support::soak {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMostPromises = 12;  // told in full

template <typename... Values>
std::string format(const char* text, Values... values) {
    char buffer[400];
    std::snprintf(buffer, sizeof(buffer), text, values...);
    return buffer;
}

class Report {
public:
    Report(const Scenario& scenario, const Record& record)
        : scenario_(scenario), begun_(record.processes.empty() ? kNever : record.processes.front().started) {}

    std::string of(const Request& request) const {
        constexpr const char* kEnds[] = {"open", "closed in order", "reset", "closed by the client"};
        constexpr const char* kAnswers[] = {"served", "refused", "failed"};
        std::string text = format(
            "    request %016llx: gateway %d, class %s, connection %llu%s, written %lld ms, due %lld ms, "
            "connection %s %lld ms\n",
            static_cast<unsigned long long>(request.id), request.gateway,
            scenario_.settings.classes[static_cast<std::size_t>(request.traffic_class)].name.c_str(),
            static_cast<unsigned long long>(request.connection),
            request.is_first_on_connection ? " (its first)" : "", ms(request.written), ms(request.due),
            kEnds[static_cast<int>(request.end)], ms(request.connection_ended));
        for (const Attempt& one : request.attempts) {
            text += format("      endpoint %d: first byte %lld ms, whole %lld ms, ended %lld ms%s\n",
                           one.endpoint, ms(one.first_byte), ms(one.whole), ms(one.ended),
                           one.turned_away ? ", turned away" : "");
        }
        for (const Answer& one : request.answers)
            text += format("      answer %lld ms: %s\n", ms(one.at), kAnswers[static_cast<int>(one.kind)]);
        return text;
    }
    std::string of(const ProcessLife& life) const {
        return format(
                   "  process of gateway %d%s: started %lld, ready %lld, SIGTERM %lld, SIGKILL %lld, "
                   "ended %lld ms (code %d), %zu descriptors, %zu KiB\n",
                   life.gateway, life.is_second ? " (second)" : "", ms(life.started), ms(life.ready),
                   ms(life.terminated), ms(life.killed), ms(life.ended), life.exit_code,
                   life.most_descriptors, life.most_resident_kib) +
               life.log;
    }

private:
    // Since the first process was started; -1: never.
    long long ms(Timestamp at) const {
        return at == kNever ? -1 : static_cast<long long>((at - begun_) / 1ms);
    }

    const Scenario& scenario_;
    const Timestamp begun_;
};

}  // namespace

std::string summary_of(const Scenario& scenario, const Verdict& verdict) {
    const char* const result = verdict.is_void ? "void" : verdict.broken.empty() ? "passed" : "FAILED";
    return format(
               "seed %llu: %s; %zu requests: %zu served, %zu refused, %zu failed, %zu left, %zu killed, "
               "%zu crossed, %zu broken off; %zu attempts, %zu processes",
               static_cast<unsigned long long>(scenario.seed), result, verdict.requests, verdict.served,
               verdict.refused, verdict.failed, verdict.left, verdict.killed, verdict.crossed,
               verdict.broken_off, verdict.attempts, verdict.processes) +
           (verdict.broken.empty() ? "" : "; " + verdict.broken.front().what);
}

std::string report_of(const Scenario& scenario, const Record& record, const Verdict& verdict) {
    const Report report(scenario, record);
    std::string text = summary_of(scenario, verdict) + '\n' + describe(scenario);
    text += format("  own delay %lld ms, longest wait for a processor %lld ms\n",
                   static_cast<long long>(record.longest_own_delay / 1ms),
                   static_cast<long long>(record.longest_wait_for_processor / 1ms));
    for (std::size_t i = 0; i < verdict.broken.size() && i < kMostPromises; ++i) {
        const BrokenPromise& one = verdict.broken[i];
        text += "  BROKEN: " + one.what + '\n';
        if (const auto request = record.requests.find(one.request); request != record.requests.end())
            text += report.of(request->second);
    }
    if (verdict.broken.size() > kMostPromises)
        text += format("  and %zu more\n", verdict.broken.size() - kMostPromises);
    for (const ProcessLife& life : record.processes) text += report.of(life);
    return text + format("  again: bench/soak --seeds %llu-%llu\n",
                         static_cast<unsigned long long>(scenario.seed),
                         static_cast<unsigned long long>(scenario.seed));
}

}  // namespace linnetlead::test_support::soak
