// Counts the recent executions of each statement, so that StatementPreparation prepares the most used ones
// first.
#pragma once

#include <cmath>
#include <map>
#include <string>

#include "linnetlead/policy.h"

namespace linnetlead::statements {

class StatementUsage {
public:
    using Timestamp = policy::Timestamp;

    void add(Timestamp now, const std::string& name) {
        Usage& usage = usage_[name];
        usage.count = decayed(usage, now) + 1;
        usage.at = now;
    }
    // The number of executions, decayed with a half-life of kHalfLifeS.
    double count(Timestamp now, const std::string& name) const {
        const auto at = usage_.find(name);
        return at == usage_.end() ? 0.0 : decayed(at->second, now);
    }
    // Calls `act` with the name of each statement executed within kRecent, in the order of names.
    template <typename Act>
    void for_each_recent(Timestamp now, Act act) const {
        for (const auto& [name, usage] : usage_) {
            if (now - usage.at < kRecent) act(name);
        }
    }
    // Removes the statements for whose names `keep` returns false.
    template <typename Keep>
    void retain_if(Keep keep) {
        for (auto at = usage_.begin(); at != usage_.end();) {
            at = keep(at->first) ? std::next(at) : usage_.erase(at);
        }
    }

private:
    static constexpr double kHalfLifeS = 10;
    static constexpr policy::Duration kRecent = std::chrono::seconds(10);
    struct Usage {
        double count = 0;
        Timestamp at{};
    };
    static double decayed(const Usage& usage, Timestamp now) {
        return usage.count * std::exp2(-std::chrono::duration<double>(now - usage.at).count() / kHalfLifeS);
    }

    std::map<std::string, Usage> usage_;
};

}  // namespace linnetlead::statements
