// The sub-commands that look at files and serve nothing. Each returns the program's exit code, and throws
// std::runtime_error with one line for what is wrong.
#pragma once

#include <string>

namespace linnetlead::server {

// Whether an operators' file is good. `config`: path of the configuration it has to fit; empty: not checked.
int check_operators(const std::string& path, const std::string& config);
// Who is on which plan at an instant ("" is now): all accounts, or one.
int show_plans(const std::string& path, const std::string& config, const std::string& at,
               const std::string& account);
// What differs between two books at an instant: plans' figures, accounts' plans.
int diff_plans(const std::string& old_path, const std::string& new_path, const std::string& config,
               const std::string& at);

int show_usage(const std::string& ledger, bool as_json);
// Writes the ledger's batches to a folder, each under its number.
int export_usage(const std::string& ledger, const std::string& folder);
// Recomputes sums, sequence and checksums; 1 where something is wrong.
int verify_usage(const std::string& ledger);

}  // namespace linnetlead::server
