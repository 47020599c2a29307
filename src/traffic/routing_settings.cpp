#include "traffic/routing_settings.h"

#include <algorithm>

namespace linnetlead::traffic {

using operator_config::Problem;
using operator_config::Value;

namespace {

struct Wrong {  // within this file only
    operator_config::Position at;
    std::string what;
};

template <typename Item>
bool contains(const std::vector<Item>& items, const Item& item) {
    return std::find(items.begin(), items.end(), item) != items.end();
}

std::vector<std::string> texts(const Value& of, const char* name) {
    std::vector<std::string> made;
    if (const Value* list = of.find(name)) {
        for (const Value& item : list->items) made.push_back(item.text);
    }
    return made;
}

// No endpoint can be in both: one of the lists keeps them apart.
template <typename Item>
bool apart(const std::vector<Item>& a, const std::vector<Item>& b) {
    return !a.empty() && !b.empty() &&
           std::none_of(a.begin(), a.end(), [&](const Item& item) { return contains(b, item); });
}
bool apart(const Pool& a, const Pool& b) {
    return apart(a.kinds, b.kinds) || apart(a.zones, b.zones) || apart(a.ids, b.ids) ||
           apart(a.cells, b.cells);
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
            for (const Value& move : moves->items) settings.moves.push_back(read_move(move, settings.pools));
        }
        if (const Value* routes = document_.find("routes")) {
            for (const Value& route : routes->items) read_route(route, settings);
        }
        return settings;
    }

private:
    void known(const Value& of, const char* name, const std::vector<std::string>& all, const char* what) {
        const Value* list = of.find(name);
        if (!list || !site_ || all.empty()) return;
        for (const Value& item : list->items) {
            if (!contains(all, item.text)) {
                throw Wrong{item.at, std::string("there is no ") + what + " '" + item.text + "'"};
            }
        }
    }

    // Plans of the operators' own schedule, which stands in the same document.
    std::vector<std::string> scheduled_plans() const {
        std::vector<std::string> names;
        if (const Value* plans = document_.find("plans")) {
            for (const Value& plan : plans->items) names.push_back(plan.find("name")->text);
        }
        return names;
    }

    Pool read_pool(const Value& from, const std::vector<Pool>& before) {
        Pool pool;
        pool.name = from.find("name")->text;
        for (const Pool& other : before) {
            if (other.name == pool.name) {
                throw Wrong{from.at, "there is a pool '" + pool.name + "' already"};
            }
        }
        pool.kinds = texts(from, "kinds");
        pool.zones = texts(from, "zones");
        pool.ids = texts(from, "ids");
        if (const Value* cells = from.find("cells")) {
            for (const Value& cell : cells->items) pool.cells.push_back(static_cast<int>(cell.number));
        }
        if (pool.kinds.empty() && pool.zones.empty() && pool.ids.empty() && pool.cells.empty()) {
            throw Wrong{from.at,
                        "the pool '" + pool.name + "' names no workers: give kinds, zones, cells or ids"};
        }
        if (site_) {
            known(from, "kinds", site_->kinds, "kind");
            known(from, "zones", site_->zones, "zone");
        }
        return pool;
    }

    const Pool& pool_of(const Value& move, const char* name, const std::vector<Pool>& pools) {
        const Value& named = *move.find(name);
        const auto at = std::find_if(pools.begin(), pools.end(),
                                     [&](const Pool& pool) { return pool.name == named.text; });
        if (at == pools.end()) throw Wrong{named.at, "there is no pool '" + named.text + "'"};
        return *at;
    }

    void read_route(const Value& from, RoutingSettings& settings) {
        const Value& name = *from.find("name");
        const Value& pool = *from.find("pool");
        const bool is_class =
            site_ && std::any_of(site_->settings.classes.begin(), site_->settings.classes.end(),
                                 [&](const auto& traffic_class) { return traffic_class.name == name.text; });
        if (site_ && !is_class && !is_account(name.text)) {
            throw Wrong{name.at,
                        "a route is an account's, 16 hex digits, or a class's, not '" + name.text + "'"};
        }
        if (std::none_of(settings.pools.begin(), settings.pools.end(),
                         [&](const Pool& one) { return one.name == pool.text; })) {
            throw Wrong{pool.at, "there is no pool '" + pool.text + "'"};
        }
        if (!settings.routes.emplace(name.text, pool.text).second) {
            throw Wrong{name.at, "there is a route of '" + name.text + "' already"};
        }
    }

    std::vector<Stage> read_stages(const Value& from) {
        std::vector<Stage> stages;
        double last = 0;
        for (const Value& one : from.find("stages")->items) {
            Stage stage;
            const Value& share = *one.find("share");
            stage.share = operator_config::share_of(share);
            if (stage.share <= last) throw Wrong{share.at, "the shares of the stages must rise"};
            last = stage.share;
            if (const Value* hold = one.find("hold")) stage.hold = operator_config::time_of(*hold);
            stages.push_back(stage);
        }
        return stages;
    }

    Tolerance read_tolerance(const Value& from) {
        Tolerance tolerance;
        const auto above = [&](const char* name, double& into) {
            if (const Value* value = from.find(name)) into = 1 + operator_config::share_of(*value);
        };
        above("slower", tolerance.slower);
        above("shown", tolerance.shown);
        if (tolerance.shown <= tolerance.slower) {
            const Value* shown = from.find("shown");
            throw Wrong{(shown ? *shown : *from.find("slower")).at, "'shown' must lie above 'slower'"};
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
        known(from, "classes", classes, "class");
        known(from, "plans", plans, "plan");
    }

    RolloutSettings read_move(const Value& from, const std::vector<Pool>& pools) {
        RolloutSettings move;
        move.name = from.find("name")->text;
        const Pool& source = pool_of(from, "source", pools);
        const Pool& target = pool_of(from, "target", pools);
        const operator_config::Position at = from.find("target")->at;
        if (&source == &target) throw Wrong{at, "a move onto itself"};
        if (!apart(source, target)) {
            throw Wrong{at, "the pools '" + source.name + "' and '" + target.name +
                                "' overlap: no list keeps their workers apart"};
        }
        move.source = source.name;
        move.target = target.name;
        move.classes = texts(from, "classes");
        move.plans = texts(from, "plans");
        check_scope(from);
        move.stages = read_stages(from);
        const auto time = [&](const char* name, Duration& into) {
            if (const Value* value = from.find(name)) into = operator_config::time_of(*value);
        };
        time("step", move.step);
        time("lease", move.lease);
        time("deadline", move.deadline);
        if (const Value* run = from.find("run")) move.run = static_cast<int>(run->number);
        move.tolerance = read_tolerance(from);
        if (const Value* headroom = from.find("headroom")) move.headroom = headroom->number;
        const auto is = [&](const char* name, const char* word) {
            const Value* value = from.find(name);
            return value && value->text == word;
        };
        move.by_account = is("by", "account");
        move.undo_at_deadline = !is("at_deadline", "hold");
        move.keep_at_end = !is("at_end", "return");
        move.order = is("order", "pause")   ? Order::kPause
                     : is("order", "abort") ? Order::kAbort
                                            : Order::kRun;
        return move;
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
    } catch (const Wrong& wrong) {
        return Problem{file, wrong.at, wrong.what};
    }
}

}  // namespace linnetlead::traffic
