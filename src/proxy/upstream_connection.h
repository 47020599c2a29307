// A connection of the pool to an endpoint: writes one request, or a probe, and reads its reply. It tells the
// request manager how the attempt ended, passes long values on in pieces, and skips duplicates of the reply
// before. The pool owns it.
#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <utility>

#include "proxy/upstream_pool.h"

namespace linnetlead::net {

class UpstreamPool::Connection final : public Stream {
public:
    // `process`: of the endpoint, as in Endpoint.
    Connection(Loop& loop, UpstreamPool& pool, proxy::EndpointId id, std::uint64_t process)
        : Stream(loop), endpoint(std::move(id)), pool_(pool), process_(process) {}

    // Starts a request on the connection, or a probe if there is no payload.
    void begin(proxy::Handle request, const proxy::Payload* payload, const Limits& limits);

    // Ends the current attempt. A reusable connection becomes idle; any other is closed, which also cancels
    // an attempt.
    void end(proxy::AttemptEnd end, bool reusable = false);

    bool busy() const { return busy_; }
    proxy::Timestamp idle_since() const { return idle_since_; }
    bool is_request_unsent() const { return busy_ && stage() < proxy::Stage::kWritten; }
    // Whether the attempt is pointless once the client has disconnected.
    bool is_pointless_without_client() const;
    void go_on();

    const proxy::EndpointId endpoint;
    proxy::Handle self;

private:
    proxy::Stage stage() const;
    void write();
    void arm(proxy::Timestamp at);
    void on_timeout();
    bool is_reply_arriving() const;
    void become_idle();
    void leave_idle();
    void on_connected() override;
    void on_written() override;

    // Whether much of the memory for buffers is taken: then replies pass in small pieces.
    bool is_congested() const;
    // What is read of a long value has to be kept until its client takes it.
    std::size_t max_read_bytes() const override;
    std::size_t on_bytes(std::string_view bytes) override;

    // Returns the number of bytes taken; 0: more has to arrive.
    std::size_t read_part(std::string_view bytes);
    std::size_t read_head(std::string_view bytes);
    // A longer value is passed on in pieces.
    std::size_t max_whole_value() const;
    // Of a request's body.
    std::size_t max_written_piece() const;

    // Whether the endpoint gets requests, at the process that this connection leads to.
    bool leads_to_listed_process() const;
    proxy::Duration since_written() const;

    // What the complete message is, beside the connection's previous reply.
    proxy::ReplyVerdict judge(const resp::Message& message, std::size_t received) const;
    proxy::ReplyVerdict judge(const proxy::ReplyFingerprint& value, bool more_follows) const;

    // The reply that has come is left unread until more follows, at most as long as the request's own reply
    // may take.
    void hold();

    // The longest time that can lie between the request and the reply. This process may have been held up
    // before it read the reply: then the kernel knows better.
    proxy::Duration reply_came_after() const;
    void note_duplicate();

    // A reply with this value is accepted.
    void note_value(const proxy::ReplyFingerprint& value);

    template <typename Note>
    void note_reply(Note note);

    // Skips the value of a duplicate, with its line end.
    std::size_t skip_value(std::string_view bytes);

    // Skips the fields behind the value of a duplicate.
    std::size_t skip_tail(std::string_view bytes);

    // Nothing is sent to the client before the value's first byte arrives: until then a retry is possible. At
    // the attempt's timeout the head alone is sent: the endpoint is answering, so the attempt is not cut.
    std::size_t begin_value(std::string_view bytes, const resp::Message& message);
    std::size_t pass_value(std::string_view bytes);

    // Reads the usage and the load report after a long value. The value has already been delivered, whatever
    // they contain.
    std::size_t read_tail(std::string_view bytes);
    void on_end(int) override;
    void on_released() override;

    // Of a reply. A value that is too long to be buffered is read apart from what comes before and behind it.
    enum class Part { kHead, kValue, kTail, kDuplicateValue, kDuplicateTail };
    static constexpr std::string_view kLineEnd = "\r\n";
    static constexpr int kTailItems = 2;  // usage, load report

    UpstreamPool& pool_;
    const std::uint64_t process_;
    proxy::Handle request_;
    const proxy::Payload* payload_ = nullptr;  // kept by the request manager during the attempt
    std::string_view body_left_;               // of the payload, still to be written
    Part part_ = Part::kHead;                  // of the reply that is expected next
    std::size_t value_left_ = 0;               // bytes of a long value still to arrive
    proxy::AttemptEnd tail_;                   // result after a long value, with the fields read so far
    int tail_items_ = 0;
    proxy::Timestamp until_{};
    proxy::Timestamp due_{};
    proxy::Timestamp write_by_{};
    proxy::Timestamp reply_bytes_at_{};    // when bytes of a reply last came
    proxy::Duration reply_began_after_{};  // its first bytes, since the request was written
    proxy::Timestamp idle_since_{};
    proxy::Timestamp started_{};
    proxy::Handle timer_;
    std::list<proxy::Handle>::iterator idle_position_;
    bool is_idle_ = false;
    bool connected_ = false;
    bool busy_ = false;
    bool answering_ = false;
    bool counted_in_tries_ = false;  // in tries_
    bool reused_ = false;
    bool has_value_head_ = false;         // of a long value that has not begun to be passed on
    bool is_held_ = false;                // a suspected reply, until more follows
    bool accepts_held_ = false;           // nothing has followed it in time
    bool streams_at_once_ = false;        // a long value, without waiting for its first bytes
    bool skipped_duplicate_ = false;      // a duplicate of the previous reply came in place of this one
    proxy::Timestamp written_at_{};       // when the kernel had accepted the request's last byte; 0: not yet
    proxy::ReplyFingerprint last_value_;  // of the connection's previous reply
    std::string value_start_;             // of a long value, as much as is compared
    std::size_t value_size_ = 0;          // of a long value
};

}  // namespace linnetlead::net
