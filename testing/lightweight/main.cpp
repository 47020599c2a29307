// linnetlead_hollow: hollow gateways, or what they talk to, for measurements. Commands come on standard
// input, a line each; the answer is a line of JSON on standard output. It ends with its input.
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <functional>
#include <nlohmann/json.hpp>

#include "testing/lightweight/gateway_host.h"
#include "testing/lightweight/surroundings.h"

namespace {

using namespace linnetlead;

// Reads lines from standard input in the loop.
class Control {
public:
    Control(net::Loop& loop, std::function<nlohmann::json(const std::string&)> carry)
        : loop_(loop), carry_(std::move(carry)) {
        uv_pipe_init(loop.uv(), &pipe_, 0);
        pipe_.data = this;
        uv_pipe_open(&pipe_, 0);
        uv_read_start(
            reinterpret_cast<uv_stream_t*>(&pipe_),
            [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
                auto& self = *static_cast<Control*>(handle->data);
                *buffer = uv_buf_init(self.buffer_, sizeof(self.buffer_));
            },
            [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
                auto& self = *static_cast<Control*>(stream->data);
                if (size < 0) return self.end();
                self.take({buffer->base, static_cast<std::size_t>(size)});
            });
    }

private:
    void end() {
        uv_close(reinterpret_cast<uv_handle_t*>(&pipe_), nullptr);
        loop_.stop();
    }
    void take(std::string_view bytes) {
        text_.append(bytes);
        for (auto end = text_.find('\n'); end != std::string::npos; end = text_.find('\n')) {
            const std::string line = text_.substr(0, end);
            text_.erase(0, end + 1);
            std::printf("%s\n", carry_(line).dump().c_str());
            std::fflush(stdout);
        }
    }
    net::Loop& loop_;
    std::function<nlohmann::json(const std::string&)> carry_;
    uv_pipe_t pipe_{};
    std::string text_;
    char buffer_[64 * 1024];
};

// Up to what this process may take anyway.
void raise_descriptors() {
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
}

template <typename Part>
void run(net::Loop& loop, Part& part) {
    Control control(loop, [&](const std::string& line) { return part.carry(line); });
    std::printf("{\"ready\":true}\n");
    std::fflush(stdout);
    loop.run();
    part.close();
    loop.drain();
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    raise_descriptors();
    CLI::App app{"hollow gateways, for measurements"};
    app.require_subcommand(1);
    test_support::GatewayHost::Settings settings;
    CLI::App* const gateways = app.add_subcommand("gateways", "gateways without calls");
    gateways->add_option("--gateways", settings.gateways, "hosted here");
    gateways->add_option("--first", settings.first, "number of the first of them in the tier");
    gateways->add_option("--of", settings.of, "gateways of the tier");
    gateways->add_option("--seed", settings.seed);
    gateways->add_option("--registry", settings.registry, "HOST:PORT");
    gateways->add_option("--counter", settings.counter, "HOST:PORT");
    gateways->add_option("--pace", settings.pace, "counter calls a second of each");
    gateways->add_option("--relays", settings.relays, "a file with the relays that they follow");
    gateways->add_option("--zones", settings.zones);
    gateways->add_flag("--accord", settings.roles.agreement);
    gateways->add_flag("--list", settings.roles.list);
    gateways->add_flag("--counting", settings.roles.counter);
    gateways->add_flag("!--pushed", settings.list_is_polled, "the list is pushed, not asked for");
    int quoters = 0;
    std::vector<std::uint16_t> ports;
    CLI::App* const surroundings = app.add_subcommand("surroundings", "registry, counter and quoters");
    surroundings->add_option("--quoters", quoters, "that answer at once");
    surroundings->add_option("--ports", ports, "of quoters elsewhere, for the list")->delimiter(',');
    CLI11_PARSE(app, argc, argv);
    net::Loop loop;
    if (gateways->parsed()) {
        test_support::GatewayHost host(loop, settings);
        run(loop, host);
    } else {
        test_support::Surroundings made(loop, quoters, ports);
        run(loop, made);
    }
    return 0;
}
