#include "cluster/agreement/anti_entropy.h"

#include <algorithm>
#include <utility>

namespace linnetlead::agreement {

using namespace std::chrono_literals;

namespace {

std::uint32_t key_hash_of(const std::string& key) { return short_hash(hash_of(key)); }

// Sends the short records that go with one heartbeat, several per datagram.
class BatchWriter {
public:
    BatchWriter(AntiEntropy::Owner& owner, int to) : owner_(owner), to_(to) { begin(); }

    bool has_room_for(std::size_t bytes) const { return bytes <= room_; }
    void add(Chunk chunk, std::size_t bytes) {
        message_.batch.push_back(std::move(chunk));
        room_ -= bytes;
    }
    void flush() {
        if (!message_.batch.empty()) owner_.send(to_, std::exchange(message_, {}));
        begin();
        ++flush_count_;
    }
    int flush_count() const { return flush_count_; }

private:
    void begin() {
        message_.kind = MessageKind::kBatch;
        room_ = kBatchCapacity;
    }

    AntiEntropy::Owner& owner_;
    int to_;
    Message message_;
    std::size_t room_ = 0;
    int flush_count_ = 0;
};

}  // namespace

AntiEntropy::AntiEntropy(ReplicatedRecords& records, Owner& owner) : records_(records), owner_(owner) {}

void AntiEntropy::schedule_gossip(const std::string& key) { pending_gossip_[key] = kRetransmissions; }

void AntiEntropy::clear() {
    pending_gossip_.clear();
    incomplete_.clear();
    requested_at_.clear();
}

Chunk AntiEntropy::make_chunk(const Record& record) {
    Chunk chunk;
    chunk.key = record.key;
    chunk.number = record.number;
    chunk.origin = record.origin;
    chunk.deleted = record.deleted;
    chunk.expires_ms = record.expires_at / 1ms;
    chunk.digest = hash_of(record.value);
    chunk.size = record.value.size();
    return chunk;
}

// Short records are sent whole; longer ones are only offered, and the receiver requests those it lacks.
void AntiEntropy::piggyback(int to) {
    std::vector<const Record*> long_records;
    BatchWriter batch(owner_, to);
    for (auto at = pending_gossip_.begin(); at != pending_gossip_.end();) {
        const Record* record = records_.find(at->first);
        if (!record) {
            at = pending_gossip_.erase(at);
            continue;
        }
        const std::size_t bytes = batch_size(*record);
        if (bytes > kBatchCapacity) {
            if (long_records.size() >= kMaxEntries) {
                ++at;
                continue;
            }
            long_records.push_back(record);
        } else {
            if (!batch.has_room_for(bytes)) batch.flush();
            if (batch.flush_count() >= kMaxPiggybacked) break;
            Chunk chunk = make_chunk(*record);
            chunk.bytes = record->value;
            batch.add(std::move(chunk), bytes);
        }
        at = --at->second <= 0 ? pending_gossip_.erase(at) : std::next(at);
    }
    if (batch.flush_count() < kMaxPiggybacked) batch.flush();
    if (!long_records.empty()) send_entries(to, MessageKind::kOffer, 0, long_records);
}

// Scheduled gossip removes most differences without a comparison. The rate of comparisons is limited over all
// members together, since in a large group nearly every heartbeat is exchanged with a different member.
void AntiEntropy::on_hash_mismatch(Timestamp now, int from) {
    if (!pending_gossip_.empty() && now - last_idle_at_ < kMaxCompareDelay) return;
    if (pending_gossip_.empty()) last_idle_at_ = now;
    if (now - last_compared_at_ < kCompareInterval) return;
    last_compared_at_ = now;
    Message message;
    message.kind = MessageKind::kBucketHashes;
    const auto& hashes = records_.bucket_hashes();
    message.bucket_hashes.assign(hashes.begin(), hashes.end());
    owner_.send(from, std::move(message));
}

void AntiEntropy::send_chunks(int to, const Record& record, std::size_t offset, std::size_t max_chunks) {
    const std::size_t capacity = chunk_capacity(record.key);
    for (std::size_t i = 0; i < max_chunks && (offset < record.value.size() || offset == 0); ++i) {
        Message message;
        message.kind = MessageKind::kChunk;
        message.chunk = make_chunk(record);
        message.chunk.offset = offset;
        message.chunk.bytes = record.value.substr(offset, capacity);
        if (!owner_.send(to, std::move(message))) return;
        offset += capacity;
    }
}

// Sends the entries in pages, ordered by the short hash of the key. Each page states the last hash of the
// previous page, so that the receiver can tell which of its records the sender lacks.
void AntiEntropy::send_entries(int to, MessageKind kind, std::size_t bucket,
                               std::vector<const Record*> records) {
    std::sort(records.begin(), records.end(),
              [](const Record* a, const Record* b) { return key_hash_of(a->key) < key_hash_of(b->key); });
    std::uint32_t last_hash = 0;
    for (std::size_t first = 0; first < records.size() || first == 0; first += kMaxEntries) {
        const std::size_t end = std::min(first + kMaxEntries, records.size());
        Message message;
        message.kind = kind;
        message.bucket = bucket;
        message.key_hash = last_hash;
        message.has_more = first + kMaxEntries < records.size();
        for (std::size_t i = first; i < end; ++i) {
            last_hash = key_hash_of(records[i]->key);
            message.entries.push_back({last_hash, records[i]->stamp()});
        }
        if (!owner_.send(to, std::move(message))) return;
    }
}

void AntiEntropy::request_record(Timestamp now, int from, std::uint32_t key_hash, std::size_t offset) {
    Timestamp& requested_at = requested_at_[key_hash];
    if (now - requested_at < kRequestTimeout) return;
    requested_at = now;
    Message message;
    message.kind = MessageKind::kRecordRequest;
    message.key_hash = key_hash;
    message.offset = offset;
    owner_.send(from, std::move(message));
}

void AntiEntropy::on_message(Timestamp now, const Message& message) {
    switch (message.kind) {
        case MessageKind::kBucketHashes:
            on_bucket_hashes(message);
            break;
        case MessageKind::kEntries:
        case MessageKind::kOffer:
            on_entries(now, message);
            break;
        case MessageKind::kRecordRequest:
            if (const Record* record = records_.find_by_short_hash(message.key_hash)) {
                send_chunks(message.from, *record, message.offset, kChunksPerRequest);
            }
            break;
        case MessageKind::kChunk:
            on_chunk(now, message.from, message.chunk);
            break;
        case MessageKind::kBatch:
            for (const Chunk& chunk : message.batch) on_chunk(now, message.from, chunk);
            break;
        default:
            break;
    }
}

void AntiEntropy::on_bucket_hashes(const Message& message) {
    for (std::size_t i = 0, compared = 0; i < ReplicatedRecords::kBuckets && compared < kMaxBucketsCompared;
         ++i) {
        const std::size_t bucket = (i + first_bucket_) % ReplicatedRecords::kBuckets;
        if (message.bucket_hashes[bucket] == records_.bucket_hashes()[bucket]) continue;
        send_entries(message.from, MessageKind::kEntries, bucket, records_.records_in_bucket(bucket));
        ++compared;
    }
    first_bucket_ = (first_bucket_ + kMaxBucketsCompared) % ReplicatedRecords::kBuckets;
}

void AntiEntropy::on_entries(Timestamp now, const Message& message) {
    for (const Entry& entry : message.entries) {
        const Record* own = records_.find_by_short_hash(entry.key_hash);
        if (!own || own->stamp() < entry.stamp) {
            request_record(now, message.from, entry.key_hash, 0);
        } else if (entry.stamp < own->stamp()) {
            send_chunks(message.from, *own, 0, 1);  // the receiver requests the rest of a longer record
        }
    }
    if (message.kind == MessageKind::kOffer) return;
    // The sender lacks the records whose hashes lie in the page's range and that the page does not list.
    const std::uint32_t last = message.has_more ? message.entries.back().key_hash : ~std::uint32_t{0};
    for (const Record* own : records_.records_in_bucket(message.bucket)) {
        const std::uint32_t key_hash = key_hash_of(own->key);
        if (key_hash <= message.key_hash || key_hash > last) continue;
        const bool listed = std::any_of(message.entries.begin(), message.entries.end(),
                                        [&](const Entry& entry) { return entry.key_hash == key_hash; });
        if (!listed) send_chunks(message.from, *own, 0, 1);
    }
}

bool AntiEntropy::is_superseded(const Chunk& chunk) const {
    const Record* own = records_.find(chunk.key);
    if (!own) return false;
    const bool older = chunk.number < own->number;
    const bool same = chunk.number == own->number && hash_of(own->value) == chunk.digest &&
                      own->deleted == chunk.deleted && own->origin == chunk.origin;
    return older || same;
}

// Returns the transfer that a chunk belongs to, or starts one. Returns end() if a newer record of this key is
// in transfer, or if there are too many transfers.
AntiEntropy::IncompleteRecords::iterator AntiEntropy::transfer_for(Timestamp now, const Chunk& chunk) {
    auto at = incomplete_.find(chunk.key);
    if (at != incomplete_.end() &&
        (at->second.digest != chunk.digest || at->second.record.number < chunk.number)) {
        if (chunk.number < at->second.record.number) return incomplete_.end();
        incomplete_.erase(at);
        at = incomplete_.end();
    }
    if (at != incomplete_.end()) return at;
    if (incomplete_.size() >= kMaxIncomplete) return incomplete_.end();
    IncompleteRecord started;
    started.record.key = chunk.key;
    started.record.number = chunk.number;
    started.record.origin = chunk.origin;
    started.record.deleted = chunk.deleted;
    started.record.expires_at = std::chrono::milliseconds(chunk.expires_ms);
    started.record.value.assign(chunk.size, '\0');
    started.digest = chunk.digest;
    started.chunk_bytes = chunk_capacity(chunk.key);
    started.missing = (chunk.size + started.chunk_bytes - 1) / started.chunk_bytes;
    started.received.assign(started.missing, false);
    started.started_at = now;
    return incomplete_.emplace(chunk.key, std::move(started)).first;
}

void AntiEntropy::on_chunk(Timestamp now, int from, const Chunk& chunk) {
    if (chunk.key.empty() || chunk.key.size() > kMaxKeyBytes) return;
    if (chunk.offset % chunk_capacity(chunk.key) != 0) return;
    if (chunk.offset == 0 && chunk.bytes.size() == chunk.size) {
        if (hash_of(chunk.bytes) != chunk.digest) return;
        Record record;
        record.key = chunk.key;
        record.number = chunk.number;
        record.origin = chunk.origin;
        record.deleted = chunk.deleted;
        record.expires_at = std::chrono::milliseconds(chunk.expires_ms);
        record.value = chunk.bytes;
        return store(now, std::move(record));
    }
    if (is_superseded(chunk)) return;
    const auto transfer = transfer_for(now, chunk);
    if (transfer != incomplete_.end()) add_chunk(now, from, chunk, transfer);
}

void AntiEntropy::add_chunk(Timestamp now, int from, const Chunk& chunk,
                            IncompleteRecords::iterator transfer) {
    IncompleteRecord& incomplete = transfer->second;
    if (chunk.size != incomplete.record.value.size()) return;
    incomplete.from = from;
    const std::size_t chunk_index = chunk.offset / incomplete.chunk_bytes;
    if (incomplete.received[chunk_index]) return;
    incomplete.received[chunk_index] = true;
    incomplete.record.value.replace(chunk.offset, chunk.bytes.size(), chunk.bytes);
    incomplete.requested_at = now;
    if (--incomplete.missing > 0) {
        // This is the last chunk of one request, so let the next tick send the next request.
        if ((chunk_index + 1) % kChunksPerRequest == 0) incomplete.requested_at = now - kRequestTimeout;
        return;
    }
    Record complete = std::move(incomplete.record);
    const bool intact = hash_of(complete.value) == incomplete.digest;
    incomplete_.erase(transfer);
    if (intact) store(now, std::move(complete));
}

void AntiEntropy::store(Timestamp now, Record record) {
    if (!owner_.should_store(record)) return;
    const std::string key = record.key;
    if (records_.merge(now, std::move(record)) != ReplicatedRecords::MergeResult::kApplied) return;
    schedule_gossip(key);
    owner_.on_record_stored(*records_.find(key));
}

void AntiEntropy::tick(Timestamp now) {
    for (auto at = incomplete_.begin(); at != incomplete_.end();) {
        IncompleteRecord& incomplete = at->second;
        if (now - incomplete.started_at > kTransferTimeout) {
            at = incomplete_.erase(at);
            continue;
        }
        if (now - incomplete.requested_at >= kRequestTimeout) {
            incomplete.requested_at = now;
            const auto gap = std::find(incomplete.received.begin(), incomplete.received.end(), false);
            const auto chunk_index = static_cast<std::size_t>(gap - incomplete.received.begin());
            const std::uint32_t key_hash = key_hash_of(at->first);
            requested_at_.erase(key_hash);
            request_record(now, incomplete.from, key_hash, chunk_index * incomplete.chunk_bytes);
        }
        ++at;
    }
    for (auto at = requested_at_.begin(); at != requested_at_.end();) {
        at = now - at->second > kTransferTimeout ? requested_at_.erase(at) : std::next(at);
    }
}

}  // namespace linnetlead::agreement
