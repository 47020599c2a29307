#include "cluster/distribution/cbor_fields.h"

#include "storage/checksummed_file.h"

namespace linnetlead::distribution::wire_form {

namespace {

constexpr int kMaxDepth = 6;
constexpr std::size_t kMinCompressedBytes = 1024;
constexpr std::size_t kMaxEditsBytes = 2 * kMaxChangeBytes;

// Scans CBOR without decoding it. False if it is truncated, nested too deeply, or has a type that no frame
// uses (maps, tags, floating point, indefinite lengths).
bool is_shallow(std::string_view bytes) {
    std::uint64_t left[kMaxDepth + 1] = {1};
    int depth = 0;
    std::size_t at = 0;
    while (true) {
        while (depth > 0 && left[depth] == 0) --depth;
        if (left[depth] == 0) return at == bytes.size();
        --left[depth];
        if (at >= bytes.size()) return false;
        const auto head = static_cast<unsigned char>(bytes[at++]);
        const int kind = head >> 5;
        const unsigned low = head & 31U;
        std::uint64_t value = low;
        if (low >= 24) {
            if (low > 27) return false;
            const std::size_t size = std::size_t{1} << (low - 24);
            if (bytes.size() - at < size) return false;
            value = 0;
            for (std::size_t i = 0; i < size; ++i)
                value = value << 8 | static_cast<unsigned char>(bytes[at + i]);
            at += size;
        }
        if (kind == 2 || kind == 3) {
            if (bytes.size() - at < value) return false;
            at += value;
        } else if (kind == 4) {
            if (depth == kMaxDepth || value > bytes.size() - at) return false;
            left[++depth] = value;
        } else if (kind == 5 || kind == 6 || (kind == 7 && (low < 20 || low > 22))) {
            return false;
        }
    }
}

}  // namespace

std::optional<json> read_array(std::string_view bytes) {
    if (!is_shallow(bytes)) return std::nullopt;
    json value = agreement::read_cbor(bytes);
    if (!value.is_array()) return std::nullopt;
    return value;
}

json change_form(const Change& change) {
    // The edits are one byte string: thousands of keys would be as many JSON values, and similar keys
    // compress well together.
    std::string edits;
    for (const Edit& edit : change.edits) {
        put_text(edits, edit.key);
        put_number(edits, edit.value ? edit.value->size() + 1 : 0);
        if (edit.value) edits += *edit.value;
    }
    const bool is_compressed = edits.size() > kMinCompressedBytes;
    return json::array({change.id, change.base_revision, is_compressed ? 1U : 0U,
                        to_binary(is_compressed ? storage::compress(edits) : edits)});
}

bool read_change(Fields& fields, Change& change) {
    // The limits here are up to four times those of a change, so that check() can reject a change that is
    // slightly too large with an answer that names the limit.
    change.id = fields.text(4 * kMaxIdBytes);
    change.base_revision = fields.number();
    const bool is_compressed = fields.number(1) == 1;
    std::string_view bytes = fields.bytes(kMaxEditsBytes);
    if (!fields.ok()) return false;
    Result<std::string> decompressed;
    if (is_compressed) {
        decompressed = storage::decompress(bytes, kMaxEditsBytes);
        if (!decompressed) return false;
        bytes = *decompressed;
    }
    while (!bytes.empty()) {
        Edit edit;
        std::string_view key;
        std::uint64_t size = 0;
        if (change.edits.size() == 4 * kMaxEdits || !take_text(bytes, key, 4 * kMaxKeyBytes) ||
            !take_number(bytes, size) || size > 4 * kMaxValueBytes || (size > 0 && size - 1 > bytes.size()))
            return false;
        edit.key = key;
        if (size > 0) {
            edit.value = std::string(bytes.substr(0, size - 1));
            bytes.remove_prefix(size - 1);
        }
        change.edits.push_back(std::move(edit));
    }
    return true;
}

void put_number(std::string& out, std::uint64_t value) {
    for (; value >= 128; value >>= 7) out.push_back(static_cast<char>(value | 128));
    out.push_back(static_cast<char>(value));
}

bool take_number(std::string_view& bytes, std::uint64_t& value) {
    value = 0;
    for (int shift = 0; shift < 64 && !bytes.empty(); shift += 7) {
        const auto byte = static_cast<unsigned char>(bytes.front());
        bytes.remove_prefix(1);
        value |= static_cast<std::uint64_t>(byte & 127U) << shift;
        if (byte < 128) return true;
    }
    return false;
}

void put_text(std::string& out, std::string_view text) {
    put_number(out, text.size());
    out.append(text);
}

bool take_text(std::string_view& bytes, std::string_view& text, std::size_t max_bytes) {
    std::uint64_t size = 0;
    if (!take_number(bytes, size) || size > max_bytes || size > bytes.size()) return false;
    text = bytes.substr(0, size);
    bytes.remove_prefix(size);
    return true;
}

}  // namespace linnetlead::distribution::wire_form
