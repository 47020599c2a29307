#include "proxy/resp/command.h"

#include <algorithm>
#include <cstdio>

#include "config/setting_words.h"

namespace linnetlead::resp {

using config::parse;

namespace {

// The client's wait starts when it sends the command and ends when the answer arrives. The request's deadline
// here is earlier by this network time, but never by more than a tenth of the wait.
constexpr std::chrono::milliseconds kNetworkTime{10};

// Visits the pairs of a list such as c=lookup,t=team,d=480. Returns false if a part is not a pair.
template <typename Visit>
bool each_pair(std::string_view list, Visit visit) {
    while (!list.empty()) {
        const auto end = std::min(list.find(','), list.size());
        const auto part = list.substr(0, end);
        list.remove_prefix(std::min(end + 1, list.size()));
        const auto equals = part.find('=');
        if (equals == std::string_view::npos || equals == 0) return false;
        visit(part.substr(0, equals), part.substr(equals + 1));
    }
    return true;
}

std::optional<std::uint64_t> hex16(std::string_view text) {
    constexpr std::size_t kDigits = 16;
    return text.size() == kDigits ? parse<std::uint64_t>(text, kDigits) : std::nullopt;
}

constexpr std::size_t kReplyItems = 3;  // value, usage, load report

}  // namespace

bool is_word(std::string_view text, std::string_view word) { return text.substr(0, text.find(' ')) == word; }

Names::Names(const policy::Settings& settings) : max_units(settings.max_units), gateways(settings.gateways) {
    for (std::size_t i = 0; i < settings.classes.size(); ++i) {
        classes_[settings.classes[i].name] = {static_cast<int>(i), settings.classes[i].idempotency};
    }
    for (std::size_t i = 0; i < settings.plans.size(); ++i) {
        plans_[settings.plans[i].name] = static_cast<int>(i);
    }
}

std::optional<Names::Class> Names::find_class(std::string_view name) const {
    const auto at = classes_.find(std::string(name));
    return at == classes_.end() ? std::nullopt : std::optional(at->second);
}

std::optional<int> Names::find_plan(std::string_view name) const {
    const auto at = plans_.find(std::string(name));
    return at == plans_.end() ? std::nullopt : std::optional(at->second);
}

const char* read_request(const Message& message, const Names& names, proxy::Timestamp now,
                         proxy::DownstreamRequest& result) {
    // verb, tenant, id, pairs and optionally a body
    if (message.items.size() < 4 || message.count > 5) return "wrong number of arguments";
    const std::string_view verb = message.items[0].text;
    const std::string_view tenant = message.items[1].text;
    const std::string_view pairs = message.items[3].text;
    constexpr std::uint64_t kMaxTenant = (std::uint64_t{1} << 33) - 1;
    const auto tenant_number = hex16(tenant);
    if (!tenant_number || *tenant_number > kMaxTenant) return "customer is not 16 hex digits below 2^33";
    const auto id = hex16(message.items[2].text);
    if (!id) return "id is not 16 hex digits";
    result.name = *id;

    policy::Request& request = result.request;
    request = {};
    request.tenant = tenant;
    std::optional<Names::Class> traffic_class;
    std::optional<int> plan;
    std::optional<std::int64_t> wait_ms;
    std::string_view wait_text;
    bool in_range = true;
    bool has_key = false;
    const bool are_pairs = each_pair(pairs, [&](std::string_view name, std::string_view value) {
        if (name == "c") traffic_class = names.find_class(value);
        if (name == "t") plan = names.find_plan(value);
        if (name == "d") wait_ms = parse<std::int64_t>(wait_text = value);
        if (name == "k") has_key = hex16(value).has_value();
        if (name == "r") request.is_client_retry = value == "1";
        const auto number = [&](auto& into, auto least, auto most) {
            const auto got = parse<std::decay_t<decltype(into)>>(value);
            if (!got || *got < least || *got > most) return void(in_range = false);
            into = *got;
        };
        if (name == "units") number(request.units, names.kMinUnits, names.max_units);
        if (name == "spread") number(request.gateway_set_size, 1, names.gateways);
        if (name == "first") number(request.gateway_set_start, 0, names.gateways - 1);
    });
    if (!are_pairs) return "malformed names and values";
    if (!traffic_class) return "unknown class";
    if (!plan) return "unknown plan";
    constexpr std::int64_t kMaxWaitMs = 3'600'000;
    if (!wait_ms || *wait_ms <= 0 || *wait_ms > kMaxWaitMs) return "bad d";
    if (!in_range) return "bad number";
    using policy::Idempotency;
    if (traffic_class->idempotency == Idempotency::kKeyed && !has_key) return "no key";
    if ((verb == "Q.ASK") != (traffic_class->idempotency == Idempotency::kIdempotent))
        return "class does not go with this command";
    request.traffic_class = traffic_class->number;
    request.plan = *plan;
    const std::chrono::milliseconds wait(*wait_ms);
    request.due = now + wait - std::min(kNetworkTime, wait / 10);

    // Stores the command for forwarding: everything but the wait is sent unchanged.
    proxy::Payload& payload = result.payload;
    payload.bytes.clear();
    write_array(payload.bytes, message.count);
    for (int i = 0; i < 3; ++i) write_bulk(payload.bytes, message.items[static_cast<std::size_t>(i)].text);
    const auto mark = [&](std::size_t i) {
        payload.marks[i] = static_cast<std::uint32_t>(payload.bytes.size());
    };
    mark(0);
    payload.bytes.append(pairs.substr(0, static_cast<std::size_t>(wait_text.data() - pairs.data())));
    mark(1);
    payload.bytes.append(wait_text.data() + wait_text.size(), pairs.data() + pairs.size());
    mark(2);
    if (message.items.size() > 4) write_bulk(payload.bytes, message.items[4].text);
    if (message.left > 0) {
        constexpr std::size_t kLineEnd = 2;
        const std::string length = '$' + std::to_string(message.left) + "\r\n";
        payload.bytes.reserve(payload.bytes.size() + length.size() + message.left + kLineEnd);
        payload.bytes.append(length);
    }
    return nullptr;
}

std::string_view write_request(std::string& out, const proxy::Payload& payload, proxy::Duration wait,
                               std::size_t max_body) {
    const auto ms = std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::milliseconds>(wait).count());
    const std::string text = std::to_string(ms);
    const std::string_view bytes = payload.bytes;
    const auto [pairs, rest, body] = payload.marks;
    out.append(bytes.substr(0, pairs));
    out.append(1, '$').append(std::to_string(body - pairs + text.size())).append("\r\n");
    out.append(bytes.substr(pairs, rest - pairs)).append(text).append(bytes.substr(rest, body - rest));
    out.append("\r\n").append(bytes.substr(body, max_body));
    return bytes.size() - body > max_body ? bytes.substr(body + max_body) : std::string_view();
}

