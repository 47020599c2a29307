#include "testing/socket_peer.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstddef>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace linnetlead::test_support {

namespace {

void must(bool good, const std::string& what) {
    if (!good) throw std::runtime_error(what);
}

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

}  // namespace

SocketPeer::SocketPeer(int fd) : fd_(fd) { fcntl(fd_, F_SETFL, O_NONBLOCK); }

void SocketPeer::close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
}

void SocketPeer::reset() {
    const linger at_once{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    close();
}

void SocketPeer::shut() { ::shutdown(fd_, SHUT_WR); }

void SocketPeer::write(std::string_view text) {
    must(::send(fd_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()), "send");
}

std::size_t SocketPeer::write_some(std::string_view text) {
    return static_cast<std::size_t>(
        std::max<ssize_t>(::send(fd_, text.data(), text.size(), MSG_NOSIGNAL), 0));
}

const std::string& SocketPeer::read() {
    char buffer[4096];
    ssize_t size = 0;
    while (!ended && (size = ::recv(fd_, buffer, sizeof(buffer), 0)) != -1) {
        ended = size == 0;
        got.append(buffer, static_cast<std::size_t>(size));
    }
    if (!ended && errno != EAGAIN) ended = true;
    return got;
}

std::size_t SocketPeer::read_some(std::size_t most) {
    std::string buffer(most, ' ');
    const ssize_t size = ended ? 0 : ::recv(fd_, buffer.data(), buffer.size(), 0);
    if (size == 0 || (size == -1 && errno != EAGAIN)) ended = true;
    if (size <= 0) return 0;
    got.append(buffer, 0, static_cast<std::size_t>(size));
    return static_cast<std::size_t>(size);
}

// Not for the programs that a test starts: an address would stay taken.
Listener::Listener(int backlog) : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const sockaddr_in any = loopback(0);
    must(bind(fd_, reinterpret_cast<const sockaddr*>(&any), sizeof(any)) == 0, "bind");
    must(listen(fd_, backlog) == 0, "listen");
    fcntl(fd_, F_SETFL, O_NONBLOCK);
    socklen_t size = sizeof(at);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
}

void Listener::close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
}

std::unique_ptr<SocketPeer> Listener::accept() {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    return fd < 0 ? nullptr : std::make_unique<SocketPeer>(fd);
}

void Listener::shrink_receive_buffers() {
    const int bytes = 4096;
    must(setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes)) == 0, "SO_RCVBUF");
}

std::uint16_t Listener::port() const { return ntohs(reinterpret_cast<const sockaddr_in&>(at).sin_port); }

SocketPeer connect_to(std::uint16_t port) {
    const sockaddr_in to = loopback(port);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    ::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    return SocketPeer(fd);
}

namespace {

// Whether no other test process has been given the port. The name is this process's until its end.
bool reserve(std::uint16_t port) {
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    const std::string name = "linnetlead-test-port-" + std::to_string(port);
    std::copy(name.begin(), name.end(), at.sun_path + 1);  // behind a zero byte: no file
    const auto size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size());
    const int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&at), size) == 0) return true;
    ::close(fd);
    return false;
}

}  // namespace

std::uint16_t free_port() {
    constexpr std::uint32_t kFirst = 15000, kMany = 15000;
    static std::uint32_t tries = 0;
    for (;;) {
        const std::uint32_t spread = static_cast<std::uint32_t>(getpid()) * 2654435761U + ++tries * 40503U;
        const auto port = static_cast<std::uint16_t>(kFirst + (spread >> 8) % kMany);
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        ::close(fd);
        if (free && reserve(port)) return port;
    }
}

std::string temporary_path(const std::string& name) {
    static int number = 0;
    const char* folder = std::getenv("TMPDIR");
    return std::string(folder ? folder : "/tmp") + "/linnetlead." + std::to_string(getpid()) + '.' +
           std::to_string(++number) + '.' + name;
}

// Whole or not at all, for a program that may read it at any time.
void write_file(const std::string& path, const std::string& text) {
    std::ofstream(path + ".new") << text;
    must(std::rename((path + ".new").c_str(), path.c_str()) == 0, "rename");
}

Process::Process(const std::string& program, const std::string& config, std::vector<std::string> arguments,
                 std::vector<std::string> environment)
    : path_(temporary_path("json")) {
    write_file(path_, config);
    int ends[2];
    must(pipe(ends) == 0, "pipe");
    fcntl(ends[0], F_SETFD, FD_CLOEXEC);
    std::vector<char*> words{const_cast<char*>(program.c_str())};
    for (std::string& argument : arguments) words.push_back(argument.data());
    words.push_back(nullptr);
    pid = fork();
    if (pid == 0) {
        // A test that is killed or aborts must leave no gateway behind: it would hold the runner's pipe open.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(ends[1], 2);
        ::close(ends[1]);
        setenv("BALANCER_CONFIG", path_.c_str(), 1);
        for (std::string& one : environment) putenv(one.data());
        execv(program.c_str(), words.data());
        _exit(99);
    }
    ::close(ends[1]);
    errors_ = ends[0];
}

Process::~Process() {
    if (pid > 0) kill(pid, SIGKILL), waitpid(pid, nullptr, 0);
    ::close(errors_);
    unlink(path_.c_str());
}

std::string Process::line() {
    char text[4096];
    const ssize_t size = ::read(errors_, text, sizeof(text));
    return std::string(text, static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
}

std::string Process::errors_so_far() {
    std::string all = std::exchange(before_, {});
    pollfd ready{errors_, POLLIN, 0};
    while (poll(&ready, 1, 0) > 0 && (ready.revents & POLLIN) != 0) {
        const std::string more = line();
        if (more.empty()) break;
        all += more;
    }
    return all;
}

bool Process::has_ended() {
    if (pid > 0 && waitpid(pid, &status_, WNOHANG) == pid) pid = 0;
    return pid <= 0;
}

int Process::exit_code() {
    if (pid > 0) waitpid(std::exchange(pid, 0), &status_, 0);
    return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
}

void Process::reload(const std::string& config) {
    write_file(path_, config);
    signal(SIGHUP);
}

void Process::signal(int number) { kill(pid, number); }

std::uint16_t Process::listening() {
    std::string text;
    for (;;) {
        const std::string more = line();
        must(!more.empty(), "the gateway did not come up: " + text);
        text += more;
        const auto at = text.find("linnetlead: listening on port ");
        if (at == std::string::npos || text.find('\n', at) == std::string::npos) continue;
        before_ = text.substr(0, at) + text.substr(text.find('\n', at) + 1);
        return port = static_cast<std::uint16_t>(std::stoi(text.substr(text.find("port ", at) + 5)));
    }
}

bool Process::is_stopped() const {
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string number, name, state;
    stat >> number >> name >> state;
    return state == "T";
}

long Process::resident_kib() const {
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.compare(0, 6, "VmRSS:") == 0) return std::stol(line.substr(6));
    }
    return 0;
}

double Process::cpu_seconds() const {
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i) fields >> skipped;
    double user = 0, system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

}  // namespace linnetlead::test_support
