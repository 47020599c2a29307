// One client connection of the downstream server: reads its commands, holds back answers until those to
// earlier commands are written, and decides when the connection pauses, closes or is handed over.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "net/stream.h"
#include "proxy/client_eviction.h"
#include "proxy/downstream_server.h"
#include "proxy/resp/parser.h"

namespace linnetlead::net {

class DownstreamServer::Client final : public Stream {
public:
    Client(Loop& loop, DownstreamServer& server) : Stream(loop), server_(server), progress_at_(loop.now()) {}

    void answer(std::uint64_t number, const proxy::Answer& answer);
    void begin_value(std::uint64_t number, std::size_t size);
    // A value that has to wait for the answers to earlier commands is paused after its first piece, which is
    // buffered here.
    bool pass_value(std::uint64_t number, std::string_view piece);
    // Brings the server's totals up to date with this client's part.
    void note_pending();
    // Closes after the client has had time to read. An immediate close with unread input would reset the
    // connection and could destroy answers that the client has not read yet.
    void close_gracefully();
    bool has_pending_answers() const { return !entries_.empty() || unsent() > 0; }
    // Closes or hands over an idle connection. Waits for a command that has started to arrive, because a
    // close would lose it.
    void release_if_idle();
    void cancel_handover();
    // Closes connections of clients that never send a request, stop within a command, or stay idle after a
    // request: they occupy connections that others need.
    void check_timeouts(proxy::Timestamp now, bool is_half_full);
    // Limits how long answers are kept for a client that does not read them.
    void close_if_stalled(proxy::Timestamp now);
    // None while it may not give way. As far as this process knows: see is_settled().
    std::optional<proxy::EvictionRank> eviction_rank(proxy::Timestamp now) const;
    // Whether the kernel holds nothing of the client's: an answer that it would destroy with the connection,
    // or unread bytes, which may complete a command.
    bool is_settled();

    void withdraw_all();
    // Closes at once; counts and logs it if a request or an answer of the client's is unfinished.
    void close_at_once();
    // Counts and logs why the connection ends.
    void note(proxy::Event event);

    proxy::Handle self;
    proxy::Timestamp last_used{};  // when it connected, or when its last request arrived
    bool asked = false;            // has sent a request

private:
    struct Entry {
        proxy::Handle request;
        std::string reply;  // held back until the earlier commands are answered
        bool done = false;
        bool streaming = false;  // a long value
    };
    // A command whose long body is being received.
    struct Body {
        proxy::DownstreamRequest request;
        const char* problem = nullptr;  // error to reply once the body is skipped
        bool has_room = false;          // the body is stored
        std::size_t room = 0;           // bytes reserved in the request manager
        std::size_t left = 0;           // bytes still to arrive, including the line end
        proxy::Timestamp begun{};
    };

    Entry* find(std::uint64_t number) {
        const bool here = number >= first_ && number - first_ < entries_.size();
        return here ? &entries_[static_cast<std::size_t>(number - first_)] : nullptr;
    }
    // Writes a part of an answer, or holds it back while an earlier command has no answer.
    template <typename Write>
    void append(Entry& entry, std::uint64_t number, Write write) {
        if (number == first_) return write(to_write());
        const std::size_t before = entry.reply.size();
        write(entry.reply);
        held_back_ += entry.reply.size() - before;
    }
    // For the log: what the connection is at.
    std::string_view phase() const;
    // Whether the client's next command waits in the socket until earlier ones are answered and the answers
    // are written.
    bool is_saturated() const;
    // Whether the client has closed behind bytes that are not read yet; its connection is over then.
    bool has_left_unseen();
    // Whether the answer's value can be kept. Otherwise the client gets an error in its place, so that every
    // request is answered and the connection serves on.
    bool has_room_for(const proxy::Answer& answer, bool is_first);

    std::size_t max_read_bytes() const override;
    std::size_t on_bytes(std::string_view bytes) override;
    void on_command(const resp::Message& message);

    // Starts to receive a long body. False: the command cannot have one at this place.
    bool begin_body(const resp::Message& message);

    std::size_t consume_body(std::string_view bytes);
    void drop_body();

    void on_request(const resp::Message& message);

    void submit(proxy::DownstreamRequest request);

    // Writes an answer of the server itself, after those of the earlier commands.
    void reply(std::string text);

    void drop_first();

    // Hands the connection to another process. Unread bytes stay in the socket, so no request is lost.
    void pass();

    // Answers with an error and reads no further, since the start of the next command is unknown.
    void refuse_rest();
    void finish_if_last();

    // Delays the close until the client's machine has its answers; close_if_stalled() bounds that.
    void linger();

    void on_written() override;
    // The client has disconnected: its requests are withdrawn.
    void on_end(int) override { withdraw_all(); }
    void on_released() override;

    DownstreamServer& server_;
    Body body_;
    std::deque<Entry> entries_;     // unanswered commands, in order
    std::uint64_t first_ = 0;       // number of entries_.front()
    std::size_t held_back_ = 0;     // bytes of answers that wait for earlier ones, in entries_
    std::size_t noted_unsent_ = 0;  // in the server's totals
    std::size_t noted_held_back_ = 0;
    std::size_t last_undelivered_ = 0;  // at the last check
    proxy::Timestamp progress_at_;      // when the client last took something, or had little to take
    proxy::Timestamp last_bytes_at_{};  // when the last bytes arrived
    proxy::Timestamp end_checked_at_{};
    int reads_of_command_ = 0;             // reads that the incomplete command has taken so far
    proxy::Timestamp incomplete_since_{};  // when the incomplete command started
    bool handing_over_ = false;            // to another process
    bool rejecting_ = false;               // a request was rejected while draining; so are all that follow
    bool last_ = false;                    // no further command is read
};

}  // namespace linnetlead::net
