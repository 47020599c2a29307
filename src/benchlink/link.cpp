#include "link.h"

#include <charconv>
#include <cmath>
#include <cstdio>
#include <istream>
#include <limits>
#include <optional>
#include <ostream>
#include <unordered_map>

namespace topazcrank::benchlink {

namespace {

using Pairs = std::unordered_map<std::string, std::string>;

template <typename Value>
struct Word {
    std::string_view text;
    Value value;
};

constexpr std::array<Word<Outcome>, 8> outcomes{{{"ok", Outcome::ok},
                                                 {"error", Outcome::error},
                                                 {"full", Outcome::full},
                                                 {"timeout", Outcome::timeout},
                                                 {"connect_failed", Outcome::connect_failed},
                                                 {"reset", Outcome::reset},
                                                 {"cancelled", Outcome::cancelled},
                                                 {"moot", Outcome::not_sent}}};
constexpr std::array<Word<CountStatus>, 4> count_statuses{{{"ok", CountStatus::ok},
                                                           {"full", CountStatus::full},
                                                           {"connect_failed", CountStatus::connect_failed},
                                                           {"timeout", CountStatus::timeout}}};
constexpr std::array<Word<ServerState>, 3> server_states{
    {{"IN", ServerState::in}, {"LAME", ServerState::draining}, {"OUT", ServerState::out}}};
constexpr std::array<Word<ListKind>, 4> list_kinds{
    {{"D", ListKind::changes}, {"F", ListKind::full}, {"C", ListKind::cached}, {"X", ListKind::failed}}};
constexpr std::array<Word<Repeat>, 3> repeats{
    {{"retryable", Repeat::safe}, {"dedup", Repeat::keyed}, {"fragile", Repeat::unsafe}}};
constexpr std::array<Word<KeyScope>, 3> key_scopes{
    {{"all", KeyScope::all}, {"zone", KeyScope::zone}, {"cell", KeyScope::cell}}};
constexpr std::array<Word<ReportSource>, 3> report_sources{
    {{"none", ReportSource::none}, {"answers", ReportSource::answers}, {"probe", ReportSource::probe}}};
constexpr std::array<Word<bool>, 2> list_modes{{{"pushed", false}, {"on_request", true}}};
constexpr std::array<Word<bool>, 2> truths{{{"true", true}, {"false", false}}};

template <typename Value, std::size_t count>
std::optional<Value> look_up(const std::array<Word<Value>, count>& words, std::string_view text) {
    for (const auto& word : words) {
        if (word.text == text) return word.value;
    }
    return std::nullopt;
}

template <typename Number>
std::optional<Number> parse(std::string_view text, int base = 10) {
    Number value{};
    std::from_chars_result result{};
    if constexpr (std::is_floating_point_v<Number>) {
        result = std::from_chars(text.data(), text.data() + text.size(), value);
        if (!std::isfinite(value)) return std::nullopt;
    } else {
        result = std::from_chars(text.data(), text.data() + text.size(), value, base);
    }
    if (result.ec != std::errc{} || result.ptr != text.data() + text.size()) return std::nullopt;
    return value;
}

// The settings of one BOOT. Missing keys leave the neutral values of the interface.
class InfoReader {
public:
    explicit InfoReader(const Pairs& pairs) : pairs_(pairs) {}

