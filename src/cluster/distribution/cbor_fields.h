// Helpers to encode frames and records as CBOR and to decode them with a limit on every length. Used by the
// files of this folder only.
#pragma once

#include "cluster/agreement/cbor.h"
#include "cluster/distribution/change.h"

namespace linnetlead::distribution::wire_form {

using nlohmann::json;

// Decodes an array. Rejects arrays nested deeper than those of frames, since the CBOR library decodes
// recursively.
std::optional<json> read_array(std::string_view bytes);

inline json to_binary(std::string_view bytes) {
    return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

// Reads an array's fields in order. A field that is missing, of another type or over its limit makes ok()
// false.
class Fields {
public:
    explicit Fields(const json& array) : array_(array) {
        if (!array.is_array()) ok_ = false;
    }
    bool ok() const { return ok_; }
    bool done() const { return ok_ && next_ == array_.size(); }
    bool more() const { return ok_ && next_ < array_.size(); }
    void fail() { ok_ = false; }

    std::uint64_t number(std::uint64_t max = ~std::uint64_t{0}) {
        const json* field = next();
        if (!field || !field->is_number_unsigned()) return fail(), 0;
        const auto value = field->get<std::uint64_t>();
        return value <= max ? value : (fail(), 0);
    }
    std::int64_t integer() {
        const json* field = next();
        if (!field || !field->is_number_integer()) return fail(), 0;
        if (field->is_number_unsigned() && field->get<std::uint64_t>() > (std::uint64_t{1} << 62))
            return fail(), 0;
        return field->get<std::int64_t>();
    }
    Timestamp time() { return Timestamp(integer()); }
    std::string text(std::size_t max_bytes) {
        const json* field = next();
        if (!field || !field->is_string()) return fail(), std::string();
        const auto& value = field->get_ref<const std::string&>();
        return value.size() <= max_bytes ? value : (fail(), std::string());
    }
    // Empty on failure.
    std::string_view bytes(std::size_t max_bytes) {
        const json* field = next();
        if (!field || !field->is_binary()) return fail(), std::string_view();
        const auto& value = field->get_binary();
        if (value.size() > max_bytes) return fail(), std::string_view();
        return {reinterpret_cast<const char*>(value.data()), value.size()};
    }
    const json& array(std::size_t max_size) {
        static const json kEmpty = json::array();
        const json* field = next();
        if (!field || !field->is_array() || field->size() > max_size) return fail(), kEmpty;
        return *field;
    }

private:
    const json* next() {
        if (!more()) return fail(), nullptr;
        return &array_[next_++];
    }
    const json& array_;
    std::size_t next_ = 0;
    bool ok_ = true;
};

json change_form(const Change& change);
// Decodes any content within the limits; check() decides whether it is a valid change.
bool read_change(Fields& fields, Change& change);

// Variable-length integers (7 bits per byte, lowest first) and strings with such a length, for data that zstd
// compresses.
void put_number(std::string& out, std::uint64_t value);
bool take_number(std::string_view& bytes, std::uint64_t& value);
void put_text(std::string& out, std::string_view text);
bool take_text(std::string_view& bytes, std::string_view& text, std::size_t max_bytes);

}  // namespace linnetlead::distribution::wire_form
