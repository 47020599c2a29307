#include "metering/plan_schedule_reader.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <tuple>
#include <utility>
#include <vector>

#include "metering/committed_capacity.h"

namespace linnetlead::metering {

using operator_config::Position;
using operator_config::Problem;
using operator_config::Value;

namespace {

// Thrown and caught within this file; ends the reading from any call depth.
struct InvalidDocument {
    Problem problem;
};

InvalidDocument invalid(const std::string& file, Position at, const std::string& what) {
    return {{file, at, what}};
}

// Gateways share a plan's token bucket under its tag: equal plans have the same tag at every gateway,
// whatever the order of its document. The hash is FNV-1a; the tag is on the wire.
std::string tag_of(const policy::RatePlanSettings& plan) {
    char text[256];
    std::snprintf(text, sizeof(text), "%.9g,%.9g,%d,%.9g,%.9g,%.9g,", plan.rate, plan.burst,
                  plan.max_concurrent, plan.price, plan.over_quota_weight, plan.over_quota_cost);
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char c : text + plan.name) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    std::snprintf(text, sizeof(text), "p%08llx", static_cast<unsigned long long>(hash >> 32));
    return text;
}

double seconds(Duration span) { return std::chrono::duration<double>(span).count(); }

Timestamp instant_of(const Value& instant) { return time_of_seconds(instant.find("value")->number); }

// A comma-separated field of a line of a list of accounts.
struct Field {
    std::size_t column = 0;  // from 0
    std::string text;
};

std::vector<Field> split_fields(const std::string& line) {
    std::vector<Field> fields;
    for (std::size_t begin = 0; begin <= line.size();) {
        const std::size_t end = std::min(line.find(',', begin), line.size());
        fields.push_back({begin, line.substr(begin, end - begin)});
        begin = end + 1;
    }
    return fields;
}

class ScheduleReader {
public:
    ScheduleReader(const Value& document, std::string file, const config::Site* site)
        : document_(document), file_(std::move(file)) {
        if (site) platform_ = site->settings.plans;
        may_use_counter_ = !site || site->settings.may_use_counter;
    }

    std::shared_ptr<const PlanSchedule> read() {
        if (const Value* plans = document_.find("plans")) {
            for (const Value& plan : plans->items) read_plan(plan);
        }
        if (const Value* accounts = document_.find("accounts")) {
            for (const Value& account : accounts->items) read_term(account);
        }
        if (const Value* lists = document_.find("account_lists")) {
            for (const Value& list : lists->items) read_list(list);
        }
        finish_terms();
        if (const Value* reserves = document_.find("reserves")) {
            for (const Value& reserve : reserves->items) read_balance(reserve);
            check_capacity(*reserves);
        }
        return std::move(schedule_);
    }

private:
    static constexpr std::size_t kMaxLineBytes = 256;

    struct Origin {              // of a term
        std::uint32_t file = 0;  // 0: the document; else the list's number from 1
        std::uint32_t line = 0;
        std::uint32_t column = 0;
    };

    void read_plan(const Value& from) {
        policy::RatePlanSettings plan;
        plan.name = from.find("name")->text;
        if (find_plan(plan.name))
            throw invalid(file_, from.at, "there is a plan '" + plan.name + "' already");
        plan.rate = from.find("rate")->find("value")->number;
        plan.burst = from.find("burst")->number;
        const auto number = [&](const char* name, double& into) {
            if (const Value* value = from.find(name)) into = value->number;
        };
        number("price", plan.price);
        number("over_worth", plan.over_quota_weight);
        number("over_cost", plan.over_quota_cost);
        if (const Value* open = from.find("open")) plan.max_concurrent = static_cast<int>(open->number);
        plan.tag = tag_of(plan);
        schedule_->plans.push_back(plan);
    }

    // Adds a platform plan to the schedule when it is first named.
    std::optional<std::int32_t> find_plan(const std::string& name) {
        for (std::size_t i = 0; i < schedule_->plans.size(); ++i) {
            if (schedule_->plans[i].name == name) return static_cast<std::int32_t>(i);
        }
        for (const auto& plan : platform_) {
            if (plan.name != name) continue;
            schedule_->plans.push_back(plan);
            return static_cast<std::int32_t>(schedule_->plans.size() - 1);
        }
        return std::nullopt;
    }