    void read(const std::string& key, std::string& into) const {
        if (const auto* text = get(key)) into = *text;
    }
    void read(const std::string& key, double& into) const { number(key, into); }
    void read(const std::string& key, int& into) const { number(key, into); }
    void read(const std::string& key, Span& into) const {
        std::int64_t nanoseconds = into.count();
        number(key, nanoseconds);
        into = Span{nanoseconds};
    }
    template <typename Value, std::size_t count>
    void read(const std::string& key, const std::array<Word<Value>, count>& words, Value& into) const {
        const auto* text = get(key);
        if (!text) return;
        const auto value = look_up(words, *text);
        if (!value) throw WireError("setting " + key + ": unknown value '" + *text + "'");
        into = *value;
    }
    void read(const std::string& key, bool& into) const { read(key, truths, into); }
    int list_size(const std::string& key) const {
        int size = 0;
        number(key, size);
        constexpr int most = 10000;
        if (size < 0 || size > most) throw WireError("setting " + key + ": out of range");
        return size;
    }
    std::vector<std::string> words(const std::string& key) const {
        std::vector<std::string> list;
        const auto* text = get(key);
        for (std::size_t at = 0; text && at < text->size();) {
            const auto end = std::min(text->find(',', at), text->size());
            list.push_back(text->substr(at, end - at));
            at = end + 1;
        }
        return list;
    }

private:
    const std::string* get(const std::string& key) const {
        const auto it = pairs_.find(key);
        return it == pairs_.end() ? nullptr : &it->second;
    }
    template <typename Number>
    void number(const std::string& key, Number& into) const {
        const auto* text = get(key);
        if (!text) return;
        auto value = parse<Number>(*text);
        if constexpr (!std::is_floating_point_v<Number>) {
            // "2.0" stands for a whole number
            const auto real = value ? std::nullopt : parse<double>(*text);
            constexpr double top = 9e15;
            if (real && std::abs(*real) < top && std::floor(*real) == *real)
                value = static_cast<Number>(*real);
        }
        if (!value) throw WireError("setting " + key + ": not a number or out of range: '" + *text + "'");
        into = *value;
    }
    const Pairs& pairs_;
};

Settings read_settings(const Pairs& pairs) {
    const InfoReader info(pairs);
    Settings s;
    info.read("balancers", s.gateways);
    info.read("me", s.self);
    info.read("zone", s.zone);
    info.read("quantum", s.tick);
    info.read("extra.may_count", s.may_count);
    info.read("extra.count_limit", s.count_timeout);
    info.read("extra.call_price", s.count_price);
    info.read("extra.units_top", s.most_units);
    info.read("limits.cancel", s.may_cancel);
    info.read("limits.may_probe", s.may_probe);
    info.read("limits.second_copies", s.second_copies);
    info.read("limits.retry_after", s.retry_after);
    info.read("limits.max_retry_after", s.most_retry_after);
    info.read("limits.max_attempts", s.most_attempts);
    info.read("discovery", list_modes, s.list_on_request);
    info.read("guarantees.must_ask_in", s.list_ask_within);
    info.read("report.how", report_sources, s.reports);
    info.read("guarantees.cold_from", s.cold_from);
    info.read("guarantees.ramp_time", s.ramp_time);
    info.read("guarantees.fall_multiple", s.fall_multiple);
    info.read("guarantees.fall", s.fall_time);
    info.read("deductions.waste", s.waste_price);
    info.read("deductions.late_fail", s.late_fail_price);
    info.read("deductions.cross_zone", s.cross_zone_price);
    for (int i = 0; i < info.list_size("classes.count"); ++i) {
        const std::string at = "classes." + std::to_string(i) + ".";
        ClassSettings c;
        info.read(at + "name", c.name);
        info.read(at + "aim", c.aim);
        info.read(at + "deadline", c.deadline);
        info.read(at + "idempotency", repeats, c.repeat);
        info.read(at + "key_scope", key_scopes, c.key_scope);
        info.read(at + "dedup_window", c.key_window);
        info.read(at + "worth", c.worth);
        info.read(at + "late_worth", c.late_worth);
        s.classes.push_back(c);
    }
    for (int i = 0; i < info.list_size("tariffs.count"); ++i) {
        const std::string at = "tariffs." + std::to_string(i) + ".";
        PlanSettings p;
        info.read(at + "name", p.name);
        info.read(at + "units_per_s", p.rate);
        info.read(at + "most_at_once", p.burst);
        info.read(at + "max_out", p.max_open);
        info.read(at + "hard_rate", p.ceiling_rate);
        info.read(at + "never_over_depth", p.ceiling_burst);
        info.read(at + "hard_slack", p.ceiling_slack);
        info.read(at + "pays", p.price);
        info.read(at + "extra_worth", p.over_worth);
        info.read(at + "beyond_costs", p.over_cost);
        s.plans.push_back(p);
    }
    return s;
}

std::string one_line(std::string text) {
    for (char& c : text) {
        if (c == '\n' || c == '\r') c = ' ';
    }
    return text;
}

}  // namespace

// One line's fields, taken in turn; every complaint names the line, the message and the field.
class Link::Fields {
public:
    Fields(std::string_view line, std::uint64_t number) : rest_(line), number_(number) { name_ = cut(); }

