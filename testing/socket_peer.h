// Plain sockets for one end of a conversation, played step by step by a test; and the gateway as a process.
#pragma once

#include <sys/socket.h>
#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace linnetlead::test_support {

// One end of a connection. Nothing of it waits.
class SocketPeer {
public:
    explicit SocketPeer(int fd);
    SocketPeer(SocketPeer&& other) noexcept
        : got(std::move(other.got)), ended(other.ended), fd_(std::exchange(other.fd_, -1)) {}
    SocketPeer& operator=(SocketPeer&& other) noexcept {
        got = std::move(other.got);
        ended = other.ended;
        std::swap(fd_, other.fd_);
        return *this;
    }
    ~SocketPeer() { close(); }
    void close();
    void reset();                       // closes so that the other end is told of a break
    void shut();                        // ends its sending alone
    void write(std::string_view text);  // throws where the kernel does not take all of it
    std::size_t write_some(std::string_view text);
    const std::string& read();
    std::size_t read_some(std::size_t most);  // so many bytes at most; appends to got
    bool has(const std::string& text) { return read().find(text) != std::string::npos; }
    bool is_over() { return read(), ended; }

    std::string got;
    bool ended = false;

private:
    int fd_;
};

// On a free port of 127.0.0.1.
class Listener {
public:
    explicit Listener(int backlog = 16);
    ~Listener() { close(); }
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    void close();
    std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
    std::unique_ptr<SocketPeer> accept();
    // Of connections that come from now on: the kernel takes little for a peer that reads nothing.
    void shrink_receive_buffers();
    std::uint16_t port() const;
    sockaddr_storage at{};

private:
    int fd_;
};

SocketPeer connect_to(std::uint16_t port);

// For a program that is to listen there later, and for nobody else: below those that the system hands out by
// itself, or another test's connection could have it by then.
std::uint16_t free_port();

// A gateway, started with a configuration in a file of its own; what it writes to standard error comes by
// line(). Killed at the end.
class Process {
public:
    // `environment`: NAME=VALUE, beside what is inherited.
    Process(const std::string& program, const std::string& config, std::vector<std::string> arguments = {},
            std::vector<std::string> environment = {});
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    // What has come on standard error, waiting for some of it: one write of the program's, as a rule.
    std::string line();
    // What has come, without a wait; ends of lines may be missing.
    std::string errors_so_far();
    bool has_ended();
    int exit_code();  // waits for the end; -1: by a signal
    void reload(const std::string& config);
    void signal(int number);
    bool is_stopped() const;
    // Waits for the line that names the port.
    std::uint16_t listening();
    // Of memory, in KiB, and of processor time, in seconds, so far.
    long resident_kib() const;
    double cpu_seconds() const;

    pid_t pid = 0;
    std::uint16_t port = 0;

private:
    std::string path_;
    int errors_ = 0;
    int status_ = 0;
    std::string before_;  // came before the line that names the port
};

// A path in the folder for temporary files that no other process uses.
std::string temporary_path(const std::string& name);
void write_file(const std::string& path, const std::string& text);

}  // namespace linnetlead::test_support
