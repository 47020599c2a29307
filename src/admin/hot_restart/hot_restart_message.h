// What two processes of one gateway tell each other during an upgrade: a JSON object to a line. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace linnetlead::hot_restart {

constexpr int kVersion = 1;                   // another's messages are not understood
constexpr std::size_t kMaxLine = 256 * 1024;  // bytes

enum class Kind {
    kHello,     // the new process asks to take over; `text`: the address that clients come to; `on`: it
                // understands kRequests
    kState,     // answers it; `with`: the listening socket comes along; `on`: it drains
    kBan,       // of the endpoint `text`, `on` or off
    kAccounts,  // `text`: what quotas need, as its own JSON
    kEnd,       // of the state
    kReady,     // the new process accepts from now on
    kDrain,     // `on`: drain, else activate
    kRequests,  // `text`: ids of requests that may have run here and must not run there
    kClient,    // a connection comes along; `on`: its client has asked before
    kList,  // `text`: endpoints as the registry lists them, a part of the list or changes; `registry`: where
            // it is from; `on`: the last part. Only to a process that understands it
};

struct Message {
    Kind kind = Kind::kHello;
    std::string text;
    bool on = false;
    bool with = false;  // a socket comes along
    std::string registry{};
    bool takes_lists = false;  // of kHello and kState: the sender understands kList
};

// Client ids in the text of kRequests.
std::string write_ids(const std::vector<std::uint64_t>& ids);
std::vector<std::uint64_t> read_ids(std::string_view text);

// With its end of line.
std::string write(const Message& message);
// Nothing where it is no message of this version.
std::optional<Message> read(std::string_view line);

}  // namespace linnetlead::hot_restart
