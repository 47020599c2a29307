// Encodes and decodes CBOR with the JSON library, for datagrams, decision records and saved state.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace linnetlead::agreement {

// Never throws. Returns a discarded value (is_discarded()) if the bytes are not exactly one CBOR item, or if
// they state a length that cannot be allocated, for which the library itself throws.
nlohmann::json read_cbor(std::string_view bytes);
std::string write_cbor(const nlohmann::json& value);

}  // namespace linnetlead::agreement
