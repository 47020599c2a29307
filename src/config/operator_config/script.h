// The operators' script: a Starlark-like form of assignments, literals, lists, dicts, arithmetic and calls
// with keyword arguments. Reading it has no effects: what comes out is one document of declarations, in which
// every value knows where it was written.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace linnetlead::operator_config {

struct Position {
    std::size_t line = 1;
    std::size_t column = 1;
};

// What is wrong with a file, and where: an error as a value.
struct Problem {
    std::string file;
    Position at;
    std::string what;
    std::string line() const;  // "FILE:LINE:COLUMN: WHAT", one line
};

// A value of the script. Quantities are dicts of a "unit" and a "value": time in seconds, share in parts of
// one, rate in units a second.
struct Value {
    enum class Kind { kNull, kTruth, kNumber, kText, kList, kDict };
    struct Field;
    Kind kind = Kind::kNull;
    Position at;
    bool truth = false;
    double number = 0;
    std::string text;
    std::vector<Value> items;   // of a list
    std::vector<Field> fields;  // of a dict, in the order written
    std::string declares;       // of a declaration: the function that made it

    const Value* find(std::string_view name) const;
    nlohmann::json json() const;
};
struct Value::Field {
    std::string name;
    Position at;
    Value value;
};

// "2026-12-01T10:00:00Z", with fractions of a second if wanted, in seconds of Unix time.
std::optional<double> read_instant(std::string_view text);
std::string write_instant(double seconds);

constexpr std::size_t kMaxBytes = 1024 * 1024;
constexpr std::size_t kMaxDepth = 64;  // of brackets

// The document: a dict of lists, "pools", "moves" and so on, of what was declared.
using Result = std::variant<Value, Problem>;
Result read_script(std::string_view text, const std::string& file);

}  // namespace linnetlead::operator_config
