// Runs the ledger's store, which blocks on the disk, on a thread of its own: the loop hands over one job at a
// time and is called back at its end.
#pragma once

#include <uv.h>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "metering/ledger_store.h"
#include "net/loop.h"

namespace linnetlead::server {

class LedgerThread {
public:
    LedgerThread(net::Loop& loop, std::unique_ptr<metering::LedgerStore> store);
    ~LedgerThread() { close(); }
    LedgerThread(const LedgerThread&) = delete;
    LedgerThread& operator=(const LedgerThread&) = delete;

    bool busy() const { return busy_; }
    // `job` runs on the thread, then `done` on the loop. Not while busy().
    void run(std::function<void(metering::LedgerStore&)> job, std::function<void()> done);
    // At the program's end: waits for the running job, then runs a last one on the calling thread.
    void finish(const std::function<void(metering::LedgerStore&)>& last);
    void close();

private:
    void work();

    std::unique_ptr<metering::LedgerStore> store_;
    uv_async_t* async_ = nullptr;
    bool busy_ = false;
    std::function<void()> done_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::function<void(metering::LedgerStore&)> job_;  // under the mutex
    bool stop_ = false;                                // under the mutex
    bool idle_ = true;                                 // under the mutex
    std::thread thread_;
};

}  // namespace linnetlead::server
