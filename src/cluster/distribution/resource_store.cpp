#include "cluster/distribution/resource_store.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace linnetlead::distribution {

namespace {

// Head of an entry: index (8 bytes), value length or kNoValue (2), key length with the garbage bit (1).
constexpr std::size_t kHeadBytes = 11;
constexpr std::uint16_t kNoValue = 0xffff;
constexpr unsigned char kGarbageBit = 0x80;
static_assert(kMaxKeyBytes < kGarbageBit && kMaxValueBytes < kNoValue);

constexpr std::size_t aligned(std::size_t size) { return (size + 3) & ~std::size_t{3}; }
std::uint64_t hash_of(std::string_view key) { return XXH3_64bits(key.data(), key.size()); }

}  // namespace

struct ResourceStore::Entry {
    LogIndex revision = 0;
    std::string_view key;
    std::optional<std::string_view> value;
    bool is_garbage = false;
    std::size_t size = 0;  // including padding
};

ResourceStore::ResourceStore() : slots_(1024) {}

void ResourceStore::clear() { *this = ResourceStore(); }

std::uint64_t ResourceStore::entry_hash(std::string_view key, std::string_view value) {
    return XXH3_64bits_withSeed(value.data(), value.size(), hash_of(key));
}

ResourceStore::Entry ResourceStore::read(const Chunk& chunk, std::size_t offset) const {
    const char* at = chunk.bytes.get() + offset;
    Entry entry;
    std::uint16_t length = 0;
    std::memcpy(&entry.revision, at, 8);
    std::memcpy(&length, at + 8, 2);
    const auto key_byte = static_cast<unsigned char>(at[10]);
    entry.is_garbage = (key_byte & kGarbageBit) != 0;
    const std::size_t key_length = key_byte & ~kGarbageBit;
    entry.key = {at + kHeadBytes, key_length};
    if (length != kNoValue) entry.value = std::string_view(at + kHeadBytes + key_length, length);
    entry.size = aligned(kHeadBytes + key_length + (entry.value ? length : 0));
    return entry;
}

ResourceStore::Entry ResourceStore::entry_at(std::uint32_t reference) const {
    return read(chunks_[reference >> 16], std::size_t{reference & 0xffffU} * 4);
}

std::optional<std::size_t> ResourceStore::slot_of(std::string_view key, std::uint64_t hash) const {
    const std::size_t mask = slots_.size() - 1;
    const auto low = static_cast<std::uint32_t>(hash);
    for (std::size_t at = low & mask;; at = (at + 1) & mask) {
        const Slot& slot = slots_[at];
        if (slot.entry == kNoEntry) return std::nullopt;
        if (slot.entry != kForgottenEntry && slot.hash == low && entry_at(slot.entry).key == key) return at;
    }
}

std::optional<std::string_view> ResourceStore::find(std::string_view key) const {
    const auto slot = slot_of(key, hash_of(key));
    return slot ? entry_at(slots_[*slot].entry).value : std::nullopt;
}

LogIndex ResourceStore::revision_of(std::string_view key) const {
    const auto slot = slot_of(key, hash_of(key));
    return slot ? entry_at(slots_[*slot].entry).revision : 0;
}

