#include "testing/lightweight/traffic_census.h"

#include <dirent.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

namespace linnetlead::test_support {

void TrafficCensus::look() {
    DIR* const folder = opendir("/proc/self/fd");
    if (!folder) return;
    descriptors_ = 0;
    std::map<std::uint64_t, Seen> open;
    for (auto& [role, flow] : flows_) flow.connections = 0;
    while (const dirent* const entry = readdir(folder)) {
        const int fd = std::atoi(entry->d_name);
        if (entry->d_name[0] == '.' || fd == dirfd(folder)) continue;
        ++descriptors_;
        sockaddr_in peer{};
        socklen_t size = sizeof(peer);
        if (getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) != 0 || peer.sin_family != AF_INET)
            continue;
        const auto role = roles_.find(ntohs(peer.sin_port));
        if (role == roles_.end()) continue;
        tcp_info info{};
        size = sizeof(info);
        std::uint64_t cookie = 0;
        socklen_t cookie_size = sizeof(cookie);
        if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
            getsockopt(fd, SOL_SOCKET, SO_COOKIE, &cookie, &cookie_size) != 0)
            continue;
        Flow& flow = flows_[role->second];
        const auto before = seen_.find(cookie);
        const Seen then = before == seen_.end() ? Seen{} : before->second;
        if (before == seen_.end()) ++flow.opened;
        const Seen now{info.tcpi_bytes_acked, info.tcpi_bytes_received, info.tcpi_segs_out,
                       info.tcpi_segs_in};
        flow.bytes_sent += now.bytes_sent - then.bytes_sent;
        flow.bytes_received += now.bytes_received - then.bytes_received;
        flow.segments_sent += now.segments_sent - then.segments_sent;
        flow.segments_received += now.segments_received - then.segments_received;
        ++flow.connections;
        open[cookie] = now;
    }
    closedir(folder);
    seen_ = std::move(open);
}

nlohmann::json TrafficCensus::figures() {
    look();
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    const auto seconds = [](const timeval& of) {
        return static_cast<double>(of.tv_sec) + static_cast<double>(of.tv_usec) * 1e-6;
    };
    long pages = 0, resident = 0;
    std::ifstream("/proc/self/statm") >> pages >> resident;
    nlohmann::json tcp = nlohmann::json::object();
    for (const auto& [role, flow] : flows_) {
        tcp[role] = {{"bytes_sent", flow.bytes_sent},       {"bytes_received", flow.bytes_received},
                     {"segments_sent", flow.segments_sent}, {"segments_received", flow.segments_received},
                     {"connections", flow.connections},     {"opened", flow.opened}};
    }
    return {{"cpu_s", seconds(used.ru_utime) + seconds(used.ru_stime)},
            {"resident_kib", resident * (sysconf(_SC_PAGESIZE) / 1024)},
            {"peak_kib", used.ru_maxrss},
            {"descriptors", descriptors_},
            {"tcp", tcp}};
}

}  // namespace linnetlead::test_support
