// Order in which client connections give way when there is no room for a new one. A decision only: no I/O, no
// clock. Used by the downstream server.
#pragma once

#include <optional>

#include "linnetlead/policy.h"

namespace linnetlead::proxy {

// What the decision needs to know of a client connection.
struct ClientActivity {
    bool is_waiting_for_answers = false;  // a request is open, or an answer is not written
    bool is_closing = false;              // gracefully: nothing further is read from it
    bool is_receiving = false;            // a part of a command has arrived
    bool has_asked = false;               // has ever sent a request
    int reads_of_command = 0;             // that the part has taken
    policy::Timestamp last_used{};        // when it connected, or when its last request arrived
    policy::Timestamp last_bytes{};       // when the last bytes arrived
};

// The lowest gives way first; among equal ones the one that was used least recently.
struct EvictionRank {
    enum class Kind {
        kNoRequest,         // has never sent one, or is closing anyway
        kAbandonedCommand,  // loses nothing that its client still works on
        kIdle,              // its client connects again
        kReceiving,         // its client writes slowly and has to send the command again
    };
    Kind kind = Kind::kNoRequest;
    policy::Timestamp last_used{};

    friend bool operator<(const EvictionRank& a, const EvictionRank& b) {
        return a.kind != b.kind ? a.kind < b.kind : a.last_used < b.last_used;
    }
};

// None: closing the connection would lose a request or an answer. The caller also has to rule out what only
// the kernel knows: input that is not read yet, and answers that the client's machine has not received.
std::optional<EvictionRank> eviction_rank(const ClientActivity& client, policy::Timestamp now);

}  // namespace linnetlead::proxy
