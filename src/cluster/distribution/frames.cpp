#include "cluster/distribution/frames.h"

#include "cluster/distribution/cbor_fields.h"
#include "cluster/distribution/history.h"
#include "storage/checksummed_file.h"

namespace linnetlead::distribution {

using wire_form::Fields;
using wire_form::json;
using wire_form::to_binary;

namespace {

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxCounts = 64;
constexpr std::size_t kMaxMessageBytes = 256 * 1024;
constexpr std::size_t kMaxErrorBytes = 4096;
constexpr std::size_t kMaxIdleBufferBytes = 64 * 1024;  // kept between frames; a larger buffer is released
constexpr std::size_t kMaxEntriesBytes = 4 * 1024 * 1024;

// Wire codes of the frames.
enum class FrameKind : unsigned {
    kHello = 1,
    kAck,
    kSubmit,
    kStateRequest,
    kWelcome,
    kRetryLater,
    kRecords,
    kLease,
    kSnapshotChunk,
    kAnswer,
    kError,
    kVoter,
};

unsigned code(FrameKind kind) { return static_cast<unsigned>(kind); }
unsigned code(Rejection rejection) { return static_cast<unsigned>(rejection); }

json encode(const Hello& hello) {
    return json::array({code(FrameKind::kHello), static_cast<unsigned>(hello.version),
                        static_cast<unsigned>(hello.role), hello.name, hello.last_index, hello.last_term,
                        hello.applied_index, hello.needs_full_state ? 1U : 0U});
}

json encode(const Ack& ack) {
    json array =
        json::array({code(FrameKind::kAck), ack.last_index, ack.activation_index, ack.gateways, ack.fenced});
    if (ack.replicated.empty() && ack.unsupported.empty()) return array;
    json replicated = json::array();
    for (const ReplicationCount& each : ack.replicated) {
        replicated.push_back(each.through_index);
        replicated.push_back(each.gateways);
    }
    array.push_back(std::move(replicated));
    json unsupported = json::array();
    for (const UnsupportedCount& each : ack.unsupported) {
        unsupported.push_back(json::array({each.change, each.gateways, each.gateway_names}));
    }
    array.push_back(std::move(unsupported));
    return array;
}

json encode(const Submit& submit) {
    return json::array({code(FrameKind::kSubmit), submit.request, wire_form::change_form(submit.change)});
}

json encode(const Ask& ask) { return json::array({code(FrameKind::kStateRequest), ask.request}); }

json encode(const Welcome& welcome) {
    return json::array({code(FrameKind::kWelcome), welcome.relay, welcome.region});
}

json encode(const Away& away) {
    return json::array({code(FrameKind::kRetryLater), away.after_ms, code(away.reason)});
}

json encode(const Records& records) {
    json encoded = json::array();
    for (const Record& record : records.records) {
        encoded.push_back(json::array({record.index, record.term, to_binary(encode_record_body(record))}));
    }
    return json::array({code(FrameKind::kRecords), std::move(encoded)});
}

json encode(const Lease& lease) {
    return json::array({code(FrameKind::kLease), lease.heartbeat.term, lease.heartbeat.at.count(),
                        lease.heartbeat.committed});
}

json encode(const SnapshotChunk& chunk) {
    return json::array({code(FrameKind::kSnapshotChunk), chunk.last_included_index, chunk.since_revision,
                        chunk.last_included_term, chunk.sequence, chunk.is_last ? 1U : 0U, chunk.hash,
                        chunk.tombstones_since, chunk.activated_at.count(), chunk.activation_index,
                        chunk.revision, to_binary(compress_entries(chunk.entries))});
}

json encode(const Answer& answer) {
    return json::array(
        {code(FrameKind::kAnswer), answer.request, code(answer.rejection), answer.revision, answer.message});
}

json encode(const Error& error) {
    return json::array({code(FrameKind::kError), code(error.rejection), error.message});
}

json encode(const Voter& voter) {
    return json::array({code(FrameKind::kVoter), voter.from, to_binary(voter.message)});
}

Rejection read_rejection(Fields& fields) {
    return static_cast<Rejection>(fields.number(static_cast<unsigned>(Rejection::kTooManyFollowers)));
}

bool decode_ack(Fields& fields, Ack& ack) {
    ack.last_index = fields.number();
    ack.activation_index = fields.number();
    ack.gateways = static_cast<std::uint32_t>(fields.number(~std::uint32_t{0}));
    ack.fenced = static_cast<std::uint32_t>(fields.number(~std::uint32_t{0}));
    if (!fields.more()) return fields.ok();
    Fields replicated(fields.array(2 * kMaxCounts));
    while (replicated.more()) {
        ReplicationCount each;
        each.through_index = replicated.number();
        each.gateways = static_cast<std::uint32_t>(replicated.number(~std::uint32_t{0}));
        ack.replicated.push_back(each);
    }
    for (const json& array : fields.array(kMaxCounts)) {
        Fields item(array);
        UnsupportedCount each;
        each.change = item.number();
        each.gateways = static_cast<std::uint32_t>(item.number(~std::uint32_t{0}));
        Fields names(item.array(kMaxReportedNames));
        while (names.more()) each.gateway_names.push_back(names.text(kMaxNameBytes));
        if (!item.done() || !names.ok()) return false;
        ack.unsupported.push_back(std::move(each));
    }
    return fields.ok() && replicated.ok();
}

bool decode_records(Fields& fields, Records& records) {
    for (const json& array : fields.array(kMaxFrameBytes)) {
        Fields item(array);
        const LogIndex index = item.number();
        const std::uint64_t term = item.number();
        auto record = decode_record_body(item.bytes(kMaxFrameBytes));
        if (!item.done() || !record || index == 0) return false;
        record->index = index;
        record->term = term;
        records.records.push_back(std::move(*record));
    }
    return !records.records.empty();
}

std::optional<Frame> decode(std::string_view bytes) {
    const auto array = wire_form::read_array(bytes);
    if (!array) return std::nullopt;
    Fields fields(*array);
    Frame frame;
    bool is_valid = true;
    switch (static_cast<FrameKind>(fields.number(code(FrameKind::kVoter)))) {
        case FrameKind::kHello: {
            Hello hello;
            hello.version = static_cast<int>(fields.number(1000));
            hello.role = static_cast<Role>(fields.number(static_cast<unsigned>(Role::kTool)));
            hello.name = fields.text(kMaxNameBytes);
            hello.last_index = fields.number();
            hello.last_term = fields.number();
            hello.applied_index = fields.number();
            hello.needs_full_state = fields.number(1) == 1;
            frame = std::move(hello);
            break;
        }
        case FrameKind::kAck: {
            Ack ack;
            is_valid = decode_ack(fields, ack);
            frame = std::move(ack);
            break;
        }
        case FrameKind::kSubmit: {
            Submit submit;
            submit.request = fields.number();
            Fields change(fields.array(4));
            is_valid = wire_form::read_change(change, submit.change) && change.done();
            frame = std::move(submit);
            break;
        }
        case FrameKind::kStateRequest:
            frame = Ask{fields.number()};
            break;
        case FrameKind::kWelcome: {
            Welcome welcome;
            welcome.relay = fields.text(kMaxNameBytes);
            welcome.region = static_cast<int>(fields.number(1000000));
            frame = std::move(welcome);
            break;
        }
        case FrameKind::kRetryLater: {
            Away away;
            away.after_ms = static_cast<std::int64_t>(fields.number(3600 * 1000));
            away.reason = read_rejection(fields);
            frame = away;
            break;
        }
        case FrameKind::kRecords: {
            Records records;
            is_valid = decode_records(fields, records);
            frame = std::move(records);
            break;
        }
        case FrameKind::kLease: {
            Lease lease;
            lease.heartbeat.term = fields.number();
            lease.heartbeat.at = fields.time();
            lease.heartbeat.committed = fields.number();
            frame = lease;
            break;
        }
        case FrameKind::kSnapshotChunk: {
            SnapshotChunk chunk;
            chunk.last_included_index = fields.number();
            chunk.since_revision = fields.number();
            chunk.last_included_term = fields.number();
            chunk.sequence = fields.number();
            chunk.is_last = fields.number(1) == 1;
            chunk.hash = fields.number();
            chunk.tombstones_since = fields.number();
            chunk.activated_at = fields.time();
            chunk.activation_index = fields.number();
            chunk.revision = fields.number();
            is_valid = decompress_entries(fields.bytes(kMaxFrameBytes), chunk.entries);
            frame = std::move(chunk);
            break;
        }
        case FrameKind::kAnswer: {
            Answer answer;
            answer.request = fields.number();
            answer.rejection = read_rejection(fields);
            answer.revision = fields.number();
            answer.message = fields.text(kMaxMessageBytes);
            frame = std::move(answer);
            break;
        }
        case FrameKind::kError: {
            Error error;
            error.rejection = read_rejection(fields);
            error.message = fields.text(kMaxErrorBytes);
            frame = std::move(error);
            break;
        }
        case FrameKind::kVoter: {
            Voter voter;
            voter.from = static_cast<int>(fields.number(1000));
            voter.message = std::string(fields.bytes(kMaxFrameBytes));
            frame = std::move(voter);
            break;
        }
        default:
            return std::nullopt;
    }
    if (!is_valid || !fields.done()) return std::nullopt;
    return frame;
}

}  // namespace

std::string compress_entries(const std::vector<SnapshotChunk::Entry>& entries) {
    std::string entry_bytes;
    for (const auto& entry : entries) {
        wire_form::put_text(entry_bytes, entry.key);
        wire_form::put_number(entry_bytes, entry.value ? entry.value->size() + 1 : 0);
        if (entry.value) entry_bytes += *entry.value;
        wire_form::put_number(entry_bytes, entry.revision);
    }
    return storage::compress(entry_bytes);
}

bool decompress_entries(std::string_view compressed, std::vector<SnapshotChunk::Entry>& entries) {
    const auto entry_bytes = storage::decompress(compressed, kMaxEntriesBytes);
    if (!entry_bytes) return false;
    for (std::string_view rest = *entry_bytes; !rest.empty();) {
        SnapshotChunk::Entry entry;
        std::string_view key;
        std::uint64_t size = 0;
        if (!wire_form::take_text(rest, key, kMaxKeyBytes) || key.empty() ||
            !wire_form::take_number(rest, size))
            return false;
        entry.key = key;
        if (size > 0) {
            if (size - 1 > kMaxValueBytes || size - 1 > rest.size()) return false;
            entry.value = std::string(rest.substr(0, size - 1));
            rest.remove_prefix(size - 1);
        }
        if (!wire_form::take_number(rest, entry.revision)) return false;
        entries.push_back(std::move(entry));
    }
    return true;
}

std::string write(const Frame& frame) {
    if (const auto* records = std::get_if<Records>(&frame)) {
        if (records->encoded) return *records->encoded;
    }
    if (const auto* chunk = std::get_if<SnapshotChunk>(&frame)) {
        if (chunk->encoded) return *chunk->encoded;
    }
    const std::string body =
        agreement::write_cbor(std::visit([](const auto& each) { return encode(each); }, frame));
    std::string out;
    out.reserve(4 + body.size());
    for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>(body.size() >> shift));
    out += body;
    return out;
}

