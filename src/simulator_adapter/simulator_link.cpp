#include "simulator_adapter/simulator_link.h"

#include <algorithm>
#include <istream>
#include <limits>
#include <ostream>
#include <unordered_map>
#include <utility>

#include "config/settings.h"
#include "simulator_adapter/wire_terms.h"

namespace linnetlead::simulator_adapter {

using policy::EndpointInfo;
using policy::EndpointListKind;

namespace {

constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t kMaxGatewayNumber = std::numeric_limits<std::int32_t>::max();
constexpr int kMaxCount = 1 << 20;  // upper bound of counts and small indexes
constexpr std::int64_t kMaxRows = 1 << 24;
constexpr int kLastPage = 15;
constexpr double kMaxUnits = 1e9;
constexpr double kMaxTotal = 1e300;
constexpr int kClientRetryOption = 2;  // bit in a request's options

config::Pairs read_pairs(MessageFields& fields) {
    config::Pairs pairs;
    auto rest = fields.remainder();
    while (!rest.empty()) {
        const auto end = std::min(rest.find(' '), rest.size());
        const auto pair = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos || equals == 0) {
            fields.throw_error("info", "expected key=value: '" + std::string(pair) + "'");
        }
        pairs[std::string(pair.substr(0, equals))] = std::string(pair.substr(equals + 1));
    }
    return pairs;
}

template <typename Named>
std::unordered_map<std::string, int> index_by_name(const std::vector<Named>& all) {
    std::unordered_map<std::string, int> by_name;
    for (std::size_t i = 0; i < all.size(); ++i) by_name[all[i].name] = static_cast<int>(i);
    return by_name;
}

}  // namespace

GatewayInstance& SimulatorLink::find_instance(MessageFields& fields) {
    const auto number = fields.number<std::int64_t>("who", 0, kMaxGatewayNumber);
    const auto it = instances_.find(number);
    if (it == instances_.end()) fields.throw_error("who", "no BOOT message for this instance");
    return *it->second;
}

void SimulatorLink::handle_start_gateway(MessageFields& fields) {
    const auto number = fields.number<std::int64_t>("who", 0, kMaxGatewayNumber);
    const auto seed = fields.number<std::uint64_t>("entropy", 0, std::numeric_limits<std::uint64_t>::max());
    const config::Pairs pairs = read_pairs(fields);
    auto instance = std::make_unique<GatewayInstance>(number, reply_);
    config::Site site;
    try {
        site = config::read_site(pairs);
    } catch (const config::SettingsError& error) {
        fields.throw_error("info", error.what());
    }
    instance->traffic_classes = index_by_name(site.settings.classes);
    instance->plans = index_by_name(site.settings.plans);
    instance->report_fields = std::move(site.report_fields);
    instance->running = true;
    instance->handle([&] {
        instance->policy = std::make_unique<policy::Policy>(std::move(site.settings), seed, now_, *instance);
    });
    instances_[number] = std::move(instance);
}

void SimulatorLink::handle_stop_gateway(MessageFields& fields) {
    GatewayInstance& instance = find_instance(fields);
    fields.expect_end();
    instance.stop();
}

void SimulatorLink::handle_endpoint_page(MessageFields& fields) {
    open_page_ = static_cast<std::size_t>(fields.number<int>("page", 0, kLastPage));
    rows_left_ = fields.number<std::int64_t>("nodes_list", 0, kMaxRows);
    fields.expect_end();
    pages_[open_page_].clear();
    page_received_[open_page_] = true;
}

void SimulatorLink::handle_endpoint_row(MessageFields& fields) {
    EndpointInfo entry;
    entry.started = policy::Timestamp{fields.number_or<std::int64_t>("started_at", 0, kMaxInteger, 0)};
    entry.cell = fields.number_or<int>("group", -1, std::numeric_limits<int>::max(), 0);
    entry.zone = fields.text("site");
    entry.kind = fields.text("machine");
    entry.weight = fields.number_or<double>("units", 0, kMaxUnits, 1);
    entry.state = fields.enum_value("stage_state", kEndpointStates);
    entry.id = fields.text("server");
    fields.expect_end();
    pages_[open_page_].push_back(std::move(entry));
    --rows_left_;
}

