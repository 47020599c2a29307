#include "traffic/routing_settings.h"

#include <algorithm>

namespace linnetlead::traffic {

using operator_config::Problem;
using operator_config::Value;

namespace {

struct InvalidSetting {  // thrown and caught within this file
    operator_config::Position at;
    std::string what;
};

template <typename Item>
bool contains(const std::vector<Item>& items, const Item& item) {
    return std::find(items.begin(), items.end(), item) != items.end();
}

std::vector<std::string> read_strings(const Value& of, const char* name) {
    std::vector<std::string> strings;
    if (const Value* list = of.find(name)) {
        for (const Value& item : list->items) strings.push_back(item.text);
    }
    return strings;
}

// Whether the lists are disjoint, so that no endpoint can match both.
template <typename Item>
bool are_disjoint(const std::vector<Item>& a, const std::vector<Item>& b) {
    return !a.empty() && !b.empty() &&
           std::none_of(a.begin(), a.end(), [&](const Item& item) { return contains(b, item); });
}
bool are_disjoint(const Pool& a, const Pool& b) {
    return are_disjoint(a.kinds, b.kinds) || are_disjoint(a.zones, b.zones) || are_disjoint(a.ids, b.ids) ||
           are_disjoint(a.cells, b.cells);
}

bool is_account(const std::string& text) {
    constexpr std::size_t kDigits = 16;
    return text.size() == kDigits && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

class Reader {
public:
    Reader(const Value& document, const config::Site* site) : document_(document), site_(site) {}

    RoutingSettings read() {
        RoutingSettings settings;
        if (const Value* pools = document_.find("pools")) {
            for (const Value& pool : pools->items) settings.pools.push_back(read_pool(pool, settings.pools));
        }
        if (const Value* moves = document_.find("moves")) {
            for (const Value& rollout : moves->items)
                settings.moves.push_back(read_rollout(rollout, settings.pools));
        }
        if (const Value* routes = document_.find("routes")) {
            for (const Value& route : routes->items) read_route(route, settings);
        }
        return settings;
    }

private:
    void check_names(const Value& of, const char* name, const std::vector<std::string>& allowed,
                     const char* what) {
        const Value* list = of.find(name);
        if (!list || !site_ || allowed.empty()) return;
        for (const Value& item : list->items) {
            if (!contains(allowed, item.text)) {
                throw InvalidSetting{item.at, std::string("there is no ") + what + " '" + item.text + "'"};
            }
        }
    }

    // Plans of the plan schedule in the same document.
    std::vector<std::string> scheduled_plans() const {
        std::vector<std::string> names;
        if (const Value* plans = document_.find("plans")) {
            for (const Value& plan : plans->items) names.push_back(plan.find("name")->text);
        }
        return names;
    }

    Pool read_pool(const Value& from, const std::vector<Pool>& pools) {
        Pool pool;
        pool.name = from.find("name")->text;
        for (const Pool& other : pools) {
            if (other.name == pool.name) {
                throw InvalidSetting{from.at, "there is a pool '" + pool.name + "' already"};
            }
        }
        pool.kinds = read_strings(from, "kinds");
        pool.zones = read_strings(from, "zones");
        pool.ids = read_strings(from, "ids");
        if (const Value* cells = from.find("cells")) {
            for (const Value& cell : cells->items) pool.cells.push_back(static_cast<int>(cell.number));
        }
        if (pool.kinds.empty() && pool.zones.empty() && pool.ids.empty() && pool.cells.empty()) {
            throw InvalidSetting{
                from.at, "the pool '" + pool.name + "' names no workers: give kinds, zones, cells or ids"};
        }
        if (site_) {
            check_names(from, "kinds", site_->kinds, "kind");
            check_names(from, "zones", site_->zones, "zone");
        }
        return pool;
    }

    const Pool& pool_of(const Value& rollout, const char* name, const std::vector<Pool>& pools) {
        const Value& named = *rollout.find(name);
        const auto at = std::find_if(pools.begin(), pools.end(),
                                     [&](const Pool& pool) { return pool.name == named.text; });
        if (at == pools.end()) throw InvalidSetting{named.at, "there is no pool '" + named.text + "'"};
        return *at;
    }

    void read_route(const Value& from, RoutingSettings& settings) {
        const Value& name = *from.find("name");
        const Value& pool = *from.find("pool");
        const bool is_class =
            site_ && std::any_of(site_->settings.classes.begin(), site_->settings.classes.end(),
                                 [&](const auto& traffic_class) { return traffic_class.name == name.text; });
        if (site_ && !is_class && !is_account(name.text)) {
            throw InvalidSetting{
                name.at, "a route is an account's, 16 hex digits, or a class's, not '" + name.text + "'"};
        }
        if (std::none_of(settings.pools.begin(), settings.pools.end(),
                         [&](const Pool& one) { return one.name == pool.text; })) {
            throw InvalidSetting{pool.at, "there is no pool '" + pool.text + "'"};
        }
        if (!settings.routes.emplace(name.text, pool.text).second) {
            throw InvalidSetting{name.at, "there is a route of '" + name.text + "' already"};
        }
    }

    std::vector<Stage> read_stages(const Value& from) {
        std::vector<Stage> stages;
        double last_share = 0;
        for (const Value& one : from.find("stages")->items) {
            Stage stage;
            const Value& share = *one.find("share");
            stage.share = operator_config::share_of(share);
            if (stage.share <= last_share)
                throw InvalidSetting{share.at, "the shares of the stages must rise"};
            last_share = stage.share;
            if (const Value* hold = one.find("hold")) stage.hold = operator_config::time_of(*hold);
            stages.push_back(stage);
        }
        return stages;
    }

    Tolerance read_tolerance(const Value& from) {
        Tolerance tolerance;
        const auto read_above_one = [&](const char* name, double& into) {
            if (const Value* value = from.find(name)) into = 1 + operator_config::share_of(*value);
        };
        read_above_one("slower", tolerance.slower);
        read_above_one("shown", tolerance.shown);
        if (tolerance.shown <= tolerance.slower) {
            const Value* shown = from.find("shown");
            throw InvalidSetting{(shown ? *shown : *from.find("slower")).at,
                                 "'shown' must lie above 'slower'"};
        }
        if (const Value* failures = from.find("failures")) tolerance.failures = failures->number;
        if (const Value* gross = from.find("gross")) tolerance.gross = operator_config::share_of(*gross);
        if (const Value* least = from.find("least")) {
            tolerance.least = static_cast<std::size_t>(least->number);
        }
        return tolerance;
    }

    void check_scope(const Value& from) {
        if (!site_) return;
        std::vector<std::string> classes, plans = scheduled_plans();
        for (const auto& traffic_class : site_->settings.classes) classes.push_back(traffic_class.name);
        for (const auto& plan : site_->settings.plans) plans.push_back(plan.name);
        check_names(from, "classes", classes, "class");
        check_names(from, "plans", plans, "plan");
    }

    RolloutSettings read_rollout(const Value& from, const std::vector<Pool>& pools) {
        RolloutSettings rollout;
        rollout.name = from.find("name")->text;
        const Pool& source = pool_of(from, "source", pools);
        const Pool& target = pool_of(from, "target", pools);
        const operator_config::Position at = from.find("target")->at;
        if (&source == &target) throw InvalidSetting{at, "a move onto itself"};
        if (!are_disjoint(source, target)) {
            throw InvalidSetting{at, "the pools '" + source.name + "' and '" + target.name +
                                         "' overlap: no list keeps their workers apart"};
        }
        rollout.source = source.name;
        rollout.target = target.name;
        rollout.classes = read_strings(from, "classes");
        rollout.plans = read_strings(from, "plans");
        check_scope(from);
        rollout.stages = read_stages(from);
        const auto read_time = [&](const char* name, Duration& into) {
            if (const Value* value = from.find(name)) into = operator_config::time_of(*value);
        };
        read_time("step", rollout.step);
        read_time("lease", rollout.lease);
        read_time("deadline", rollout.deadline);
        if (const Value* run = from.find("run")) rollout.run = static_cast<int>(run->number);
        rollout.tolerance = read_tolerance(from);
        if (const Value* headroom = from.find("headroom")) rollout.headroom = headroom->number;
        const auto has_word = [&](const char* name, const char* word) {
            const Value* value = from.find(name);
            return value && value->text == word;
        };
        rollout.by_account = has_word("by", "account");
        rollout.undo_at_deadline = !has_word("at_deadline", "hold");
        rollout.keep_at_end = !has_word("at_end", "return");
        rollout.order = has_word("order", "pause")   ? Order::kPause
                        : has_word("order", "abort") ? Order::kAbort
                                                     : Order::kRun;
        return rollout;
    }

    const Value& document_;
    const config::Site* site_;
};

}  // namespace

bool Pool::holds(const policy::EndpointInfo& entry) const {
    return (kinds.empty() || contains(kinds, entry.kind)) && (zones.empty() || contains(zones, entry.zone)) &&
           (ids.empty() || contains(ids, entry.id)) && (cells.empty() || contains(cells, entry.cell));
}

std::variant<RoutingSettings, Problem> read_routing(const Value& document, const std::string& file,
                                                    const config::Site* site) {
    try {
        return Reader(document, site).read();
    } catch (const InvalidSetting& invalid) {
        return Problem{file, invalid.at, invalid.what};
    }
}

}  // namespace linnetlead::traffic
