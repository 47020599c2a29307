// One client connection of the downstream server: reads its commands, holds back answers until those to
// earlier commands are written, and decides when the connection pauses, closes or is handed over.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "net/stream.h"
#include "proxy/client_eviction.h"
#include "proxy/downstream_server.h"
#include "proxy/pending_answers.h"
#include "proxy/resp/parser.h"

namespace linnetlead::net {

class DownstreamServer::Client final : public Stream {
public:
    Client(Loop& loop, DownstreamServer& server) : Stream(loop), server_(server), progress_at_(loop.now()) {}

    void answer(std::uint64_t number, const proxy::Answer& answer);
    // A long value that has to wait for the answers to earlier commands, or for room, is paused after its
    // first piece. `max_delay`: of its first byte, once the earlier answers are written.
    void begin_value(std::uint64_t number, std::size_t size, proxy::Duration max_delay);
    bool pass_value(std::uint64_t number, std::string_view piece);
    // Brings the server's totals up to date with this client's part.
    void note_pending();
    // Closes after the client has had time to read. An immediate close with unread input would reset the
    // connection and could destroy answers that the client has not read yet.
    void close_gracefully();
    bool has_pending_answers() const { return !answers_.empty() || unsent() > 0; }
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
    // Whether a long value is passed on as it arrives.
    bool passes_value() const { return answers_.is_passing(); }
    // Closes at once; counts and logs it if a request or an answer of the client's is unfinished.
    void close_at_once();
    // Counts and logs why the connection ends.
    void note(proxy::Event event);

    proxy::Handle self;
    proxy::Timestamp last_used{};  // when it connected, or when its last request arrived
    bool asked = false;            // has sent a request
    bool end_is_watched = false;   // by the server, while nothing is read

private:
    using Entry = proxy::PendingAnswers::Entry;
    // Bytes for one client; above, its reading is paused.
    static constexpr std::size_t kPauseReadingUnsent = 64 * 1024;
    // A command whose long body is being received.
    struct Body {
        proxy::DownstreamRequest request;
        const char* problem = nullptr;  // error to reply once the body is skipped
        bool has_room = false;          // the body is stored
        std::size_t room = 0;           // bytes reserved in the request manager
        std::size_t left = 0;           // bytes still to arrive, including the line end
        proxy::Timestamp begun{};
    };

    // Whether the entry's answer is not kept for later.
    bool is_written_at_once(const Entry& entry, std::uint64_t number) const;
    // Writes the answers up to the first one that is not complete.
    void write_complete_answers();
    // Writes what is kept of the first answer.
    void write_kept();
    void give_back_room();

    // ---- A long value that is the first answer.
    // Passes it on as it arrives, or keeps it where commands wait behind it.
    void start_value();
    void pass_as_it_arrives();
    void keep_until_whole();
    void check_kept_value();
    // A value broke off. Where its first byte is written, only closing the connection tells the client.
    void end_broken_value(Entry& entry, std::uint64_t number);
    // Whether the client has sent a further whole command.
    bool has_command_behind() const;
    // Whether its next command stays in the socket: none may be behind a value that passes, and none comes
    // behind one that has no room.
    bool is_held_by_value() const;
    // Reads on, after the client's next command had to wait.
    void resume_reading();
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
    proxy::PendingAnswers answers_;
    proxy::Handle value_timer_;         // of a long value that is kept
    proxy::Timestamp value_pass_by_{};  // when its first byte has to be written
    std::size_t reserved_ = 0;          // room of whole values that the kernel has not taken
    std::size_t noted_unsent_ = 0;      // in the server's totals
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
