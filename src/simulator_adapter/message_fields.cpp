#include "simulator_adapter/message_fields.h"

#include <algorithm>
#include <limits>

#include "config/settings.h"

namespace linnetlead::simulator_adapter {

void MessageFields::throw_error(std::string_view field, const std::string& what) const {
    throw WireError("line " + std::to_string(line_number_) + ": " + std::string(name_) + ": field " +
                    std::string(field) + ": " + what);
}

std::string_view MessageFields::text(std::string_view field) {
    if (at_end_) throw_error(field, "missing");
    const auto part = take_field();
    if (part.empty()) throw_error(field, "empty");
    return part;
}

policy::Timestamp MessageFields::time(std::string_view field) {
    return policy::Timestamp{number<std::int64_t>(field, 0, std::numeric_limits<std::int64_t>::max())};
}

policy::RequestId MessageFields::request_id(std::string_view field) {
    constexpr std::size_t kDigits = 16;
    constexpr int kBase = 16;
    const auto part = text(field);
    const auto value = part.size() == kDigits ? config::parse<policy::RequestId>(part, kBase) : std::nullopt;
    if (!value) throw_error(field, "expected 16 hexadecimal digits");
    return *value;
}

policy::LoadReport MessageFields::load_report(std::string_view field, const std::vector<std::string>& names) {
    policy::LoadReport report;
    if (at_end_) return report;
    auto values = text(field);
    if (values == "-") return report;
    for (std::size_t i = 0; !values.empty() || i == 0; ++i) {
        const auto end = std::min(values.find(','), values.size());
        const auto part = values.substr(0, end);
        values.remove_prefix(std::min(end + 1, values.size()));
        if (part == "-" || part.empty()) continue;
        const auto value = config::parse<double>(part);
        if (!value) throw_error(field, "not a number: '" + std::string(part) + "'");
        if (i >= names.size()) continue;
        config::set_report_field(report, names[i], *value);
    }
    return report;
}

std::string_view MessageFields::remainder() {
    const auto all = rest_;
    rest_ = {};
    at_end_ = true;
    return all;
}

void MessageFields::expect_end() const {
    if (at_end_) return;
    throw WireError("line " + std::to_string(line_number_) + ": " + std::string(name_) + ": extra field '" +
                    std::string(rest_) + "'");
}

std::string_view MessageFields::take_field() {
    const auto at = rest_.find(' ');
    const auto part = rest_.substr(0, at);
    at_end_ = at == std::string_view::npos;
    rest_ = at_end_ ? std::string_view{} : rest_.substr(at + 1);
    return part;
}

}  // namespace linnetlead::simulator_adapter
