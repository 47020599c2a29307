// Words and numbers as the wire and the configuration write them.
#pragma once

#include <array>
#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>
#include <type_traits>

namespace linnetlead::config {

template <typename Value>
struct Word {
    std::string_view text;
    Value value;
};

template <typename Value, std::size_t Count>
std::optional<Value> look_up(const std::array<Word<Value>, Count>& words, std::string_view text) {
    for (const auto& word : words) {
        if (word.text == text) return word.value;
    }
    return std::nullopt;
}

template <typename Number>
std::optional<Number> parse(std::string_view text, int base = 10) {
    Number value{};
    std::from_chars_result result{};
    if constexpr (std::is_floating_point_v<Number>) {
        result = std::from_chars(text.data(), text.data() + text.size(), value);
        if (!std::isfinite(value)) return std::nullopt;
    } else {
        result = std::from_chars(text.data(), text.data() + text.size(), value, base);
    }
    if (result.ec != std::errc{} || result.ptr != text.data() + text.size()) return std::nullopt;
    return value;
}

}  // namespace linnetlead::config
