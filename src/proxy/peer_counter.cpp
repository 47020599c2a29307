#include "proxy/peer_counter.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <tuple>
#include <utility>

namespace linnetlead::net {

using policy::CounterStatus;
using proxy::Duration;
using proxy::Timestamp;

namespace {

constexpr int kMissesToSkip = 4;  // in a row; one datagram in twenty is lost in the network
constexpr Duration kSkippedFor = std::chrono::seconds(2);
constexpr Duration kMaxLife = std::chrono::seconds(60);
constexpr Duration kSweepEvery = std::chrono::seconds(1);

// Both datagrams use the byte order of the machine: all gateways run the same program on similar machines.
constexpr char kRequestKind = 'q', kReplyKind = 'a';
struct Request {
    std::uint32_t number;
    std::uint64_t name;
    double amount;
    std::uint32_t life_ms;
};
struct Reply {
    std::uint32_t number;
    double total;  // NaN: rejected
};
constexpr std::size_t kRequestBytes = 1 + 4 + 8 + 8 + 4, kReplyBytes = 1 + 4 + 8;

template <typename Value>
void put(std::string& out, Value value) {
    char bytes[sizeof(value)];
    std::memcpy(bytes, &value, sizeof(value));
    out.append(bytes, sizeof(value));
}
template <typename Value>
void take(std::string_view& from, Value& into) {
    std::memcpy(&into, from.data(), sizeof(into));
    from.remove_prefix(sizeof(into));
}

std::uint64_t mix(std::uint64_t value) {  // finalizer of splitmix64
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

std::uint64_t hash_name(std::string_view text) {  // FNV-1a: the same at every gateway
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    return mix(hash);
}

}  // namespace

PeerCounter::PeerCounter(proxy::Timers& timers, int gateways, int self, Send send, Counted counted)
    : timers_(timers),
      self_(self),
      send_(std::move(send)),
      counted_(std::move(counted)),
      owners_(static_cast<std::size_t>(std::max(gateways, 1))),
      // A reply that is on its way to an earlier process at this address must answer none of this one's
      // requests.
      last_number_(static_cast<std::uint32_t>(mix(static_cast<std::uint64_t>(timers.now().count())))) {}

// Rendezvous hashing: the counters of a skipped gateway are spread over all others.
int PeerCounter::select_owner(std::uint64_t name) const {
    const Timestamp now = timers_.now();
    int owner = self_;
    std::uint64_t best_weight = 0;
    for (std::size_t i = 0; i < owners_.size(); ++i) {
        if (static_cast<int>(i) != self_ && now < owners_[i].skipped_until) continue;
        const std::uint64_t weight = mix(name + 0x9e3779b97f4a7c15ULL * (i + 1));
        if (weight >= best_weight) std::tie(best_weight, owner) = std::pair(weight, static_cast<int>(i));
    }
    return owner;
}

void PeerCounter::add(const std::string& name, double amount, Duration life) {
    const std::uint64_t hash = hash_name(name);
    const int owner = select_owner(hash);
    if (owner == self_) {
        const double* const total = add_to_total(hash, amount, life);
        return counted_(name, total ? CounterStatus::kOk : CounterStatus::kOverloaded, total ? *total : 0);
    }
    if (waiting_.size() >= kMaxWaiting) return counted_(name, CounterStatus::kOverloaded, 0);
    const std::uint32_t number = ++last_number_;
    waiting_[number] = {name, owner};
    order_[name].push_back(number);
    timers_.arm(timers_.now() + kTimeout, [this, number] { time_out(number); });
    std::string datagram(1, kRequestKind);
    put(datagram, number);
    put(datagram, hash);
    put(datagram, amount);
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(std::min(life, kMaxLife)).count();
    put(datagram, static_cast<std::uint32_t>(std::max<std::int64_t>(ms, 1)));
    send_(owner, datagram);
}

const double* PeerCounter::add_to_total(std::uint64_t name, double amount, Duration life) {
    const Timestamp now = timers_.now();
    if (now - last_sweep_ > kSweepEvery) {
        last_sweep_ = now;
        for (auto at = totals_.begin(); at != totals_.end();) {
            at = at->second.end <= now ? totals_.erase(at) : std::next(at);
        }
    }
    if (totals_.size() >= kMaxKept && totals_.count(name) == 0) return nullptr;
    Total& total = totals_[name];
    if (total.end <= now) total = {0, now + std::min(life, kMaxLife)};
    total.sum += amount;
    return &total.sum;
}

void PeerCounter::heard(int from, std::string_view datagram) {
    if (datagram.empty() || from < 0 || from >= static_cast<int>(owners_.size())) return;
    const char kind = datagram.front();
    datagram.remove_prefix(1);
    if (kind == kRequestKind && datagram.size() + 1 == kRequestBytes) {
        Request request{};
        take(datagram, request.number);
        take(datagram, request.name);
        take(datagram, request.amount);
        take(datagram, request.life_ms);
        if (!std::isfinite(request.amount)) return;
        const double* const total =
            add_to_total(request.name, request.amount, std::chrono::milliseconds(request.life_ms));
        std::string reply(1, kReplyKind);
        put(reply, request.number);
        put(reply, total ? *total : std::nan(""));
        send_(from, reply);
    } else if (kind == kReplyKind && datagram.size() + 1 == kReplyBytes) {
        Reply reply{};
        take(datagram, reply.number);
        take(datagram, reply.total);
        const auto at = waiting_.find(reply.number);
        if (at == waiting_.end() || at->second.owner != from)
            return;  // late, or not a reply to a request of ours
        owners_[static_cast<std::size_t>(from)] = {};
        const bool valid = std::isfinite(reply.total);
        finish(reply.number, valid ? CounterStatus::kOk : CounterStatus::kOverloaded,
               valid ? reply.total : 0);
    }
}

void PeerCounter::time_out(std::uint32_t number) {
    const auto at = waiting_.find(number);
    if (at == waiting_.end()) return;
    Owner& owner = owners_[static_cast<std::size_t>(at->second.owner)];
    if (++owner.misses >= kMissesToSkip) owner = {0, timers_.now() + kSkippedFor};
    finish(number, CounterStatus::kTimeout, 0);
}

// Requests for one name finish in their order. If a later reply arrives first, the earlier requests time out.
void PeerCounter::finish(std::uint32_t number, CounterStatus status, double total) {
    const std::string name = waiting_.at(number).name;
    for (bool last = false; !last;) {
        const auto at = order_.find(name);
        const std::uint32_t first = at->second.front();
        last = first == number;
        at->second.pop_front();
        if (at->second.empty()) order_.erase(at);
        waiting_.erase(first);
        last ? counted_(name, status, total) : counted_(name, CounterStatus::kTimeout, 0);
    }
}

}  // namespace linnetlead::net
