// Checks the integrity and consistency of a stored ledger; LedgerStore calls it when it opens one.
#pragma once

#include <string>
#include <vector>

struct sqlite3;

namespace linnetlead::metering {

// Checks every checksum, the sequence and the chain of the batches, and that the sums of the batches equal
// what the rows state as exported. Returns one line for each problem; empty: the ledger is intact.
std::vector<std::string> verify_ledger(sqlite3* db);

}  // namespace linnetlead::metering