    void read_term(const Value& from) {
        const Value& id = *from.find("id");
        const auto account = read_account(id.text);
        if (!account)
            throw invalid(file_, id.at, "an account is 16 hex digits below 2^33, not '" + id.text + "'");
        const Value& name = *from.find("plan");
        const auto plan = find_plan(name.text);
        if (!plan) throw invalid(file_, name.at, "there is no plan '" + name.text + "'");
        Term term{*account, *plan, Timestamp{0}, kForever};
        if (const Value* since = from.find("since")) term.since = instant_of(*since);
        if (const Value* until = from.find("until")) {
            term.until = instant_of(*until);
            if (term.until <= term.since)
                throw invalid(file_, until->at, "'until' must be later than 'since'");
        }
        add(term, {0, static_cast<std::uint32_t>(from.at.line), static_cast<std::uint32_t>(from.at.column)});
    }

    void read_balance(const Value& from) {
        PrepaidBalance one;
        one.id = from.find("id")->text;
        for (const PrepaidBalance& other : schedule_->balances) {
            if (other.id == one.id)
                throw invalid(file_, from.at, "there is a reserve '" + one.id + "' already");
        }
        const Value& id = *from.find("account");
        const auto account = read_account(id.text);
        if (!account)
            throw invalid(file_, id.at, "an account is 16 hex digits below 2^33, not '" + id.text + "'");
        one.account = *account;
        one.units = std::floor(from.find("units")->number);
        one.since = instant_of(*from.find("since"));
        one.until = instant_of(*from.find("until"));
        if (one.until <= one.since)
            throw invalid(file_, from.find("until")->at, "'until' must be later than 'since'");
        if (const Value* pace = from.find("pace")) one.max_rate = pace->find("value")->number;
        if (const Value* open = from.find("open")) one.max_concurrent = static_cast<int>(open->number);
        if (const Value* lend = from.find("lend")) one.lend = lend->truth;
        if (one.max_rate > 0 && one.max_rate * seconds(one.until - one.since) < one.units) {
            throw invalid(file_, from.find("pace")->at,
                          "at this pace the units cannot be used up before 'until'");
        }
        schedule_->balances.push_back(one);
    }

    // The schedule's accounts commit their plans' rates, or the share of them that the capacity declares;
    // balances are added to that.
    void check_capacity(const Value& reserves) {
        const Value* stated = document_.find("capacities");
        if (!stated || stated->items.empty()) {
            throw invalid(
                file_, reserves.items.front().at,
                "a reserve requires the fleet's capacity to be stated, as in capacity(per_second(400))");
        }
        if (!may_use_counter_) {
            throw invalid(file_, reserves.items.front().at,
                          "reserves require the counter service, which the platform's settings forbid here");
        }
        const Value& capacity = stated->items.front();
        schedule_->capacity = capacity.find("rate")->find("value")->number;
        const Value* part = capacity.find("plans");
        const double share = part ? part->find("value")->number : 1;
        std::vector<Commitment> standing, wanted;
        for (const Term& term : schedule_->terms) {
            const double rate = schedule_->plans[static_cast<std::size_t>(term.plan)].rate * share;
            if (rate > 0) standing.push_back({rate, term.since, term.until});
        }
        for (const PrepaidBalance& one : schedule_->balances)
            wanted.push_back({one.rate(), one.since, one.until});
        const auto found = find_overcommitment(schedule_->capacity, standing, wanted);
        if (!found) return;
        char text[160];
        std::snprintf(text, sizeof(text), "%.6g units/s would be committed at %s, over the capacity of %.6g",
                      found->rate, write_instant(found->at).c_str(), schedule_->capacity);
        throw invalid(file_, reserves.items[found->index].at, text);
    }

