#include "simulator_adapter/gateway_instance.h"

#include <array>
#include <cstdio>

namespace linnetlead::simulator_adapter {

namespace {

std::string replace_line_breaks(std::string text) {
    for (char& byte : text) {
        if (byte == '\n' || byte == '\r') byte = ' ';
    }
    return text;
}

std::string format_id(policy::RequestId id) {
    std::array<char, 17> text{};  // 16 digits and the terminating zero
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(id));
    return text.data();
}

}  // namespace

void GatewayInstance::send(policy::RequestId id, const policy::EndpointId& endpoint,
                           policy::Duration timeout) {
    write_reply(ReplyKind::kSend, format_id(id) + ' ' + endpoint + ' ' + std::to_string(timeout.count()));
}

void GatewayInstance::reject(policy::RequestId id, policy::Duration retry_after) {
    write_reply(ReplyKind::kReject, format_id(id) + ' ' + std::to_string(retry_after.count()));
}

void GatewayInstance::fail(policy::RequestId id) { write_reply(ReplyKind::kFail, format_id(id)); }

void GatewayInstance::cancel(policy::RequestId id, int attempt) {
    write_reply(ReplyKind::kCancel, format_id(id) + ' ' + std::to_string(attempt));
}

void GatewayInstance::probe(const policy::EndpointId& endpoint) { write_reply(ReplyKind::kProbe, endpoint); }

void GatewayInstance::add_to_counter(const std::string& name, double amount, policy::Duration life) {
    std::array<char, 48> text{};
    const int size = std::snprintf(text.data(), text.size(), " %.7g ", amount);  // the counter's precision
    const std::string written(text.data(), static_cast<std::size_t>(size));
    write_reply(ReplyKind::kAddToCounter, name + written + std::to_string(life.count()));
}

void GatewayInstance::wake(policy::Timestamp at) {
    write_reply(ReplyKind::kWake, std::to_string(at.count()) + " wake");
}

void GatewayInstance::watch_endpoints() { write_reply(ReplyKind::kWatchEndpoints, "1"); }

void GatewayInstance::log(const std::string& text) {
    write_reply(ReplyKind::kLog, replace_line_breaks(text));
}

void GatewayInstance::stop() {
    running = false;
    policy.reset();
}

void GatewayInstance::report_failure(const std::string& what) {
    write_reply(ReplyKind::kGatewayFailed, replace_line_breaks(what));
    stop();
}

void GatewayInstance::write_reply(ReplyKind kind, const std::string& values) {
    reply_.append(word_for(kReplies, kind)).append(1, ' ').append(number_).append(1, ' ');
    reply_.append(values).append(1, '\n');
}

}  // namespace linnetlead::simulator_adapter
