// A prepared statement of SQLite, for use within the ledger's implementation files.
#pragma once

#include <sqlite3.h>

#include <cstdint>
#include <string>

namespace linnetlead::metering {

// Parameters are bound in order and rows are read one by one. After a failure good() stays false; the
// database's error message states the reason.
class SqliteStatement {
public:
    SqliteStatement(sqlite3* db, const char* sql) {
        good_ = sqlite3_prepare_v2(db, sql, -1, &statement_, nullptr) == SQLITE_OK;
    }
    ~SqliteStatement() { sqlite3_finalize(statement_); }
    SqliteStatement(const SqliteStatement&) = delete;
    SqliteStatement& operator=(const SqliteStatement&) = delete;

    SqliteStatement& bind(std::int64_t value) {
        sqlite3_bind_int64(statement_, ++bound_, value);
        return *this;
    }
    SqliteStatement& bind(const std::string& text) {
        sqlite3_bind_text(statement_, ++bound_, text.data(), static_cast<int>(text.size()), SQLITE_TRANSIENT);
        return *this;
    }
    SqliteStatement& bind_blob(const std::string& bytes) {
        sqlite3_bind_blob(statement_, ++bound_, bytes.data(), static_cast<int>(bytes.size()),
                          SQLITE_TRANSIENT);
        return *this;
    }
    // Steps to the next row. False: there is none, or the step failed; good() distinguishes the two.
    bool next_row() {
        if (!good_) return false;
        const int result = sqlite3_step(statement_);
        good_ = result == SQLITE_ROW || result == SQLITE_DONE;
        return result == SQLITE_ROW;
    }
    // Runs a statement that returns no rows. False: it failed.
    bool run() { return !next_row() && good_; }
    void reset() {
        sqlite3_reset(statement_);
        bound_ = 0;
    }
    bool good() const { return good_; }

    // Columns of the current row, numbered from 0.
    std::int64_t number(int column) { return sqlite3_column_int64(statement_, column); }
    std::string text(int column) {
        const void* bytes = sqlite3_column_blob(statement_, column);
        return std::string(static_cast<const char*>(bytes ? bytes : ""),
                           static_cast<std::size_t>(sqlite3_column_bytes(statement_, column)));
    }

private:
    sqlite3_stmt* statement_ = nullptr;
    int bound_ = 0;
    bool good_ = false;
};

}  // namespace linnetlead::metering
