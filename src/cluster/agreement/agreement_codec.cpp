#include "cluster/agreement/agreement_codec.h"

#include <utility>

#include "cluster/agreement/cbor.h"
#include "cluster/agreement/heartbeat_codec.h"

namespace linnetlead::agreement {

using nlohmann::json;

namespace {

constexpr int kFormatVersion = 1;
constexpr std::size_t kHeaderFields = 5;

json write_header(const Message& message) {
    return json::array({kFormatVersion, static_cast<unsigned>(message.kind),
                        static_cast<unsigned>(message.from), static_cast<unsigned>(message.presence),
                        message.incarnation});
}

void append_entries(json& out, const Message& message) {
    out.push_back(message.bucket);
    out.push_back(message.key_hash);
    out.push_back(message.has_more ? 1U : 0U);
    json list = json::array();
    for (const Entry& entry : message.entries) {
        list.push_back(
            {entry.key_hash, entry.stamp.number, entry.stamp.deleted ? 1U : 0U, entry.stamp.tie_break});
    }
    out.push_back(std::move(list));
}

void append_chunk(json& out, const Chunk& chunk) {
    out.push_back(chunk.key);
    out.push_back(chunk.number);
    out.push_back(static_cast<unsigned>(chunk.origin));
    out.push_back(chunk.deleted ? 1U : 0U);
    out.push_back(static_cast<std::uint64_t>(chunk.expires_ms));
    out.push_back(chunk.digest);
    out.push_back(chunk.size);
    out.push_back(chunk.offset);
    out.push_back(binary(chunk.bytes));
}

void append_batch(json& out, const std::vector<Chunk>& batch) {
    json list = json::array();
    for (const Chunk& chunk : batch) {
        list.push_back({chunk.key, chunk.number, static_cast<unsigned>(chunk.origin), chunk.deleted ? 1U : 0U,
                        static_cast<std::uint64_t>(chunk.expires_ms), binary(chunk.bytes)});
    }
    out.push_back(std::move(list));
}

void append_body(json& out, const Message& message, std::uint64_t datagram_number) {
    switch (message.kind) {
        case MessageKind::kPing:
        case MessageKind::kAck:
            out.push_back(message.sequence);
            append_heartbeat(out, message.heartbeat, datagram_number);
            break;
        case MessageKind::kPingRequest:
        case MessageKind::kIndirectAck:
            out.push_back(message.sequence);
            out.push_back(static_cast<unsigned>(message.target));
            break;
        case MessageKind::kBucketHashes:
            out.push_back(message.bucket_hashes);
            break;
        case MessageKind::kEntries:
        case MessageKind::kOffer:
            append_entries(out, message);
            break;
        case MessageKind::kRecordRequest:
            out.push_back(message.key_hash);
            out.push_back(message.offset);
            break;
        case MessageKind::kChunk:
            append_chunk(out, message.chunk);
            break;
        case MessageKind::kBatch:
            append_batch(out, message.batch);
            break;
        case MessageKind::kApplication:
            out.push_back(binary(message.payload));
            break;
    }
}

bool read_bucket_hashes(const json& datagram, Message& message) {
    if (datagram.size() != kHeaderFields + 1 || !datagram[kHeaderFields].is_array()) return false;
    for (const json& hash : datagram[kHeaderFields]) {
        if (!hash.is_number_unsigned()) return false;
        message.bucket_hashes.push_back(hash.get<std::uint32_t>());
    }
    return message.bucket_hashes.size() == ReplicatedRecords::kBuckets;
}

void read_entries(ArrayReader& from, Message& message) {
    message.bucket = from.number<std::size_t>(ReplicatedRecords::kBuckets - 1);
    message.key_hash = from.number<std::uint32_t>(kMaxUint32);
    message.has_more = from.flag();
    from.each([&](ArrayReader& item) {
        Entry entry;
        entry.key_hash = item.number<std::uint32_t>(kMaxUint32);
        entry.stamp.number = item.number<std::uint64_t>();
        entry.stamp.deleted = item.flag();
        entry.stamp.tie_break = item.number<std::uint32_t>(kMaxUint32);
        message.entries.push_back(entry);
    });
}

bool read_chunk(ArrayReader& from, Chunk& chunk) {
    chunk.key = from.text();
    chunk.number = from.number<std::uint64_t>();
    chunk.origin = from.number<int>(kMaxGatewayNumber);
    chunk.deleted = from.flag();
    chunk.expires_ms = from.number<std::int64_t>(kMaxUnixMs);
    chunk.digest = from.number<std::uint64_t>();
    chunk.size = from.number<std::size_t>(kMaxValueBytes);
    chunk.offset = from.number<std::size_t>(kMaxValueBytes);
    chunk.bytes = from.bytes();
    return !chunk.key.empty() && chunk.key.size() <= kMaxKeyBytes &&
           chunk.offset + chunk.bytes.size() <= chunk.size;
}

void read_batch(ArrayReader& from, std::vector<Chunk>& batch) {
    from.each([&](ArrayReader& item) {
        Chunk chunk;
        chunk.key = item.text();
        chunk.number = item.number<std::uint64_t>();
        chunk.origin = item.number<int>(kMaxGatewayNumber);
        chunk.deleted = item.flag();
        chunk.expires_ms = item.number<std::int64_t>(kMaxUnixMs);
        chunk.bytes = item.bytes();
        chunk.size = chunk.bytes.size();
        chunk.digest = hash_of(chunk.bytes);
        batch.push_back(std::move(chunk));
    });
}

// False if the body is invalid; invalid fields may instead show as !from.good().
bool read_body(ArrayReader& from, const json& datagram, Message& message) {
    switch (message.kind) {
        case MessageKind::kPing:
        case MessageKind::kAck:
            message.sequence = from.number<std::uint32_t>(kMaxUint32);
            message.heartbeat = read_heartbeat(from);
            return true;
        case MessageKind::kPingRequest:
        case MessageKind::kIndirectAck:
            message.sequence = from.number<std::uint32_t>(kMaxUint32);
            message.target = from.number<int>(kMaxGatewayNumber);
            return true;
        case MessageKind::kBucketHashes:
            return read_bucket_hashes(datagram, message);
        case MessageKind::kEntries:
        case MessageKind::kOffer:
            read_entries(from, message);
            return true;
        case MessageKind::kRecordRequest:
            message.key_hash = from.number<std::uint32_t>(kMaxUint32);
            message.offset = from.number<std::size_t>(kMaxValueBytes);
            return true;
        case MessageKind::kChunk:
            return read_chunk(from, message.chunk);
        case MessageKind::kBatch:
            read_batch(from, message.batch);
            return true;
        case MessageKind::kApplication:
            message.payload = from.bytes();
            return true;
    }
    return false;
}

}  // namespace

std::size_t chunk_capacity(const std::string& key) {
    // The datagram header, the chunk's numbers at their longest, and their CBOR headers.
    constexpr std::size_t kOverheadBytes = 66;
    return kMaxDatagramBytes - kOverheadBytes - key.size();
}

std::size_t batch_size(const Record& record) {
    // The record's fields as append_batch() writes them, without the value and its CBOR header.
    constexpr std::size_t kValueHeaderBytes = 4;
    return write_cbor(json{record.key, record.number, static_cast<unsigned>(record.origin), 1U,
                           static_cast<std::uint64_t>(record.expires_at.count() / 1'000'000)})
               .size() +
           record.value.size() + kValueHeaderBytes;
}

std::string encode(const Message& message, std::uint64_t datagram_number) {
    json datagram = write_header(message);
    append_body(datagram, message, datagram_number);
    std::string bytes = write_cbor(datagram);
    return bytes.size() <= kMaxDatagramBytes ? bytes : std::string();
}

std::optional<Message> decode(std::string_view bytes) {
    if (bytes.empty() || bytes.size() > kMaxDatagramBytes) return std::nullopt;
    const json datagram = read_cbor(bytes);
    if (!datagram.is_array()) return std::nullopt;
    ArrayReader from(datagram);
    Message message;
    if (from.number<int>() != kFormatVersion) return std::nullopt;
    message.kind = static_cast<MessageKind>(from.number<int>(static_cast<int>(MessageKind::kApplication)));
    message.from = from.number<int>(kMaxGatewayNumber);
    message.presence = static_cast<Presence>(from.number<int>(static_cast<int>(Presence::kGone)));
    message.incarnation = from.number<Incarnation>();
    if (!from.good()) return std::nullopt;
    if (!read_body(from, datagram, message) || !from.good()) return std::nullopt;
    return message;
}

}  // namespace linnetlead::agreement
