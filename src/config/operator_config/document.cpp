#include "config/operator_config/document.h"

#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace linnetlead::operator_config {

namespace {

constexpr std::string_view kSchemaText = R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "operators' settings of linnetlead",
  "type": "object",
  "additionalProperties": false,
  "definitions": {
    "name": {"type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9_.-]{0,39}$"},
    "names": {"type": "array", "minItems": 1, "maxItems": 64, "items": {"type": "string", "minLength": 1}},
    "time": {
      "type": "object", "title": "a time, as in seconds(20)", "additionalProperties": false,
      "required": ["unit", "value"],
      "properties": {"unit": {"enum": ["time"]}, "value": {"type": "number", "minimum": 0, "maximum": 31536000}}
    },
    "rate": {
      "type": "object", "title": "a rate, as in per_second(20)", "additionalProperties": false,
      "required": ["unit", "value"],
      "properties": {"unit": {"enum": ["rate"]}, "value": {"type": "number", "minimum": 0, "maximum": 1000000000}}
    },
    "instant": {
      "type": "object", "title": "an instant, as in instant(\"2026-12-01T10:00:00Z\")",
      "additionalProperties": false, "required": ["unit", "value"],
      "properties": {"unit": {"enum": ["instant"]}, "value": {"type": "number", "minimum": 0, "maximum": 99999999999}}
    },
    "share": {
      "type": "object", "title": "a share, as in percent(5)", "additionalProperties": false,
      "required": ["unit", "value"],
      "properties": {"unit": {"enum": ["share"]}, "value": {"type": "number", "minimum": 0, "maximum": 1}}
    }
  },
  "properties": {
    "plans": {
      "type": "array", "maxItems": 256,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["name", "rate", "burst"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "rate": {"$ref": "#/definitions/rate"},
          "burst": {"type": "number", "minimum": 0, "maximum": 1000000000},
          "open": {"type": "integer", "minimum": 0, "maximum": 1000000},
          "price": {"type": "number", "minimum": 0, "maximum": 1000},
          "over_worth": {"type": "number", "minimum": 0, "maximum": 1000},
          "over_cost": {"type": "number", "minimum": 0, "maximum": 1000}
        }
      }
    },
    "accounts": {
      "type": "array", "maxItems": 10000,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["id", "plan"],
        "properties": {
          "id": {"type": "string"},
          "plan": {"$ref": "#/definitions/name"},
          "since": {"$ref": "#/definitions/instant"},
          "until": {"$ref": "#/definitions/instant"}
        }
      }
    },
    "reserves": {
      "type": "array", "maxItems": 256,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["id", "account", "units", "since", "until"],
        "properties": {
          "id": {"$ref": "#/definitions/name"},
          "account": {"type": "string"},
          "units": {"type": "number", "minimum": 1, "maximum": 1000000},
          "since": {"$ref": "#/definitions/instant"},
          "until": {"$ref": "#/definitions/instant"},
          "pace": {"$ref": "#/definitions/rate"},
          "open": {"type": "integer", "minimum": 0, "maximum": 1000000},
          "lend": {"type": "boolean"}
        }
      }
    },
    "capacities": {
      "type": "array", "maxItems": 1,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["rate"],
        "properties": {
          "rate": {"$ref": "#/definitions/rate"},
          "plans": {"$ref": "#/definitions/share"}
        }
      }
    },
    "registries": {
      "type": "array", "maxItems": 1,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["kind", "endpoints", "prefix"],
        "properties": {
          "kind": {"enum": ["consul", "etcd"]},
          "endpoints": {"$ref": "#/definitions/names"},
          "prefix": {"type": "string", "minLength": 1},
          "token_file": {"type": "string", "minLength": 1},
          "wait": {"$ref": "#/definitions/time"},
          "stale": {"type": "boolean"},
          "snapshot": {"type": "string", "minLength": 1},
          "snapshot_age": {"$ref": "#/definitions/time"},
          "hold": {"$ref": "#/definitions/time"},
          "most_gone": {"$ref": "#/definitions/share"}
        }
      }
    },
    "accords": {
      "type": "array", "maxItems": 1,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["version"],
        "properties": {
          "version": {"type": "integer", "minimum": 1, "maximum": 9999999999},
          "snapshot": {"type": "string", "minLength": 1},
          "lease": {"$ref": "#/definitions/time"},
          "tombstones": {"$ref": "#/definitions/time"}
        }
      }
    },
    "schemas": {
      "type": "array", "maxItems": 64,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["name", "version"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "version": {"type": "integer", "minimum": 1, "maximum": 9999999999}
        }
      }
    },
    "form_settings": {
      "type": "array", "maxItems": 1,
      "items": {
        "type": "object", "additionalProperties": false, "required": [],
        "properties": {
          "pace": {"$ref": "#/definitions/rate"},
          "at_once": {"type": "integer", "minimum": 1, "maximum": 16},
          "wait": {"$ref": "#/definitions/time"}
        }
      }
    },
    "healths": {
      "type": "array", "maxItems": 1,
      "items": {
        "type": "object", "additionalProperties": false, "required": [],
        "properties": {
          "shared": {"type": "boolean"},
          "most_degraded": {"$ref": "#/definitions/share"},
          "ramp": {"$ref": "#/definitions/time"},
          "dwell": {"$ref": "#/definitions/time"},
          "slower": {"type": "number", "minimum": 1.2, "maximum": 100},
          "failing": {"$ref": "#/definitions/share"}
        }
      }
    },
    "account_lists": {
      "type": "array", "maxItems": 16,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["file"],
        "properties": {"file": {"type": "string", "minLength": 1}}
      }
    },
    "usages": {
      "type": "array", "maxItems": 1,
      "items": {
        "type": "object", "additionalProperties": false, "required": [],
        "properties": {
          "ledger": {"type": "string", "minLength": 1},
          "period": {"$ref": "#/definitions/time"},
          "every": {"$ref": "#/definitions/time"},
          "keep": {"$ref": "#/definitions/time"},
          "lease": {"type": "number", "minimum": 1, "maximum": 1000000000},
          "receiver": {"type": "string", "minLength": 1},
          "files": {"type": "string", "minLength": 1}
        }
      }
    },
    "pools": {
      "type": "array", "maxItems": 29,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["name"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "kinds": {"$ref": "#/definitions/names"},
          "zones": {"$ref": "#/definitions/names"},
          "ids": {"$ref": "#/definitions/names"},
          "cells": {"type": "array", "minItems": 1, "maxItems": 64, "items": {"type": "integer"}}
        }
      }
    },
    "routes": {
      "type": "array", "maxItems": 10000,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["name", "pool"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "pool": {"$ref": "#/definitions/name"}
        }
      }
    },
    "relays": {
      "type": "array", "maxItems": 40,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["name", "region", "zone", "address"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "region": {"$ref": "#/definitions/name"},
          "zone": {"$ref": "#/definitions/name"},
          "address": {"type": "string", "minLength": 1},
          "listen": {"type": "string", "minLength": 1},
          "votes": {"type": "boolean"}
        }
      }
    },
    "distributions": {
      "type": "array", "maxItems": 1,
      "items": {
        "type": "object", "additionalProperties": false, "required": [],
        "properties": {
          "relays": {"$ref": "#/definitions/names"},
          "region": {"$ref": "#/definitions/name"},
          "zone": {"$ref": "#/definitions/name"},
          "snapshot": {"type": "string", "minLength": 1},
          "directory": {"type": "string", "minLength": 1},
          "lease": {"$ref": "#/definitions/time"},
          "skew": {"$ref": "#/definitions/time"},
          "lead": {"$ref": "#/definitions/time"},
          "patience": {"$ref": "#/definitions/time"},
          "wait_for_all": {"type": "boolean"},
          "most_cannot": {"$ref": "#/definitions/share"},
          "usual_followers": {"type": "integer", "minimum": 1, "maximum": 400}
        }
      }
    },
    "moves": {
      "type": "array", "maxItems": 1,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["name", "source", "target", "stages"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "run": {"type": "integer", "minimum": 1, "maximum": 1000000},
          "source": {"$ref": "#/definitions/name"},
          "target": {"$ref": "#/definitions/name"},
          "classes": {"$ref": "#/definitions/names"},
          "plans": {"$ref": "#/definitions/names"},
          "by": {"enum": ["call", "account"]},
          "order": {"enum": ["run", "pause", "abort"]},
          "stages": {
            "type": "array", "minItems": 1, "maxItems": 8,
            "items": {
              "type": "object", "additionalProperties": false, "required": ["share"],
              "properties": {"share": {"$ref": "#/definitions/share"}, "hold": {"$ref": "#/definitions/time"}}
            }
          },
          "step": {"$ref": "#/definitions/time"},
          "slower": {"$ref": "#/definitions/share"},
          "shown": {"$ref": "#/definitions/share"},
          "failures": {"type": "number", "minimum": 1, "maximum": 100},
          "gross": {"$ref": "#/definitions/share"},
          "least": {"type": "integer", "minimum": 1, "maximum": 1000000},
          "lease": {"$ref": "#/definitions/time"},
          "deadline": {"$ref": "#/definitions/time"},
          "at_deadline": {"enum": ["undo", "hold"]},
          "at_end": {"enum": ["keep", "return"]},
          "headroom": {"type": "number", "minimum": 0.1, "maximum": 10}
        }
      }
    }
  }
})json";