std::string_view body_of(const proxy::Payload& payload) {
    std::string_view all = payload.bytes;
    if (all.size() <= payload.marks[2]) return {};
    all.remove_prefix(payload.marks[2]);
    constexpr std::string_view kLineEnd = "\r\n";
    const auto line = all.find(kLineEnd);
    if (line == std::string_view::npos || all.size() < line + 2 * kLineEnd.size()) return {};
    return all.substr(line + kLineEnd.size(), all.size() - line - 2 * kLineEnd.size());
}

proxy::Payload with_body(const proxy::Payload& payload, std::string_view head, std::string_view rest) {
    proxy::Payload made;
    made.marks = payload.marks;
    made.bytes.reserve(payload.marks[2] + head.size() + rest.size() + 24);
    made.bytes.append(payload.bytes, 0, payload.marks[2]);
    made.bytes.append(1, '$').append(std::to_string(head.size() + rest.size())).append("\r\n");
    made.bytes.append(head).append(rest).append("\r\n");
    return made;
}

std::string write_own_call(std::string_view verb, std::uint64_t id, std::string_view pairs,
                           std::string_view body) {
    std::string out;
    char hex[20];
    std::snprintf(hex, sizeof(hex), "%016llx", static_cast<unsigned long long>(id));
    write_array(out, 5);
    for (const std::string_view word :
         {verb, std::string_view("0000000000000000"), std::string_view(hex), pairs, body}) {
        write_bulk(out, word);
    }
    return out;
}

policy::LoadReport read_report(std::string_view text) {
    policy::LoadReport report;
    each_pair(text, [&](std::string_view name, std::string_view value) {
        if (const auto number = parse<double>(value)) config::set_report_field(report, name, *number);
    });
    return report;
}

bool may_become_reply(const Message& message) {
    if (message.array && message.count != kReplyItems) return false;
    return message.items.empty() ||
           message.items.front().type == (message.array ? Type::kBulk : Type::kError);
}

proxy::AttemptEnd read_reply(const Message& message) {
    proxy::AttemptEnd end;  // kBroken, unless the message is a valid reply
    end.stage = proxy::Stage::kAnswering;
    if (!may_become_reply(message)) return end;
    const std::string_view first = message.items.front().text;
    if (!message.array) {
        if (is_word(first, "BUSY")) {
            end.ending = proxy::Ending::kTurnedAway;
        } else if (is_word(first, "ERR") || is_word(first, "SYNTAX")) {
            end.ending = proxy::Ending::kError;
            end.error = first;
        }
        return end;
    }
    end.ending = proxy::Ending::kServed;
    end.value = first;
    read_reply_field(message.items[1].text, 0, end);
    read_reply_field(message.items[2].text, 1, end);
    return end;
}

void read_reply_field(std::string_view text, int place, proxy::AttemptEnd& end) {
    if (place == 1) {
        end.report = read_report(text);
        return;
    }
    each_pair(text, [&](std::string_view name, std::string_view value) {
        const auto number = parse<double>(value);
        if (name == "cost" && number && *number > 0) end.actual_units = *number;
    });
}

}  // namespace linnetlead::resp
