// The usage(...) declaration of the operators' document: the ledger and its export.
#pragma once

#include <chrono>
#include <string>

#include "config/operator_config/document.h"

namespace linnetlead::metering {

struct UsageSettings {
    bool enabled = false;                                     // the document declares it
    std::string ledger_path;                                  // empty: in memory, gone with the process
    std::chrono::nanoseconds period = std::chrono::hours(1);  // of each row's usage; 1 s at least
    std::chrono::nanoseconds batch_interval =
        std::chrono::seconds(60);  // between export batches; 100 ms at least
    std::chrono::nanoseconds retention = std::chrono::hours(24 * 90);  // of exported usage, in the ledger
    double lease_units = 1000;    // written ahead; bounds what a crash leaves uncounted; 0: no lease
    std::string receiver;         // host:port that batches are pushed to; empty: none
    std::string batch_directory;  // that batches are written to; empty: none
};

// `document` has passed the operators' schema. Without usage(...) it returns the defaults, not enabled.
UsageSettings read_usage_settings(const operator_config::Value& document);

}  // namespace linnetlead::metering
