// The gateway's figures as text: a line each, in the operators' names, which stay as they are.
#pragma once

#include <string>
#include <vector>

#include "proxy/request_manager.h"

namespace linnetlead::admin {

struct Metrics {
    std::vector<std::string> classes;  // by number
    proxy::Counts counts;
    proxy::EventLog events;               // told where there are any of a kind
    std::uint64_t tries = 0;              // attempts written whole to endpoints
    std::uint64_t duplicate_replies = 0;  // duplicate replies that were skipped; told where there are any
    std::uint64_t shed_answers =
        0;  // values replaced by an error for want of memory; told where there are any
    std::size_t client_connections = 0;
    std::size_t pending_answer_bytes = 0;  // of answers that clients have not taken
    std::size_t request_bytes = 0;         // of open requests, and reserved for bodies that are arriving
    std::size_t resident_kib = 0;          // of the process
    std::size_t known = 0;                 // endpoints in the list
    std::size_t unusable_states =
        0;                    // files of earlier processes that could not be used; told where there are any
    std::size_t skipped = 0;  // of them, those that get nothing by hand or by the module's choice
};

std::string write_figures(const Metrics& figures);

}  // namespace linnetlead::admin
