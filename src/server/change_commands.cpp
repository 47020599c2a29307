#include "server/change_commands.h"

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <sstream>
#include <stdexcept>

#include "cluster/transport/frame_link.h"
#include "config/operator_config/resources.h"
#include "metering/tenant_terms.h"
#include "server/config.h"
#include "server/operator_service.h"

namespace linnetlead::server {

using distribution::Answer;
using distribution::Change;
using distribution::Edit;
using distribution::Frame;
using distribution::Rejection;
using nlohmann::json;
using operator_config::Resources;
using proxy::Duration;
using proxy::Timestamp;
using namespace std::chrono_literals;

namespace {

constexpr int kDone = 0, kRejected = 1, kNoAnswer = 2;
constexpr Duration kAnswerWithin = 3s;  // for one try

std::optional<config::Site> site_of(const std::string& config) {
    return config.empty() ? std::nullopt : std::optional(load_file(config).site);
}

// All that a file declares, by key; its lists of accounts are read too.
Resources read_resources(const std::string& path, const config::Site* site) {
    std::string text;
    if (const auto problem = operator_config::read_text(path, text))
        throw std::runtime_error(problem->line());
    const OperatorSettings settings = read_operators(text, path, site);
    const operator_config::Result document = operator_config::read_document(text, path);
    Resources made = operator_config::resources_of(std::get<operator_config::Value>(document));
    Resources tenants = metering::tenant_resources(*settings.book);
    made.merge(tenants);
    return made;
}

std::string read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) throw std::runtime_error("cannot read " + path);
    return text.str();
}

// [{"key":"plan/a","value":{...}}, {"key":"plan/b","value":null}]
std::vector<Edit> read_edits(const std::string& path, const std::string& text) {
    const json list = json::parse(text, nullptr, false);
    const auto wrong = [&](std::size_t at, const std::string& what) {
        return std::runtime_error(path + ": edit " + std::to_string(at + 1) + ": " + what);
    };
    if (!list.is_array()) throw std::runtime_error(path + ": this is no JSON list of edits");
    std::vector<Edit> edits;
    for (std::size_t i = 0; i < list.size(); ++i) {
        const json& one = list[i];
        if (!one.is_object() || !one.contains("key") || !one["key"].is_string() || !one.contains("value") ||
            one.size() != 2) {
            throw wrong(i, "an edit has a \"key\" and a \"value\", null to take the key away");
        }
        Edit edit{one["key"].get<std::string>(), std::nullopt};
        const auto slash = edit.key.find('/');
        if (slash == std::string::npos || !distribution::is_known_resource_kind(edit.key.substr(0, slash))) {
            throw wrong(i, "there is no kind of key '" + edit.key + "'");
        }
        if (!one["value"].is_null()) edit.value = operator_config::canonical(one["value"].dump());
        if (const std::string problem = readable(edit); !problem.empty()) {
            throw wrong(i, edit.key + ": " + problem);
        }
        edits.push_back(std::move(edit));
    }
    return edits;
}

std::string drawn_id() {
    std::random_device random;
    char text[17];
    std::snprintf(text, sizeof(text), "%08x%08x", random(), random());
    return text;
}

// One relay after the other until one answers. Blocks.
class Caller {
public:
    explicit Caller(std::vector<std::string> relays) : relays_(std::move(relays)) {
        if (relays_.empty()) throw std::runtime_error("no relay is named: --relay ADDRESS");
        for (const std::string& one : relays_) {
            sockaddr_storage address{};
            if (!net::read_address(one, address)) throw std::runtime_error("no address: '" + one + "'");
        }
    }
    ~Caller() {
        link_.close();
        loop_.drain();
    }
    Timestamp now() const { return loop_.now(); }

    // Nothing: none came.
    std::optional<Answer> ask(const Frame& frame, std::uint64_t request, Duration within) {
        const Timestamp until = loop_.now() + within;
        answer_.reset();
        wanted_ = request;
        while (loop_.now() < until) {
            if (!link_.is_up()) {
                down_ = false;
                link_.connect(relays_[next_++ % relays_.size()], kConnectWithin);
                loop_.turn_until([this] { return link_.is_up() || down_; }, kConnectWithin + 100ms);
                if (!link_.is_up()) {
                    loop_.turn_until([] { return false; }, kPause);
                    continue;
                }
                distribution::Hello hello;
                hello.role = distribution::Role::kTool;
                hello.name = "linnetlead change";
                link_.send(hello);
            }
            down_ = false;
            link_.send(frame);
            loop_.turn_until([this] { return answer_ || down_; }, until - loop_.now());
            if (answer_) return answer_;
            if (!problem_.empty()) break;
        }
        return std::nullopt;
    }
    // Another relay, if there is one, from the next question on.
    void next() {
        if (relays_.size() > 1) link_.hang_up();
    }
    void wait(Duration time) {
        loop_.turn_until([] { return false; }, time);
    }
    const std::string& problem() const { return problem_; }

private:
    static constexpr Duration kConnectWithin = 1s, kPause = 200ms;
    void heard(const Frame& frame) {
        if (const auto* answer = std::get_if<Answer>(&frame)) {
            if (answer->request == wanted_) answer_ = *answer;
        } else if (const auto* error = std::get_if<distribution::Error>(&frame)) {
            problem_ = std::string(distribution::rejection_message(error->rejection)) +
                       (error->message.empty() ? "" : ": " + error->message);
        }
    }

