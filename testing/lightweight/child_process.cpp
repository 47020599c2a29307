#include "testing/lightweight/child_process.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace linnetlead::test_support {

using nlohmann::json;

ChildProcess::ChildProcess(const std::string& program, std::vector<std::string> arguments,
                           const std::string& errors) {
    int in[2], out[2];
    if (pipe2(in, O_CLOEXEC) != 0 || pipe2(out, O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
    std::vector<char*> words{const_cast<char*>(program.c_str())};
    for (std::string& argument : arguments) words.push_back(argument.data());
    words.push_back(nullptr);
    pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(in[0], 0);
        dup2(out[1], 1);
        const int to = ::open(errors.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        if (to >= 0) dup2(to, 2);
        execv(program.c_str(), words.data());
        _exit(99);
    }
    ::close(in[0]);
    ::close(out[1]);
    to_ = in[1];
    from_ = out[0];
    answer();
}

ChildProcess::~ChildProcess() {
    ::close(to_);
    ::close(from_);
    if (pid > 0) kill(pid, SIGKILL), waitpid(pid, nullptr, 0);
}

json ChildProcess::ask(const std::string& text) {
    tell(text);
    return answer();
}

void ChildProcess::tell(const std::string& text) {
    const std::string line = text + '\n';
    for (std::size_t done = 0; done < line.size();) {
        const ssize_t size = write(to_, line.data() + done, line.size() - done);
        if (size < 0 && errno == EINTR) continue;
        if (size <= 0) throw std::runtime_error("a hollow process has gone");
        done += static_cast<std::size_t>(size);
    }
}

json ChildProcess::answer() {
    json told = json::parse(line(), nullptr, false);
    if (!told.is_object()) throw std::runtime_error("a hollow process answered no JSON");
    if (told.contains("error")) throw std::runtime_error(told["error"].get<std::string>());
    return told;
}

std::string ChildProcess::line() {
    constexpr int kPatienceMs = 60000;
    for (;;) {
        if (const auto end = got_.find('\n'); end != std::string::npos) {
            std::string whole = got_.substr(0, end);
            got_.erase(0, end + 1);
            return whole;
        }
        pollfd ready{from_, POLLIN, 0};
        char text[65536];
        if (poll(&ready, 1, kPatienceMs) <= 0) throw std::runtime_error("a hollow process does not answer");
        const ssize_t size = read(from_, text, sizeof(text));
        if (size < 0 && errno == EINTR) continue;
        if (size <= 0) throw std::runtime_error("a hollow process has gone");
        got_.append(text, static_cast<std::size_t>(size));
    }
}

}  // namespace linnetlead::test_support