FrameReader::State FrameReader::take(std::string_view& bytes, Frame& frame, Rejection& rejection) {
    const auto reject = [&](Rejection reason) {
        rejection = reason;
        bytes = {};
        buffer_.clear();
        return State::kWrong;
    };
    const auto buffer_bytes = [&](std::size_t size) {
        size = std::min(size, bytes.size());
        buffer_.append(bytes.substr(0, size));
        bytes.remove_prefix(size);
    };
    if (buffer_.size() < 4) buffer_bytes(4 - buffer_.size());
    if (buffer_.size() < 4) return State::kPartial;
    std::size_t size = 0;
    for (int i = 0; i < 4; ++i) size = size << 8 | static_cast<unsigned char>(buffer_[i]);
    if (size == 0) return reject(Rejection::kMalformed);
    if (size > max_frame_bytes_) return reject(Rejection::kTooLarge);
    buffer_bytes(4 + size - buffer_.size());
    if (buffer_.size() < 4 + size) return State::kPartial;
    auto decoded = decode(std::string_view(buffer_).substr(4));
    if (!decoded) return reject(Rejection::kMalformed);
    frame = std::move(*decoded);
    buffer_.clear();
    if (buffer_.capacity() > kMaxIdleBufferBytes) buffer_.shrink_to_fit();
    return State::kFrame;
}

}  // namespace linnetlead::distribution
