#include "testing/registry_workload.h"

#include <algorithm>

namespace linnetlead::test_support {

using namespace std::chrono_literals;
using discovery::Response;
using policy::EndpointState;

KvRunResult run_kv(const KvRunSettings& settings) {
    std::mt19937_64 random(settings.seed);
    const auto chance = [&](double per_s) {
        return std::uniform_real_distribution<double>(0, 1)(random) < per_s * 0.01;
    };
    KvStore store, replica;
    std::deque<std::pair<Timestamp, std::function<void(KvStore&)>>> on_its_way;  // to the replica
    Timestamp now = 1000s;
    const auto change = [&](std::function<void(KvStore&)> act) {
        act(store);
        const Timestamp last = on_its_way.empty() ? now : on_its_way.back().first;
        on_its_way.emplace_back(std::max(last, now + std::chrono::milliseconds(random() % 300)),
                                std::move(act));
    };
    int serial = 0;
    const auto fill = [&] {
        for (int i = 0; i < settings.endpoints; ++i) {
            const std::string key = "w/" + std::to_string(i);
            const std::string value = endpoint_value("127.0.0.1:" + std::to_string(1000 + ++serial));
            change([key, value](KvStore& into) { into.put(key, value); });
        }
    };
    fill();
    discovery::SourceSettings source_settings;
    source_settings.prefix = "w/";
    source_settings.wait = 5s;
    source_settings.page = 16;
    const auto source = settings.protocol == KvProtocol::kConsul ? discovery::make_consul(source_settings)
                                                                 : discovery::make_etcd(source_settings);
    discovery::EndpointSet::Settings endpoint_set_settings;
    endpoint_set_settings.hold = 8s;
    discovery::EndpointSet endpoint_set(endpoint_set_settings);
    std::map<std::string, proxy::DiscoveredEndpoint> told;  // what the gateway's consumers have
    source->told = [&](const discovery::Source::News& news) {
        news.whole ? endpoint_set.whole(now, news.entries) : endpoint_set.changes(now, news.entries);
    };
    KvRunResult result;
    std::map<std::string, std::pair<std::string, Timestamp>>
        drained;  // by id: with which address, and since when
    std::optional<KvSession> session;
    int server = 0;
    Timestamp retry{}, quiet_since{}, last_fault = now, equal_since{};
    std::deque<std::pair<Timestamp, Response>> answers;
    const auto ask = [&] {
        const discovery::Ask wanted = source->ask();
        session->request(now, wanted.target, wanted.body);
        answers.clear();
        quiet_since = now;
        ++result.asks;
    };
    const auto lose = [&](Duration pause) {
        session.reset();
        answers.clear();
        source->broken();
        retry = now + pause;
        if (settings.replicas) server = static_cast<int>(random() % 2);
    };
    const Timestamp end = now + settings.length;
    const Timestamp deadline = end + 30s;
    for (; now < deadline; now += 10ms) {
        const bool faults = now < end;
        while (!on_its_way.empty() && on_its_way.front().first <= now) {
            on_its_way.front().second(replica);
            on_its_way.pop_front();
        }
        if (faults) {
            last_fault = now;
            if (chance(settings.changes_per_s)) {
                const std::string id =
                    std::to_string(random() % static_cast<unsigned>(settings.endpoints + 5));
                const std::string key = "w/" + id;
                const auto at = store.entries().find(key);
                const unsigned what = static_cast<unsigned>(random() % 10);
                ++serial;
                if (at == store.entries().end() || what < 4) {
                    const std::string value =
                        endpoint_value("127.0.0.1:" + std::to_string(1000 + serial % 60000), "in_service",
                                       what % 2 ? "std" : "fast", serial);
                    change([key, value](KvStore& into) { into.put(key, value); });
                } else if (what < 7) {
                    proxy::DiscoveredEndpoint listed;
                    discovery::read_value(id, at->second.value, listed);
                    const std::string value = endpoint_value(listed.address, "terminating", listed.entry.kind,
                                                             listed.entry.started / 1ms);
                    change([key, value](KvStore& into) { into.put(key, value); });
                    ++result.drains;
                } else if (what < 8 && store.entries().size() > 10) {
                    change([key](KvStore& into) { into.remove(key); });
                } else {
                    change(
                        [key](KvStore& into) { into.put(key, "{\"addr\": 7"); });  // a bad value, put right
                    const std::string value =
                        endpoint_value("127.0.0.1:" + std::to_string(1000 + serial % 60000));
                    change([key, value](KvStore& into) { into.put(key, value); });
                }
            }
            if (chance(settings.compactions_per_s)) change([](KvStore& into) { into.compact(); });
            if (chance(settings.resets_per_s)) {
                change([](KvStore& into) { into.reset(); });
                fill();
            }
            if (chance(settings.breaks_per_s)) lose(std::chrono::milliseconds(random() % 3000));
        }
        if (!session && now >= retry) {
            session.emplace(server == 0 || !settings.replicas ? store : replica, settings.protocol);
            ask();
        }
        if (session) {
            while (const auto said = session->answer(now)) {
                const Timestamp after = answers.empty() ? now : answers.back().first;
                answers.emplace_back(std::max(after, now + std::chrono::milliseconds(random() % 40)), *said);
            }
            while (session && !answers.empty() && answers.front().first <= now) {
                const Response response = std::move(answers.front().second);
                answers.pop_front();
                quiet_since = now;
                bool again = false;
                if (!source->take(response, again)) {
                    lose(std::chrono::milliseconds(50 + random() % 200));
                } else if (again || !session->streams()) {
                    ask();
                }
            }
            if (session && now - quiet_since > 6s) lose(0ms);  // as the driver does with a silent stream
        }
        endpoint_set.tick(now);
        for (const proxy::DiscoveredEndpoint& one : endpoint_set.next(64)) {
            if (one.entry.state == EndpointState::kRemoved) {
                told.erase(one.entry.id);
            } else {
                told[one.entry.id] = one;
            }
        }
        if (now / 10ms % 5 != 0) continue;
        // A drain that the client's source has been told must be with the consumers at once.
        for (const proxy::DiscoveredEndpoint& one : endpoint_set.all()) {
            if (one.entry.state != EndpointState::kDraining) {
                drained.erase(one.entry.id);
                continue;
            }
            const auto at = told.find(one.entry.id);
            const bool there = at != told.end() && discovery::same(at->second, one);
            auto& since = drained.try_emplace(one.entry.id, one.address, now).first->second;
            if (since.first != one.address) since = {one.address, now};
            if (there) {
                since.second = now;
            } else {
                const double late = std::chrono::duration<double>(now - since.second).count();
                result.worst_drain_s = std::max(result.worst_drain_s, late);
                if (late > 0.5) ++result.drains_missed;
            }
        }
        if (faults) continue;
        bool equal = told.size() == store.entries().size();
        for (const auto& [key, entry] : store.entries()) {
            proxy::DiscoveredEndpoint wanted;
            discovery::read_value(key.substr(2), entry.value, wanted);
            const auto at = told.find(key.substr(2));
            equal = equal && at != told.end() && discovery::same(at->second, wanted);
        }
        if (equal && equal_since == Timestamp{}) equal_since = now;
        if (!equal) equal_since = {};
    }
    result.equal = equal_since != Timestamp{};
    result.to_equal_s = std::chrono::duration<double>(equal_since - last_fault).count();
    result.compactions = source->counts().compactions;
    result.resets = source->counts().resets;
    result.changes = source->counts().changes;
    return result;
}

}  // namespace linnetlead::test_support
