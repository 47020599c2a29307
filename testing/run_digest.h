// A digest of a run in virtual time: every send with its instant and bytes, and every event, in order. Two
// programs that decide alike, draw the same random numbers and write the same bytes give the same digest.
#pragma once

#include <cstdint>
#include <cstdio>
#include <string_view>

namespace linnetlead::test_support {

// FNV-1a, 64 bits.
class RunDigest {
public:
    void add(std::string_view bytes) {
        add(static_cast<std::uint64_t>(bytes.size()));
        for (const char byte : bytes) add_byte(static_cast<unsigned char>(byte));
    }
    void add(std::uint64_t number) {
        for (unsigned shift = 0; shift < 64; shift += 8)
            add_byte(static_cast<unsigned char>(number >> shift));
    }
    // By its decimal digits, which are the same on all machines.
    void add(double number) {
        char text[40];
        std::snprintf(text, sizeof text, "%.17g", number);
        add(std::string_view(text));
    }
    std::uint64_t value() const { return value_; }

private:
    static constexpr std::uint64_t kOffsetBasis = 14695981039346656037ULL, kPrime = 1099511628211ULL;
    void add_byte(unsigned char byte) { value_ = (value_ ^ byte) * kPrime; }
    std::uint64_t value_ = kOffsetBasis;
};

}  // namespace linnetlead::test_support
