#include "cluster/agreement/cbor.h"

namespace linnetlead::agreement {

using nlohmann::json;

json read_cbor(std::string_view bytes) {
    try {
        return json::from_cbor(bytes.begin(), bytes.end(), true, false);
    } catch (const json::exception&) {
        return json(json::value_t::discarded);
    }
}

std::string write_cbor(const json& value) {
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

}  // namespace linnetlead::agreement
