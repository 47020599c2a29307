// Encodes and decodes the heartbeat in a datagram, and defines the reader of CBOR arrays that the datagram
// codec uses. Called by agreement_codec.cpp only.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "cluster/agreement/agreement_codec.h"

namespace linnetlead::agreement {

// Upper bounds of values in a datagram.
constexpr std::uint64_t kMaxGatewayNumber = 9999;
constexpr std::uint64_t kMaxUnixMs = std::uint64_t{1} << 52;
constexpr std::uint64_t kMaxUint32 = ~std::uint32_t{0};

// A CBOR byte string.
nlohmann::json binary(const std::string& bytes);

// Reads the values of an array in order. After a value that is missing, of another type or out of bounds,
// good() is false and all further values read as zero or empty.
class ArrayReader {
public:
    explicit ArrayReader(const nlohmann::json& array) : array_(&array), good_(array.is_array()) {}

    template <typename Number>
    Number number(std::uint64_t max = ~std::uint64_t{0}) {
        const nlohmann::json* value = next();
        if (!value || !value->is_number_unsigned()) return fail<Number>();
        const auto read = value->get<std::uint64_t>();
        if (read > max) return fail<Number>();
        return static_cast<Number>(read);
    }
    bool flag() { return number<int>(1) == 1; }
    std::string text() {
        const nlohmann::json* value = next();
        return value && value->is_string() ? value->get<std::string>() : fail<std::string>();
    }
    std::string bytes() {
        const nlohmann::json* value = next();
        if (!value || !value->is_binary()) return fail<std::string>();
        const auto& read = value->get_binary();
        return {read.begin(), read.end()};
    }
    // The next value is an array of arrays: calls `read_item` with a reader of each inner array.
    template <typename ReadItem>
    void each(ReadItem read_item) {
        const nlohmann::json* value = next();
        if (!value || !value->is_array()) return void(fail<int>());
        for (const nlohmann::json& item : *value) {
            ArrayReader inner(item);
            read_item(inner);
            good_ = good_ && inner.good_;
        }
    }
    bool good() const { return good_; }

private:
    const nlohmann::json* next() {
        if (!good_ || position_ >= array_->size()) return nullptr;
        return &(*array_)[position_++];
    }
    template <typename Value>
    Value fail() {
        good_ = false;
        return {};
    }
    const nlohmann::json* array_;
    std::size_t position_ = 0;
    bool good_ = true;
};

// Appends a heartbeat to a datagram that is complete up to it, so that the remaining bytes are known. For
// `datagram_number` see encode().
void append_heartbeat(nlohmann::json& datagram, const Heartbeat& heartbeat, std::uint64_t datagram_number);
Heartbeat read_heartbeat(ArrayReader& from);

}  // namespace linnetlead::agreement
