// The stored format of the usage ledger: its SQLite tables and the checksum of a usage row.
#pragma once

#include <cstdint>
#include <string>

#include "metering/usage_ledger.h"

namespace linnetlead::metering {

// Times are milliseconds of Unix time. The `x_` columns of `use` hold what was exported; `batch.receipted` is
// the time of the receiver's receipt, 0 before; `epoch.clean` is 1 once a process has closed its epoch.
constexpr const char* kLedgerTables = R"sql(
CREATE TABLE IF NOT EXISTS ledger(id TEXT, gateway TEXT, schema TEXT);
CREATE TABLE IF NOT EXISTS epoch(number INTEGER PRIMARY KEY, lease INTEGER, counted INTEGER, clean INTEGER);
CREATE TABLE IF NOT EXISTS use(account INTEGER, plan TEXT, period INTEGER, tries INTEGER, guessed INTEGER,
  settled INTEGER, x_tries INTEGER, x_guessed INTEGER, x_settled INTEGER, sum INTEGER,
  PRIMARY KEY(account, plan, period)) WITHOUT ROWID;
CREATE INDEX IF NOT EXISTS unexported ON use(period)
  WHERE tries <> x_tries OR guessed <> x_guessed OR settled <> x_settled;
CREATE TABLE IF NOT EXISTS batch(number INTEGER PRIMARY KEY, made INTEGER, rows INTEGER, checksum TEXT,
  content BLOB, receipted INTEGER);
)sql";

// The checksum of a row of `use`, stored in its column `sum`. SQLite detects torn pages, but not flipped
// bits. `period_ms`: the instant at which the period begins.
std::int64_t row_checksum(AccountId account, const std::string& row_name, std::int64_t period_ms,
                          const Usage& usage, const Usage& exported);

}  // namespace linnetlead::metering
