// Parser and writer of the RESP2 protocol on buffers, without I/O. Used by the downstream server and by the
// clients of endpoints and of the counter service.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace linnetlead::resp {

constexpr std::size_t kMaxBulk = 64 * 1024;               // longest value that is buffered completely
constexpr std::size_t kMaxLong = 4 * 1024 * 1024;         // longest value that is streamed in pieces
constexpr std::size_t kMaxMessage = kMaxBulk + 8 * 1024;  // longest message that a buffer has to hold
constexpr std::size_t kMaxItems = 64;                     // per array
constexpr std::size_t kMaxLine = 1024;

enum class Type { kSimple, kError, kInteger, kBulk, kNull };

struct Item {
    Type type = Type::kNull;
    std::string_view text;  // a slice of the buffer that was parsed
};

struct Message {
    bool array = false;
    std::vector<Item> items;  // exactly one unless it is an array
    std::size_t count = 0;    // announced number of items, known before all of them are received
    std::size_t size = 0;     // bytes of the buffer that the message occupies
    std::size_t left = 0;     // of a long bulk: bytes that follow, without its line end
};

// kLongBulk: a bulk string over the bound starts after `size` bytes; the items before it are parsed.
enum class Parsed { kWhole, kPartial, kMalformed, kLongBulk };

// Parses the message at the start of the buffer. A partial message is parsed again from its start when more
// bytes have arrived; this is cheap, because bulk strings are skipped by their length. Nested arrays count as
// malformed. `max_bulk`: longest bulk string that does not count as long, at most kMaxBulk; `max_message`:
// longest message, without a long bulk.
Parsed parse(std::string_view buffer, Message& message, std::size_t max_bulk = kMaxBulk,
             std::size_t max_message = kMaxMessage);

void write_bulk(std::string& out, std::string_view text);
void write_array(std::string& out, std::size_t items);

}  // namespace linnetlead::resp
