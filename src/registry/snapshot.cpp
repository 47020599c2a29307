#include "snapshot.h"

#include <fcntl.h>
#include <unistd.h>
#define XXH_INLINE_ALL
#include <xxhash.h>
#include <zstd.h>

#include <cstdio>
#include <nlohmann/json.hpp>

#include "source.h"

namespace linnetlead::registry {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr std::string_view version = "linnetlead-list 1 ";
constexpr std::size_t most_text = 256 * 1024 * 1024;

std::string checksum_of(std::string_view bytes) {
    char text[20];
    std::snprintf(text, sizeof(text), "%016llx\n",
                  static_cast<unsigned long long>(XXH64(bytes.data(), bytes.size(), 0)));
    return text;
}

}  // namespace

std::string pack(const Snapshot& snapshot) {
    std::string text =
        json{{"made_ms", snapshot.made / 1ms}, {"workers", snapshot.entries.size()}}.dump() + '\n';
    for (const Listed& one : snapshot.entries) {
        const auto& entry = one.entry;
        using topazcrank::ServerState;
        text += json{{"id", entry.id},
                     {"addr", one.address},
                     {"zone", entry.zone},
                     {"kind", entry.kind},
                     {"cell", entry.cell},
                     {"weight", entry.weight},
                     {"started_ms", entry.started / 1ms},
                     {"state", entry.state == ServerState::in ? "in_service" : "terminating"}}
                    .dump() +
                '\n';
    }
    std::string packed(ZSTD_compressBound(text.size()), '\0');
    packed.resize(ZSTD_compress(packed.data(), packed.size(), text.data(), text.size(), 3));
    return std::string(version) + checksum_of(packed) + packed;
}

std::optional<Snapshot> unpack(const std::string& bytes, topazcrank::Time now, topazcrank::Span most_age,
                               std::string& problem) {
    const auto no = [&problem](const char* why) {
        problem = why;
        return std::nullopt;
    };
    const auto line = bytes.find('\n');
    if (bytes.compare(0, version.size(), version) != 0 || line == std::string::npos) {
        return no("it is no list of this version");
    }
    const std::string_view packed = std::string_view(bytes).substr(line + 1);
    if (checksum_of(packed) != bytes.substr(version.size(), line + 1 - version.size())) {
        return no("it does not fit its checksum");
    }
    const auto size = ZSTD_getFrameContentSize(packed.data(), packed.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > most_text) {
        return no("its size is not told");
    }
    std::string text(static_cast<std::size_t>(size), '\0');
    if (ZSTD_decompress(text.data(), text.size(), packed.data(), packed.size()) != size) {
        return no("it cannot be unpacked");
    }
    Snapshot snapshot;
    std::size_t wanted = 0;
    for (std::size_t at = 0, number = 0; at < text.size(); ++number) {
        const auto end = std::min(text.find('\n', at), text.size());
        const std::string one = text.substr(at, end - at);
        at = end + 1;
        const json read = json::parse(one, nullptr, false);
        if (!read.is_object()) return no("it holds a line that is none");
        if (number == 0) {
            snapshot.made = std::chrono::milliseconds(read.value("made_ms", std::int64_t{0}));
            wanted = read.value("workers", std::size_t{0});
            continue;
        }
        Listed listed;
        if (!read_value(read.value("id", ""), one, listed).empty()) return no("it holds a bad worker");
        snapshot.entries.push_back(std::move(listed));
    }
    if (snapshot.entries.size() != wanted) return no("workers are missing in it");
    if (now - snapshot.made > most_age) return no("it is too old");
    return snapshot;
}

bool write_snapshot(const std::string& path, const std::string& bytes) {
    const std::string part = path + ".part";
    const int file = ::open(part.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (file < 0) return false;
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t size = ::write(file, bytes.data() + written, bytes.size() - written);
        if (size <= 0) break;
        written += static_cast<std::size_t>(size);
    }
    const bool synced = written == bytes.size() && fsync(file) == 0;
    const bool closed = ::close(file) == 0;
    return synced && closed && std::rename(part.c_str(), path.c_str()) == 0;
}

}  // namespace linnetlead::registry
