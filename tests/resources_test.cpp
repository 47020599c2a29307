// Keyed resources: operators' files made into them and back, differences, tenants' terms looked up at the
// call, and routes of single accounts and classes.
#include "config/operator_config/resources.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <map>

#include "metering/plan_accounts.h"
#include "metering/plan_schedule_reader.h"
#include "metering/tenant_terms.h"
#include "testing/socket_peer.h"
#include "traffic/router.h"

namespace linnetlead {
namespace {

using namespace std::chrono_literals;
using namespace metering;
using operator_config::Problem;
using operator_config::Resources;
using operator_config::Value;

const std::string kFile =
    "zebra = pool(\"zebra\", kinds = [\"c2-std\"], zones = [\"dc-2\"], cells = [3, 1])\n"
    "any = pool(\"any\", zones = [\"dc-1\"])\n"
    "small = plan(\"small\", rate = per_second(10.5), burst = 20)\n"
    "plan(\"large\", rate = per_second(40), burst = 80, open = 7)\n"
    "account(\"00000000b4d65521\", plan = small, until = instant(\"2026-12-01T10:00:00Z\"))\n"
    "account(\"00000000b4d65521\", plan = \"large\", since = instant(\"2026-12-01T10:00:00.250Z\"))\n"
    "capacity(per_second(400), plans = percent(60))\n"
    "reserve(\"tender\", account = \"00000000b4d65521\", units = 900, lend = False,\n"
    "        since = instant(\"2026-12-15T10:00:00Z\"), until = instant(\"2026-12-15T10:30:00Z\"))\n"
    "route(\"quote-read\", pool = any)\n"
    "move(\"over\", source = \"zebra\", target = \"any\", stages = [stage(percent(5), hold = seconds(2))])\n";

Value document(const std::string& text) {
    auto made = operator_config::read_document(text, "f");
    if (const auto* problem = std::get_if<Problem>(&made)) throw std::runtime_error(problem->line());
    return std::get<Value>(std::move(made));
}
std::shared_ptr<const PlanSchedule> book_of(const Value& from) {
    auto made = read_plan_schedule(from, "f", nullptr);
    if (const auto* problem = std::get_if<Problem>(&made)) throw std::runtime_error(problem->line());
    return std::get<std::shared_ptr<const PlanSchedule>>(std::move(made));
}

TEST(Resources, AFileGoesToKeysAndBackWithoutLossAndInOrder) {
    const Resources made = operator_config::resources_of(document(kFile));
    std::string keys;
    for (const auto& [key, value] : made) keys += key + ' ';
    EXPECT_EQ(keys,
              "capacity/ move/over plan/large plan/small pool/any pool/zebra reserve/tender "
              "route/quote-read ");
    EXPECT_EQ(made.at("pool/zebra"), R"({"cells":[3,1],"kinds":["c2-std"],"rank":1,"zones":["dc-2"]})");
    EXPECT_EQ(made.at("plan/small"), R"({"burst":20,"rate":{"unit":"rate","value":10.5}})");
    for (const auto& [key, value] : made) {
        EXPECT_EQ(operator_config::check_resource(key, value), "") << key;
        EXPECT_EQ(operator_config::canonical(value), value) << key;
    }
    auto back = operator_config::document_of(made);
    ASSERT_TRUE(std::holds_alternative<Value>(back)) << std::get<Problem>(back).line();
    const Value& again = std::get<Value>(back);
    EXPECT_EQ(operator_config::resources_of(again), made);
    const auto routing = traffic::read_routing(again, "f", nullptr);
    const auto& settings = std::get<traffic::RoutingSettings>(routing);
    ASSERT_EQ(settings.pools.size(), 2u);
    EXPECT_EQ(settings.pools[0].name, "zebra") << "a worker belongs to the first pool of the file";
    EXPECT_EQ(settings.moves[0].stages[0].hold, 2s);
    EXPECT_EQ(settings.routes.at("quote-read"), "any");
    const auto before = book_of(document(kFile)), after = book_of(again);
    EXPECT_EQ(after->balances, before->balances);
    EXPECT_EQ(after->capacity, 400);
    // The order of plans is the keys'; their figures and tags are the same.
    for (const auto& plan : before->plans) {
        const auto at = std::find_if(after->plans.begin(), after->plans.end(),
                                     [&](const auto& one) { return one.name == plan.name; });
        ASSERT_NE(at, after->plans.end());
        EXPECT_EQ(at->tag, plan.tag);
    }
}

TEST(Resources, TermsOfAFileAndOfItsListsAreTenants) {
    const std::string list = test_support::temporary_path("csv");
    std::ofstream(list) << "00000000b4d65522,small\n00000000b4d65523,large,2026-12-01T10:00:00Z\n";
    const auto book = book_of(document(kFile + "accounts(\"" + list + "\")\n"));
    const Resources tenants = tenant_resources(*book);
    ASSERT_EQ(tenants.size(), 3u);
    EXPECT_EQ(tenants.at("tenant/00000000b4d65522"), R"({"terms":[{"plan":"small"}]})");
    EXPECT_EQ(tenants.at("tenant/00000000b4d65521"),
              R"({"terms":[{"plan":"small","until":1796119200},{"plan":"large","since":1796119200.25}]})");
    for (const AccountId account : {0xb4d65521, 0xb4d65522, 0xb4d65523}) {
        for (const char* at : {"2026-11-01T10:00:00Z", "2026-12-01T10:00:00Z", "2026-12-01T10:00:00.250Z"}) {
            const Timestamp now = *read_instant(at);
            const auto plan = book->plan_at(account, now);
            const auto found = plan_at(tenants.at(tenant_key(account)), now);
            EXPECT_EQ(found.has_value(), plan.has_value()) << account << ' ' << at;
            if (!plan || !found) continue;
            EXPECT_EQ(*found, book->plans[static_cast<std::size_t>(*plan)].name);
        }
    }
    unlink(list.c_str());
}

TEST(Resources, WhatIsNoValueOfItsKindIsToldSo) {
    for (const auto& [key, value] : std::map<std::string, std::string>{
             {"plan/a", "{}"},
             {"plan/b", "[1"},
             {"plan/c", R"({"burst":1,"rate":3})"},
             {"plan/d", R"({"burst":1,"name":"d","rate":{"unit":"rate","value":1}})"},
             {"pool/e", R"({"kinds":[]})"},
             {"pool/f", R"({"kinds":["a"],"rank":"first"})"},
             {"route/g", R"({"pool":7})"},
             {"capacity/h", R"({"rate":{"unit":"rate","value":1}})"},
             {"pool/" + std::string(41, 'x'), R"({"kinds":["a"]})"}}) {
        EXPECT_NE(operator_config::check_resource(key, value), "") << key;
    }
    for (const char* value :
         {"", "7", "{}", R"({"terms":[]})", R"({"terms":[{}]})", R"({"terms":[{"plan":"a","until":-1}]})",
          R"({"terms":[{"plan":"a","rate":3}]})", R"({"terms":[{"plan":"a"},{"plan":"b"}]})",
          R"({"terms":[{"plan":"a","since":5,"until":5}]})",
          R"({"terms":[{"plan":"a","until":9},{"plan":"b","since":8}]})",
          R"({"terms":[{"plan":"a"}],"x":1})"}) {
        EXPECT_FALSE(decode_tenant_terms(value)) << value;
        EXPECT_EQ(plan_at(value, 1s), std::nullopt) << value;
    }
    EXPECT_EQ(account_of_key("tenant/0000000200000000"), std::nullopt);
    EXPECT_EQ(account_of_key("plan/0000000000000001"), std::nullopt);
    EXPECT_EQ(account_of_key("tenant/0000000000000001"), 1u);
}

RC_GTEST_PROP(Resources, ADifferenceMakesTheOneOfTheOtherAndNothingElse, ()) {
    const auto drawn = [] {
        Resources made;
        const auto text = [](std::initializer_list<std::string> of) {
            return *rc::gen::elementOf(std::vector<std::string>(of));
        };
        for (int i = *rc::gen::inRange(0, 6); i > 0; --i) {
            made[text({"pool/a", "pool/b", "plan/a", "plan/b", "tenant/1"})] = text({"1", "2", "3"});
        }
        return made;
    };
    const Resources before = drawn(), after = drawn();
    Resources made = before;
    for (const auto& edit : operator_config::difference(before, after)) {
        const auto was = made.find(edit.key);
        const bool changes = edit.value ? was == made.end() || was->second != *edit.value : was != made.end();
        RC_ASSERT(changes);
        edit.value ? static_cast<void>(made[edit.key] = *edit.value)
                   : static_cast<void>(made.erase(edit.key));
    }
    RC_ASSERT(made == after);
}

// ---- Terms looked up at the call ------------------------------------------------------------------------

struct Looked final : TermSource {
    std::map<AccountId, Lookup> all;
    mutable int looks = 0;
    Lookup lookup(AccountId account, Timestamp) const override {
        ++looks;
        const auto at = all.find(account);
        return at == all.end() ? Lookup{} : at->second;
    }
};

struct Desk {
    Desk() : accounts(site(), 1h, {}, 0, {}) {
        const auto added =
            accounts.apply_schedule(book_of(document(kFile.substr(0, kFile.find("account(")))));
        EXPECT_TRUE(added);
        EXPECT_EQ(added->size(), 2u);
        names = {"basico", "prueba", (*added)[0].name, (*added)[1].name};
        accounts.use_term_source(&terms);
    }
    static policy::Settings site() {
        policy::Settings made;
        made.plans.resize(2);
        made.plans[0].name = "basico";  // no quota
        made.plans[1].name = "prueba";
        made.plans[1].rate = 5;
        return made;
    }
    std::string plan_of(AccountId account, int named = 0) {
        policy::Request request;
        request.plan = named;
        char hex[17];
        std::snprintf(hex, sizeof(hex), "%016llx", static_cast<unsigned long long>(account));
        request.tenant = hex;
        accounts.taken(1s, {0, 1}, request);
        return names[static_cast<std::size_t>(request.plan)];
    }
    Looked terms;
    PlanAccounts accounts;
    std::vector<std::string> names;
};

TEST(TermSource, AnAccountIsUnderThePlanThatIsFoundAtItsCall) {
    Desk desk;
    desk.terms.all = {
        {1, {"large", {}, false, false}}, {2, {"prueba", {}, false, false}}, {3, {"gone", {}, false, false}}};
    EXPECT_EQ(desk.plan_of(1), "large");
    EXPECT_EQ(desk.plan_of(2), "prueba") << "the platform's, by name";
    EXPECT_EQ(desk.plan_of(3, 1), "prueba") << "of a plan that is not there, what the call names";
    EXPECT_EQ(desk.plan_of(4), "basico") << "nothing is known of it";
    EXPECT_EQ(desk.terms.looks, 4) << "one look a call";
    desk.terms.all[4] = {"small", {}, false, false};
    EXPECT_EQ(desk.plan_of(4), "small");
}

TEST(TermSource, FencedAnAccountHasTheLesserOfWhatHoldsAndOfWhatMayCome) {
    Desk desk;
    desk.terms.all = {{1, {"large", "small", false, true}},
                      {2, {"small", "large", false, true}},
                      {3, {"large", {}, false, true}},
                      {4, {{}, "small", false, true}},
                      {5, {"large", "small", false, false}}};
    EXPECT_EQ(desk.plan_of(1), "small");
    EXPECT_EQ(desk.plan_of(2), "small");
    EXPECT_EQ(desk.plan_of(3), "large") << "its terms may be taken away, and its calls name no quota";
    EXPECT_EQ(desk.plan_of(3, 1), "prueba") << "the same, and they name a lesser one";
    EXPECT_EQ(desk.plan_of(4), "small");
    EXPECT_EQ(desk.plan_of(5), "large") << "not fenced";
    auto next = std::make_shared<PlanSchedule>();
    next->plans.resize(1);
    next->plans[0].name = "large";
    next->plans[0].rate = 2;
    const auto added = desk.accounts.restrict(true, next);
    ASSERT_TRUE(added);
    ASSERT_EQ(added->size(), 1u);
    desk.names.push_back("large, as it may come to be");
    desk.terms.all[5].next = "large";
    EXPECT_EQ(desk.plan_of(5), "large, as it may come to be");
    ASSERT_TRUE(desk.accounts.restrict(false, nullptr));
    EXPECT_EQ(desk.plan_of(5), "large");
}

TEST(TermSource, WhoseTermsCannotBeReadHasTheLeastPlanThereIs) {
    Desk desk;
    desk.terms.all = {{1, {"large", {}, true, false}}};
    EXPECT_EQ(desk.plan_of(1), "prueba");
}

// ---- Pools ----------------------------------------------------------------------------------------------

TEST(PoolSet, OfANewFileAreToldOnlyOfEndpointsWhosePoolItChanges) {
    const auto settings = [](const std::string& text) {
        const Value from = document(text);
        return std::get<traffic::RoutingSettings>(traffic::read_routing(from, "f", nullptr));
    };
    std::map<std::string, policy::PoolSet> told, held;
    int times = 0;
    traffic::Router::Outside outside;
    outside.marked = [&](const std::vector<policy::EndpointInfo>& entries) {
        ++times;
        for (const auto& one : entries) told[one.id] = held[one.id] = one.pools;
    };
    policy::Settings site;
    site.classes.resize(1);
    site.plans.resize(1);
    traffic::Router router(site, 1, outside);
    const std::string both = "pool(\"a\", ids = [\"w0\"])\npool(\"b\", ids = [\"w1\"])\n";
    router.configure(0s, settings(both));
    std::vector<policy::EndpointInfo> list(4);
    for (std::size_t i = 0; i < list.size(); ++i) list[i].id = "w" + std::to_string(i);
    router.listed(0s, policy::EndpointListKind::kComplete, list);
    for (const auto& one : list) held[one.id] = one.pools;
    const auto configure = [&](const std::string& text) {
        told.clear();
        times = 0;
        router.configure(0s, settings(text));
    };
    configure(both);
    EXPECT_EQ(times, 0) << "as before";
    configure(both + "route(\"00000000b4d65521\", pool = \"a\")\n");
    EXPECT_EQ(times, 0) << "a route changes no pool";
    configure("pool(\"a\", ids = [\"w0\", \"w2\"])\npool(\"b\", ids = [\"w1\"])\n");
    EXPECT_EQ(times, 1);
    ASSERT_EQ(told.size(), 1u);
    EXPECT_EQ(told.begin()->first, "w2");
    EXPECT_EQ(held["w2"], held["w0"]);
    // A pool's number is its place in the file.
    configure("pool(\"b\", ids = [\"w1\"])\npool(\"a\", ids = [\"w0\", \"w2\"])\n");
    EXPECT_EQ(told.size(), 3u);
    // What is set aside is told when it comes back, by the file that holds then.
    router.set_aside({"w1"});
    configure("pool(\"a\", ids = [\"w0\", \"w1\", \"w2\"])\n");
    EXPECT_EQ(told.count("w1"), 0u);
    router.set_aside({});
    EXPECT_EQ(held["w1"], held["w0"]);
    EXPECT_EQ(held["w2"], held["w0"]);
    EXPECT_EQ(router.pool_of("w1"), "a");
}

// ---- Routes ---------------------------------------------------------------------------------------------

struct Routed {
    Routed() : router(site(), 1, {}) {
        std::vector<policy::EndpointInfo> list(2);
        list[0].id = "s";
        list[0].kind = "c2-std";
        list[0].zone = "dc-2";
        list[0].cell = 1;
        list[1].id = "f";
        list[1].zone = "dc-1";
        router.configure(0s, settings(kFile.substr(0, kFile.find("move("))));
        router.listed(0s, policy::EndpointListKind::kComplete, list);
        pools = {{list[0].pools, "zebra"}, {list[1].pools, "any"}, {policy::kAllPools, "all"}};
    }
    static traffic::RoutingSettings settings(const std::string& text) {
        const Value from = document(text);
        auto made = traffic::read_routing(from, "f", nullptr);
        return std::get<traffic::RoutingSettings>(std::move(made));
    }
    static policy::Settings site() {
        policy::Settings made;
        made.classes.resize(2);
        made.classes[0].name = "quote-read";
        made.classes[1].name = "slot-hold";
        made.plans.resize(1);
        return made;
    }
    std::string first(const std::string& account, int traffic_class) {
        policy::Request request;
        request.tenant = account;
        request.traffic_class = traffic_class;
        router.route(0s, request);
        fallback = request.fallback;
        return pools.count(request.pools) ? pools[request.pools] : "several";
    }
    traffic::Router router;
    std::map<policy::PoolSet, std::string> pools;
    policy::PoolSet fallback = 0;
};

TEST(RoutingPort, AnAccountsCallsGoFirstToItsPoolElseToItsClasss) {
    Routed routed;
    EXPECT_EQ(routed.first("0000000000000001", 0), "any") << "the class's, of the file";
    EXPECT_EQ(routed.fallback, policy::kAllPools);
    EXPECT_EQ(routed.first("0000000000000001", 1), "all");
    routed.router.look_up_in([](std::string_view name) -> std::optional<std::string> {
        if (name == "0000000000000001") return "zebra";
        if (name == "0000000000000002") return "no such pool";
        return std::nullopt;
    });
    EXPECT_EQ(routed.first("0000000000000001", 0), "zebra");
    EXPECT_EQ(routed.first("0000000000000002", 0), "all");
    EXPECT_EQ(routed.first("0000000000000003", 0), "any");
    routed.router.fence(true);
    EXPECT_EQ(routed.first("0000000000000001", 0), "all") << "fenced, nothing follows from routes";
    routed.router.fence(false);
    // A move's new pool gets what the move gives it.
    routed.router.configure(0s, Routed::settings(kFile));
    EXPECT_EQ(routed.first("0000000000000003", 0), "zebra") << "routed to the new pool, but for the move";
    EXPECT_EQ(routed.first("0000000000000001", 0), "zebra");
}

// Guards against requests of plans that stand behind the platform's, whether they take part in a rollout
// being read past the end of a table, and so chance.
TEST(RoutingPort, ARolloutIsForThePlansThatItNamesWhicheverScheduleBroughtThem) {
    const auto plan = [](const std::string& name) {
        policy::RatePlanSettings made;
        made.name = name;
        return made;
    };
    policy::Settings site = Routed::site();
    site.plans = {plan("platform")};
    traffic::RoutingSettings routing;
    routing.pools = {{"old", {"std"}, {}, {}, {}}, {"new", {"fast"}, {}, {}, {}}};
    traffic::RolloutSettings rollout;
    rollout.name = "tender";
    rollout.source = "old";
    rollout.target = "new";
    rollout.stages.push_back({0.5, 8s});
    const auto takes_part = [](traffic::Router& router, int plan_number) {
        policy::Request request;
        request.plan = plan_number;
        constexpr std::uint32_t kMeantBits = 3;
        return (router.route(0s, request) & kMeantBits) != 0;
    };
    traffic::Router all(site, 1, {});
    routing.moves = {rollout};
    all.plans_added({plan("before")});
    all.configure(0s, routing);
    all.plans_added(std::vector<policy::RatePlanSettings>(100, plan("after")));
    for (int number = 0; number < 102; ++number) EXPECT_TRUE(takes_part(all, number)) << number;

    traffic::Router some(site, 1, {});
    rollout.plans = {"before", "after"};
    routing.moves = {rollout};
    some.plans_added({plan("before"), plan("other")});
    some.configure(0s, routing);
    some.plans_added({plan("after"), plan("other")});
    some.plans_added({plan("before")});  // under other terms, while the rollout runs
    EXPECT_FALSE(takes_part(some, 0));
    EXPECT_TRUE(takes_part(some, 1));
    EXPECT_FALSE(takes_part(some, 2));
    EXPECT_TRUE(takes_part(some, 3));
    EXPECT_FALSE(takes_part(some, 4));
    EXPECT_TRUE(takes_part(some, 5));
}

// Guards against a rollout for plans of the operators' own schedule being refused, or one for a plan that is
// nowhere being taken.
TEST(RoutingPort, ARolloutNamesPlansOfThePlatformOrOfTheSchedule) {
    config::Site site;
    site.settings = Routed::site();
    site.settings.plans.resize(1);
    site.settings.plans[0].name = "platform";
    const auto problem = [&](const std::string& plans, const std::string& schedule) {
        const std::string text = schedule +
                                 "pool(\"a\", ids = [\"x\"])\npool(\"b\", ids = [\"y\"])\n"
                                 "move(\"m\", source = \"a\", target = \"b\", stages = [stage(percent(5))],\n"
                                 "     plans = [" +
                                 plans + "])\n";
        const auto made = traffic::read_routing(document(text), "f", &site);
        const auto* wrong = std::get_if<Problem>(&made);
        return wrong ? wrong->line() : "";
    };
    const std::string tender = "plan(\"tender\", rate = per_second(5), burst = 10)\n";
    EXPECT_EQ(problem("\"platform\", \"tender\"", tender), "");
    EXPECT_EQ(problem("\"tender\"", ""), "f:4:15: there is no plan 'tender'");
}

TEST(RoutingPort, MistakesAreToldAtTheirPlace) {
    config::Site site;
    site.settings = Routed::site();
    const auto problem = [&](const std::string& text) {
        const auto made = traffic::read_routing(document(text), "f", &site);
        const auto* wrong = std::get_if<Problem>(&made);
        return wrong ? wrong->line() : "";
    };
    const std::string pool = "pool(\"a\", ids = [\"x\"])\n";
    EXPECT_EQ(problem(pool + "route(\"quote-read\", pool = \"b\")\n"), "f:2:28: there is no pool 'b'");
    EXPECT_EQ(problem(pool + "route(\"quotes\", pool = \"a\")\n"),
              "f:2:7: a route is an account's, 16 hex digits, or a class's, not 'quotes'");
    EXPECT_EQ(problem(pool + "route(\"slot-hold\", pool = \"a\")\nroute(\"slot-hold\", pool = \"a\")\n"),
              "f:3:7: there is a route of 'slot-hold' already");
    EXPECT_EQ(problem(pool + "route(\"00000000b4d65521\", pool = \"a\")\n"), "");
}

}  // namespace
}  // namespace linnetlead
