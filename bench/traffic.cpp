#include "traffic.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace linnetlead::bench {

Counted counted_by_kernel(int descriptor) {
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return {};
    return {static_cast<double>(info.tcpi_bytes_acked + info.tcpi_bytes_received),
            static_cast<double>(info.tcpi_segs_in) + static_cast<double>(info.tcpi_segs_out)};
}

}  // namespace linnetlead::bench
