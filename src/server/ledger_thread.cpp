#include "server/ledger_thread.h"

#include <csignal>
#include <cstdio>
#include <exception>
#include <utility>

namespace linnetlead::server {

LedgerThread::LedgerThread(net::Loop& loop, std::unique_ptr<metering::LedgerStore> store)
    : store_(std::move(store)), async_(new uv_async_t) {
    uv_async_init(loop.uv(), async_, [](uv_async_t* async) {
        auto* self = static_cast<LedgerThread*>(async->data);
        if (!self || !self->busy_) return;
        {
            const std::lock_guard<std::mutex> held(self->mutex_);
            if (!self->idle_) return;
        }
        self->busy_ = false;
        const auto done = std::exchange(self->done_, {});
        if (done) done();
    });
    async_->data = this;
    // Signals are for the loop's thread.
    sigset_t all, before;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    thread_ = std::thread([this] { work(); });
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

void LedgerThread::work() {
    std::unique_lock<std::mutex> held(mutex_);
    for (;;) {
        changed_.wait(held, [this] { return job_ || stop_; });
        if (!job_) return;
        const auto job = std::exchange(job_, {});
        held.unlock();
        try {
            job(*store_);
        } catch (const std::exception& e) {
            std::fprintf(stderr, "linnetlead: the ledger: %s\n", e.what());
        }
        held.lock();
        idle_ = true;
        changed_.notify_all();
        if (async_) uv_async_send(async_);
    }
}

void LedgerThread::run(std::function<void(metering::LedgerStore&)> job, std::function<void()> done) {
    busy_ = true;
    done_ = std::move(done);
    const std::lock_guard<std::mutex> held(mutex_);
    job_ = std::move(job);
    idle_ = false;
    changed_.notify_all();
}

void LedgerThread::finish(const std::function<void(metering::LedgerStore&)>& last) {
    std::unique_lock<std::mutex> held(mutex_);
    changed_.wait(held, [this] { return idle_; });
    held.unlock();
    if (busy_) {
        busy_ = false;
        if (const auto done = std::exchange(done_, {})) done();
    }
    last(*store_);
}

void LedgerThread::close() {
    if (!async_) return;
    {
        const std::lock_guard<std::mutex> held(mutex_);
        stop_ = true;
        changed_.notify_all();
    }
    thread_.join();
    async_->data = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(std::exchange(async_, nullptr)),
             [](uv_handle_t* handle) { delete reinterpret_cast<uv_async_t*>(handle); });
}

}  // namespace linnetlead::server