// "[stages]" and "[2]" as valijson writes a place to what is there; "<root>" is the document.
struct Place {
    const Value* value = nullptr;
    Position at;
    std::string name;  // of the nearest argument
};

Place find_place(const Value& document, const std::vector<std::string>& context) {
    Place place{&document, document.at, {}};
    for (const std::string& step : context) {
        if (step.size() < 3 || step.front() != '[') continue;
        const std::string key = step.substr(1, step.size() - 2);
        const Value* next = nullptr;
        Position at = place.at;
        if (place.value->kind == Value::Kind::kList) {
            const std::size_t i = std::strtoul(key.c_str(), nullptr, 10);
            if (i < place.value->items.size()) next = &place.value->items[i];
            if (next) at = next->at;
        } else {
            for (const Value::Field& field : place.value->fields) {
                if (field.name != key) continue;
                next = &field.value;
                at = field.value.at;
                if (key != "unit" && key != "value") place.name = key;
            }
        }
        if (!next) break;
        place.value = next;
        place.at = at;
    }
    return place;
}

const nlohmann::json& schema_json() {
    static const nlohmann::json kParsed = nlohmann::json::parse(kSchemaText);
    return kParsed;
}

// The part of the schema that a place is checked against, with its references followed.
const nlohmann::json* schema_at(const std::vector<std::string>& context) {
    const nlohmann::json* at = &schema_json();
    const auto follow = [&] {
        if (const auto ref = at->find("$ref"); ref != at->end()) {
            at = &schema_json().at(nlohmann::json::json_pointer(ref->get<std::string>().substr(1)));
        }
    };
    for (const std::string& step : context) {
        if (step.size() < 3 || step.front() != '[') continue;
        const std::string key = step.substr(1, step.size() - 2);
        follow();
        if (const auto items = at->find("items"); items != at->end()) {
            at = &*items;
        } else {
            const auto properties = at->find("properties");
            if (properties == at->end() || !properties->contains(key)) return nullptr;
            at = &(*properties)[key];
        }
    }
    follow();
    return at;
}

