// The operators' document: a script that has passed the schema. What is left to check is what the parts that
// read it know (shares that rise, pools that overlap), and they tell it at the same places.
#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "config/operator_config/script.h"

namespace linnetlead::operator_config {

// The schema that documents are checked against: JSON Schema, draft 7.
std::string_view schema();

// Reads, runs and checks a script. The Value is a dict of the lists of declarations.
Result read_document(std::string_view text, const std::string& file);
// The second half of it: of a document that came otherwise.
Result check_document(Value document, const std::string& file);
// The text of a file, at most `kMaxBytes` and one more; a Problem where it cannot be read.
std::optional<Problem> read_text(const std::string& path, std::string& text);

// Of a checked document.
std::chrono::nanoseconds time_of(const Value& quantity);
double share_of(const Value& quantity);

}  // namespace linnetlead::operator_config