    std::string_view name() const { return name_; }
    bool at_end() const { return done_; }
    [[noreturn]] void complain(std::string_view field, const std::string& what) const {
        throw WireError("line " + std::to_string(number_) + ": " + std::string(name_) + ": field " +
                        std::string(field) + ": " + what);
    }
    std::string_view text(std::string_view field) {
        if (done_) complain(field, "missing");
        const auto part = cut();
        if (part.empty()) complain(field, "empty");
        return part;
    }
    template <typename Number>
    Number number(std::string_view field, Number least, Number most) {
        return checked<Number>(field, text(field), least, most);
    }
    // '-' stands for an absent value
    template <typename Number>
    Number number_or(std::string_view field, Number least, Number most, Number absent) {
        const auto part = text(field);
        return part == "-" ? absent : checked<Number>(field, part, least, most);
    }
    Time time(std::string_view field) {
        return Time{number<std::int64_t>(field, 0, std::numeric_limits<std::int64_t>::max())};
    }
    bool flag(std::string_view field) { return number<int>(field, 0, 1) == 1; }
    RequestId request(std::string_view field) {
        const auto part = text(field);
        constexpr std::size_t digits = 16;
        const auto value = part.size() == digits ? parse<std::uint64_t>(part, 16) : std::nullopt;
        if (!value) complain(field, "not 16 hex digits");
        return *value;
    }
    template <typename Value, std::size_t count>
    Value word(std::string_view field, const std::array<Word<Value>, count>& words) {
        const auto part = text(field);
        const auto value = look_up(words, part);
        if (!value) complain(field, "unknown value '" + std::string(part) + "'");
        return *value;
    }
    std::string_view remainder() {
        const auto all = rest_;
        rest_ = {};
        done_ = true;
        return all;
    }
    void end() const {
        if (!done_) {
            throw WireError("line " + std::to_string(number_) + ": " + std::string(name_) +
                            ": extra field '" + std::string(rest_) + "'");
        }
    }
    LoadReport report(std::string_view field, const std::vector<std::string>& names) {
        LoadReport report;
        if (done_) return report;  // the last field of its message, and an optional one
        auto row = text(field);
        if (row == "-") return report;
        for (std::size_t i = 0; !row.empty() || i == 0; ++i) {
            const auto end = std::min(row.find(','), row.size());
            const auto part = row.substr(0, end);
            row.remove_prefix(std::min(end + 1, row.size()));
            if (part == "-" || part.empty()) continue;
            const auto value = parse<double>(part);
            if (!value) complain(field, "not a number: '" + std::string(part) + "'");
            if (i >= names.size()) continue;
            const std::string& name = names[i];
            if (name == "concurrent") report.in_flight = value;
            if (name == "depth") report.queued = value;
            if (name == "load_share") report.utilisation = value;
            if (name == "mean_ms") report.service_ms = value;
            if (name == "tps") report.per_second = value;
            if (name == "err_ps") report.errors_per_second = value;
        }
        return report;
    }

private:
    std::string_view cut() {
        const auto at = rest_.find(' ');
        const auto part = rest_.substr(0, at);
        done_ = at == std::string_view::npos;
        rest_ = done_ ? std::string_view{} : rest_.substr(at + 1);
        return part;
    }
    template <typename Number>
    Number checked(std::string_view field, std::string_view part, Number least, Number most) const {
        const auto value = parse<Number>(part);
        if (!value) complain(field, "not a number or out of range: '" + std::string(part) + "'");
        if (*value < least || *value > most) complain(field, "out of range: '" + std::string(part) + "'");
        return *value;
    }
    std::string_view rest_;
    std::string_view name_;
    std::uint64_t number_;
    bool done_ = false;
};

struct Link::Instance final : Actions {
    Instance(std::int64_t number, std::string& out) : who(std::to_string(number)), reply(out) {}

