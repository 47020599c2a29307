// A key-value registry: the store as a model with revisions and compaction, what two published protocols say
// of it as sessions without I/O, and a server on sockets that plays them, with faults.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "discovery/registry_source.h"
#include "net/loop.h"

namespace linnetlead::test_support {

using proxy::Duration;
using proxy::Timestamp;

class KvStore {
public:
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    void compact() { compacted_ = revision_; }
    // All is lost, as after a restore from nothing: revisions begin anew.
    void reset();

    struct Entry {
        std::string value;
        std::int64_t changed = 0;
    };
    struct Event {
        std::int64_t revision = 0;
        std::string key;
        std::optional<std::string> value;  // nothing: it is gone
    };
    const std::map<std::string, Entry>& entries() const { return entries_; }
    const std::deque<Event>& events() const { return events_; }  // since the compaction, and some before
    std::int64_t revision() const { return revision_; }
    std::int64_t compacted() const { return compacted_; }
    int cluster() const { return cluster_; }  // a new one after each reset

private:
    int cluster_ = 1;
    std::map<std::string, Entry> entries_;
    std::deque<Event> events_;
    std::int64_t revision_ = 1, compacted_ = 0;
};

enum class KvProtocol { kConsul, kEtcd };

// One connection's end at the server.
class KvSession {
public:
    KvSession(const KvStore& store, KvProtocol protocol) : store_(store), protocol_(protocol) {}
    void request(Timestamp now, const std::string& target, const std::string& body);
    // The next thing that it says; nothing: it waits.
    std::optional<discovery::Response> answer(Timestamp now);
    bool streams() const { return streams_; }
    std::size_t fragment = 3;  // events of a message at most

private:
    discovery::Response list_consul() const;
    discovery::Response list_etcd();
    discovery::Response message(std::string result) const;

    const KvStore& store_;
    KvProtocol protocol_;
    bool open_ = false, streams_ = false, created_ = false;
    std::int64_t index_ = 0;
    Timestamp until_{};
    std::string target_, body_;
    std::int64_t next_revision_ = 0;
    std::deque<std::string> ready_;
};

class KvServer {
public:
    enum class Mood { kWell, kSilent, kRefusing, kRubbish, kCut, kError, kEndless };
    KvServer(net::Loop& loop, KvStore& store, KvProtocol protocol);
    ~KvServer();
    std::string address() const;
    void tell();       // the store has changed
    void break_all();  // ends every connection
    void close();
    Mood mood = Mood::kWell;
    std::uint64_t requests = 0;

private:
    class Connection;
    struct Parts;
    KvStore& store_;
    KvProtocol protocol_;
    std::unique_ptr<Parts> parts_;
};

std::string endpoint_value(const std::string& address, const std::string& state = "in_service",
                           const std::string& kind = "std", std::int64_t started_ms = 0);

}  // namespace linnetlead::test_support
