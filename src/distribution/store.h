// A state: values by key, held close together, each with the number of the record that set it last. 760,000
// keys of 25 bytes with values of 60 have to stay well under 128 MB. No I/O.
#pragma once

#include <functional>

#include "change.h"

namespace linnetlead::distribution {

class Store {
public:
    Store();
    // Valid until the next change of the store.
    std::optional<std::string_view> find(std::string_view key) const;
    Number changed(std::string_view key) const;  // 0: never, or long taken away
    void set(std::string_view key, std::optional<std::string_view> value, Number number);

    std::size_t size() const;   // keys that have a value
    std::size_t bytes() const;  // of memory, about
    // Over keys that begin with this; the order is the table's.
    void each(std::string_view prefix,
              const std::function<void(std::string_view key, std::string_view value)>& act) const;
    // In slices: entries changed behind `since` (also those taken away: no value), from `place` on, until
    // `most` bytes are told. Returns the next place; 0: that was all. A change of the store between two
    // slices makes places void.
    std::size_t slice(std::size_t place, Number since, std::size_t most,
                      const std::function<void(std::string_view key, std::optional<std::string_view> value,
                                               Number number)>& act) const;
    // Since which number keys that were taken away are still known: behind older ones only a whole copy will
    // do.
    Number tombstones_since() const;
    std::uint64_t hash() const;  // of keys and values, the same in any order
};

}  // namespace linnetlead::distribution
