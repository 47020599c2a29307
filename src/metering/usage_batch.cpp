#include "metering/usage_batch.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "metering/plan_schedule.h"
#include "storage/checksummed_file.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace linnetlead::metering {

using nlohmann::json;

namespace {

// The field of a row that names its prepaid balance.
const char* balance_field(bool lent) { return lent ? "lent_by" : "reserve"; }

json encode_line(const BatchLine& from) {
    const RowName name = decode_row_name(from.row_name);
    json line{{"account", from.account},
              {"plan", name.plan},
              {"period", from.period},
              {"kind", from.correction ? "correction" : "use"},
              {"tries", from.usage.requests},
              {"guessed_milliunits", from.usage.estimated},
              {"settled_milliunits", from.usage.corrected},
              {"milliunits", from.usage.estimated + from.usage.corrected}};
    if (!name.balance.empty()) line[balance_field(name.lent)] = name.balance;
    return line;
}

BatchLine decode_line(const json& from) {
    if (!from.is_object()) return {};
    const bool lent = from.contains("lent_by");
    BatchLine line;
    line.account = from.value("account", "");
    line.row_name = encode_row_name({from.value("plan", ""), from.value(balance_field(lent), ""), lent});
    line.period = from.value("period", "");
    line.correction = from.value("kind", "") == "correction";
    line.usage =
        Usage{from.value("tries", std::int64_t{0}), from.value("guessed_milliunits", std::int64_t{0}),
              from.value("settled_milliunits", std::int64_t{0})};
    return line;
}

}  // namespace

std::string checksum_of(const std::string& bytes) {
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx",
                  static_cast<unsigned long long>(XXH64(bytes.data(), bytes.size(), 0)));
    return text;
}

Batch encode_batch(const BatchHeader& header, const std::vector<BatchLine>& lines) {
    const json first{{"schema", kUsageSchema},
                     {"gateway", header.gateway},
                     {"ledger", header.ledger_id},
                     {"batch", header.number},
                     {"rows", header.rows},
                     {"previous", header.previous_checksum},
                     {"made", write_instant(header.made)},
                     {"uncertain_milliunits", header.uncertain}};
    std::string text = first.dump() + '\n';
    for (const BatchLine& line : lines) text += encode_line(line).dump() + '\n';
    Batch batch;
    batch.number = header.number;
    batch.rows = header.rows;
    batch.content = storage::compress(text);
    batch.checksum = checksum_of(batch.content);
    return batch;
}

Result<DecodedBatch> decode_batch(const std::string& content) {
    const auto text = storage::decompress(content);
    if (!text) return tl::unexpected(text.error());
    DecodedBatch batch;
    bool is_header = true;
    for (std::size_t at = 0; at < text->size();) {
        const auto end = text->find('\n', at);
        const json line = json::parse(text->substr(at, end - at), nullptr, false);
        at = end + 1;
        if (std::exchange(is_header, false)) {
            if (line.is_object()) batch.previous_checksum = line.value("previous", "");
        } else {
            batch.lines.push_back(decode_line(line));
        }
    }
    return batch;
}

}  // namespace linnetlead::metering
