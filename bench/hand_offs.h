// How long a machine takes to hand work from one thread to another that sleeps: where no processor is free, a
// time measured over several processes is of the machine and not of them.
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <stdexcept>
#include <thread>
#include <vector>

namespace linnetlead::bench {

// While it lives, each 5 ms a byte goes to another thread and back.
class HandOffs {
public:
    HandOffs() {
        if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends_) != 0)
            throw std::runtime_error("no pair of sockets");
        echo_ = std::thread([this] {
            char byte = 0;
            while (::read(ends_[1], &byte, 1) == 1) {
                if (::write(ends_[1], &byte, 1) != 1) return;
            }
        });
        asks_ = std::thread([this] {
            char byte = 0;
            while (!stop_) {
                const auto begun = std::chrono::steady_clock::now();
                if (::write(ends_[0], &byte, 1) != 1 || ::read(ends_[0], &byte, 1) != 1) return;
                const auto now = std::chrono::steady_clock::now();
                times_.push_back(std::chrono::duration<double>(now - begun).count());
                std::this_thread::sleep_until(begun + std::chrono::milliseconds(5));
            }
        });
    }
    ~HandOffs() { end(); }
    HandOffs(const HandOffs&) = delete;
    HandOffs& operator=(const HandOffs&) = delete;

    // Ends it: what 99 in 100 there and back took at most, in seconds.
    double at99() {
        end();
        std::sort(times_.begin(), times_.end());
        return times_.empty() ? 0 : times_[times_.size() * 99 / 100];
    }

private:
    void end() {
        if (stop_.exchange(true)) return;
        asks_.join();
        shutdown(ends_[0], SHUT_RDWR);
        echo_.join();
        for (const int end : ends_) ::close(end);
    }
    int ends_[2] = {-1, -1};
    std::atomic<bool> stop_{false};
    std::vector<double> times_;
    std::thread echo_, asks_;
};

}  // namespace linnetlead::bench
