// Routes submitted changes at a relay: the leader proposes a change to the log, another relay forwards it
// towards the leader. Answers return on the same path. Used by Relay. No I/O and no clock.
#pragma once

#include <map>

#include "cluster/distribution/change_validator.h"

namespace linnetlead::distribution {

class ChangeRouter {
public:
    // Where an answer goes: a session of this relay, or another voter that forwarded the change.
    struct Requester {
        bool is_voter = false;
        std::uint64_t id = 0;  // session, or the voter's relay number
        std::uint64_t request = 0;
        Timestamp deadline{};
    };
    // The result of a proposal to the log.
    struct Proposal {
        Rejection rejection = Rejection::kNone;
        std::string message;
        LogIndex index = 0;
        bool is_committed = false;
    };
    // Implemented by the relay.
    class Port {
    public:
        virtual ~Port() = default;
        virtual bool leads(Timestamp now) = 0;
        virtual Proposal propose(Timestamp now, const Change& change) = 0;
        virtual void on_proposed(Timestamp now) = 0;
        // Why a change cannot be forwarded towards the leader (may be empty); nullopt if it can.
        virtual std::optional<std::string> forward_problem() const = 0;
        virtual void forward(const Submit& submit) = 0;
        virtual void answer(const Requester& requester, const Answer& answer) = 0;
    };
    ChangeRouter(Port& port, std::uint64_t seed);

    void on_submit(Timestamp now, const Requester& requester, const Change& change, bool may_forward);
    // An answer to a forwarded change.
    void on_answer(const Answer& answer);
    void on_committed(const Record& record);
    // Answers requesters whose deadline has passed; they retry with the same change id.
    void expire(Timestamp now);

private:
    std::size_t requester_count() const;
    void answer(const Requester& requester, Answer answer);

    Port& port_;
    std::uint64_t next_request_;
    std::map<std::uint64_t, Requester> forwarded_;  // by the request number that this relay assigned
    // Proposed by this relay, by log index: the change's id and its requester.
    std::map<LogIndex, std::vector<std::pair<std::string, Requester>>> proposed_;
};

}  // namespace linnetlead::distribution
