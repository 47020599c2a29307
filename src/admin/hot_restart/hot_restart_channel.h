// A Unix socket between two processes of one gateway. Lines go both ways, and open sockets with them.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/loop.h"

namespace linnetlead::net {

class HotRestartChannel {
public:
    struct Heard {
        // A line without its end. `from`: to accept from where a socket came along, else null; one that is
        // not accepted within the call is closed with the link. Returns false where it cannot be used: the
        // link ends.
        std::function<bool(std::string_view line, uv_stream_t* from)> line;
        // It broke or was ended by the other side. Not after close().
        std::function<void()> over;
    };
    HotRestartChannel(Loop& loop, Heard heard);
    ~HotRestartChannel() { close(); }
    HotRestartChannel(const HotRestartChannel&) = delete;
    HotRestartChannel& operator=(const HotRestartChannel&) = delete;

    // Ends in heard.over where nobody answers.
    void connect(const std::string& path);
    // Returns libuv's error, or 0. Only a process of the same user is taken.
    int accept(uv_stream_t* listener);
    // `sent`: told whether the kernel has taken it, with the socket; not after close().
    void send(std::string line, uv_stream_t* with = nullptr, std::function<void(bool)> sent = nullptr);
    bool is_open() const { return pipe_ != nullptr; }
    void close();

private:
    struct Pipe;
    struct Write;
    void start();
    void received(const char* data, std::size_t size);
    void broken();

    Loop& loop_;
    Heard heard_;
    Pipe* pipe_ = nullptr;  // the loop's until it has closed it
    std::string rest_;
};

// The socket's place, waiting for another process. Where it cannot be, none comes, which is no error.
class HotRestartListener {
public:
    using Come = std::function<void(uv_stream_t* listener)>;
    explicit HotRestartListener(Loop& loop) : loop_(loop) {}
    ~HotRestartListener() { close(); }
    HotRestartListener(const HotRestartListener&) = delete;
    HotRestartListener& operator=(const HotRestartListener&) = delete;

    // Takes the place of one that another process has left or holds there.
    bool open(const std::string& path, Come come);
    // Leaves the place to another process that has taken it.
    void close();

private:
    Loop& loop_;
    uv_pipe_t* pipe_ = nullptr;
    Come come_;
    std::string path_;
    std::uint64_t inode_ = 0;
};

}  // namespace linnetlead::net