    void send(RequestId id, const ServerId& server, Span timeout) override {
        line("RELAY ", hex(id) + ' ' + server + ' ' + std::to_string(timeout.count()));
    }
    void refuse(RequestId id, Span retry_after) override {
        line("SHED ", hex(id) + ' ' + std::to_string(retry_after.count()));
    }
    void fail(RequestId id) override { line("GIVE_UP ", hex(id)); }
    void cancel(RequestId id, int attempt) override {
        line("UNDO_SEND ", hex(id) + ' ' + std::to_string(attempt));
    }
    void probe(const ServerId& server) override { line("CHECK ", server); }
    void count(const std::string& name, double amount, Span life) override {
        std::array<char, 48> text{};
        const int size = std::snprintf(text.data(), text.size(), " %.7g ", amount);
        line("INCR ",
             name + std::string(text.data(), static_cast<std::size_t>(size)) + std::to_string(life.count()));
    }
    void wake(Time at) override { line("NOTIFY_ME ", std::to_string(at.count()) + " wake"); }
    void subscribe_list() override { line("OBSERVE ", "1"); }
    void log(const std::string& text) override { line("EMIT ", one_line(text)); }

    // An exception from the module ends the day with its text; the instance takes no further events.
    template <typename Call>
    void guarded(Call&& call) {
        if (!running) return;
        try {
            call();
        } catch (const WireError&) {
            throw;
        } catch (const std::exception& e) {
            line("GIVE_IN ", one_line(e.what()));
            running = false;
            policy.reset();
        }
    }

    std::string who;
    std::string& reply;
    bool running = false;
    std::unique_ptr<Policy> policy;
    std::unordered_map<std::string, int> classes;
    std::unordered_map<std::string, int> plans;
    std::vector<std::string> report_fields;

private:
    static std::string hex(RequestId id) {
        std::array<char, 17> text{};
        std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(id));
        return text.data();
    }
    void line(std::string_view action, const std::string& values) {
        reply.append(action).append(who).append(1, ' ').append(values).append(1, '\n');
    }
};

Link::Link() = default;
Link::~Link() = default;

Link::Instance* Link::find(Fields& fields) {
    const auto who = fields.number<std::int64_t>("who", 0, std::numeric_limits<std::int32_t>::max());
    const auto it = instances_.find(who);
    if (it == instances_.end()) fields.complain("who", "instance never booted");
    return it->second.get();
}

void Link::boot(Fields& fields) {
    const auto who = fields.number<std::int64_t>("who", 0, std::numeric_limits<std::int32_t>::max());
    const auto seed = fields.number<std::uint64_t>("entropy", 0, std::numeric_limits<std::uint64_t>::max());
    Pairs pairs;
    auto rest = fields.remainder();
    while (!rest.empty()) {
        const auto end = std::min(rest.find(' '), rest.size());
        const auto pair = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos || equals == 0) {
            fields.complain("info", "not a pair: '" + std::string(pair) + "'");
        }
        pairs[std::string(pair.substr(0, equals))] = std::string(pair.substr(equals + 1));
    }
    auto instance = std::make_unique<Instance>(who, reply_);
    Settings settings;
    try {
        settings = read_settings(pairs);
    } catch (const WireError& e) {
        fields.complain("info", e.what());
    }
    for (std::size_t i = 0; i < settings.classes.size(); ++i) {
        instance->classes[settings.classes[i].name] = static_cast<int>(i);
    }
    for (std::size_t i = 0; i < settings.plans.size(); ++i) {
        instance->plans[settings.plans[i].name] = static_cast<int>(i);
    }
    instance->report_fields = InfoReader(pairs).words("report.fields");
    instance->running = true;
    instance->guarded(
        [&] { instance->policy = std::make_unique<Policy>(std::move(settings), seed, now_, *instance); });
    instances_[who] = std::move(instance);
}

