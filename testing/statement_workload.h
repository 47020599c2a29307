// Simulated gateways with prepared statements, in virtual time: the real agreement and statement code, and
// endpoints that prepare, forget, and move from one schema version to the next by themselves. Every answer is
// audited.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster/statements/prepared_statements.h"
#include "testing/simulated_cluster.h"
#include "testing/statement_audit.h"

namespace linnetlead::test_support {

struct StatementWorkloadSettings {
    SimulatedClusterSettings fleet;
    int endpoints = 4;
    double calls_per_s = 60;  // at all gateways
    int accounts = 20;
    std::vector<std::string> statement_names{"bom"};  // that are executed
    statements::PreparedStatements::Settings statement_settings;
    double never_twice = 0.3;  // of the calls
    Duration deadline = std::chrono::seconds(2);
};

class StatementWorkload {
public:
    explicit StatementWorkload(StatementWorkloadSettings settings);
    ~StatementWorkload();

    SimulatedCluster fleet;
    statements::PreparedStatements& statements(int gateway) {
        return *statements_[static_cast<std::size_t>(gateway)];
    }
    bool has_statements(int gateway) const {
        return statements_[static_cast<std::size_t>(gateway)] != nullptr;
    }
    // A caller's body to a gateway; its answer is kept by the number that this returns.
    int ask(int gateway, const std::string& body, std::uint64_t account = 0, bool never_twice = false);
    enum class Answer { kNone, kServed, kRejected, kFailed };
    Answer answer(int number) const { return answers_[static_cast<std::size_t>(number)].first; }
    const std::string& value(int number) const { return answers_[static_cast<std::size_t>(number)].second; }
    // The file of one gateway: schema versions, under the file's own version.
    void give_file(int gateway, std::uint64_t version, const statements::Schemas& schemas);
    // An endpoint moves on, and has to prepare anew what was against that schema; or starts again and has
    // forgotten all.
    void move(int endpoint, const std::string& schema, std::uint64_t version);
    void restart(int endpoint);
    // Forgets without a word of it in the list.
    void lose(int endpoint) { endpoints_[static_cast<std::size_t>(endpoint)].prepared.clear(); }
    void load(bool on) { loaded_ = on; }
    void tell_list();

    // All gateways that run have such a form in force, by its text.
    bool all_have(const std::string& form, const std::string& text);
    bool none_has(const std::string& form);
    // All endpoints, or those on the wanted schema, have it.
    bool prepared_everywhere(const std::string& form);

    std::uint64_t asked = 0, served = 0, rejected = 0, failed = 0, elsewhere = 0;
    std::uint64_t prepares = 0, prepares_again = 0;  // of a process, edition and schema version
    StatementAudit audit;
    std::string broken;  // a never-twice call ran again

private:
    class Gateway;
    struct Endpoint {
        std::string id;
        Timestamp started{};
        statements::Schemas schemas;
        std::set<std::string> prepared;       // heads, as they were prepared
        std::map<std::string, int> prepares;  // of this process
    };
    struct Call {
        int gateway = 0;
        int number = 0;
        std::uint64_t account = 0;
        bool never_twice = false, form = false;
        bool may_have_run = false;
        Timestamp due{};
        proxy::Payload payload;
        policy::Request request;
        int attempts = 0;
        std::string name;
    };
    void begin(int gateway);
    void next_call();
    void attempt(std::uint64_t id);
    void conclude(std::uint64_t id, Answer answer, const std::string& value);
    std::string arrive(Endpoint& endpoint, const std::string& body, bool& ran);

    StatementWorkloadSettings settings_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::vector<std::unique_ptr<statements::PreparedStatements>> statements_;
    std::vector<Endpoint> endpoints_;
    std::map<std::uint64_t, Call> calls_;
    std::uint64_t next_id_ = 0;
    std::vector<std::pair<Answer, std::string>> answers_;
    bool loaded_ = false;
};

}  // namespace linnetlead::test_support
