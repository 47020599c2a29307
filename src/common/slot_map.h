// Tables of numbered slots. A handle names a slot and its generation, so that a stale one misses.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace linnetlead::proxy {

struct Handle {
    std::uint32_t index = 0;
    std::uint32_t generation = 0;  // 0: names nothing

    explicit operator bool() const { return generation != 0; }
    bool operator==(const Handle& other) const {
        return index == other.index && generation == other.generation;
    }
    std::uint64_t packed() const { return std::uint64_t{generation} << 32 | index; }
    static Handle unpacked(std::uint64_t value) {
        return {static_cast<std::uint32_t>(value), static_cast<std::uint32_t>(value >> 32)};
    }
};

// Values keep their address while they live.
template <typename Value>
class SlotMap {
public:
    template <typename... Args>
    Handle add(Args&&... args) {
        if (free_.empty()) {
            free_.push_back(static_cast<std::uint32_t>(slots_.size()));
            slots_.emplace_back();
        }
        const std::uint32_t index = free_.back();
        free_.pop_back();
        Slot& slot = slots_[index];
        slot.value.emplace(std::forward<Args>(args)...);
        if (++slot.generation == 0) ++slot.generation;
        ++size_;
        return {index, slot.generation};
    }
    Value* find(Handle handle) {
        if (!handle || handle.index >= slots_.size()) return nullptr;
        Slot& slot = slots_[handle.index];
        return slot.value && slot.generation == handle.generation ? &*slot.value : nullptr;
    }
    void remove(Handle handle) {
        if (!find(handle)) return;
        slots_[handle.index].value.reset();
        free_.push_back(handle.index);
        --size_;
    }
    std::size_t size() const { return size_; }
    template <typename Visit>
    void for_each(Visit visit) {
        for (std::uint32_t i = 0; i < slots_.size(); ++i) {
            if (slots_[i].value) visit(Handle{i, slots_[i].generation}, *slots_[i].value);
        }
    }

private:
    struct Slot {
        std::uint32_t generation = 0;
        std::optional<Value> value;
    };
    std::deque<Slot> slots_;
    std::vector<std::uint32_t> free_;
    std::size_t size_ = 0;
};

}  // namespace linnetlead::proxy
