#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "discovery/registry_source.h"

namespace linnetlead::discovery {

namespace {

using nlohmann::json;
using policy::EndpointState;

constexpr std::string_view kSchemaText = R"json({
  "type": "object", "required": ["addr"],
  "properties": {
    "addr": {"type": "string", "minLength": 3, "maxLength": 64},
    "zone": {"type": "string", "maxLength": 64},
    "kind": {"type": "string", "maxLength": 64},
    "cell": {"type": "integer"},
    "weight": {"type": "number", "minimum": 0.000001, "maximum": 1000000},
    "state": {"enum": ["in_service", "terminating", "terminated"]},
    "started_ms": {"type": "integer", "minimum": 0}
  }
})json";

const valijson::Schema& schema() {
    static const valijson::Schema* const kSchema = [] {
        static const json kText = json::parse(kSchemaText);
        auto* const parsed = new valijson::Schema;
        valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(kText), *parsed);
        return parsed;
    }();
    return *kSchema;
}

}  // namespace

std::string to_base64(std::string_view bytes) {
    using namespace boost::archive::iterators;
    using Iterator = base64_from_binary<transform_width<std::string_view::const_iterator, 6, 8>>;
    std::string text(Iterator(bytes.begin()), Iterator(bytes.end()));
    text.append((3 - bytes.size() % 3) % 3, '=');
    return text;
}

bool from_base64(std::string_view text, std::string& bytes) {
    using namespace boost::archive::iterators;
    using Iterator = transform_width<binary_from_base64<std::string_view::const_iterator>, 8, 6>;
    if (text.size() % 4 != 0) return false;
    while (!text.empty() && text.back() == '=') text.remove_suffix(1);
    const std::size_t size = text.size() * 6 / 8;
    try {
        bytes.assign(Iterator(text.begin()), Iterator(text.end()));
    } catch (const std::exception&) {
        return false;  // an invalid character
    }
    bytes.resize(size);
    return true;
}

std::string read_value(const std::string& id, const std::string& value, DiscoveredEndpoint& into) {
    const json read = json::parse(value, nullptr, false);
    if (read.is_discarded()) return "not valid JSON";
    valijson::ValidationResults results;
    valijson::Validator validator;
    if (!validator.validate(schema(), valijson::adapters::NlohmannJsonAdapter(read), &results)) {
        valijson::ValidationResults::Error error, last;
        while (results.popError(error)) {
            if (error.context.size() >= last.context.size()) last = error;
        }
        const std::string at = last.context.empty() ? "" : last.context.back();
        return at + ": " + last.description;
    }
    into = {};
    into.entry.id = id;
    into.address = read.at("addr").get<std::string>();
    into.entry.zone = read.value("zone", "");
    into.entry.kind = read.value("kind", "");
    into.entry.cell = read.value("cell", 0);
    into.entry.weight = read.value("weight", 1.0);
    into.entry.started = std::chrono::milliseconds(read.value("started_ms", std::int64_t{0}));
    const std::string state = read.value("state", "in_service");
    into.entry.state = state == "in_service"    ? EndpointState::kInService
                       : state == "terminating" ? EndpointState::kDraining
                                                : EndpointState::kRemoved;
    return {};
}

void Source::retain_values(const std::unordered_set<std::string>& ids) {
    for (auto at = last_valid_.begin(); at != last_valid_.end();) {
        at = ids.count(at->first) > 0 ? std::next(at) : last_valid_.erase(at);
    }
}

bool Source::parse_entry(const std::string& id, const std::string& value, DiscoveredEndpoint& into) {
    LastValid& last_valid = last_valid_[id];
    const std::string wrong = read_value(id, value, into);
    if (wrong.empty()) {
        last_valid = {into, 0, true};
        return true;
    }
    ++counts_.bad;
    const std::size_t hash = std::hash<std::string>()(value) | 1;
    if (std::exchange(last_valid.bad_hash, hash) != hash && bad_value) bad_value(id, wrong);
    if (last_valid.has_value) into = last_valid.listed;
    return last_valid.has_value;
}

}  // namespace linnetlead::discovery
