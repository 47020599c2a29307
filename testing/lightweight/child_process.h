// A process of linnetlead_hollow, asked a line at a time over pipes. Ended with its owner.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace linnetlead::test_support {

class ChildProcess {
public:
    // Throws where it does not come up. Its standard error goes nowhere, or to this file.
    ChildProcess(const std::string& program, std::vector<std::string> arguments,
                 const std::string& errors = "/dev/null");
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    // Waits for the answer; throws where none comes, or one that says `error`.
    nlohmann::json ask(const std::string& line);
    // The same in two steps, so that several are asked at once.
    void tell(const std::string& line);
    nlohmann::json answer();

    pid_t pid = 0;

private:
    std::string line();
    int to_ = -1, from_ = -1;
    std::string got_;
};

}  // namespace linnetlead::test_support
