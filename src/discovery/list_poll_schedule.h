// Decides what one gateway requests from the registry, and when. DiscoveryWatch sends the requests; this
// class has no sockets and no clock. Gateways that poll the same registry know only their number, from the
// settings. While requests are rejected, each keeps to its part of a common retry budget; otherwise the
// retries alone would overload the registry.
#pragma once

#include <cstdint>
#include <random>

#include "proxy/ports.h"

namespace linnetlead::net {

// Time limits and pauses of a watch.
struct ListPollPace {
    proxy::Duration wait;            // how long a request waits for changes
    proxy::Duration answer_timeout;  // time limit of any answer, in addition to the wait
    proxy::Duration after_silence;   // pause after a timeout
    proxy::Duration max_pause;       // between requests that fail repeatedly
    // Longest pause between requests that are rejected repeatedly. 0: a rejection is handled like any other
    // failure, since only this gateway polls the registry.
    proxy::Duration max_rejection_pause{0};
    bool told_at_start = false;  // request the complete list at the start, as if changes had been missed
};

class ListPollSchedule {
public:
    enum class Kind {
        kCompleteList,  // the complete list, answered at once
        kChanges,       // changes since the version, answered at once
        kWatch,         // changes since the version, answered as soon as there is one
    };
    // Retries per second of all gateways together while the registry rejects requests. The limit on a
    // gateway's pause (max_rejection_pause) may lead to more.
    static constexpr double kFleetRetriesPerS = 25;

    // `known_version` is the version of the known list; a negative value means that there is none. `gateways`
    // is the number of gateways that poll the same registry. The seed varies the pauses between them.
    ListPollSchedule(std::int64_t known_version, std::uint64_t seed, const ListPollPace& pace, int gateways);

    Kind next_kind() const;
    std::int64_t version() const { return version_; }
    // How long the next request asks the registry to wait for changes.
    proxy::Duration wait() const;
    // Time limit of the first byte of the next answer.
    proxy::Duration answer_timeout() const;

    // The following functions record the result of the last request. After a list the next request is due at
    // once; the others return the pause before it.
    // Returns false if the list is unusable; the caller then records an invalid answer.
    bool record_list(std::int64_t version, bool full);
    proxy::Duration record_disconnect();      // no connection, or the connection ended
    proxy::Duration record_invalid_answer();  // the answer is not a list
    proxy::Duration record_timeout();
    // 429 or 503. `retry_after` is the pause that the registry requested, or 0; it is honored up to
    // max_rejection_pause.
    proxy::Duration record_rejection(proxy::Timestamp now, proxy::Duration retry_after);
    // Another registry is polled from now on; its versions are independent.
    void record_new_registry();

private:
    bool is_shared() const { return pace_.max_rejection_pause > proxy::Duration{0}; }
    proxy::Duration take_retry_token(proxy::Timestamp now);

    ListPollPace pace_;
    std::int64_t version_;
    bool may_have_missed_changes_;       // at the start or after a failure
    bool complete_list_failed_ = false;  // the last complete list was rejected or not answered
    // The next watch continues an answered one and does not queue at the registry.
    bool continues_watch_ = false;
    int failures_ = 0, rejections_ = 0;  // in a row
    // Token bucket with this gateway's part of the common budget: one request per retry_interval_, and a
    // small burst.
    proxy::Duration retry_interval_;
    double retry_tokens_;
    proxy::Timestamp refilled_at_{};
    std::mt19937_64 random_;
};

}  // namespace linnetlead::net