void SimulatorLink::handle_endpoint_list(MessageFields& fields) {
    GatewayInstance& instance = find_instance(fields);
    const auto kind = fields.enum_value("mode", kEndpointListKinds);
    fields.text("version");
    static const std::vector<EndpointInfo> kNone;
    const std::vector<EndpointInfo>* entries = &kNone;
    if (kind == EndpointListKind::kFailed) {
        if (!fields.at_end()) fields.text("page");
    } else {
        const auto page = static_cast<std::size_t>(fields.number<int>("page", 0, kLastPage));
        if (!page_received_[page]) fields.throw_error("page", "no CATALOG message for this page");
        entries = &pages_[page];
    }
    fields.expect_end();
    instance.handle([&] { instance.policy->on_endpoint_list(now_, kind, *entries); });
}

void SimulatorLink::handle_request(MessageFields& fields) {
    GatewayInstance& instance = find_instance(fields);
    policy::Request request;
    request.id = fields.request_id("xid");
    const std::string traffic_class(fields.text("category"));
    const std::string plan(fields.text("plan"));
    request.tenant = fields.text("member");
    request.due = fields.time("due");
    request.units = fields.number<double>("price_units", 0, kMaxUnits);
    request.gateway_set_size = fields.number<int>("set_size", 1, kMaxCount);
    request.gateway_set_start = fields.number<int>("set_start", 0, kMaxCount);
    request.is_client_retry = (fields.number_or<int>("options", 0, kMaxCount, 0) & kClientRetryOption) != 0;
    fields.expect_end();
    if (!instance.running) return;
    const auto class_at = instance.traffic_classes.find(traffic_class);
    if (class_at == instance.traffic_classes.end()) {
        fields.throw_error("category", "unknown class '" + traffic_class + "'");
    }
    const auto plan_at = instance.plans.find(plan);
    if (plan_at == instance.plans.end()) fields.throw_error("plan", "unknown plan '" + plan + "'");
    request.traffic_class = class_at->second;
    request.plan = plan_at->second;
    instance.handle([&] { instance.policy->on_request(now_, request); });
}

void SimulatorLink::handle_attempt_result(MessageFields& fields) {
    GatewayInstance& instance = find_instance(fields);
    policy::AttemptResult result;
    result.id = fields.request_id("xid");
    result.actual_units = fields.number_or<double>("true_units", 0, kMaxUnits, 0);
    result.endpoint = fields.text("server");
    result.concluded = fields.flag("done_flag");
    fields.number_or<std::int64_t>("quota_use", 0, kMaxInteger, 0);
    result.attempt = fields.number<int>("copy", 0, kMaxCount);
    result.outcome = fields.enum_value("status", kOutcomes);
    result.latency = fields.time("lag");
    result.report = fields.load_report("pressure", instance.report_fields);
    fields.expect_end();
    instance.handle([&] { instance.policy->on_result(now_, result); });
}

void SimulatorLink::handle_stream_started(MessageFields& fields) {
    GatewayInstance& instance = find_instance(fields);
    const auto id = fields.request_id("xid");
    const auto attempt = fields.number<int>("copy", 0, kMaxCount);
    fields.text("server");
    fields.time("lag");
    fields.expect_end();
    instance.handle([&] { instance.policy->on_stream_started(now_, id, attempt); });
}

void SimulatorLink::handle_request_withdrawn(MessageFields& fields) {
    GatewayInstance& instance = find_instance(fields);
    const auto id = fields.request_id("xid");
    fields.expect_end();
    instance.handle([&] { instance.policy->on_withdrawn(now_, id); });
}

void SimulatorLink::handle_counter_reply(MessageFields& fields) {
    GatewayInstance& instance = find_instance(fields);
    const std::string count(fields.text("tally_id"));
    const auto status = fields.enum_value("status", kCounterStatuses);
    const auto total = fields.number_or<double>("sum", -kMaxTotal, kMaxTotal, 0);
    fields.time("lag");
    fields.expect_end();
    instance.handle([&] { instance.policy->on_counter_reply(now_, count, status, total); });
}