    std::vector<std::string> relays_;
    net::Loop loop_;
    bool down_ = false;
    std::size_t next_ = 0;
    std::uint64_t wanted_ = 0;
    std::optional<Answer> answer_;
    std::string problem_;
    transport::FrameLink link_{
        loop_, {[] {}, [this] { down_ = true; }, [this](const Frame& frame) { heard(frame); }}};
};

std::uint64_t drawn_request() {
    std::random_device random;
    return std::uint64_t{random()} << 32 | random();
}

int give(Caller& caller, const Change& change, Duration within) {
    const Timestamp until = caller.now() + within;
    for (;;) {
        distribution::Submit submit{drawn_request(), change};
        const auto answer =
            caller.ask(submit, submit.request, std::min<Duration>(kAnswerWithin, until - caller.now()));
        // The leader may just have gone: the same id is the same change, here or at the next relay.
        if (!answer && caller.problem().empty() && caller.now() + 300ms < until) {
            caller.next();
            continue;
        }
        if (!answer) {
            std::fprintf(stderr, "linnetlead: no answer%s%s; give it again with --id %s\n",
                         caller.problem().empty() ? "" : ": ", caller.problem().c_str(), change.id.c_str());
            return kNoAnswer;
        }
        if (answer->rejection == Rejection::kNone) {
            std::printf("%s counts as change %llu, %zu keys\n", change.id.c_str(),
                        static_cast<unsigned long long>(answer->revision), change.edits.size());
            return kDone;
        }
        const bool again = answer->rejection == Rejection::kBusy || answer->rejection == Rejection::kNoLeader;
        const bool in_time = caller.now() + 300ms < until;
        if (!again || !in_time) {
            std::fprintf(stderr, "linnetlead: %s: %s%s%s\n", change.id.c_str(),
                         distribution::rejection_message(answer->rejection),
                         answer->message.empty() ? "" : ": ", answer->message.c_str());
            return again ? kNoAnswer : kRejected;
        }
        caller.wait(200ms);
    }
}

std::vector<Change> parts_of(std::vector<Edit> edits, const std::string& id) {
    // What others name comes first, and goes last.
    std::stable_sort(edits.begin(), edits.end(), [](const Edit& a, const Edit& b) {
        const auto place = [](const Edit& edit) {
            return (edit.value ? 0 : 3) + (is_few(edit.key) == edit.value.has_value() ? 0 : 1);
        };
        return place(a) < place(b);
    });
    std::vector<Change> parts;
    std::size_t bytes = 0;
    for (Edit& edit : edits) {
        const std::size_t size = edit.key.size() + (edit.value ? edit.value->size() : 0);
        if (parts.empty() || parts.back().edits.size() == distribution::kMaxEdits ||
            bytes + size > distribution::kMaxChangeBytes) {
            parts.emplace_back();
            parts.back().id = id + "." + std::to_string(parts.size());
            bytes = 0;
        }
        bytes += size;
        parts.back().edits.push_back(std::move(edit));
    }
    if (parts.size() == 1) parts.front().id = id;
    return parts;
}

}  // namespace

int apply_change(const GivenChange& given) {
    const auto site = site_of(given.config);
    const config::Site* const fits = site ? &*site : nullptr;
    std::vector<Edit> edits;
    const std::string text = read_file(given.file);
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first != std::string::npos && text[first] == '[') {
        if (!given.old.empty()) throw std::runtime_error("a list of edits has no old file beside it");
        edits = read_edits(given.file, text);
    } else {
        edits = operator_config::difference(given.old.empty() ? Resources() : read_resources(given.old, fits),
                                            read_resources(given.file, fits));
    }
    if (edits.empty()) {
        std::printf("nothing changes\n");
        return kDone;
    }
    auto parts = parts_of(std::move(edits), given.id.empty() ? drawn_id() : given.id);
    if (parts.size() > 1 && !given.in_parts) {
        throw std::runtime_error("this is over one change's bounds (8192 keys, 1 MiB): --in-parts gives " +
                                 std::to_string(parts.size()) + " changes, each in force by itself");
    }
    Caller caller(given.relays);
    for (Change& part : parts) {
        part.base_revision = given.base;
        const int code =
            give(caller, part, std::chrono::milliseconds(static_cast<std::int64_t>(given.within_s * 1e3)));
        if (code != kDone) return code;
    }
    return kDone;
}

int diff_changes(const std::string& old_path, const std::string& new_path, const std::string& config) {
    const auto site = site_of(config);
    const config::Site* const fits = site ? &*site : nullptr;
    const auto edits =
        operator_config::difference(read_resources(old_path, fits), read_resources(new_path, fits));
    std::printf("[");
    const char* between = "\n ";
    for (const Edit& edit : edits) {
        std::printf("%s{\"key\":%s,\"value\":%s}", between, json(edit.key).dump().c_str(),
                    edit.value ? edit.value->c_str() : "null");
        between = ",\n ";
    }
    std::printf("%s]\n", edits.empty() ? "" : "\n");
    return kDone;
}

int show_relay(const std::vector<std::string>& relays) {
    Caller caller(relays);
    const distribution::Ask ask{drawn_request()};
    const auto answer = caller.ask(ask, ask.request, 2s);
    if (!answer) {
        std::fprintf(stderr, "linnetlead: no answer%s%s\n", caller.problem().empty() ? "" : ": ",
                     caller.problem().c_str());
        return kNoAnswer;
    }
    std::printf("%s\n", answer->message.c_str());
    return kDone;
}

}  // namespace linnetlead::server
