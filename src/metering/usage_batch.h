// Batches of the usage export, encoded as JSON lines and compressed with zstd. The encoding is a published
// format.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/error.h"
#include "metering/usage_ledger.h"

namespace linnetlead::metering {

constexpr const char* kUsageSchema = "linnetlead/usage/1";

struct Batch {
    std::int64_t number = 0;  // from 1, without gaps
    std::string content;      // JSON lines, compressed with zstd; never changes once numbered
    std::string checksum;     // XXH64 of the content, 16 hex digits
    std::int64_t rows = 0;
};

// A batch's first line.
struct BatchHeader {
    std::string gateway;
    std::string ledger_id;
    std::int64_t number = 0;
    std::int64_t rows = 0;
    std::string previous_checksum;  // of the preceding batch, which chains them; empty: it is the first
    Timestamp made{};
    Milliunits uncertain = 0;  // see LedgerStore::uncertain()
};

// One line of a batch: the change of one row since its last export.
struct BatchLine {
    std::string account;      // 16 hex digits
    std::string row_name;     // as stored
    std::string period;       // the instant at which it begins
    bool correction = false;  // the row was exported before, and its period is closed
    Usage usage;              // since the last export
};

std::string checksum_of(const std::string& bytes);

Batch encode_batch(const BatchHeader& header, const std::vector<BatchLine>& lines);

struct DecodedBatch {
    std::string previous_checksum;
    std::vector<BatchLine> lines;
};
// kDataLoss: the content cannot be decompressed. A line that is not a JSON object is read as an empty one,
// whose sums then differ from the ledger's.
Result<DecodedBatch> decode_batch(const std::string& content);

}  // namespace linnetlead::metering
