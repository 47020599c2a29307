// Tables that map the simulator's words to enum values, and back.
#pragma once

#include <array>
#include <string_view>

#include "config/setting_words.h"
#include "linnetlead/policy.h"

namespace linnetlead::simulator_adapter {

// Messages from the simulator.
enum class MessageKind {
    kBeginBatch,
    kEndBatch,
    kStartGateway,
    kStopGateway,
    kEndpointPage,  // header of a list of endpoints that kEndpointList refers to
    kEndpointRow,
    kEndpointList,
    kRequest,
    kAttemptResult,
    kStreamStarted,
    kRequestWithdrawn,
    kCounterReply,
    kProbeResult,
    kWake,
    kPeerMessage,
};
constexpr std::array<config::Word<MessageKind>, 15> kMessages{{
    {"TURN", MessageKind::kBeginBatch},
    {"YOUR_TURN", MessageKind::kEndBatch},
    {"BOOT", MessageKind::kStartGateway},
    {"STOP", MessageKind::kStopGateway},
    {"CATALOG", MessageKind::kEndpointPage},
    {"ROW", MessageKind::kEndpointRow},
    {"VIEW", MessageKind::kEndpointList},
    {"SUBMIT", MessageKind::kRequest},
    {"RESOLVED", MessageKind::kAttemptResult},
    {"HEAD_RECEIVED", MessageKind::kStreamStarted},
    {"WITHDRAWN", MessageKind::kRequestWithdrawn},
    {"COUNTED", MessageKind::kCounterReply},
    {"PROBE_DONE", MessageKind::kProbeResult},
    {"WAKEUP", MessageKind::kWake},
    {"NOTE_FROM", MessageKind::kPeerMessage},
}};

// Messages to the simulator.
enum class ReplyKind {
    kEndBatch,
    kSend,
    kReject,
    kFail,
    kCancel,
    kProbe,
    kAddToCounter,
    kWake,
    kWatchEndpoints,
    kLog,
    kGatewayFailed,
};
constexpr std::array<config::Word<ReplyKind>, 11> kReplies{{
    {"DONE", ReplyKind::kEndBatch},
    {"RELAY", ReplyKind::kSend},
    {"SHED", ReplyKind::kReject},
    {"GIVE_UP", ReplyKind::kFail},
    {"UNDO_SEND", ReplyKind::kCancel},
    {"CHECK", ReplyKind::kProbe},
    {"INCR", ReplyKind::kAddToCounter},
    {"NOTIFY_ME", ReplyKind::kWake},
    {"OBSERVE", ReplyKind::kWatchEndpoints},
    {"EMIT", ReplyKind::kLog},
    {"GIVE_IN", ReplyKind::kGatewayFailed},
}};

constexpr std::array<config::Word<policy::Outcome>, 8> kOutcomes{{
    {"ok", policy::Outcome::kOk},
    {"error", policy::Outcome::kError},
    {"full", policy::Outcome::kRejected},
    {"timeout", policy::Outcome::kTimeout},
    {"connect_failed", policy::Outcome::kConnectFailed},
    {"reset", policy::Outcome::kReset},
    {"cancelled", policy::Outcome::kCancelled},
    {"moot", policy::Outcome::kNotSent},
}};
constexpr std::array<config::Word<policy::CounterStatus>, 4> kCounterStatuses{{
    {"ok", policy::CounterStatus::kOk},
    {"full", policy::CounterStatus::kOverloaded},
    {"connect_failed", policy::CounterStatus::kConnectFailed},
    {"timeout", policy::CounterStatus::kTimeout},
}};
constexpr std::array<config::Word<policy::EndpointState>, 3> kEndpointStates{{
    {"IN", policy::EndpointState::kInService},
    {"LAME", policy::EndpointState::kDraining},
    {"OUT", policy::EndpointState::kRemoved},
}};
constexpr std::array<config::Word<policy::EndpointListKind>, 4> kEndpointListKinds{{
    {"D", policy::EndpointListKind::kChanges},
    {"F", policy::EndpointListKind::kComplete},
    {"C", policy::EndpointListKind::kCached},
    {"X", policy::EndpointListKind::kFailed},
}};

// Returns the word for a value of one of these tables, or an empty string if there is none.
template <typename Term, std::size_t Count>
constexpr std::string_view word_for(const std::array<config::Word<Term>, Count>& words, Term term) {
    for (const auto& word : words) {
        if (word.value == term) return word.text;
    }
    return {};
}

}  // namespace linnetlead::simulator_adapter