void Link::view(Fields& fields) {
    Instance* instance = find(fields);
    const auto kind = fields.word("mode", list_kinds);
    fields.text("version");
    static const std::vector<ServerEntry> none;
    const std::vector<ServerEntry>* entries = &none;
    if (kind == ListKind::failed) {
        if (!fields.at_end()) fields.text("page");
    } else {
        const auto page = static_cast<std::size_t>(fields.number<int>("page", 0, 15));
        if (!page_given_[page]) fields.complain("page", "list never given");
        entries = &pages_[page];
    }
    fields.end();
    instance->guarded([&] { instance->policy->on_list(now_, kind, *entries); });
}

void Link::submit(Fields& fields) {
    Instance* instance = find(fields);
    Request request;
    request.id = fields.request("xid");
    const std::string cls(fields.text("category"));
    const std::string plan(fields.text("plan"));
    request.customer = fields.text("member");
    request.due = fields.time("due");
    request.units = fields.number<double>("price_units", 0, 1e9);
    request.set_size = fields.number<int>("set_size", 1, 1 << 20);
    request.set_start = fields.number<int>("set_start", 0, 1 << 20);
    constexpr int repeat_bit = 2;
    request.client_repeat = (fields.number_or<int>("options", 0, 1 << 20, 0) & repeat_bit) != 0;
    fields.end();
    if (!instance->running) return;
    const auto class_at = instance->classes.find(cls);
    if (class_at == instance->classes.end()) fields.complain("category", "unknown class '" + cls + "'");
    const auto plan_at = instance->plans.find(plan);
    if (plan_at == instance->plans.end()) fields.complain("plan", "unknown plan '" + plan + "'");
    request.cls = class_at->second;
    request.plan = plan_at->second;
    instance->guarded([&] { instance->policy->on_request(now_, request); });
}

void Link::resolved(Fields& fields) {
    Instance* instance = find(fields);
    AttemptResult result;
    result.id = fields.request("xid");
    result.true_units = fields.number_or<double>("true_units", 0, 1e9, 0);
    result.server = fields.text("server");
    result.concluded = fields.flag("done_flag");
    fields.number_or<std::int64_t>("quota_use", 0, std::numeric_limits<std::int64_t>::max(), 0);
    result.attempt = fields.number<int>("copy", 0, 1 << 20);
    result.outcome = fields.word("status", outcomes);
    result.lag = fields.time("lag");
    result.report = fields.report("pressure", instance->report_fields);
    fields.end();
    instance->guarded([&] { instance->policy->on_result(now_, result); });
}

