// The protocol state machine of a key-value registry client: it says what to request next and interprets the
// answers. There are implementations for Consul and etcd. It has no connection and reads no clock;
// net::RegistryClient sends each Ask and passes the responses in.
//
// States: listing (the complete list is read, possibly in pages) and watching (the complete list is known,
// and changes are awaited). After a lost connection it continues from what is known. After a compaction or a
// reset of the store, the known revision is too old: it lists again, and the difference shows what was
// missed.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "proxy/ports.h"

namespace linnetlead::discovery {

using policy::Duration;
using proxy::DiscoveredEndpoint;

struct SourceSettings {
    std::string prefix;                        // of the keys; the rest of a key is the endpoint id
    Duration wait = std::chrono::seconds(20);  // of a blocking read
    bool stale = false;                        // any server may answer, not only the leader
    Duration max_stale = std::chrono::seconds(10);
    std::size_t page = 1000;  // entries per page
};

// A request to the registry.
struct Ask {
    std::string method, target, body;
    Duration silent{};    // longest time without received data
    bool stream = false;  // the response body is an endless sequence of lines, one message each
};

struct Response {
    int status = 0;
    std::unordered_map<std::string, std::string> headers;  // names in lower case
    std::string body;                                      // of a stream: one message
};

class Source {
public:
    enum class State { kListing, kWatching };
    struct News {
        bool whole = false;
        std::vector<DiscoveredEndpoint> entries;
    };
    virtual ~Source() = default;
    State state() const { return state_; }
    virtual Ask ask() = 0;
    // Processes a response. Returns false if it is unusable: the caller backs off and asks again, possibly
    // another endpoint. Sets `ask_again` if the current stream is of no further use and the result of ask()
    // has to be sent at once.
    virtual bool take(const Response& response, bool& ask_again) = 0;
    // The connection ended, or another endpoint is used from now on.
    virtual void broken() = 0;

    std::function<void(const News&)> told;
    std::function<void(const std::string& id, const std::string& what)> bad_value;
    struct Counts {
        std::uint64_t wholes = 0, changes = 0, resets = 0, compactions = 0, bad = 0;
    };
    const Counts& counts() const { return counts_; }

protected:
    // Parses the value of one key. An invalid value is reported once and replaced by the last valid one;
    // returns false if there is none.
    bool parse_entry(const std::string& id, const std::string& value, DiscoveredEndpoint& into);
    void forget_value(const std::string& id) { last_valid_.erase(id); }
    void retain_values(const std::unordered_set<std::string>& ids);

    State state_ = State::kListing;
    Counts counts_;

private:
    struct LastValid {
        DiscoveredEndpoint listed;
        std::size_t bad_hash = 0;  // of the invalid value that was reported last
        bool has_value = false;
    };
    std::unordered_map<std::string, LastValid> last_valid_;
};

// Consul's KV store: blocking reads by index
// (https://developer.hashicorp.com/consul/api-docs/features/blocking).
std::unique_ptr<Source> make_consul(SourceSettings settings);
// etcd v3 through its JSON gateway: range and watch (https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/).
std::unique_ptr<Source> make_etcd(SourceSettings settings);

std::string to_base64(std::string_view bytes);
bool from_base64(std::string_view text, std::string& bytes);
// An endpoint's value: {"addr": "...", "zone": ..., "kind": ..., "cell": ..., "weight": ..., "state": ...,
// "started_ms": ...}. Returns a description of the error, empty if the value is valid.
std::string read_value(const std::string& id, const std::string& value, DiscoveredEndpoint& into);

}  // namespace linnetlead::discovery
