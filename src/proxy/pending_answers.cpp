#include "proxy/pending_answers.h"

#include <utility>

namespace linnetlead::proxy {

namespace {

constexpr std::string_view kLineEnd = "\r\n";

std::string head_of(std::size_t size) {
    std::string head(1, '$');
    head.append(std::to_string(size)).append(kLineEnd);
    return head;
}

}  // namespace

PendingAnswers::Entry* PendingAnswers::find(std::uint64_t number) {
    const bool is_here = number >= first_ && number - first_ < entries_.size();
    return is_here ? &entries_[static_cast<std::size_t>(number - first_)] : nullptr;
}

std::uint64_t PendingAnswers::add() {
    entries_.emplace_back();
    return first_ + entries_.size() - 1;
}

void PendingAnswers::add_answered(std::string answer) {
    Entry entry;
    entry.kept = std::move(answer);
    entry.done = true;
    count(entry);
    entries_.push_back(std::move(entry));
}

void PendingAnswers::keep(Entry& entry, std::string_view part) {
    entry.kept.append(part);
    count(entry);
}

void PendingAnswers::begin_value(Entry& entry, std::size_t size, Duration max_delay) {
    const std::string head = head_of(size);
    entry.streaming = Streaming::kWaiting;
    entry.value_size = head.size() + size + kLineEnd.size();
    entry.max_delay = max_delay;
    keep(entry, head);
}

void PendingAnswers::keep_whole(Entry& entry) {
    entry.streaming = Streaming::kKept;
    entry.reserved = entry.value_size;
    entry.kept.reserve(entry.value_size);
    count(entry);
}

void PendingAnswers::drop_value(Entry& entry) {
    entry.streaming = Streaming::kNone;
    entry.kept = {};
    entry.reserved = 0;
    count(entry);
}

std::string PendingAnswers::take_kept() {
    Entry& entry = entries_.front();
    std::string kept = std::exchange(entry.kept, {});
    entry.reserved = 0;
    count(entry);
    return kept;
}

void PendingAnswers::remove_first() {
    kept_bytes_ -= entries_.front().counted;
    entries_.pop_front();
    ++first_;
}

std::deque<PendingAnswers::Entry> PendingAnswers::take_all() {
    kept_bytes_ = 0;
    first_ += entries_.size();
    return std::exchange(entries_, {});
}

void PendingAnswers::count(Entry& entry) {
    kept_bytes_ -= std::exchange(entry.counted, entry.reserved > 0 ? 0 : entry.kept.size());
    kept_bytes_ += entry.counted;
}

}  // namespace linnetlead::proxy