std::string in_quotes(const std::string& text) {
    const auto to = text.rfind('\'');
    const auto from = to == std::string::npos || to == 0 ? to : text.rfind('\'', to - 1);
    return from == std::string::npos ? "" : text.substr(from + 1, to - from - 1);
}

std::string list_words(const nlohmann::json& words) {
    std::string text;
    for (const auto& word : words) text += (text.empty() ? "" : ", ") + word.dump();
    return text;
}

bool is_quantity(const Value& value) {
    return value.fields.size() == 2 && value.find("unit") && value.find("value");
}

std::string described(const Value& value) {
    switch (value.kind) {
        case Value::Kind::kNull:
            return "None";
        case Value::Kind::kTruth:
            return "a truth value";
        case Value::Kind::kNumber:
            return "a number";
        case Value::Kind::kText:
            return "the text '" + value.text + "'";
        case Value::Kind::kList:
            return "a list";
        case Value::Kind::kDict:
            return is_quantity(value) ? "a " + value.find("unit")->text : "a dict";
    }
    return "this";
}

// One sentence of the operators' terms for what valijson found.
Problem explain(const Value& document, const std::string& file,
                const valijson::ValidationResults::Error& error) {
    std::vector<std::string> context = error.context;
    const bool within = context.back() == "[unit]" || context.back() == "[value]";
    if (within) context.pop_back();  // of a quantity, which is told as a whole
    const Place place = find_place(document, context);
    const std::string name = place.name.empty() ? "this" : "'" + place.name + "'";
    const bool unknown = error.description.find("additionalProperties") != std::string::npos;
    const bool missing = error.description.find("required property") != std::string::npos;
    const nlohmann::json* wanted = schema_at(context);
    if (wanted && wanted->contains("title") && wanted->contains("required") &&
        (!is_quantity(*place.value) ||
         wanted->at("properties").at("unit").at("enum").at(0) != place.value->find("unit")->text)) {
        return {
            file, place.at,
            name + " wants " + wanted->at("title").get<std::string>() + ", not " + described(*place.value)};
    }
    if (within) {
        const std::string unit = place.value->find("unit")->text;
        return {file, place.at,
                name + (unit == "share"  ? " lies between percent(0) and percent(100)"
                        : unit == "time" ? " lies between 0 and a year"
                        : unit == "rate" ? " lies between 0 and a thousand million a second"
                                         : " lies between 1970 and 5138")};
    }
    if (unknown) {
        const std::string word = in_quotes(error.description);
        for (const Value::Field& field : place.value->fields) {
            if (field.name == word) return {file, field.at, "there is no argument '" + word + "' here"};
        }
    }
    if (missing) {
        const std::string word = in_quotes(error.description);
        return {file, place.at, "the argument '" + word + "' is missing"};
    }
    std::string what = name + ": " + error.description;
    if (wanted && wanted->contains("enum")) {
        what = name + " is one of " + list_words(wanted->at("enum")) + ", not " + described(*place.value);
    } else if (wanted && wanted->contains("pattern") && place.value->kind == Value::Kind::kText) {
        what = name + " wants a name of letters, digits, '_', '-' and '.', 40 at most";
    } else if (wanted && place.value->kind == Value::Kind::kNumber &&
               wanted->value("type", "") == "integer" &&
               std::floor(place.value->number) != place.value->number) {
        what = name + " wants a whole number, not " + place.value->json().dump();
    } else if (wanted && place.value->kind == Value::Kind::kNumber && wanted->contains("minimum")) {
        what =
            name + " lies between " + wanted->at("minimum").dump() + " and " + wanted->at("maximum").dump();
    } else if (wanted && place.value->kind == Value::Kind::kList && wanted->contains("maxItems") &&
               place.value->items.size() > wanted->at("maxItems").get<std::size_t>()) {
        const auto most = wanted->at("maxItems").get<std::size_t>();
        return {file, place.value->items[most].at, name + " holds " + std::to_string(most) + " at most"};
    } else if (wanted && wanted->contains("type") && wanted->at("type").is_string()) {
        const std::string type = wanted->at("type");
        if (place.value->kind == Value::Kind::kList && type == "array") {
            what = name + " is an empty list";
        } else {
            what = name + " wants " +
                   (type == "array"     ? "a list"
                    : type == "string"  ? "a text"
                    : type == "integer" ? "a whole number"
                    : type == "object"  ? "a value of its own kind"
                                        : "a " + type) +
                   ", not " + described(*place.value);
        }
    }
    return {file, place.at, what};
}

}  // namespace

