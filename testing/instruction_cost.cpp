#include "testing/instruction_cost.h"

#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <fstream>

namespace linnetlead::test_support {

using namespace std::chrono_literals;

namespace {

double instructions(FakePlatformSettings settings, Duration time,
                    const std::function<void(FakePlatform&)>& prepare, double& calls) {
    const std::string out = temporary_path("callgrind"), wrapper = temporary_path("sh");
    write_file(wrapper, "#!/bin/sh\nexec valgrind --tool=callgrind --callgrind-out-file=" + out + ".%p -q " +
                            settings.program + " \"$@\"\n");
    chmod(wrapper.c_str(), 0755);
    settings.program = wrapper;
    double sum = 0;
    {
        FakePlatform town(settings);
        prepare(town);
        town.start();
        town.load(true);
        town.run_for(time);
        town.load(false);
        town.run_for(2s);
        calls = static_cast<double>(town.audit.asked);
        std::vector<pid_t> pids;
        for (int i = 0; i < settings.gateways; ++i) {
            pids.push_back(town.gateway(i).pid);
            town.gateway(i).signal(SIGTERM);
        }
        const auto all_ended = [&] {
            for (int i = 0; i < settings.gateways; ++i) {
                if (!town.gateway(i).has_ended()) return false;
            }
            return true;
        };
        town.run_until(all_ended, 20s);
        for (const pid_t pid : pids) {
            const std::string path = out + "." + std::to_string(pid);
            std::ifstream file(path);
            for (std::string line; std::getline(file, line);) {
                if (line.compare(0, 8, "totals: ") == 0) sum += std::stod(line.substr(8));
            }
            unlink(path.c_str());
        }
    }
    unlink(wrapper.c_str());
    return sum;
}

}  // namespace

double instructions_per_call(const FakePlatformSettings& settings, Duration length,
                             const std::function<void(FakePlatform&)>& prepare) {
    double calls = 0, before = 0;
    const double more = instructions(settings, length, prepare, calls);
    const double less = instructions(settings, length / 5, prepare, before);
    return (more - less) / (calls - before);
}

}  // namespace linnetlead::test_support
