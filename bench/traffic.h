// What the kernel has counted of a TCP connection. Apart, since the kernel's header and the C library's,
// which libuv's takes in, do not go together.
#pragma once

namespace linnetlead::bench {

struct Counted {
    double payload = 0;  // bytes, both ways
    double segments = 0;
};
// Zeros where the descriptor is no TCP connection.
Counted counted_by_kernel(int descriptor);

}  // namespace linnetlead::bench
