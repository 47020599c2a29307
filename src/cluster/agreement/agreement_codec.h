// Encodes and decodes the datagrams between the gateways of a group: CBOR arrays of at most 256 bytes, which
// pass any network path unfragmented. Items that do not fit wait for the next datagram. The layout is a wire
// format: gateways of different releases exchange datagrams during a deployment. Called by ConfigAgreement,
// DatagramSender and AntiEntropy.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/agreement/committee.h"
#include "cluster/agreement/membership.h"
#include "cluster/agreement/replicated_records.h"

namespace linnetlead::agreement {

constexpr std::size_t kMaxDatagramBytes = 256;

// The values are the numbers in the datagram.
enum class MessageKind {
    kPing,
    kAck,
    kPingRequest,    // asks the receiver to ping the target on the sender's behalf
    kIndirectAck,    // the target of a ping request has answered
    kBucketHashes,   // hashes of the sender's records, one per bucket
    kEntries,        // stamps of the sender's records in one bucket
    kOffer,          // stamps of new records that are too long to send unrequested
    kRecordRequest,  // asks for a record, starting at an offset
    kChunk,          // a part of a record
    kBatch,          // several short records, each complete
    kApplication,    // payload of another module (shared health, prepared statements)
};

// The state that a gateway sends with each ping and ack.
struct Heartbeat {
    std::int64_t sent_ms = 0;         // Unix time
    std::uint64_t records_hash = 0;   // of all records that the sender holds
    std::uint32_t proposal_hash = 0;  // see ConfigTopics::proposal_hash()
    struct Statement {
        int seat = 0;             // in the committee
        std::int64_t age_ms = 0;  // at the time the heartbeat is sent
        ConfigFingerprint fingerprint;
    };
    std::vector<Statement> statements;
    std::string holders;  // ProposalHolders::bitmap()
    std::vector<Gossip> gossip;
};

// Identifies a record and its version in kEntries and kOffer.
struct Entry {
    std::uint32_t key_hash = 0;
    Stamp stamp;
};

// A part of a record, with the fields of the whole record.
struct Chunk {
    std::string key;
    std::uint64_t number = 0;
    int origin = 0;
    bool deleted = false;
    std::int64_t expires_ms = 0;  // Unix time; 0: never
    std::uint64_t digest = 0;     // of the complete value
    std::size_t size = 0;         // of the complete value, in bytes
    std::size_t offset = 0;
    std::string bytes;
};

struct Message {
    MessageKind kind = MessageKind::kPing;
    // About the sender.
    int from = 0;
    Presence presence = Presence::kJoining;
    Incarnation incarnation = 0;
    // Which of the following fields are sent depends on the kind.
    std::uint32_t sequence = 0;  // of the ping
    int target = 0;              // of kPingRequest and kIndirectAck
    Heartbeat heartbeat;         // of kPing and kAck
    std::vector<std::uint32_t> bucket_hashes;
    std::size_t bucket = 0;
    std::vector<Entry> entries;
    // kRecordRequest: of the requested record. kEntries: the last key hash of the previous page; 0 on the
    // first page.
    std::uint32_t key_hash = 0;
    std::size_t offset = 0;  // kRecordRequest: where the reply starts, in bytes
    bool has_more = false;   // kEntries: another page follows
    Chunk chunk;
    std::vector<Chunk> batch;  // whole records: digest, size and offset are not sent
    std::string payload;
};

// Returns an empty string if the message is too long. Of a heartbeat's lists, encodes the first items that
// fit. If statements and holders do not both fit, statements take precedence in datagrams with an even
// `datagram_number`, holders in the others.
std::string encode(const Message& message, std::uint64_t datagram_number = 0);
// None if the bytes are not a valid message.
std::optional<Message> decode(std::string_view bytes);

// The number of entries that fit into one datagram.
constexpr std::size_t kMaxEntries = 10;
// The number of value bytes of a record with this key that fit into one chunk.
std::size_t chunk_capacity(const std::string& key);
// The number of bytes that a whole record takes up in a batch.
std::size_t batch_size(const Record& record);
// The number of bytes that a batch holds, after the headers of datagram and list.
constexpr std::size_t kBatchCapacity = kMaxDatagramBytes - 24;

}  // namespace linnetlead::agreement
