#include "net/background.h"

#include <memory>
#include <utility>

namespace linnetlead::net {

struct Background::Job {
    uv_work_t request{};
    Background* owner = nullptr;
    std::function<void()> work, done;
};

void Background::run(std::function<void()> work, std::function<void()> done) {
    job_ = new Job;
    job_->request.data = job_;
    job_->owner = this;
    job_->work = std::move(work);
    job_->done = std::move(done);
    uv_queue_work(
        loop_.uv(), &job_->request, [](uv_work_t* request) { static_cast<Job*>(request->data)->work(); },
        [](uv_work_t* request, int) {
            const std::unique_ptr<Job> job(static_cast<Job*>(request->data));
            if (!job->owner) return;
            job->owner->job_ = nullptr;
            job->done();
        });
}

void Background::drop() {
    if (job_) std::exchange(job_, nullptr)->owner = nullptr;
}

}  // namespace linnetlead::net
