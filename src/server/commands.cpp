#include "server/commands.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <optional>
#include <stdexcept>

#include "metering/ledger_store.h"
#include "server/config.h"
#include "server/operator_service.h"

namespace linnetlead::server {

namespace {

using metering::LedgerStore;
using metering::PlanSchedule;

std::optional<Config> config_of(const std::string& path) {
    return path.empty() ? std::nullopt : std::optional(load_file(path));
}

proxy::Timestamp instant_of(const std::string& text) {
    if (text.empty()) return std::chrono::system_clock::now().time_since_epoch();
    const auto instant = metering::read_instant(text);
    if (!instant) throw std::runtime_error("an instant is written 2026-12-01T10:00:00Z, not '" + text + "'");
    return *instant;
}

std::string hex_of(metering::AccountId account) {
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(account));
    return text;
}

std::string figures_of(const policy::RatePlanSettings& plan) {
    char text[160];
    std::snprintf(text, sizeof(text), "%g units/s, burst %g, %d open, price %g, over %g/%g", plan.rate,
                  plan.burst, plan.max_concurrent, plan.price, plan.over_quota_weight, plan.over_quota_cost);
    return text;
}

std::string figures_of(const metering::PrepaidBalance& one) {
    char text[200];
    std::snprintf(text, sizeof(text), "%s %g units from %s until %s, %.6g units/s of the capacity%s%s",
                  hex_of(one.account).c_str(), one.units, metering::write_instant(one.since).c_str(),
                  metering::write_instant(one.until).c_str(), one.rate(),
                  one.max_concurrent > 0 ? (", " + std::to_string(one.max_concurrent) + " open").c_str() : "",
                  one.lend && one.max_rate > 0 ? ", lends" : "");
    return text;
}

// Each account's plan in force, by name.
std::map<metering::AccountId, std::string> in_force(const PlanSchedule& book, proxy::Timestamp at) {
    std::map<metering::AccountId, std::string> made;
    for (const metering::Term& term : book.terms) {
        if (term.since <= at && at < term.until) {
            made[term.account] = book.plans[static_cast<std::size_t>(term.plan)].name;
        } else {
            made.try_emplace(term.account, "");
        }
    }
    return made;
}

std::unique_ptr<LedgerStore> open_ledger(const std::string& path) {
    auto store = LedgerStore::open_to_read(path);
    if (!store) throw std::runtime_error(store.error().message);
    return std::move(*store);
}

}  // namespace

int check_operators(const std::string& path, const std::string& config_path) {
    const auto config = config_of(config_path);
    const OperatorSettings settings = read_operators(path, config ? &config->site : nullptr);
    std::printf("%s: good: %zu pools, %zu moves, %zu plans, %zu terms of accounts, %zu reserves%s\n",
                path.c_str(), settings.routing.pools.size(), settings.routing.moves.size(),
                settings.book->plans.size(), settings.book->terms.size(), settings.book->balances.size(),
                config ? "" : "; names not checked: no configuration given");
    if (settings.agreement.wanted) {
        std::printf("%s: version %llu for the tier to agree on; health %s, forms %s, %zu schemas\n",
                    path.c_str(), static_cast<unsigned long long>(settings.agreement.version),
                    settings.agreement.with_health ? "on" : "off",
                    settings.agreement.with_statements ? "on" : "off", settings.agreement.schemas.size());
    }
    const FleetSettings& fleet = settings.fleet;
    if (!fleet.relays.empty()) {
        const auto votes = std::count_if(fleet.relays.begin(), fleet.relays.end(),
                                         [](const auto& one) { return one.votes; });
        std::printf("%s: %zu relays, %lld of them vote\n", path.c_str(), fleet.relays.size(),
                    static_cast<long long>(votes));
    }
    if (fleet.wanted) {
        std::printf("%s: distributed: no two gateways contradict each other for longer than %lld ms\n",
                    path.c_str(),
                    static_cast<long long>((fleet.lease + fleet.skew) / std::chrono::milliseconds(1)));
    }
    return 0;
}

