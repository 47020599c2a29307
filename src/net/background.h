// Work that would hold the loop up, on a thread of libuv's: one piece at a time.
#pragma once

#include <functional>

#include "net/loop.h"

namespace linnetlead::net {

class Background {
public:
    explicit Background(Loop& loop) : loop_(loop) {}
    ~Background() { drop(); }
    Background(const Background&) = delete;
    Background& operator=(const Background&) = delete;

    bool busy() const { return job_ != nullptr; }
    // `work` runs on the thread. It may outlive whoever asked for it: what it uses is shared with it or its
    // own, and nothing of the loop's. Then `done` runs on the loop, not busy any more. Not while busy.
    void run(std::function<void()> work, std::function<void()> done);
    // Nothing is heard any more of what is on its way; it ends by itself.
    void drop();

private:
    struct Job;

    Loop& loop_;
    Job* job_ = nullptr;
};

}  // namespace linnetlead::net
