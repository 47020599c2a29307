// Replicates records between gateways. New records are piggybacked on heartbeats. Records that still differ
// are found by comparing bucket hashes and then the entries of unequal buckets. A gateway that lacks a long
// value fetches it chunk by chunk. Driven by ConfigAgreement. No I/O and no clock: the caller passes the
// time.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cluster/agreement/agreement_codec.h"

namespace linnetlead::agreement {

class AntiEntropy {
public:
    // Implemented by the owner, which outlives this object.
    class Owner {
    public:
        virtual ~Owner() = default;
        // False if the datagram budget is exhausted and the message was not sent.
        virtual bool send(int to, Message message) = 0;
        // Asked when a whole record has arrived. False: the record is superseded and is not stored.
        virtual bool should_store(const Record& record) const = 0;
        // Called after a received record has been stored.
        virtual void on_record_stored(const Record& record) = 0;
    };
    AntiEntropy(ReplicatedRecords& records, Owner& owner);

    // Schedules a record that was written here or just received to be passed on.
    void schedule_gossip(const std::string& key);
    // Sends scheduled records to a member, along with a heartbeat that goes to it or came from it.
    void piggyback(int to);
    // Called if the records hash in a member's heartbeat differs from the one here. Starts a comparison,
    // unless one was started just before or scheduled records are likely to remove the difference.
    void on_hash_mismatch(Timestamp now, int from);
    void on_message(Timestamp now, const Message& message);
    // Repeats timed-out requests for chunks and gives up transfers that take too long.
    void tick(Timestamp now);
    // Call when all records are dropped: drops scheduled gossip, transfers and requests.
    void clear();

private:
    // How often each gateway passes on a record that it has learnt. This reaches all but a few percent of the
    // gateways; comparisons reach the rest.
    static constexpr int kRetransmissions = 6;
    static constexpr std::size_t kMaxIncomplete = 8;  // concurrent transfers of long values
    static constexpr std::size_t kChunksPerRequest = 6;
    static constexpr std::size_t kMaxBucketsCompared = 4;  // per message of bucket hashes
    static constexpr int kMaxPiggybacked = 2;              // datagrams of short records per heartbeat
    static constexpr Duration kRequestTimeout = std::chrono::milliseconds(120);
    static constexpr Duration kTransferTimeout = std::chrono::seconds(6);
    static constexpr Duration kCompareInterval = std::chrono::milliseconds(150);
    // While records are still being passed on, the sets of two gateways differ anyway. Gossip delays
    // comparisons by at most this long.
    static constexpr Duration kMaxCompareDelay = std::chrono::seconds(2);

    // A long value that arrives in chunks.
    struct IncompleteRecord {
        Record record;
        std::uint64_t digest = 0;
        std::vector<bool> received;  // by chunk
        std::size_t missing = 0;     // chunks
        std::size_t chunk_bytes = 0;
        int from = 0;  // the member that sent the latest chunk
        Timestamp started_at{}, requested_at{};
    };
    using IncompleteRecords = std::map<std::string, IncompleteRecord>;

    // The fields of a chunk that describe the whole record.
    static Chunk make_chunk(const Record& record);
    void on_bucket_hashes(const Message& message);
    void on_entries(Timestamp now, const Message& message);
    void on_chunk(Timestamp now, int from, const Chunk& chunk);
    bool is_superseded(const Chunk& chunk) const;
    IncompleteRecords::iterator transfer_for(Timestamp now, const Chunk& chunk);
    void add_chunk(Timestamp now, int from, const Chunk& chunk, IncompleteRecords::iterator transfer);
    void send_chunks(int to, const Record& record, std::size_t offset, std::size_t max_chunks);
    void send_entries(int to, MessageKind kind, std::size_t bucket, std::vector<const Record*> records);
    void request_record(Timestamp now, int from, std::uint32_t key_hash, std::size_t offset);
    void store(Timestamp now, Record record);

    ReplicatedRecords& records_;
    Owner& owner_;
    std::map<std::string, int> pending_gossip_;        // retransmissions left, by key
    IncompleteRecords incomplete_;                     // by key
    Timestamp last_compared_at_{};                     // with another member's records
    Timestamp last_idle_at_{};                         // when a mismatch last found no gossip scheduled
    std::map<std::uint32_t, Timestamp> requested_at_;  // by short hash of the key
    std::size_t first_bucket_ = 0;                     // to compare next; rotates over all buckets
};

}  // namespace linnetlead::agreement