int show_plans(const std::string& path, const std::string& config_path, const std::string& at,
               const std::string& account) {
    const auto config = config_of(config_path);
    const auto book = read_operators(path, config ? &config->site : nullptr).book;
    const proxy::Timestamp now = instant_of(at);
    if (!account.empty()) {
        const auto id = metering::read_account(account);
        if (!id) throw std::runtime_error("an account is 16 hex digits below 2^33, not '" + account + "'");
        for (const metering::Term& term : book->terms) {
            if (term.account != *id) continue;
            std::printf(
                "%s %s from %s until %s%s\n", account.c_str(),
                book->plans[static_cast<std::size_t>(term.plan)].name.c_str(),
                term.since > proxy::Timestamp{0} ? metering::write_instant(term.since).c_str() : "ever",
                term.until < metering::kForever ? metering::write_instant(term.until).c_str()
                                                : "further notice",
                term.since <= now && now < term.until ? "  <- in force" : "");
        }
        return 0;
    }
    for (const auto& plan : book->plans)
        std::printf("plan %s: %s\n", plan.name.c_str(), figures_of(plan).c_str());
    for (const metering::PrepaidBalance& one : book->balances) {
        std::printf("reserve %s: %s\n", one.id.c_str(), figures_of(one).c_str());
    }
    if (book->capacity > 0) std::printf("capacity: %g units/s\n", book->capacity);
    for (const auto& [id, name] : in_force(*book, now)) {
        std::printf("%s %s\n", hex_of(id).c_str(), name.empty() ? "(as its calls say)" : name.c_str());
    }
    return 0;
}

int diff_plans(const std::string& old_path, const std::string& new_path, const std::string& config_path,
               const std::string& at) {
    const auto config = config_of(config_path);
    const config::Site* site = config ? &config->site : nullptr;
    const auto before = read_operators(old_path, site).book, after = read_operators(new_path, site).book;
    const proxy::Timestamp now = instant_of(at);
    const auto figures = [](const PlanSchedule& book) {
        std::map<std::string, std::string> made;
        for (const auto& plan : book.plans) made["plan " + plan.name] = figures_of(plan);
        for (const metering::PrepaidBalance& one : book.balances) made["reserve " + one.id] = figures_of(one);
        return made;
    };
    bool differ = false;
    const auto compare = [&](const auto& was, const auto& is, const auto& name) {
        auto all = was;
        all.insert(is.begin(), is.end());
        for (const auto& [key, ignored] : all) {
            const auto old_one = was.find(key), new_one = is.find(key);
            const std::string from = old_one == was.end() ? "" : old_one->second;
            const std::string to = new_one == is.end() ? "" : new_one->second;
            if (from == to) continue;
            differ = true;
            std::printf("%s: %s -> %s\n", name(key).c_str(), from.empty() ? "none" : from.c_str(),
                        to.empty() ? "none" : to.c_str());
        }
    };
    compare(figures(*before), figures(*after), [](const std::string& name) { return name; });
    compare(in_force(*before, now), in_force(*after, now), hex_of);
    std::printf(differ ? "" : "no difference at %s\n", metering::write_instant(now).c_str());
    return 0;
}

int show_usage(const std::string& path, bool as_json) {
    const auto store = open_ledger(path);
    for (const LedgerStore::Row& row : store->rows()) {
        const double units = metering::units_of(row.usage.estimated + row.usage.corrected);
        const double exported = metering::units_of(row.exported.estimated + row.exported.corrected);
        const std::string account =
            row.account == metering::UsageLedger::kNoAccount ? "(given up)" : hex_of(row.account);
        const metering::RowName name = metering::decode_row_name(row.name);
        if (as_json) {
            nlohmann::json line{{"account", account},
                                {"plan", name.plan},
                                {"period", metering::write_instant(row.period)},
                                {"tries", row.usage.requests},
                                {"units", units},
                                {"exported_units", exported}};
            if (!name.balance.empty()) line[name.lent ? "lent_by" : "reserve"] = name.balance;
            std::printf("%s\n", line.dump().c_str());
        } else {
            const std::string from =
                name.balance.empty() ? name.plan
                                     : name.plan + (name.lent ? ", lent by " : ", reserve ") + name.balance;
            std::printf("%s %-16s %s %10lld tries %14.3f units, %14.3f exported\n", account.c_str(),
                        from.c_str(), metering::write_instant(row.period).c_str(),
                        static_cast<long long>(row.usage.requests), units, exported);
        }
    }
    if (!as_json) {
        std::printf("at most %.3f units were sent on before a crash and are not counted\n",
                    metering::units_of(store->uncertain()));
    }
    return 0;
}

int export_usage(const std::string& path, const std::string& folder) {
    const auto store = open_ledger(path);
    const auto numbers = store->batch_numbers();
    for (const std::int64_t number : numbers) {
        const auto batch = store->batch(number);
        if (!batch || !write_batch(folder, store->ledger_id(), *batch)) {
            throw std::runtime_error("a batch cannot be written to " + folder);
        }
    }
    std::printf("%zu batches written to %s\n", numbers.size(), folder.c_str());
    return 0;
}

int verify_usage(const std::string& path) {
    const auto store = open_ledger(path);
    const auto wrong = store->verify();
    for (const std::string& line : wrong) std::printf("%s\n", line.c_str());
    if (wrong.empty()) std::printf("%s: good: %zu rows\n", path.c_str(), store->rows().size());
    return wrong.empty() ? 0 : 1;
}

}  // namespace linnetlead::server