    // Lines of ACCOUNT,PLAN[,SINCE[,UNTIL]]; '#' begins a comment.
    void read_list(const Value& from) {
        std::string path = from.find("file")->text;
        if (path.front() != '/') path = file_.substr(0, file_.rfind('/') + 1) + path;
        std::ifstream list(path, std::ios::binary);
        if (!list) throw invalid(file_, from.at, "the file '" + path + "' cannot be read");
        lists_.push_back(path);
        std::string line;
        for (std::uint32_t number = 1; std::getline(list, line); ++number) {
            if (line.size() > kMaxLineBytes) throw invalid(path, {number, 1}, "the line is too long");
            if (!line.empty() && line.back() == '\r') line.pop_back();
            if (line.empty() || line.front() == '#') continue;
            read_list_line(line, {static_cast<std::uint32_t>(lists_.size()), number, 1});
        }
        // Otherwise the accounts after a failed read would have no plan.
        if (list.bad()) throw invalid(file_, from.at, "the file '" + path + "' cannot be read to its end");
    }

    void read_list_line(const std::string& line, const Origin& origin) {
        constexpr std::size_t kMinFields = 2, kMaxFields = 4;
        const auto invalid_line = [&](std::size_t column, const std::string& what) {
            return invalid(lists_.back(), {origin.line, column + 1}, what);
        };
        const std::vector<Field> fields = split_fields(line);
        if (fields.size() < kMinFields || fields.size() > kMaxFields) {
            throw invalid_line(0, "a line is ACCOUNT,PLAN[,SINCE[,UNTIL]]");
        }
        const auto account = read_account(fields[0].text);
        if (!account) throw invalid_line(0, "an account is 16 hex digits below 2^33");
        const auto plan = find_plan(fields[1].text);
        if (!plan) throw invalid_line(fields[1].column, "there is no plan '" + fields[1].text + "'");
        Term term{*account, *plan, Timestamp{0}, kForever};
        for (std::size_t i = 2; i < fields.size(); ++i) {
            if (i == 2 && fields[i].text.empty()) continue;
            const auto instant = read_instant(fields[i].text);
            if (!instant) throw invalid_line(fields[i].column, "an instant is written 2026-12-01T10:00:00Z");
            (i == 2 ? term.since : term.until) = *instant;
        }
        if (term.until <= term.since)
            throw invalid_line(fields.back().column, "the end must be later than the start");
        add(term, origin);
    }

    void add(const Term& term, Origin origin) {
        if (terms_.size() >= kMaxTerms) throw invalid(file_, {origin.line, 1}, "too many accounts");
        terms_.emplace_back(term, origin);
    }

    // Sorts the terms and ends each where the account's next one begins, or before.
    void finish_terms() {
        std::sort(terms_.begin(), terms_.end(), [](const auto& a, const auto& b) {
            return std::tie(a.first.account, a.first.since, a.second.file, a.second.line) <
                   std::tie(b.first.account, b.first.since, b.second.file, b.second.line);
        });
        schedule_->terms.reserve(terms_.size());
        for (std::size_t i = 0; i < terms_.size(); ++i) {
            Term term = terms_[i].first;
            if (i + 1 < terms_.size() && terms_[i + 1].first.account == term.account) {
                end_at_next(term, terms_[i + 1].first, terms_[i + 1].second);
            }
            schedule_->terms.push_back(term);
        }
        if (schedule_->plans.size() > kMaxPlans) throw invalid(file_, {}, "too many plans");
    }

    // A term without an end ends where the next one begins; one with an end must not overlap the next.
    void end_at_next(Term& term, const Term& next, const Origin& origin_of_next) const {
        const bool overlaps = next.since == term.since || (term.until != kForever && term.until > next.since);
        if (overlaps) {
            throw invalid(origin_of_next.file == 0 ? file_ : lists_[origin_of_next.file - 1],
                          {origin_of_next.line, origin_of_next.column},
                          "the account " + write_account(term.account) + " has another plan at that instant");
        }
        if (term.until == kForever) term.until = next.since;
    }

    const Value& document_;
    std::string file_;
    std::vector<policy::RatePlanSettings> platform_;
    bool may_use_counter_ = true;
    std::shared_ptr<PlanSchedule> schedule_ = std::make_shared<PlanSchedule>();
    std::vector<std::string> lists_;
    std::vector<std::pair<Term, Origin>> terms_;
};

}  // namespace

std::variant<std::shared_ptr<const PlanSchedule>, Problem> read_plan_schedule(const Value& document,
                                                                              const std::string& file,
                                                                              const config::Site* site) {
    try {
        return ScheduleReader(document, file, site).read();
    } catch (const InvalidDocument& invalid_document) {
        return invalid_document.problem;
    }
}

}  // namespace linnetlead::metering
