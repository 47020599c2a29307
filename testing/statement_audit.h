// Who was answered under which version of a form: an account goes up through the versions and never down, and
// what is over is not answered under for longer than a stated time.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "proxy/ports.h"

namespace linnetlead::test_support {

class StatementAudit {
public:
    // A call was sent under a version, told by its head. Versions count in the order in which they are first
    // seen.
    void answered(std::uint64_t account, const std::string& form, const std::string& head,
                  proxy::Timestamp sent, proxy::Duration stated) {
        auto& known = heads_[form];
        auto at =
            std::find_if(known.begin(), known.end(), [&](const auto& one) { return one.first == head; });
        if (at == known.end()) {
            known.emplace_back(head, sent);
            at = std::prev(known.end());
        }
        const auto place = static_cast<std::size_t>(at - known.begin());
        if (place + 1 < known.size()) {
            const proxy::Duration old = sent - known[place + 1].second;
            longest_old = std::max(longest_old, old);
            if (old > stated) broken += "answered under a version long over; ";
        }
        std::size_t& newest = seen_[{account, form}];
        if (place < newest) broken += "an account answered under an older version than before; ";
        newest = std::max(newest, place);
    }

    proxy::Duration longest_old{};  // an answer under a version that was over, after the next had begun
    std::string broken;

private:
    std::map<std::string, std::vector<std::pair<std::string, proxy::Timestamp>>> heads_;  // by form
    std::map<std::pair<std::uint64_t, std::string>, std::size_t> seen_;  // the newest of an account
};

}  // namespace linnetlead::test_support
