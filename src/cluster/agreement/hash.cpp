#include "cluster/agreement/hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace linnetlead::agreement {

std::uint64_t hash_of(std::string_view bytes, std::uint64_t seed) {
    return XXH64(bytes.data(), bytes.size(), seed);
}

}  // namespace linnetlead::agreement
