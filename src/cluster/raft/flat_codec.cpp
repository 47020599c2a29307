#include "cluster/raft/flat_codec.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace linnetlead::raft {

namespace {

using nlohmann::json;

// Accepts one array of unsigned numbers and no nested values, so that hostile input can neither nest deeply
// nor cause an allocation for a declared size that exceeds the input.
class NumberArrayHandler : public nlohmann::json_sax<json> {
public:
    explicit NumberArrayHandler(std::vector<std::uint64_t>& out) : out_(out) {}
    bool null() override { return false; }
    bool boolean(bool) override { return false; }
    bool number_integer(number_integer_t) override { return false; }
    bool number_unsigned(number_unsigned_t number) override {
        out_.push_back(number);
        return is_within_array_;
    }
    bool number_float(number_float_t, const string_t&) override { return false; }
    bool string(string_t&) override { return false; }
    bool binary(binary_t&) override { return false; }
    bool start_object(std::size_t) override { return false; }
    bool key(string_t&) override { return false; }
    bool end_object() override { return false; }
    bool start_array(std::size_t) override { return !std::exchange(is_within_array_, true); }
    bool end_array() override { return true; }
    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
        return false;
    }

private:
    std::vector<std::uint64_t>& out_;
    bool is_within_array_ = false;
};

}  // namespace

std::uint64_t checksum_of(std::string_view bytes, std::uint64_t seed) {
    return XXH64(bytes.data(), bytes.size(), seed);
}

void append_fixed(std::string& out, std::uint64_t number, int bytes) {
    for (int i = bytes - 1; i >= 0; --i) out += static_cast<char>(number >> (8 * i));
}

std::uint64_t read_fixed(std::string_view from, int bytes) {
    std::uint64_t number = 0;
    for (int i = 0; i < bytes; ++i) number = number << 8 | static_cast<std::uint8_t>(from[i]);
    return number;
}

std::string encode_flat(std::uint8_t version, const std::vector<std::uint64_t>& numbers,
                        const std::vector<std::string_view>& parts, std::uint64_t seed) {
    std::string array;
    json::to_cbor(json(numbers), array);
    std::size_t size = array.size() + kFlatHeaderBytes;
    for (const std::string_view part : parts) size += part.size();
    std::string out;
    out.reserve(size);
    out += static_cast<char>(version);
    append_fixed(out, 0, 8);
    append_fixed(out, array.size(), 4);
    out += array;
    for (const std::string_view part : parts) out += part;
    std::string sum;
    append_fixed(sum, checksum_of(std::string_view(out).substr(kFlatChecksumOffset + 8), seed), 8);
    out.replace(kFlatChecksumOffset, 8, sum);
    return out;
}

tl::expected<FlatRecord, FlatError> decode_flat(std::uint8_t version, std::string_view from,
                                                std::uint64_t seed) {
    const tl::unexpected<FlatError> malformed(FlatError::kMalformed);
    if (from.size() < kFlatHeaderBytes) return malformed;
    if (static_cast<std::uint8_t>(from[0]) != version)
        return tl::unexpected<FlatError>(FlatError::kUnknownVersion);
    const std::string_view rest = from.substr(kFlatChecksumOffset + 8);
    if (read_fixed(from.substr(kFlatChecksumOffset), 8) != checksum_of(rest, seed)) return malformed;
    const std::uint64_t array_bytes = read_fixed(rest, 4);
    if (array_bytes > kMaxFlatArrayBytes || array_bytes > rest.size() - 4) return malformed;
    const std::string_view array = rest.substr(4, array_bytes);
    FlatRecord record;
    NumberArrayHandler handler(record.numbers);
    if (!json::sax_parse(array.begin(), array.end(), &handler, json::input_format_t::cbor)) return malformed;
    record.bytes = rest.substr(4 + array_bytes);
    return record;
}

}  // namespace linnetlead::raft
