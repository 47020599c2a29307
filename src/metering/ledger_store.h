// The usage ledger on disk: usage by account, plan and period, the usage lease, and the export's numbered
// batches, in an SQLite file that one gateway locks. Calls block, so they belong on a thread of their own.
// Without a path the ledger is in memory, bounded, and lost when the process ends.
//
// Every row has a checksum, since SQLite detects torn pages but not flipped bits. Each flush is one
// transaction: with WAL and synchronous=FULL it is on disk either whole or not at all, even if the process is
// killed during it.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/error.h"
#include "metering/usage_batch.h"
#include "metering/usage_ledger.h"

struct sqlite3;

namespace linnetlead::metering {

class LedgerStore {
public:
    struct Settings {
        std::string path;  // empty: in memory
        std::string gateway;
        std::uint64_t seed = 0;                   // for a new ledger's id
        std::size_t max_memory_bytes = 16 << 20;  // of a ledger in memory
    };
    // Opens the ledger or creates it, verifies all of it and begins an epoch. kUnavailable: another process
    // has locked it; kDataLoss: it is damaged; kFailedPrecondition: it belongs to another gateway or has
    // another schema; kIo: any other failure.
    static Result<std::unique_ptr<LedgerStore>> open(const Settings& settings);
    // Opens a ledger for reading, also while a gateway has it locked. kIo: the file does not exist or is not
    // a ledger.
    static Result<std::unique_ptr<LedgerStore>> open_to_read(const std::string& path);
    ~LedgerStore();
    LedgerStore(const LedgerStore&) = delete;
    LedgerStore& operator=(const LedgerStore&) = delete;

    // Adds changes in one transaction; `names` are the row names that their keys point to. `lease_limit`:
    // raises the lease to it, unless it is already as high; `counted`: all that this epoch has counted so
    // far. kIo: nothing was written.
    Status record(const std::vector<std::string>& names, const UsageLedger::Changes& changes, Duration period,
                  Milliunits lease_limit, Milliunits counted);

    // Makes the next batch of changes that were not exported yet; nothing where there are none. Changes to
    // exported rows of periods that begin before `closed_before` are marked as corrections. kIo: nothing was
    // written.
    Result<std::optional<Batch>> make_batch(Timestamp now, Timestamp closed_before);
    // The oldest batch without a receipt. A batch that cannot be read counts as absent, here and in the next
    // two functions.
    std::optional<Batch> first_without_receipt();
    std::optional<Batch> batch(std::int64_t number);
    std::vector<std::int64_t> batch_numbers();
    Status record_receipt(std::int64_t number, Timestamp now);
    // Deletes batches whose receipt is older than `before` and fully exported usage of older periods.
    Status prune(Timestamp before);
    // Marks the epoch as clean: all that was forwarded in it is counted.
    Status close_epoch();

    const std::string& ledger_id() const { return ledger_id_; }
    std::int64_t epoch() const { return epoch_; }
    // Units that may have been forwarded but not counted in epochs that ended without close_epoch().
    Milliunits uncertain() const { return uncertain_; }

    struct Row {
        AccountId account = 0;
        std::string name;    // as stored; see decode_row_name()
        Timestamp period{};  // its beginning
        Usage usage;
        Usage exported;
    };
    std::vector<Row> rows();
    // See verify_ledger().
    std::vector<std::string> verify();

private:
    explicit LedgerStore(sqlite3* db) : db_(db) {}
    bool lock_file(const std::string& path);
    Status set_up(const Settings& settings);
    Status prepare_tables(const Settings& settings);
    Status identify(const Settings& settings);
    Status begin_epoch();
    bool execute(const char* sql);
    // Rolls back and returns the database's error.
    tl::unexpected<Error> roll_back(const char* step);
    Status commit();
    Status add_changes(const std::vector<std::string>& names, const UsageLedger::Changes& changes,
                       Duration period);
    struct ExportedRow;
    Result<std::vector<ExportedRow>> unexported_rows(Timestamp closed_before);
    Status mark_exported(const std::vector<ExportedRow>& rows);
    Status insert_batch(const Batch& batch, Timestamp now);

    sqlite3* db_;
    int lock_file_ = -1;
    std::string gateway_;
    std::string ledger_id_;
    std::int64_t epoch_ = 0;
    Milliunits uncertain_ = 0;
};

}  // namespace linnetlead::metering
