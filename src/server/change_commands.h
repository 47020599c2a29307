// `linnetlead change`: what operators give to a relay, and what it tells them.
#pragma once

#include <string>
#include <vector>

namespace linnetlead::server {

// Exit codes: 0 done; 1 refused, or wrong as it stands; 2 no answer: it may count all the same, and the same
// command with the same id is the same change.
struct GivenChange {
    std::vector<std::string> relays;  // addresses; tried in turn
    std::string file;                 // an operators' file, or a JSON list of edits where it begins with '['
    std::string old;                  // operators' file: the change is what makes `file` of it
    std::string config;      // the platform's settings that the files have to fit; empty: not checked
    std::string id;          // empty: drawn
    std::uint64_t base = 0;  // the revision that it was made against; 0: any
    bool in_parts = false;   // changes of their own where it is over a change's bounds
    double within_s = 10;    // for an answer
};
int apply_change(const GivenChange& given);
// Prints the edits that make one of the other, as `apply` takes them.
int diff_changes(const std::string& old_path, const std::string& new_path, const std::string& config);
int show_relay(const std::vector<std::string>& relays);

}  // namespace linnetlead::server