std::uint32_t ResourceStore::append(std::string_view key, std::optional<std::string_view> value,
                                    LogIndex index) {
    const std::size_t size = aligned(kHeadBytes + key.size() + (value ? value->size() : 0));
    if (order_.empty() || chunks_[order_.back()].used + size > kChunkSize) {
        const auto free =
            std::find_if(chunks_.begin(), chunks_.end(), [](const Chunk& chunk) { return !chunk.bytes; });
        const auto id = static_cast<std::uint32_t>(free - chunks_.begin());
        if (free == chunks_.end()) chunks_.emplace_back();
        Chunk& chunk = chunks_[id];
        chunk = Chunk();
        chunk.bytes = std::make_unique<char[]>(kChunkSize);
        chunk.sequence = ++last_sequence_;
        order_.push_back(id);
    }
    const std::uint32_t id = order_.back();
    Chunk& chunk = chunks_[id];
    char* at = chunk.bytes.get() + chunk.used;
    const auto length = value ? static_cast<std::uint16_t>(value->size()) : kNoValue;
    std::memcpy(at, &index, 8);
    std::memcpy(at + 8, &length, 2);
    at[10] = static_cast<char>(key.size());
    std::memcpy(at + kHeadBytes, key.data(), key.size());
    if (value && !value->empty()) std::memcpy(at + kHeadBytes + key.size(), value->data(), value->size());
    const auto reference = static_cast<std::uint32_t>(id << 16 | chunk.used / 4);
    chunk.used += size;
    chunk.live += size;
    chunk.newest_index = std::max(chunk.newest_index, index);
    live_bytes_ += size;
    return reference;
}

void ResourceStore::mark_garbage(std::uint32_t reference) {
    Chunk& chunk = chunks_[reference >> 16];
    const std::size_t offset = std::size_t{reference & 0xffffU} * 4;
    const std::size_t size = read(chunk, offset).size;
    chunk.bytes[offset + 10] =
        static_cast<char>(static_cast<unsigned char>(chunk.bytes[offset + 10]) | kGarbageBit);
    chunk.live -= size;
    live_bytes_ -= size;
}

void ResourceStore::insert_slot(std::uint32_t hash, std::uint32_t entry) {
    const std::size_t mask = slots_.size() - 1;
    std::size_t at = hash & mask;
    while (slots_[at].entry != kNoEntry) at = (at + 1) & mask;
    slots_[at] = {hash, entry};
}

void ResourceStore::grow_slots() {
    if ((used_slots_ + 1) * 100 <= slots_.size() * 85) return;
    const std::size_t size = entries_ * 100 > slots_.size() * 60 ? slots_.size() * 2 : slots_.size();
    std::vector<Slot> old(size);
    old.swap(slots_);
    for (const Slot& slot : old) {
        if (slot.entry != kNoEntry && slot.entry != kForgottenEntry) insert_slot(slot.hash, slot.entry);
    }
    used_slots_ = entries_;
}

void ResourceStore::set(std::string_view key, std::optional<std::string_view> value, LogIndex index) {
    if (key.empty() || key.size() > kMaxKeyBytes || (value && value->size() > kMaxValueBytes)) return;
    const std::uint64_t hash = hash_of(key);
    const auto slot = slot_of(key, hash);
    bool had_value = false;
    if (slot) {
        const Entry before = entry_at(slots_[*slot].entry);
        had_value = before.value.has_value();
        if (had_value) hash_ -= entry_hash(key, *before.value);
        const std::uint32_t entry = append(key, value, index);
        mark_garbage(slots_[*slot].entry);
        slots_[*slot].entry = entry;
    } else {
        grow_slots();
        insert_slot(static_cast<std::uint32_t>(hash), append(key, value, index));
        ++used_slots_;
        ++entries_;
    }
    if (value) hash_ += entry_hash(key, *value);
    size_ = size_ - (had_value ? 1 : 0) + (value ? 1 : 0);
    if (!value) {
        tombstones_.emplace_back(index, hash);
        limit_tombstones();
    }
    compact_chunks();
}

void ResourceStore::limit_tombstones() {
    const auto forget_first = [this] {
        const auto [index, hash] = tombstones_.front();
        tombstones_.pop_front();
        // The record is outdated if the key has a value again or was removed again later.
        const std::size_t mask = slots_.size() - 1;
        const auto low = static_cast<std::uint32_t>(hash);
        for (std::size_t at = low & mask; slots_[at].entry != kNoEntry; at = (at + 1) & mask) {
            if (slots_[at].entry == kForgottenEntry || slots_[at].hash != low) continue;
            const Entry entry = entry_at(slots_[at].entry);
            if (entry.value || entry.revision != index || hash_of(entry.key) != hash) continue;
            mark_garbage(slots_[at].entry);
            slots_[at].entry = kForgottenEntry;
            --entries_;
            tombstones_since_ = std::max(tombstones_since_, index);
            return;
        }
    };
    while (entries_ - size_ > kMaxTombstones || tombstones_.size() > 2 * kMaxTombstones) forget_first();
}

