#include "config/settings.h"

#include <algorithm>
#include <cstdint>

#include "config/setting_words.h"

namespace linnetlead::config {

using namespace linnetlead::policy;

namespace {

constexpr std::array<Word<Idempotency>, 3> kRepeats{{{"retryable", Idempotency::kIdempotent},
                                                     {"dedup", Idempotency::kKeyed},
                                                     {"fragile", Idempotency::kNonIdempotent}}};
constexpr std::array<Word<KeyScope>, 3> kKeyScopes{
    {{"all", KeyScope::kAll}, {"zone", KeyScope::kZone}, {"cell", KeyScope::kCell}}};
constexpr std::array<Word<ReportSource>, 3> kReportSources{
    {{"none", ReportSource::kNone}, {"answers", ReportSource::kAnswers}, {"probe", ReportSource::kProbe}}};
constexpr std::array<Word<bool>, 2> kListModes{{{"pushed", false}, {"on_request", true}}};
constexpr std::array<Word<bool>, 2> kTruths{{{"true", true}, {"false", false}}};

// Reads one set of pairs.
class InfoReader {
public:
    explicit InfoReader(const Pairs& pairs) : pairs_(pairs) {}

    void read(const std::string& key, std::string& into) const {
        if (const auto* text = get(key)) into = *text;
    }
    void read(const std::string& key, double& into) const { number(key, into); }
    void read(const std::string& key, int& into) const { number(key, into); }
    void read(const std::string& key, Duration& into) const {
        std::int64_t nanoseconds = into.count();
        number(key, nanoseconds);
        into = Duration{nanoseconds};
    }
    template <typename Value, std::size_t Count>
    void read(const std::string& key, const std::array<Word<Value>, Count>& words, Value& into) const {
        const auto* text = get(key);
        if (!text) return;
        const auto value = look_up(words, *text);
        if (!value) throw SettingsError("setting " + key + ": unknown value '" + *text + "'");
        into = *value;
    }
    void read(const std::string& key, bool& into) const { read(key, kTruths, into); }
    int list_size(const std::string& key) const {
        int size = 0;
        number(key, size);
        constexpr int kMost = 10000;
        if (size < 0 || size > kMost) throw SettingsError("setting " + key + ": out of range");
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
            constexpr double kTop = 9e15;
            if (real && std::abs(*real) < kTop && std::floor(*real) == *real)
                value = static_cast<Number>(*real);
        }
        if (!value) throw SettingsError("setting " + key + ": not a number or out of range: '" + *text + "'");
        into = *value;
    }
    const Pairs& pairs_;
};

}  // namespace

Site read_site(const Pairs& pairs) {
    const InfoReader info(pairs);
    Site site;
    Settings& s = site.settings;
    info.read("balancers", s.gateways);
    info.read("me", s.self);
    info.read("zone", s.zone);
    info.read("quantum", s.tick);
    info.read("extra.may_count", s.may_use_counter);
    info.read("extra.count_limit", s.counter_timeout);
    info.read("extra.call_price", s.counter_call_price);
    info.read("extra.units_top", s.max_units);
    info.read("limits.cancel", s.may_cancel);
    info.read("limits.may_probe", s.may_probe);
    info.read("limits.second_copies", s.may_hedge);
    info.read("limits.retry_after", s.retry_after);
    info.read("limits.max_retry_after", s.max_retry_after);
    info.read("limits.max_attempts", s.max_attempts);
    info.read("discovery", kListModes, s.list_is_polled);
    info.read("guarantees.must_ask_in", s.list_ask_within);
    info.read("report.how", kReportSources, s.reports);
    info.read("guarantees.cold_from", s.slow_start_min_share);
    info.read("guarantees.ramp_time", s.slow_start_window);
    info.read("guarantees.fall_multiple", s.overload_multiple);
    info.read("guarantees.fall", s.overload_window);
    info.read("deductions.waste", s.waste_price);
    info.read("deductions.late_fail", s.late_fail_price);
    info.read("deductions.cross_zone", s.cross_zone_price);
    for (int i = 0; i < info.list_size("classes.count"); ++i) {
        const std::string at = "classes." + std::to_string(i) + ".";
        TrafficClassSettings c;
        info.read(at + "name", c.name);
        info.read(at + "aim", c.latency_objective);
        info.read(at + "deadline", c.deadline);
        info.read(at + "idempotency", kRepeats, c.idempotency);
        info.read(at + "key_scope", kKeyScopes, c.key_scope);
        info.read(at + "dedup_window", c.key_window);
        info.read(at + "worth", c.priority_weight);
        info.read(at + "late_worth", c.late_priority_weight);
        s.classes.push_back(c);
    }
    for (int i = 0; i < info.list_size("tariffs.count"); ++i) {
        const std::string at = "tariffs." + std::to_string(i) + ".";
        RatePlanSettings p;
        info.read(at + "name", p.name);
        info.read(at + "units_per_s", p.rate);
        info.read(at + "most_at_once", p.burst);
        info.read(at + "max_out", p.max_concurrent);
        info.read(at + "hard_rate", p.hard_cap_rate);
        info.read(at + "never_over_depth", p.hard_cap_burst);
        info.read(at + "hard_slack", p.hard_cap_slack);
        info.read(at + "pays", p.price);
        info.read(at + "extra_worth", p.over_quota_weight);
        info.read(at + "beyond_costs", p.over_quota_cost);
        s.plans.push_back(p);
    }
    site.report_fields = info.words("report.fields");
    site.kinds = info.words("kinds");
    site.zones = info.words("zones");
    info.read("limits.conn_idle", site.conn_idle);
    info.read("limits.connect_timeout", site.connect_timeout);
    info.read("limits.max_open", site.max_concurrent);
    info.read("limits.peers", site.may_tell_peers);
    return site;
}

void set_report_field(LoadReport& report, std::string_view name, double value) {
    // The simulator's wire and the sockets name some fields differently.
    if (name == "concurrent" || name == "inflight") report.in_flight = value;
    if (name == "depth" || name == "queue") report.queued = value;
    if (name == "load_share" || name == "util") report.utilisation = value;
    if (name == "mean_ms" || name == "latency_ms") report.service_ms = value;
    if (name == "tps" || name == "qps") report.per_second = value;
    if (name == "err_ps" || name == "eps") report.errors_per_second = value;
}

}  // namespace linnetlead::config
