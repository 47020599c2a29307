// What quotas need of each account, as text between two processes of a gateway. Plans go by name: the two may
// have other settings. No I/O.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "linnetlead/policy.h"

namespace linnetlead::hot_restart {

constexpr std::size_t kAccountsInAMessage = 200;  // some 50 KiB

std::string write_accounts(const std::vector<policy::QuotaState>& accounts, std::size_t from,
                           const std::vector<std::string>& plans);
// Those that can be used: of a plan that is known, with numbers that can be.
std::vector<policy::QuotaState> read_accounts(std::string_view text, const std::vector<std::string>& plans);

}  // namespace linnetlead::hot_restart
