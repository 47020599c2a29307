#include "admin/hot_restart/hot_restart_channel.h"

#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdio>
#include <utility>

#include "admin/hot_restart/hot_restart_message.h"

namespace linnetlead::net {

// Outlives the link: libuv lets go of it later.
struct HotRestartChannel::Pipe {
    uv_pipe_t uv{};
    uv_connect_t connect{};
    HotRestartChannel* link = nullptr;  // null once it is closed
};

struct HotRestartChannel::Write {
    uv_write_t uv{};
    std::string line;
    std::function<void(bool)> sent;
    Pipe* pipe = nullptr;
};

namespace {

uv_stream_t* stream(uv_pipe_t& pipe) { return reinterpret_cast<uv_stream_t*>(&pipe); }

}  // namespace

HotRestartChannel::HotRestartChannel(Loop& loop, Heard heard) : loop_(loop), heard_(std::move(heard)) {}

void HotRestartChannel::connect(const std::string& path) {
    pipe_ = new Pipe;
    pipe_->link = this;
    uv_pipe_init(loop_.uv(), &pipe_->uv, 1);
    pipe_->uv.data = pipe_;
    pipe_->connect.data = pipe_;
    uv_pipe_connect(&pipe_->connect, &pipe_->uv, path.c_str(), [](uv_connect_t* request, int status) {
        HotRestartChannel* const link = static_cast<Pipe*>(request->data)->link;
        if (!link) return;
        status < 0 ? link->broken() : link->start();
    });
}

int HotRestartChannel::accept(uv_stream_t* listener) {
    pipe_ = new Pipe;
    pipe_->link = this;
    uv_pipe_init(loop_.uv(), &pipe_->uv, 1);
    pipe_->uv.data = pipe_;
    const int error = uv_accept(listener, stream(pipe_->uv));
    uv_os_fd_t fd = -1;
    ucred peer{};
    socklen_t size = sizeof(peer);
    const bool known = error == 0 && uv_fileno(reinterpret_cast<uv_handle_t*>(&pipe_->uv), &fd) == 0 &&
                       getsockopt(fd, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == geteuid();
    if (!known) {
        close();
        return error < 0 ? error : UV_EPERM;
    }
    start();
    return 0;
}

void HotRestartChannel::start() {
    uv_read_start(
        stream(pipe_->uv),
        [](uv_handle_t* h, std::size_t, uv_buf_t* into) {
            Pipe& pipe = *static_cast<Pipe*>(h->data);
            *into = pipe.link ? pipe.link->loop_.scratch() : uv_buf_init(nullptr, 0);
        },
        [](uv_stream_t* s, ssize_t size, const uv_buf_t* from) {
            HotRestartChannel* const link = static_cast<Pipe*>(s->data)->link;
            if (!link || size == 0) return;
            size < 0 ? link->broken() : link->received(from->base, static_cast<std::size_t>(size));
        });
}

void HotRestartChannel::received(const char* data, std::size_t size) {
    rest_.append(data, size);
    std::size_t taken = 0;
    for (auto end = rest_.find('\n'); end != std::string::npos; end = rest_.find('\n', taken)) {
        const std::string_view line = std::string_view(rest_).substr(taken, end - taken);
        taken = end + 1;
        // A socket comes with its line's first byte, so that it is here.
        uv_stream_t* const from = uv_pipe_pending_count(&pipe_->uv) > 0 ? stream(pipe_->uv) : nullptr;
        const bool good = line.size() <= hot_restart::kMaxLine && heard_.line(line, from);
        if (!pipe_) return;
        if (!good) return broken();
    }
    rest_.erase(0, taken);
    if (rest_.size() > hot_restart::kMaxLine) broken();
}

void HotRestartChannel::send(std::string line, uv_stream_t* with, std::function<void(bool)> sent) {
    if (!pipe_) {
        if (sent) sent(false);
        return;
    }
    auto* const write = new Write{{}, std::move(line), std::move(sent), pipe_};
    write->uv.data = write;
    uv_buf_t buffer = uv_buf_init(write->line.data(), static_cast<unsigned>(write->line.size()));
    const auto done = [](uv_write_t* request, int status) {
        const std::unique_ptr<Write> ours(static_cast<Write*>(request->data));
        HotRestartChannel* const link = ours->pipe->link;
        if (!link) return;
        if (ours->sent) ours->sent(status == 0);
        if (status < 0 && link->pipe_ == ours->pipe) link->broken();
    };
    if (uv_write2(&write->uv, stream(pipe_->uv), &buffer, 1, with, done) < 0) {
        const std::unique_ptr<Write> ours(write);
        if (ours->sent) ours->sent(false);
    }
}

void HotRestartChannel::broken() {
    close();
    if (heard_.over) heard_.over();
}

void HotRestartChannel::close() {
    if (!pipe_) return;
    pipe_->link = nullptr;
    rest_.clear();
    uv_close(reinterpret_cast<uv_handle_t*>(&std::exchange(pipe_, nullptr)->uv),
             [](uv_handle_t* handle) { delete static_cast<Pipe*>(handle->data); });
}

bool HotRestartListener::open(const std::string& path, Come come) {
    close();
    come_ = std::move(come);
    path_ = path;
    // Bound under a name of its own and moved over the place: at no moment is there none.
    const std::string own = path + '.' + std::to_string(getpid());
    unlink(own.c_str());
    pipe_ = new uv_pipe_t;
    uv_pipe_init(loop_.uv(), pipe_, 0);
    pipe_->data = this;
    const bool bound =
        uv_pipe_bind(pipe_, own.c_str()) == 0 && chmod(own.c_str(), S_IRUSR | S_IWUSR) == 0 &&
        uv_listen(reinterpret_cast<uv_stream_t*>(pipe_), 4, [](uv_stream_t* listener, int status) {
            auto& self = *static_cast<HotRestartListener*>(listener->data);
            if (status == 0) self.come_(listener);
        }) == 0;
    struct stat at {};
    if (bound && stat(own.c_str(), &at) == 0 && std::rename(own.c_str(), path.c_str()) == 0) {
        inode_ = at.st_ino;
        return true;
    }
    unlink(own.c_str());
    close();
    return false;
}

void HotRestartListener::close() {
    if (!pipe_) return;
    struct stat at {};
    if (inode_ != 0 && stat(path_.c_str(), &at) == 0 && at.st_ino == inode_) unlink(path_.c_str());
    inode_ = 0;
    uv_close(reinterpret_cast<uv_handle_t*>(std::exchange(pipe_, nullptr)),
             [](uv_handle_t* handle) { delete reinterpret_cast<uv_pipe_t*>(handle); });
}

}  // namespace linnetlead::net
