#include "config/operator_config/resources.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace linnetlead::operator_config {

namespace {

using nlohmann::json;
using Kind = Value::Kind;

// A kind of key, the list of its declarations in a document, and the field that the key's name is.
struct Of {
    std::string_view kind, list, name;
};
constexpr std::array<Of, 6> kKinds{{{"pool", "pools", "name"},
                                    {"plan", "plans", "name"},
                                    {"move", "moves", "name"},
                                    {"reserve", "reserves", "id"},
                                    {"route", "routes", "name"},
                                    {"capacity", "capacities", ""}}};
constexpr std::string_view kRank = "rank";

const Of* kind_of(std::string_view key) {
    const auto slash = key.find('/');
    if (slash == std::string_view::npos) return nullptr;
    const auto at = std::find_if(kKinds.begin(), kKinds.end(),
                                 [&](const Of& one) { return one.kind == key.substr(0, slash); });
    return at == kKinds.end() ? nullptr : &*at;
}

Value value_of(const json& from) {
    Value value;
    if (from.is_boolean()) {
        value.kind = Kind::kTruth;
        value.truth = from.get<bool>();
    } else if (from.is_number()) {
        value.kind = Kind::kNumber;
        value.number = from.get<double>();
    } else if (from.is_string()) {
        value.kind = Kind::kText;
        value.text = from.get<std::string>();
    } else if (from.is_array()) {
        value.kind = Kind::kList;
        for (const json& one : from) value.items.push_back(value_of(one));
    } else if (from.is_object()) {
        value.kind = Kind::kDict;
        for (const auto& [name, one] : from.items()) value.fields.push_back({name, {}, value_of(one)});
    }
    return value;
}

Value text_of(std::string_view text) {
    Value value;
    value.kind = Kind::kText;
    value.text = text;
    return value;
}

json read_json(const std::string& text) { return json::parse(text, nullptr, false); }

// A number in front of the declarations of one kind, which decides their order.
struct Declared {
    double rank = 0;
    std::string name;
    Value value;
};

std::optional<Declared> declared(const Of& of, std::string_view name, const std::string& value) {
    const json from = read_json(value);
    if (!from.is_object()) return std::nullopt;
    Declared made{0, std::string(name), value_of(from)};
    auto& fields = made.value.fields;
    for (auto at = fields.begin(); at != fields.end();) {
        const bool is_rank = of.kind == "pool" && at->name == kRank && at->value.kind == Kind::kNumber;
        if (is_rank) made.rank = at->value.number;
        at = is_rank ? fields.erase(at) : std::next(at);
    }
    if (!of.name.empty()) {
        if (made.value.find(of.name)) return std::nullopt;  // the key has it
        fields.push_back({std::string(of.name), {}, text_of(name)});
    }
    return made;
}

}  // namespace

Resources resources_of(const Value& document) {
    Resources made;
    for (const Of& of : kKinds) {
        const Value* list = document.find(of.list);
        if (!list) continue;
        for (std::size_t i = 0; i < list->items.size(); ++i) {
            json value = list->items[i].json();
            std::string key = std::string(of.kind) + '/';
            if (!of.name.empty()) {
                key += value[std::string(of.name)].get<std::string>();
                value.erase(std::string(of.name));
            }
            if (of.kind == "pool") value[std::string(kRank)] = i + 1;
            made[key] = value.dump();
        }
    }
    return made;
}

Result document_of(const Resources& resources) {
    Value document;
    document.kind = Kind::kDict;
    std::vector<Declared> all;
    for (const Of& of : kKinds) {
        const std::string prefix = std::string(of.kind) + '/';
        all.clear();
        for (auto at = resources.lower_bound(prefix);
             at != resources.end() && at->first.compare(0, prefix.size(), prefix) == 0; ++at) {
            auto one = declared(of, std::string_view(at->first).substr(prefix.size()), at->second);
            if (!one) return Problem{at->first, {}, "this is no value of its kind"};
            all.push_back(std::move(*one));
        }
        if (all.empty()) continue;
        std::stable_sort(all.begin(), all.end(),
                         [](const Declared& a, const Declared& b) { return a.rank < b.rank; });
        Value list;
        list.kind = Kind::kList;
        for (Declared& one : all) list.items.push_back(std::move(one.value));
        document.fields.push_back({std::string(of.list), {}, std::move(list)});
    }
    return check_document(std::move(document), "distributed");
}

std::string check_resource(std::string_view key, const std::string& value) {
    const Of* of = kind_of(key);
    if (!of) return {};
    if (of->kind == "capacity" && key != "capacity/") return "the capacity has no name: its key is capacity/";
    const Result made = document_of({{std::string(key), value}});
    const auto* problem = std::get_if<Problem>(&made);
    return problem ? problem->what : "";
}

std::optional<std::string> canonical(const std::string& value) {
    const json from = read_json(value);
    if (from.is_discarded()) return std::nullopt;
    return value_of(from).json().dump();
}

std::vector<distribution::Edit> difference(const Resources& before, const Resources& after) {
    std::vector<distribution::Edit> edits;
    for (const auto& [key, value] : before) {
        if (after.count(key) == 0) edits.push_back({key, std::nullopt});
    }
    for (const auto& [key, value] : after) {
        const auto was = before.find(key);
        if (was == before.end() || was->second != value) edits.push_back({key, value});
    }
    return edits;
}

}  // namespace linnetlead::operator_config