void Link::handle(Fields& fields) {
    const auto name = fields.name();
    if (name == "SUBMIT") return submit(fields);
    if (name == "RESOLVED") return resolved(fields);
    if (name == "BOOT") return boot(fields);
    if (name == "VIEW") return view(fields);
    if (name == "CATALOG") {
        open_page_ = static_cast<std::size_t>(fields.number<int>("page", 0, 15));
        rows_left_ = fields.number<std::int64_t>("nodes_list", 0, 1 << 24);
        fields.end();
        pages_[open_page_].clear();
        page_given_[open_page_] = true;
    } else if (name == "STOP") {
        Instance* instance = find(fields);
        fields.end();
        instance->running = false;
        instance->policy.reset();
    } else if (name == "WAKEUP") {
        Instance* instance = find(fields);
        fields.text("key_back");
        fields.end();
        instance->guarded([&] { instance->policy->on_wake(now_); });
    } else if (name == "WITHDRAWN") {
        Instance* instance = find(fields);
        const auto id = fields.request("xid");
        fields.end();
        instance->guarded([&] { instance->policy->on_withdrawn(now_, id); });
    } else if (name == "COUNTED") {
        Instance* instance = find(fields);
        const std::string tally(fields.text("tally_id"));
        const auto status = fields.word("status", count_statuses);
        const auto total = fields.number_or<double>("sum", -1e300, 1e300, 0);
        fields.time("lag");
        fields.end();
        instance->guarded([&] { instance->policy->on_counted(now_, tally, status, total); });
    } else if (name == "HEAD_RECEIVED") {
        Instance* instance = find(fields);
        const auto id = fields.request("xid");
        const auto attempt = fields.number<int>("copy", 0, 1 << 20);
        fields.text("server");
        fields.time("lag");
        fields.end();
        instance->guarded([&] { instance->policy->on_stream_started(now_, id, attempt); });
    } else if (name == "PROBE_DONE") {
        Instance* instance = find(fields);
        fields.time("lag");
        const std::string server(fields.text("server"));
        const auto outcome = fields.word("status", outcomes);
        const auto report = fields.report("pressure", instance->report_fields);
        fields.end();
        instance->guarded([&] { instance->policy->on_probed(now_, server, outcome, report); });
    } else if (name == "NOTE_FROM") {
        find(fields);
        fields.number<int>("from", 0, 1 << 20);
        fields.text("data");
        fields.end();
    } else {
        fields.complain("name", "unknown message");
    }
}

std::string Link::take_line(std::string_view line) {
    ++line_number_;
    Fields fields(line, line_number_);
    if (rows_left_ > 0) {
        if (fields.name() != "ROW") fields.complain("name", "expected ROW");
        ServerEntry entry;
        entry.started = Time{
            fields.number_or<std::int64_t>("started_at", 0, std::numeric_limits<std::int64_t>::max(), 0)};
        entry.cell = fields.number_or<int>("group", -1, std::numeric_limits<int>::max(), 0);
        entry.zone = fields.text("site");
        entry.kind = fields.text("machine");
        entry.weight = fields.number_or<double>("units", 0, 1e9, 1);
        entry.state = fields.word("stage_state", server_states);
        entry.id = fields.text("server");
        fields.end();
        pages_[open_page_].push_back(std::move(entry));
        --rows_left_;
        return {};
    }
    if (fields.name() == "TURN") {
        if (in_batch_) fields.complain("name", "batch inside a batch");
        const auto clock = fields.time("clock");
        if (clock < now_) fields.complain("clock", "goes back");
        now_ = clock;
        batch_ = fields.number<std::int64_t>("batch", 0, std::numeric_limits<std::int64_t>::max());
        fields.end();
        in_batch_ = true;
        return {};
    }
    if (!in_batch_) fields.complain("name", "outside a batch");
    if (fields.name() == "YOUR_TURN") {
        fields.end();
        in_batch_ = false;
        reply_.append("DONE ").append(std::to_string(batch_)).append(1, '\n');
        std::string out;
        out.swap(reply_);
        return out;
    }
    handle(fields);
    return {};
}

int run(std::istream& in, std::ostream& out, std::ostream& err) {
    Link link;
    std::string line;
    try {
        while (std::getline(in, line)) {
            const auto reply = link.take_line(line);
            if (!reply.empty()) out << reply << std::flush;
        }
    } catch (const WireError& e) {
        err << "topazcrank_benchlink: " << e.what() << std::endl;
        return 2;
    }
    return 0;
}

}  // namespace topazcrank::benchlink
