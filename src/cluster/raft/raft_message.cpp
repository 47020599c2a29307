#include "cluster/raft/raft_message.h"

#include <utility>

namespace linnetlead::raft {

namespace {

constexpr std::uint8_t kMessageVersion = 1;
// The maximum of every number in a message, so that sums of a few of them cannot overflow.
constexpr std::uint64_t kMaxNumber = std::uint64_t{1} << 62;
constexpr std::uint64_t kMaxChecksum = ~std::uint64_t{0};

// Collects a message's numbers, in wire order, and its raw bytes.
class MessageWriter {
public:
    explicit MessageWriter(const Message& message) {
        add({message.index(), term_of(message)});
        std::visit(*this, message);
    }

    void operator()(const PreVoteRequest& request) { add({request.last_index, request.last_term}); }
    void operator()(const PreVoteResponse& response) { add({response.requested_term, response.granted}); }
    void operator()(const VoteRequest& request) { add({request.last_index, request.last_term}); }
    void operator()(const VoteResponse& response) { add({response.granted}); }
    void operator()(const AppendRequest& request) {
        add({request.previous_index, request.previous_term, request.commit_index, request.round});
        add_heartbeat(request.heartbeat);
        add({request.entries.size()});
        for (const LogEntry& entry : request.entries) {
            add({entry.term, entry.body.size()});
            parts_.push_back(entry.body);
        }
    }
    void operator()(const AppendResponse& response) {
        add({response.round, response.previous_index, response.matched, response.match_index});
    }
    void operator()(const SnapshotChunk& chunk) {
        add({chunk.snapshot_index, chunk.snapshot_term, chunk.round});
        add_heartbeat(chunk.heartbeat);
        add({chunk.total_bytes, chunk.checksum, chunk.offset});
        parts_.push_back(chunk.bytes);
    }
    void operator()(const SnapshotResponse& response) {
        add({response.round, response.snapshot_index, response.checksum, response.next_offset,
             response.complete});
    }

    std::string encode() const { return encode_flat(kMessageVersion, numbers_, parts_); }

private:
    void add(std::initializer_list<std::uint64_t> numbers) {
        numbers_.insert(numbers_.end(), numbers.begin(), numbers.end());
    }
    void add_heartbeat(const std::optional<LeadershipHeartbeat>& heartbeat) {
        if (heartbeat) {
            add({1, static_cast<std::uint64_t>(heartbeat->at.count()), heartbeat->committed});
        } else {
            add({0, 0, 0});
        }
    }

    std::vector<std::uint64_t> numbers_;
    std::vector<std::string_view> parts_;
};

// Reads a message's numbers one by one; a number that is missing or out of range makes the message malformed.
class MessageReader {
public:
    explicit MessageReader(FlatRecord record) : record_(std::move(record)) {}

    tl::expected<Message, FlatError> read() {
        Message message = read_kind(next(std::variant_size_v<Message> - 1));
        const bool is_finished = position_ == record_.numbers.size() && record_.bytes.empty();
        if (!is_valid_ || !is_finished) return tl::unexpected<FlatError>(FlatError::kMalformed);
        return message;
    }

private:
    Message read_kind(std::uint64_t kind) {
        const Term term = next();
        switch (kind) {
            case 0:
                return read_request<PreVoteRequest>(term);
            case 1: {
                const Term requested_term = next();
                return PreVoteResponse{term, requested_term, next_flag()};
            }
            case 2:
                return read_request<VoteRequest>(term);
            case 3:
                return VoteResponse{term, next_flag()};
            case 4:
                return read_append_request(term);
            case 5:
                return read_append_response(term);
            case 6:
                return read_snapshot_chunk(term);
            default:
                return read_snapshot_response(term);
        }
    }
    template <typename Request>
    Request read_request(Term term) {
        Request request;
        request.term = term;
        request.last_index = next();
        request.last_term = next();
        require(term > 0 && request.last_term < term);
        require((request.last_index == 0) == (request.last_term == 0));
        return request;
    }
    AppendRequest read_append_request(Term term) {
        AppendRequest request;
        request.term = term;
        request.previous_index = next();
        request.previous_term = next();
        request.commit_index = next();
        request.round = next();
        request.heartbeat = next_heartbeat(term);
        const std::uint64_t count = next(kMaxMessageEntries);
        Term newest = request.previous_term;
        for (std::uint64_t i = 0; i < count && is_valid_; ++i) {
            LogEntry entry;
            entry.index = request.previous_index + 1 + i;
            entry.term = next();
            const std::uint64_t size = next(record_.bytes.size());
            require(entry.term >= newest && entry.term > 0);
            if (!is_valid_) break;
            newest = entry.term;
            entry.body = record_.bytes.substr(0, size);
            record_.bytes.remove_prefix(size);
            request.entries.push_back(std::move(entry));
        }
        require(newest <= term && term > 0);
        require((request.previous_index == 0) == (request.previous_term == 0));
        return request;
    }
    AppendResponse read_append_response(Term term) {
        AppendResponse response;
        response.term = term;
        response.round = next();
        response.previous_index = next();
        response.matched = next_flag();
        response.match_index = next();
        return response;
    }
    SnapshotChunk read_snapshot_chunk(Term term) {
        SnapshotChunk chunk;
        chunk.term = term;
        chunk.snapshot_index = next();
        chunk.snapshot_term = next();
        chunk.round = next();
        chunk.heartbeat = next_heartbeat(term);
        chunk.total_bytes = next(kMaxSnapshotBytes);
        chunk.checksum = next(kMaxChecksum);
        chunk.offset = next(chunk.total_bytes);
        chunk.bytes = std::exchange(record_.bytes, {});
        require(chunk.snapshot_index > 0 && chunk.snapshot_term > 0 && chunk.snapshot_term <= term);
        require(chunk.bytes.size() <= chunk.total_bytes - chunk.offset);
        require(!chunk.bytes.empty() || chunk.total_bytes == 0);
        return chunk;
    }
    SnapshotResponse read_snapshot_response(Term term) {
        SnapshotResponse response;
        response.term = term;
        response.round = next();
        response.snapshot_index = next();
        response.checksum = next(kMaxChecksum);
        response.next_offset = next();
        response.complete = next_flag();
        return response;
    }
    std::optional<LeadershipHeartbeat> next_heartbeat(Term term) {
        const bool is_present = next_flag();
        LeadershipHeartbeat heartbeat;
        heartbeat.term = term;
        heartbeat.at = Timestamp(static_cast<Timestamp::rep>(next()));
        heartbeat.committed = next();
        return is_present ? std::optional<LeadershipHeartbeat>(heartbeat) : std::nullopt;
    }
    std::uint64_t next(std::uint64_t max = kMaxNumber) {
        if (position_ >= record_.numbers.size() || record_.numbers[position_] > max) {
            is_valid_ = false;
            return 0;
        }
        return record_.numbers[position_++];
    }
    bool next_flag() { return next(1) == 1; }
    void require(bool condition) { is_valid_ = is_valid_ && condition; }

    FlatRecord record_;
    std::size_t position_ = 0;
    bool is_valid_ = true;
};

}  // namespace

Term term_of(const Message& message) {
    return std::visit([](const auto& one) { return one.term; }, message);
}

std::string encode_message(const Message& message) { return MessageWriter(message).encode(); }

tl::expected<Message, FlatError> decode_message(std::string_view from) {
    auto record = decode_flat(kMessageVersion, from);
    if (!record) return tl::unexpected<FlatError>(record.error());
    return MessageReader(std::move(*record)).read();
}

}  // namespace linnetlead::raft
