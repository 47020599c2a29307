// Memory that the connections of a loop keep in buffers. Each stream reports its own; while the sum is high,
// connections read and write in smaller pieces.
#pragma once

#include <cstddef>
#include <cstdint>

namespace linnetlead::net {

class BufferGauge {
public:
    // `bytes`: from where on it is high.
    void set_high(std::size_t bytes) { high_ = bytes; }
    void add(std::size_t bytes) { bytes_ += bytes; }
    void remove(std::size_t bytes) { bytes_ -= bytes; }
    std::size_t bytes() const { return bytes_; }
    bool is_high() const { return bytes_ > high_; }

private:
    std::size_t bytes_ = 0;
    std::size_t high_ = SIZE_MAX;
};

}  // namespace linnetlead::net