std::string_view schema() { return kSchemaText; }

Result read_document(std::string_view text, const std::string& file) {
    Result result = read_script(text, file);
    Value* document = std::get_if<Value>(&result);
    return document ? check_document(std::move(*document), file) : result;
}

Result check_document(Value document, const std::string& file) {
    static const valijson::Schema& checks = *[] {
        auto* made = new valijson::Schema;  // as long as the process
        valijson::SchemaParser parser;
        const valijson::adapters::NlohmannJsonAdapter adapted_schema(schema_json());
        parser.populateSchema(adapted_schema, *made);
        return made;
    }();
    const nlohmann::json json = document.json();
    const valijson::adapters::NlohmannJsonAdapter adapted(json);
    valijson::ValidationResults results;
    valijson::Validator validator;
    if (validator.validate(checks, adapted, &results)) return document;
    // The innermost of what it found; of several, the first in the file.
    valijson::ValidationResults::Error error, chosen;
    std::optional<Position> first;
    while (results.popError(error)) {
        if (error.context.size() < chosen.context.size()) continue;
        const Position at = find_place(document, error.context).at;
        const bool deeper = error.context.size() > chosen.context.size();
        if (first && !deeper && std::pair(at.line, at.column) >= std::pair(first->line, first->column))
            continue;
        chosen = error;
        first = at;
    }
    return explain(document, file, chosen);
}

std::optional<Problem> read_text(const std::string& path, std::string& text) {
    std::ifstream file(path, std::ios::binary);
    text.assign(kMaxBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!file && !file.eof()) return Problem{path, {}, "the file cannot be read"};
    text.resize(static_cast<std::size_t>(file.gcount()));
    return std::nullopt;
}

std::chrono::nanoseconds time_of(const Value& quantity) {
    return std::chrono::nanoseconds(std::llround(quantity.find("value")->number * 1e9));
}

double share_of(const Value& quantity) { return quantity.find("value")->number; }

}  // namespace linnetlead::operator_config
