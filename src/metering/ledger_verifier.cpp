#include "metering/ledger_verifier.h"

#include <map>
#include <tuple>

#include "metering/ledger_schema.h"
#include "metering/plan_schedule.h"
#include "metering/sqlite_statement.h"
#include "metering/usage_batch.h"

namespace linnetlead::metering {

namespace {

class LedgerVerifier {
public:
    explicit LedgerVerifier(sqlite3* db) : db_(db) {}

    std::vector<std::string> verify() {
        if (!check_pages()) return problems_;
        read_rows();
        read_batches();
        // Once early batches are pruned, their sums cannot be compared any more.
        if (has_first_batch_ && problems_.empty()) compare_sums();
        return problems_;
    }

private:
    using RowKey = std::tuple<std::string, std::string, std::string>;  // account, row name, period

    bool check_pages() {
        SqliteStatement check(db_, "PRAGMA quick_check(1)");
        if (check.next_row() && check.text(0) == "ok") return true;
        problems_.push_back("the file's pages: " +
                            (check.good() ? check.text(0) : std::string(sqlite3_errmsg(db_))));
        return false;
    }

    void read_rows() {
        SqliteStatement all(db_,
                            "SELECT account, plan, period, tries, guessed, settled, x_tries, x_guessed, "
                            "x_settled, sum FROM use");
        while (all.next_row()) {
            const Usage usage{all.number(3), all.number(4), all.number(5)};
            const Usage exported{all.number(6), all.number(7), all.number(8)};
            const auto account = static_cast<AccountId>(all.number(0));
            const std::string text = write_account(account);
            if (all.number(9) != row_checksum(account, all.text(1), all.number(2), usage, exported)) {
                problems_.push_back("usage of account " + text + " does not match its checksum");
            }
            const std::string period = write_instant(std::chrono::milliseconds(all.number(2)));
            exported_[{text, all.text(1), period}] = exported;
        }
        if (!all.good()) {
            problems_.push_back(std::string("usage rows cannot be read: ") + sqlite3_errmsg(db_));
        }
    }

    void read_batches() {
        SqliteStatement all(db_, "SELECT number, checksum, content, rows FROM batch ORDER BY number");
        std::int64_t last = 0;  // number of the preceding batch; 0: none
        std::string previous_checksum;
        while (all.next_row()) {
            const Batch batch{all.number(0), all.text(2), all.text(1), all.number(3)};
            const std::string name = "batch " + std::to_string(batch.number);
            if (last == 0 && batch.number != 1) has_first_batch_ = false;
            if (last > 0 && batch.number != last + 1) {
                problems_.push_back(name + " does not follow batch " + std::to_string(last));
            }
            if (checksum_of(batch.content) != batch.checksum) {
                problems_.push_back(name + " does not match its checksum");
            } else {
                add_batch(batch, name, last > 0 ? &previous_checksum : nullptr);
            }
            last = batch.number;
            previous_checksum = batch.checksum;
        }
    }

    // `previous_checksum`: of the preceding batch; null: there is none.
    void add_batch(const Batch& batch, const std::string& name, const std::string* previous_checksum) {
        const auto decoded = decode_batch(batch.content);
        if (decoded && previous_checksum && decoded->previous_checksum != *previous_checksum) {
            problems_.push_back(name + " is not chained to the preceding batch");
        }
        const auto rows = decoded ? static_cast<std::int64_t>(decoded->lines.size()) : -1;
        if (rows != batch.rows) problems_.push_back(name + " does not hold the stated number of rows");
        if (!decoded) return;
        for (const BatchLine& line : decoded->lines) {
            sums_[{line.account, line.row_name, line.period}] += line.usage;
        }
    }

    void compare_sums() {
        for (const auto& [key, exported] : exported_) {
            const auto at = sums_.find(key);
            const Usage sum = at == sums_.end() ? Usage{} : at->second;
            if (sum == exported) continue;
            problems_.push_back("usage marked as exported for account " + std::get<0>(key) +
                                " is not in the batches");
        }
    }

    sqlite3* db_;
    std::vector<std::string> problems_;
    std::map<RowKey, Usage> exported_;  // as the rows state
    std::map<RowKey, Usage> sums_;      // of the batches
    bool has_first_batch_ = true;
};

}  // namespace

std::vector<std::string> verify_ledger(sqlite3* db) { return LedgerVerifier(db).verify(); }

}  // namespace linnetlead::metering