void ResourceStore::forget_tombstones(LogIndex through_index) {
    tombstones_since_ = std::max(tombstones_since_, through_index);
}

void ResourceStore::compact_chunks() {
    if (order_.size() < 2) return;
    const std::size_t open = kChunkSize - chunks_[order_.back()].used;
    const std::size_t garbage_bytes = order_.size() * kChunkSize - open - live_bytes_;
    if (garbage_bytes < 2 * kChunkSize + live_bytes_ / 8) return;
    const auto worst = std::min_element(order_.begin(), order_.end() - 1,
                                        [this](auto a, auto b) { return chunks_[a].live < chunks_[b].live; });
    if (chunks_[*worst].live > kChunkSize - kChunkSize / 16) return;
    const std::uint32_t id = *worst;
    order_.erase(worst);
    // The chunk keeps its id until all its entries have been moved, so that references stay unique.
    live_bytes_ -= chunks_[id].live;
    const std::size_t used = chunks_[id].used;
    for (std::size_t offset = kFirstOffset; offset < used;) {
        const Entry entry = read(chunks_[id], offset);
        if (!entry.is_garbage) {
            const auto reference = static_cast<std::uint32_t>(id << 16 | offset / 4);
            const auto low = static_cast<std::uint32_t>(hash_of(entry.key));
            const std::size_t mask = slots_.size() - 1;
            std::size_t at = low & mask;
            while (slots_[at].entry != reference) at = (at + 1) & mask;
            slots_[at].entry = append(entry.key, entry.value, entry.revision);
        }
        offset += entry.size;
    }
    chunks_[id] = Chunk();
}

std::size_t ResourceStore::size() const { return size_; }

std::size_t ResourceStore::bytes() const {
    return order_.size() * kChunkSize + slots_.capacity() * sizeof(Slot) +
           tombstones_.size() * sizeof(tombstones_[0]) + chunks_.capacity() * sizeof(Chunk);
}

void ResourceStore::for_each(std::string_view prefix,
                             const std::function<void(std::string_view, std::string_view)>& visit) const {
    for (const std::uint32_t id : order_) {
        const Chunk& chunk = chunks_[id];
        for (std::size_t offset = kFirstOffset; offset < chunk.used;) {
            const Entry entry = read(chunk, offset);
            offset += entry.size;
            if (!entry.is_garbage && entry.value && entry.key.substr(0, prefix.size()) == prefix)
                visit(entry.key, *entry.value);
        }
    }
}

std::size_t ResourceStore::read_slice(
    std::size_t position, LogIndex since, std::size_t max_bytes,
    const std::function<void(std::string_view, std::optional<std::string_view>, LogIndex)>& visit) const {
    // A position is a chunk's sequence and an offset in the chunk. An entry that has not been visited moves
    // only to later positions.
    std::size_t visited_bytes = 0;
    for (const std::uint32_t id : order_) {
        const Chunk& chunk = chunks_[id];
        const std::uint64_t sequence = position / kChunkSize;
        if (chunk.sequence < sequence || chunk.newest_index <= since) continue;
        std::size_t offset = chunk.sequence == sequence ? position % kChunkSize : kFirstOffset;
        offset = std::max(offset, kFirstOffset);
        while (offset < chunk.used) {
            if (visited_bytes >= max_bytes) return chunk.sequence * kChunkSize + offset;
            const Entry entry = read(chunk, offset);
            offset += entry.size;
            if (entry.is_garbage || entry.revision <= since) continue;
            visited_bytes += entry.size;
            visit(entry.key, entry.value, entry.revision);
        }
    }
    return 0;
}

}  // namespace linnetlead::distribution
