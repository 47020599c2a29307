#include "server/list_handover.h"

#include <algorithm>
#include <iterator>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "discovery/endpoint_set.h"
#include "net/http/http_message.h"

namespace linnetlead::server {

using hot_restart::Kind;
using hot_restart::Message;
using policy::EndpointListKind;
using policy::EndpointState;
using proxy::DiscoveredEndpoint;
using proxy::EndpointId;

namespace {

constexpr std::size_t kMaxIncoming = 400'000;      // endpoints of one list
constexpr std::size_t kPartBytes = 16 * 1024;      // of a message, before it is escaped
constexpr std::size_t kBytesBesideStrings = 160;   // of an endpoint in JSON
constexpr std::size_t kMaxEntryBytes = 16 * 1024;  // an endpoint with longer strings is left out
// A control character takes 7 bytes as JSON within JSON.
constexpr std::size_t kMaxEscapedBytes = 7;
static_assert((kPartBytes + kMaxEntryBytes) * kMaxEscapedBytes < hot_restart::kMaxLine);

std::size_t size_of(const DiscoveredEndpoint& one) {
    return kBytesBesideStrings + one.entry.id.size() + one.address.size() + one.entry.zone.size() +
           one.entry.kind.size();
}

Message message_of(std::vector<DiscoveredEndpoint> entries, const ListPosition& position, bool is_whole,
                   bool is_last) {
    Message message{Kind::kList, http::write_list({position.version, is_whole, std::move(entries)}), is_last,
                    false};
    message.registry = position.registry;
    return message;
}

// Without those that a later entry removes or replaces.
std::vector<DiscoveredEndpoint> latest_of(std::vector<DiscoveredEndpoint> entries) {
    std::unordered_map<EndpointId, std::size_t> last;
    for (std::size_t i = 0; i < entries.size(); ++i) last[entries[i].entry.id] = i;
    std::vector<DiscoveredEndpoint> latest;
    latest.reserve(last.size());
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const bool is_listed = entries[i].entry.state != EndpointState::kRemoved;
        if (is_listed && last.at(entries[i].entry.id) == i) latest.push_back(std::move(entries[i]));
    }
    return latest;
}

}  // namespace

// ---- Parts ----------------------------------------------------------------------------------------------

ListParts::ListParts(const admin::MaintenanceOverrides& lists, ListPosition position)
    : lists_(&lists), position_(std::move(position)), ids_(lists.listed_ids()) {}

std::optional<Message> ListParts::next() {
    if (is_complete_) return std::nullopt;
    std::vector<DiscoveredEndpoint> entries;
    std::size_t bytes = 0;
    while (sent_ < ids_.size() && bytes < kPartBytes) {
        const DiscoveredEndpoint* const one = lists_->find(ids_[sent_++]);
        if (!one || size_of(*one) > kMaxEntryBytes) continue;
        bytes += size_of(*one);
        entries.push_back(*one);
    }
    is_complete_ = sent_ == ids_.size();
    return message_of(std::move(entries), position_, true, is_complete_);
}

// ---- This process's own registry ------------------------------------------------------------------------

ListHandover::ListHandover(admin::MaintenanceOverrides& lists, Reported reported)
    : lists_(lists), reported_(std::move(reported)) {}

void ListHandover::begin(ListPosition start, Apply apply) {
    held_ = std::move(start);
    apply_ = std::move(apply);
}

void ListHandover::listed(EndpointListKind kind, const std::vector<DiscoveredEndpoint>& entries) {
    const auto position = reported_();
    if (position && kind != EndpointListKind::kFailed) {
        held_ = *position;
        if (send_) {
            const bool is_whole = kind != EndpointListKind::kChanges;
            send_changes(is_whole ? difference(entries) : entries, *position);
        }
    }
    lists_.listed(kind, entries);
}

std::vector<DiscoveredEndpoint> ListHandover::difference(const std::vector<DiscoveredEndpoint>& whole) const {
    std::vector<DiscoveredEndpoint> changes;
    std::unordered_set<EndpointId> named;
    for (const DiscoveredEndpoint& one : whole) {
        const DiscoveredEndpoint* const before = lists_.find(one.entry.id);
        if (!before || !discovery::same(*before, one)) changes.push_back(one);
        named.insert(one.entry.id);
    }
    for (const EndpointId& id : lists_.listed_ids()) {
        if (named.count(id) > 0) continue;
        changes.push_back(*lists_.find(id));
        changes.back().entry.state = EndpointState::kRemoved;
    }
    return changes;
}

void ListHandover::send_changes(const std::vector<DiscoveredEndpoint>& changes,
                                const ListPosition& position) {
    std::vector<DiscoveredEndpoint> some;
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < changes.size(); ++i) {
        if (size_of(changes[i]) <= kMaxEntryBytes) {
            bytes += size_of(changes[i]);
            some.push_back(changes[i]);
        }
        const bool is_last = i + 1 == changes.size();
        if (some.empty() || (bytes < kPartBytes && !is_last)) continue;
        send_(message_of(std::exchange(some, {}), position, false, is_last));
        bytes = 0;
    }
}

std::optional<ListParts> ListHandover::parts() const {
    if (!lists_.has_list()) return std::nullopt;
    return ListParts(lists_, held_);
}

// ---- The other process ----------------------------------------------------------------------------------

// Without a report of the own registry, the other process knows at least as much, unless this one was started
// with a later list.
bool ListHandover::is_news(const ListPosition& position) const {
    const auto own = reported_();
    if (own) return position.registry == own->registry && position.version > own->version;
    if (position.registry == held_.registry) return position.version >= held_.version;
    // The platform's discovery may have moved; keys of another registry name other endpoints.
    return !apply_ && position.version >= 0;
}

ListHandover::Taken ListHandover::take(const Message& message) {
    auto list = http::read_list(message.text);
    if (!list) return Taken::kMalformed;
    const ListPosition position{message.registry, list->version};
    if (!list->full && !incoming_.is_open) {
        if (!is_news(position)) return Taken::kIgnored;
        apply(EndpointListKind::kChanges, position, list->entries);
        return Taken::kApplied;
    }
    // Changes between the parts of a list belong to it: of two entries of one endpoint the later one holds.
    incoming_.is_open = true;
    if (incoming_.entries.size() + list->entries.size() > kMaxIncoming) return Taken::kMalformed;
    std::move(list->entries.begin(), list->entries.end(), std::back_inserter(incoming_.entries));
    if (!list->full || !message.on) return Taken::kKept;
    const std::vector<DiscoveredEndpoint> whole = latest_of(std::exchange(incoming_, {}).entries);
    if (!is_news(position)) return Taken::kIgnored;
    apply(EndpointListKind::kCached, position, whole);
    return Taken::kApplied;
}

void ListHandover::apply(EndpointListKind kind, const ListPosition& position,
                         const std::vector<DiscoveredEndpoint>& entries) {
    held_ = position;
    apply_ ? apply_(kind, entries) : lists_.listed(kind, entries);
}

}  // namespace linnetlead::server
