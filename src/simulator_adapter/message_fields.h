// Parser for the fields of one line from the simulator. Used by SimulatorLink.
#pragma once

#include <array>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "config/setting_words.h"
#include "linnetlead/policy.h"

namespace linnetlead::simulator_adapter {

// Malformed input. The text names the line number, the message and the field.
class WireError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// Reads the fields of a line in order. All functions that read a field throw WireError if it is missing or
// malformed. The `field` parameters are the simulator's names, for error messages.
class MessageFields {
public:
    MessageFields(std::string_view line, std::uint64_t line_number) : rest_(line), line_number_(line_number) {
        name_ = take_field();
    }

    std::string_view name() const { return name_; }
    bool at_end() const { return at_end_; }
    [[noreturn]] void throw_error(std::string_view field, const std::string& what) const;

    std::string_view text(std::string_view field);
    template <typename Number>
    Number number(std::string_view field, Number min, Number max) {
        return checked<Number>(field, text(field), min, max);
    }
    // Returns `absent` for '-'.
    template <typename Number>
    Number number_or(std::string_view field, Number min, Number max, Number absent) {
        const auto part = text(field);
        return part == "-" ? absent : checked<Number>(field, part, min, max);
    }
    policy::Timestamp time(std::string_view field);
    bool flag(std::string_view field) { return number<int>(field, 0, 1) == 1; }
    policy::RequestId request_id(std::string_view field);
    template <typename Value, std::size_t Count>
    Value enum_value(std::string_view field, const std::array<config::Word<Value>, Count>& words) {
        const auto part = text(field);
        const auto value = config::look_up(words, part);
        if (!value) throw_error(field, "unknown value '" + std::string(part) + "'");
        return *value;
    }
    // An optional last field: comma-separated values in the order of `names`.
    policy::LoadReport load_report(std::string_view field, const std::vector<std::string>& names);
    // Returns the unparsed rest of the line.
    std::string_view remainder();
    // Throws WireError if there are more fields.
    void expect_end() const;

private:
    std::string_view take_field();
    template <typename Number>
    Number checked(std::string_view field, std::string_view part, Number min, Number max) const {
        const auto value = config::parse<Number>(part);
        if (!value) throw_error(field, "not a number or out of range: '" + std::string(part) + "'");
        if (*value < min || *value > max) throw_error(field, "out of range: '" + std::string(part) + "'");
        return *value;
    }

    std::string_view rest_;
    std::string_view name_;
    std::uint64_t line_number_;
    bool at_end_ = false;
};

}  // namespace linnetlead::simulator_adapter