void SimulatorLink::handle_probe_result(MessageFields& fields) {
    GatewayInstance& instance = find_instance(fields);
    fields.time("lag");
    const std::string endpoint(fields.text("server"));
    const auto outcome = fields.enum_value("status", kOutcomes);
    const auto report = fields.load_report("pressure", instance.report_fields);
    fields.expect_end();
    instance.handle([&] { instance.policy->on_probe_result(now_, endpoint, outcome, report); });
}

void SimulatorLink::handle_wake(MessageFields& fields) {
    GatewayInstance& instance = find_instance(fields);
    fields.text("key_back");
    fields.expect_end();
    instance.handle([&] { instance.policy->on_wake(now_); });
}

// Parsed and ignored: these gateways do not exchange messages over the simulator.
void SimulatorLink::handle_peer_message(MessageFields& fields) {
    find_instance(fields);
    fields.number<int>("from", 0, kMaxCount);
    fields.text("data");
    fields.expect_end();
}

void SimulatorLink::dispatch(MessageFields& fields) {
    const auto kind = config::look_up(kMessages, fields.name());
    if (!kind) fields.throw_error("name", "unknown message");
    switch (*kind) {
        case MessageKind::kRequest:
            return handle_request(fields);
        case MessageKind::kAttemptResult:
            return handle_attempt_result(fields);
        case MessageKind::kStartGateway:
            return handle_start_gateway(fields);
        case MessageKind::kStopGateway:
            return handle_stop_gateway(fields);
        case MessageKind::kEndpointPage:
            return handle_endpoint_page(fields);
        case MessageKind::kEndpointList:
            return handle_endpoint_list(fields);
        case MessageKind::kStreamStarted:
            return handle_stream_started(fields);
        case MessageKind::kRequestWithdrawn:
            return handle_request_withdrawn(fields);
        case MessageKind::kCounterReply:
            return handle_counter_reply(fields);
        case MessageKind::kProbeResult:
            return handle_probe_result(fields);
        case MessageKind::kWake:
            return handle_wake(fields);
        case MessageKind::kPeerMessage:
            return handle_peer_message(fields);
        case MessageKind::kBeginBatch:
        case MessageKind::kEndBatch:
        case MessageKind::kEndpointRow:  // valid only after kEndpointPage
            fields.throw_error("name", "unknown message");
    }
}

void SimulatorLink::handle_begin_batch(MessageFields& fields) {
    if (in_batch_) fields.throw_error("name", "TURN before the previous batch has ended");
    const auto clock = fields.time("clock");
    if (clock < now_) fields.throw_error("clock", "earlier than in the previous batch");
    now_ = clock;
    batch_ = fields.number<std::int64_t>("batch", 0, kMaxInteger);
    fields.expect_end();
    in_batch_ = true;
}

std::string SimulatorLink::handle_end_batch(MessageFields& fields) {
    fields.expect_end();
    in_batch_ = false;
    reply_.append(word_for(kReplies, ReplyKind::kEndBatch)).append(1, ' ');
    reply_.append(std::to_string(batch_)).append(1, '\n');
    return std::exchange(reply_, {});
}

std::string SimulatorLink::process_line(std::string_view line) {
    ++line_number_;
    MessageFields fields(line, line_number_);
    if (rows_left_ > 0) {
        if (fields.name() != word_for(kMessages, MessageKind::kEndpointRow)) {
            fields.throw_error("name", "expected a ROW message");
        }
        handle_endpoint_row(fields);
        return {};
    }
    if (fields.name() == word_for(kMessages, MessageKind::kBeginBatch)) {
        handle_begin_batch(fields);
        return {};
    }
    if (!in_batch_) fields.throw_error("name", "message outside a batch");
    if (fields.name() == word_for(kMessages, MessageKind::kEndBatch)) return handle_end_batch(fields);
    dispatch(fields);
    return {};
}

int run(std::istream& in, std::ostream& out, std::ostream& err) {
    SimulatorLink link;
    std::string line;
    try {
        while (std::getline(in, line)) {
            const auto reply = link.process_line(line);
            if (!reply.empty()) out << reply << std::flush;
        }
    } catch (const WireError& error) {
        err << "linnetlead-simulator-adapter: " << error.what() << std::endl;
        return 2;
    }
    return 0;
}

}  // namespace linnetlead::simulator_adapter
