#include "metering/ledger_store.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "metering/ledger_schema.h"
#include "metering/ledger_verifier.h"
#include "metering/plan_schedule.h"
#include "metering/sqlite_statement.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace linnetlead::metering {

namespace {

// Bounds the size of a batch sent to the receiver; further rows go into the next one.
constexpr std::int64_t kMaxBatchRows = 50'000;
constexpr int kBusyTimeoutMs = 1000;  // for readers, at a checkpoint
constexpr std::size_t kPageBytes = 4096;

std::int64_t ms_of(Timestamp time) { return time / std::chrono::milliseconds(1); }

constexpr const char* kOpenEpochUnits = "SELECT SUM(MAX(lease - counted, 0)) FROM epoch WHERE clean = 0";

std::optional<Batch> read_batch(SqliteStatement& found) {
    if (!found.next_row()) return std::nullopt;
    return Batch{found.number(0), found.text(2), found.text(1), found.number(3)};
}

// The start of an error message.
std::string subject(const std::string& path) { return "the ledger " + path + " "; }

}  // namespace

struct LedgerStore::ExportedRow {
    std::int64_t account = 0;  // as stored
    std::int64_t period_ms = 0;
    Usage usage;
    BatchLine line;
};

LedgerStore::~LedgerStore() {
    sqlite3_close(db_);
    if (lock_file_ >= 0) ::close(lock_file_);
}

