#include "metering/tenant_terms.h"

#include <algorithm>

namespace linnetlead::metering {

using nlohmann::json;

namespace {

constexpr double kMaxInstantS = 99999999999;  // eleven digits, as the operators' instants have at most

json seconds_of(Timestamp time) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    constexpr std::int64_t kMsPerS = 1000;
    if (ms % kMsPerS == 0) return ms / kMsPerS;
    return static_cast<double>(ms) / static_cast<double>(kMsPerS);
}

// The instant in a field of a term, or `absent` if the term lacks the field.
Result<Timestamp> read_time(const json& term, const char* name, Timestamp absent) {
    const auto at = term.find(name);
    if (at == term.end()) return absent;
    const double seconds = at->is_number() ? at->get<double>() : -1;
    if (seconds >= 0 && seconds <= kMaxInstantS) return time_of_seconds(seconds);
    return fail(ErrorCode::kInvalidArgument,
                std::string("'") + name + "' is not an instant in seconds of Unix time");
}

Result<NamedTerm> decode_term(const json& from) {
    if (!from.is_object() || !from.contains("plan") || !from["plan"].is_string()) {
        return fail(ErrorCode::kInvalidArgument, "a term must be an object with a string 'plan'");
    }
    for (const auto& [name, ignored] : from.items()) {
        if (name != "plan" && name != "since" && name != "until") {
            return fail(ErrorCode::kInvalidArgument, "unknown field '" + name + "' in a term");
        }
    }
    // If both are invalid, the error is about 'until'.
    const auto since = read_time(from, "since", Timestamp{0});
    const auto until = read_time(from, "until", kForever);
    if (!until) return tl::unexpected(until.error());
    if (!since) return tl::unexpected(since.error());
    if (*until <= *since) return fail(ErrorCode::kInvalidArgument, "'until' must be later than 'since'");
    return NamedTerm{from["plan"].get<std::string>(), *since, *until};
}

// As in the operators' document, a term without an end ends where the next one begins, and one with an end
// must not overlap the next.
Status order_terms(std::vector<NamedTerm>& terms) {
    std::sort(terms.begin(), terms.end(),
              [](const NamedTerm& a, const NamedTerm& b) { return a.since < b.since; });
    for (std::size_t i = 0; i + 1 < terms.size(); ++i) {
        const Timestamp next = terms[i + 1].since;
        if (next == terms[i].since || (terms[i].until != kForever && terms[i].until > next)) {
            return fail(ErrorCode::kInvalidArgument, "two terms overlap");
        }
        terms[i].until = std::min(terms[i].until, next);
    }
    return {};
}

}  // namespace

std::string tenant_key(AccountId account) { return std::string(kTenantPrefix) + write_account(account); }

std::optional<AccountId> account_of_key(std::string_view key) {
    if (key.substr(0, kTenantPrefix.size()) != kTenantPrefix) return std::nullopt;
    return read_account(key.substr(kTenantPrefix.size()));
}

std::string encode_tenant_terms(const std::vector<NamedTerm>& terms) {
    json list = json::array();
    for (const NamedTerm& term : terms) {
        json one{{"plan", term.plan}};
        if (term.since > Timestamp{0}) one["since"] = seconds_of(term.since);
        if (term.until != kForever) one["until"] = seconds_of(term.until);
        list.push_back(std::move(one));
    }
    return json{{"terms", std::move(list)}}.dump();
}

Result<std::vector<NamedTerm>> decode_tenant_terms(std::string_view value) {
    const json from = json::parse(value, nullptr, false);
    if (!from.is_object() || from.size() != 1 || !from.contains("terms") || !from["terms"].is_array()) {
        return fail(ErrorCode::kInvalidArgument, "a tenant must be {\"terms\":[...]}");
    }
    const json& list = from["terms"];
    if (list.empty() || list.size() > kMaxTenantTerms) {
        return fail(ErrorCode::kInvalidArgument,
                    "a tenant must have 1 to " + std::to_string(kMaxTenantTerms) + " terms");
    }
    std::vector<NamedTerm> terms;
    for (const json& one : list) {
        auto term = decode_term(one);
        if (!term) return tl::unexpected(term.error());
        terms.push_back(std::move(*term));
    }
    if (const Status ordered = order_terms(terms); !ordered) return tl::unexpected(ordered.error());
    return terms;
}

std::optional<std::string> plan_at(std::string_view value, Timestamp now) {
    auto terms = decode_tenant_terms(value);
    if (!terms) return std::nullopt;
    for (NamedTerm& term : *terms) {
        if (term.since <= now && now < term.until) return std::move(term.plan);
    }
    return std::nullopt;
}

operator_config::Resources tenant_resources(const PlanSchedule& schedule) {
    operator_config::Resources resources;
    const std::vector<Term>& all = schedule.terms;
    for (std::size_t i = 0; i < all.size();) {
        const AccountId account = all[i].account;
        std::vector<NamedTerm> terms;
        for (; i < all.size() && all[i].account == account; ++i) {
            const Term& term = all[i];
            // An end that equals the next term's start is omitted.
            const bool ends =
                i + 1 == all.size() || all[i + 1].account != account || all[i + 1].since != term.until;
            terms.push_back({schedule.plans[static_cast<std::size_t>(term.plan)].name, term.since,
                             ends ? term.until : kForever});
        }
        resources[tenant_key(account)] = encode_tenant_terms(terms);
    }
    return resources;
}

}  // namespace linnetlead::metering
