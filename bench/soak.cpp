// The soak, long form: many seeds, some at a time, each in a process of its own. Prints a line a play, the
// report of each that failed, and a summary.
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <map>

#include "testing/soak/play.h"
#include "testing/soak/report.h"

namespace {

using namespace linnetlead::test_support::soak;

enum ExitCode { kPassed = 0, kFailed = 1, kVoid = 2 };

int play_one(std::uint64_t seed, const std::string& program, bool is_verbose) {
    const Scenario scenario = draw(seed);
    const Record record = play(scenario, program);
    const Verdict verdict = judge(scenario, record);
    const bool failed = !verdict.is_void && !verdict.broken.empty();
    const std::string text =
        failed || is_verbose ? report_of(scenario, record, verdict) : summary_of(scenario, verdict) + '\n';
    std::fwrite(text.data(), 1, text.size(), stdout);
    std::fflush(stdout);
    return verdict.is_void ? kVoid : failed ? kFailed : kPassed;
}

struct Tally {
    int passed = 0, failed = 0, is_void = 0;
    void count(int status) {
        const int code = WIFEXITED(status) ? WEXITSTATUS(status) : kFailed;
        ++(code == kPassed ? passed : code == kVoid ? is_void : failed);
    }
};

}  // namespace

int main(int argc, char** argv) {
    std::string seeds = "1-50", program = LINNETLEAD_PROGRAM;
    int jobs = 4;
    bool is_verbose = false;
    CLI::App app{"Plays seeded disruptions against real gateways and judges both ends' record."};
    app.add_option("--seeds", seeds, "FROM-TO");
    app.add_option("--jobs", jobs, "plays at a time")->check(CLI::Range(1, 64));
    app.add_option("--program", program, "the gateway's path");
    app.add_flag("--verbose", is_verbose, "the report of every play");
    CLI11_PARSE(app, argc, argv);
    const std::uint64_t from = std::strtoull(seeds.c_str(), nullptr, 10);
    const auto dash = seeds.find('-');
    const std::uint64_t to =
        dash == std::string::npos ? from : std::strtoull(seeds.c_str() + dash + 1, nullptr, 10);

    Tally tally;
    int running = 0;
    const auto wait_for_one = [&] {
        int status = 0;
        if (wait(&status) > 0) tally.count(status);
        --running;
    };
    for (std::uint64_t seed = from; seed <= to; ++seed) {
        if (running == jobs) wait_for_one();
        if (fork() == 0) _exit(play_one(seed, program, is_verbose));
        ++running;
    }
    while (running > 0) wait_for_one();
    const int plays = tally.passed + tally.failed + tally.is_void;
    std::printf("%d plays: %d passed, %d failed, %d void\n", plays, tally.passed, tally.failed,
                tally.is_void);
    constexpr int kMostVoid = 10;  // in a hundred
    const bool too_many_void = tally.is_void * 100 > plays * kMostVoid;
    if (too_many_void) std::printf("too many plays were void: the machine is too busy\n");
    return tally.failed > 0 || too_many_void ? 1 : 0;
}