bool LedgerStore::lock_file(const std::string& path) {
    constexpr mode_t kMode = 0644;
    lock_file_ = ::open((path + ".lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kMode);
    return lock_file_ >= 0 && flock(lock_file_, LOCK_EX | LOCK_NB) == 0;
}

tl::unexpected<Error> LedgerStore::roll_back(const char* step) {
    std::string message = std::string(step) + ": " + sqlite3_errmsg(db_);
    sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
    return fail(ErrorCode::kIo, std::move(message));
}

bool LedgerStore::execute(const char* sql) {
    return sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) == SQLITE_OK;
}

Status LedgerStore::commit() {
    if (!execute("COMMIT")) return roll_back("commit");
    return {};
}

Result<std::unique_ptr<LedgerStore>> LedgerStore::open(const Settings& settings) {
    sqlite3* db = nullptr;
    const std::string path = settings.path.empty() ? ":memory:" : settings.path;
    const int result = sqlite3_open_v2(
        path.c_str(), &db, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX, nullptr);
    std::unique_ptr<LedgerStore> store(new LedgerStore(db));
    if (result != SQLITE_OK) {
        return fail(ErrorCode::kIo, subject(path) + "cannot be opened: " + sqlite3_errmsg(db));
    }
    if (Status ready = store->set_up(settings); !ready) return tl::unexpected(std::move(ready.error()));
    return store;
}

Result<std::unique_ptr<LedgerStore>> LedgerStore::open_to_read(const std::string& path) {
    sqlite3* db = nullptr;
    const int result =
        sqlite3_open_v2(path.c_str(), &db, SQLITE_OPEN_READWRITE | SQLITE_OPEN_NOMUTEX, nullptr);
    std::unique_ptr<LedgerStore> store(new LedgerStore(db));
    SqliteStatement identity(db, "SELECT id, gateway, schema FROM ledger");
    if (result != SQLITE_OK || !identity.next_row() || identity.text(2) != kUsageSchema) {
        return fail(ErrorCode::kIo, subject(path) + "cannot be read: " + sqlite3_errmsg(db));
    }
    store->ledger_id_ = identity.text(0);
    store->gateway_ = identity.text(1);
    SqliteStatement open_units(db, kOpenEpochUnits);
    if (open_units.next_row()) store->uncertain_ = open_units.number(0);
    return store;
}

Status LedgerStore::set_up(const Settings& settings) {
    const std::string path = settings.path.empty() ? "in memory" : settings.path;
    const auto with_subject = [&path](Status status) -> Status {
        if (!status) status.error().message = subject(path) + status.error().message;
        return status;
    };
    // Locked as long as the ledger is open: two gateways with one file would each count the usage of both.
    if (!settings.path.empty() && !lock_file(path)) {
        const bool held = errno == EWOULDBLOCK;
        return with_subject(fail(
            held ? ErrorCode::kUnavailable : ErrorCode::kIo,
            held ? "is held by another gateway" : std::string("cannot be locked: ") + std::strerror(errno)));
    }
    if (Status ready = prepare_tables(settings); !ready) return with_subject(std::move(ready));
    if (Status ready = identify(settings); !ready) return with_subject(std::move(ready));
    if (Status ready = begin_epoch(); !ready) return with_subject(std::move(ready));
    const auto problems = verify();
    if (problems.empty()) return {};
    return with_subject(fail(ErrorCode::kDataLoss, "is damaged: " + problems.front()));
}

// Leaves a transaction open, which begin_epoch() commits.
Status LedgerStore::prepare_tables(const Settings& settings) {
    sqlite3_busy_timeout(db_, kBusyTimeoutMs);
    const bool ready = execute("PRAGMA journal_mode=WAL") && execute("PRAGMA synchronous=FULL") &&
                       execute("PRAGMA wal_autocheckpoint=256") && execute("BEGIN IMMEDIATE") &&
                       execute(kLedgerTables);
    if (!ready) {
        const int code = sqlite3_errcode(db_);
        if (code == SQLITE_CORRUPT || code == SQLITE_NOTADB) {
            return fail(ErrorCode::kDataLoss, std::string("is damaged: ") + sqlite3_errmsg(db_));
        }
        return fail(ErrorCode::kIo, std::string("cannot be used: ") + sqlite3_errmsg(db_));
    }
    if (settings.path.empty()) {
        execute(("PRAGMA max_page_count=" + std::to_string(settings.max_memory_bytes / kPageBytes)).c_str());
    }
    return {};
}

// Checks that the ledger is this gateway's, and gives a new one its id.
Status LedgerStore::identify(const Settings& settings) {
    gateway_ = settings.gateway;
    SqliteStatement identity(db_, "SELECT id, gateway, schema FROM ledger");
    if (identity.next_row()) {
        ledger_id_ = identity.text(0);
        if (identity.text(2) != kUsageSchema) {
            return fail(ErrorCode::kFailedPrecondition, "has an unknown schema: " + identity.text(2));
        }
        if (identity.text(1) != gateway_) {
            return fail(ErrorCode::kFailedPrecondition,
                        "belongs to the gateway '" + identity.text(1) + "', not to '" + gateway_ + "'");
        }
        return {};
    }
    ledger_id_ = write_account(XXH64(gateway_.data(), gateway_.size(), settings.seed));
    SqliteStatement insert(db_, "INSERT INTO ledger VALUES(?, ?, ?)");
    if (!insert.bind(ledger_id_).bind(gateway_).bind(std::string(kUsageSchema)).run()) {
        return fail(ErrorCode::kIo, "cannot be written");
    }
    return {};
}

Status LedgerStore::begin_epoch() {
    SqliteStatement last(db_, "SELECT COALESCE(MAX(number), 0) FROM epoch");
    epoch_ = last.next_row() ? last.number(0) + 1 : 1;
    SqliteStatement open_units(db_, kOpenEpochUnits);
    uncertain_ = open_units.next_row() ? open_units.number(0) : 0;
    SqliteStatement insert(db_, "INSERT INTO epoch VALUES(?, 0, 0, 0)");
    if (!insert.bind(epoch_).run() || !execute("COMMIT")) {
        return fail(ErrorCode::kIo, std::string("cannot be written: ") + sqlite3_errmsg(db_));
    }
    return {};
}

Status LedgerStore::record(const std::vector<std::string>& names, const UsageLedger::Changes& changes,
                           Duration period, Milliunits lease_limit, Milliunits counted) {
    if (!execute("BEGIN IMMEDIATE")) return roll_back("begin");
    if (Status added = add_changes(names, changes, period); !added) return added;
    {
        SqliteStatement epoch(db_, "UPDATE epoch SET lease = MAX(lease, ?), counted = ? WHERE number = ?");
        if (!epoch.bind(lease_limit).bind(counted).bind(epoch_).run()) return roll_back("write");
    }
    return commit();
}

Status LedgerStore::add_changes(const std::vector<std::string>& names, const UsageLedger::Changes& changes,
                                Duration period) {
    SqliteStatement read(db_,
                         "SELECT tries, guessed, settled, x_tries, x_guessed, x_settled FROM use "
                         "WHERE account = ? AND plan = ? AND period = ?");
    SqliteStatement write(db_, "INSERT OR REPLACE INTO use VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?)");
    for (const auto& [key, change] : changes) {
        const std::string& name = names[static_cast<std::size_t>(key.name)];
        const std::int64_t period_ms = ms_of(period * key.period);
        const auto account = static_cast<std::int64_t>(key.account);
        Usage usage, exported;
        read.reset();
        if (read.bind(account).bind(name).bind(period_ms).next_row()) {
            usage = {read.number(0), read.number(1), read.number(2)};
            exported = {read.number(3), read.number(4), read.number(5)};
        }
        if (!read.good()) return roll_back("read");
        usage += change;
        write.reset();
        write.bind(account).bind(name).bind(period_ms);
        write.bind(usage.requests).bind(usage.estimated).bind(usage.corrected);
        write.bind(exported.requests).bind(exported.estimated).bind(exported.corrected);
        write.bind(row_checksum(key.account, name, period_ms, usage, exported));
        if (!write.run()) return roll_back("write");
    }
    return {};
}

Result<std::optional<Batch>> LedgerStore::make_batch(Timestamp now, Timestamp closed_before) {
    if (!execute("BEGIN IMMEDIATE")) return roll_back("begin");
    BatchHeader header{gateway_, ledger_id_, 1, 0, {}, now, uncertain_};
    {
        SqliteStatement last(db_, "SELECT number, checksum FROM batch ORDER BY number DESC LIMIT 1");
        if (last.next_row()) {
            header.number = last.number(0) + 1;
            header.previous_checksum = last.text(1);
        }
    }
    const auto rows = unexported_rows(closed_before);
    if (!rows) return tl::unexpected(rows.error());
    if (rows->empty()) {
        execute("ROLLBACK");
        return std::nullopt;
    }
    header.rows = static_cast<std::int64_t>(rows->size());
    std::vector<BatchLine> lines;
    for (const ExportedRow& row : *rows) lines.push_back(row.line);
    Batch batch = encode_batch(header, lines);
    if (Status marked = mark_exported(*rows); !marked) return tl::unexpected(marked.error());
    if (Status inserted = insert_batch(batch, now); !inserted) return tl::unexpected(inserted.error());
    if (Status committed = commit(); !committed) return tl::unexpected(committed.error());
    return batch;
}

Result<std::vector<LedgerStore::ExportedRow>> LedgerStore::unexported_rows(Timestamp closed_before) {
    SqliteStatement changed(
        db_,
        "SELECT account, plan, period, tries, guessed, settled, x_tries, x_guessed, x_settled "
        "FROM use WHERE tries <> x_tries OR guessed <> x_guessed OR settled <> x_settled "
        "ORDER BY period, account, plan LIMIT ?");
    changed.bind(kMaxBatchRows);
    std::vector<ExportedRow> rows;
    while (changed.next_row()) {
        const Usage usage{changed.number(3), changed.number(4), changed.number(5)};
        const Usage before{changed.number(6), changed.number(7), changed.number(8)};
        const Usage difference{usage.requests - before.requests, usage.estimated - before.estimated,
                               usage.corrected - before.corrected};
        const std::chrono::milliseconds period(changed.number(2));
        const bool correction = !(before == Usage{}) && period < closed_before;
        rows.push_back({changed.number(0), changed.number(2), usage,
                        BatchLine{write_account(static_cast<AccountId>(changed.number(0))), changed.text(1),
                                  write_instant(period), correction, difference}});
    }
    if (!changed.good()) return roll_back("read");
    return rows;
}

Status LedgerStore::mark_exported(const std::vector<ExportedRow>& rows) {
    SqliteStatement mark(db_,
                         "UPDATE use SET x_tries = tries, x_guessed = guessed, x_settled = settled, sum = ? "
                         "WHERE account = ? AND plan = ? AND period = ?");
    for (const ExportedRow& row : rows) {
        mark.reset();
        const std::string& name = row.line.row_name;
        mark.bind(
            row_checksum(static_cast<AccountId>(row.account), name, row.period_ms, row.usage, row.usage));
        if (!mark.bind(row.account).bind(name).bind(row.period_ms).run()) return roll_back("write");
    }
    return {};
}

Status LedgerStore::insert_batch(const Batch& batch, Timestamp now) {
    SqliteStatement insert(db_, "INSERT INTO batch VALUES(?, ?, ?, ?, ?, 0)");
    insert.bind(batch.number).bind(ms_of(now)).bind(batch.rows).bind(batch.checksum);
    if (!insert.bind_blob(batch.content).run()) return roll_back("write");
    return {};
}

std::optional<Batch> LedgerStore::first_without_receipt() {
    SqliteStatement found(
        db_, "SELECT number, checksum, content, rows FROM batch WHERE receipted = 0 ORDER BY number LIMIT 1");
    return read_batch(found);
}

std::optional<Batch> LedgerStore::batch(std::int64_t number) {
    SqliteStatement found(db_, "SELECT number, checksum, content, rows FROM batch WHERE number = ?");
    found.bind(number);
    return read_batch(found);
}

std::vector<std::int64_t> LedgerStore::batch_numbers() {
    std::vector<std::int64_t> numbers;
    SqliteStatement all(db_, "SELECT number FROM batch ORDER BY number");
    while (all.next_row()) numbers.push_back(all.number(0));
    return numbers;
}

Status LedgerStore::record_receipt(std::int64_t number, Timestamp now) {
    SqliteStatement update(db_, "UPDATE batch SET receipted = ? WHERE number = ?");
    const std::int64_t at = std::max<std::int64_t>(1, ms_of(now));  // 0: no receipt
    if (!update.bind(at).bind(number).run()) return roll_back("receipt");
    return {};
}

// Keeps the last batch, because the next one continues its number and checksum.
Status LedgerStore::prune(Timestamp before) {
    const std::int64_t at = ms_of(before);
    if (!execute("BEGIN IMMEDIATE")) return roll_back("begin");
    {
        SqliteStatement batches(db_,
                                "DELETE FROM batch WHERE receipted > 0 AND receipted < ? AND "
                                "number < (SELECT MAX(number) FROM batch)");
        SqliteStatement usage(
            db_,
            "DELETE FROM use WHERE period < ? AND tries = x_tries AND guessed = x_guessed AND "
            "settled = x_settled");
        if (!batches.bind(at).run() || !usage.bind(at).run()) return roll_back("prune");
    }
    return commit();
}

Status LedgerStore::close_epoch() {
    SqliteStatement update(db_, "UPDATE epoch SET clean = 1 WHERE number = ?");
    if (!update.bind(epoch_).run()) return roll_back("close");
    return {};
}

std::vector<LedgerStore::Row> LedgerStore::rows() {
    std::vector<Row> rows;
    SqliteStatement all(
        db_,
        "SELECT account, plan, period, tries, guessed, settled, x_tries, x_guessed, x_settled FROM use "
        "ORDER BY period, account, plan");
    while (all.next_row()) {
        rows.push_back({static_cast<AccountId>(all.number(0)),
                        all.text(1),
                        std::chrono::milliseconds(all.number(2)),
                        {all.number(3), all.number(4), all.number(5)},
                        {all.number(6), all.number(7), all.number(8)}});
    }
    return rows;
}

std::vector<std::string> LedgerStore::verify() { return verify_ledger(db_); }

}  // namespace linnetlead::metering
