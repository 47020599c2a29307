#include "cluster/statements/statement_catalog.h"

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <cstdlib>

#include "cluster/agreement/cbor.h"

namespace linnetlead::statements {

using nlohmann::json;

namespace {

constexpr const char* kRecords = "form/";

bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= kMaxName && std::all_of(text.begin(), text.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) || c == '_' || c == '-' || c == '.';
    });
}

std::vector<std::string> words_of(std::string_view line) {
    std::vector<std::string> words;
    while (!line.empty()) {
        const auto end = std::min(line.find(' '), line.size());
        if (end > 0) words.emplace_back(line.substr(0, end));
        line.remove_prefix(std::min(end + 1, line.size()));
    }
    return words;
}

json binary(std::string_view bytes) {
    return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string hex_of(std::uint64_t number) {
    char text[20];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(number));
    return text;
}

}  // namespace

Head read_head(std::string_view body) {
    Head head;
    constexpr std::string_view kWord = "form ";
    if (body.substr(0, kWord.size()) != kWord) return head;
    constexpr std::size_t kMaxLine = 512;
    const auto end = std::min(body.find('\n'), body.size());
    const auto words = words_of(body.substr(0, std::min(end, kMaxLine)));
    head.rest = body.substr(std::min(end + 1, body.size()));
    head.kind = Head::Kind::kWrong;
    if (end > kMaxLine || words.size() < 2 || !is_name(words[1])) return head;
    head.name = words[1];
    if (words.size() == 2) {
        head.kind = Head::Kind::kUse;
    } else if (words[2] == "drop" && words.size() == 3) {
        head.kind = Head::Kind::kDrop;
    } else if (words[2] == "define" && words.size() <= 3 + kMaxSchemas && !head.rest.empty()) {
        head.schemas.assign(words.begin() + 3, words.end());
        if (std::all_of(head.schemas.begin(), head.schemas.end(), is_name)) head.kind = Head::Kind::kDefine;
    }
    return head;
}

std::uint64_t edition_of(const Form& form) {
    std::string all = form.name + '\n';
    for (const std::string& schema : form.schemas) all += schema + '\n';
    return agreement::hash_of(form.text, agreement::hash_of(all, form.stamp.number * 31 + form.stamp.tie_break));
}

std::uint64_t key_of(const Form& form, const Schemas& in_force) {
    std::string all;
    for (const std::string& schema : form.schemas) {
        const auto at = in_force.find(schema);
        all += schema + '@' + std::to_string(at == in_force.end() ? 0 : at->second) + '\n';
    }
    return agreement::hash_of(all, form.edition);
}

std::string write_head(std::string_view word, const Form& form, const Schemas& in_force) {
    std::string line = std::string(word) + ' ' + form.name + ' ' + hex_of(form.edition);
    for (const std::string& schema : form.schemas) {
        const auto at = in_force.find(schema);
        line += ' ' + schema + '@' + std::to_string(at == in_force.end() ? 0 : at->second);
    }
    return line + '\n';
}

std::string record_key(const std::string& name) { return kRecords + name; }

std::string write_record(const std::vector<std::string>& schemas, std::string_view text) {
    return agreement::write_cbor(json{schemas, binary(text)});
}

std::optional<Form> read_record(const agreement::Record& record) {
    const std::string prefix = kRecords;
    if (record.deleted || record.key.compare(0, prefix.size(), prefix) != 0) return std::nullopt;
    const json told = agreement::read_cbor(record.value);
    if (!told.is_array() || told.size() != 2 || !told[0].is_array() || !told[1].is_binary())
        return std::nullopt;
    Form form;
    form.name = record.key.substr(prefix.size());
    form.stamp = record.stamp();
    for (const json& schema : told[0]) {
        if (!schema.is_string() || form.schemas.size() >= kMaxSchemas) return std::nullopt;
        form.schemas.push_back(schema.get<std::string>());
    }
    const auto& text = told[1].get_binary();
    form.text.assign(text.begin(), text.end());
    form.edition = edition_of(form);
    return form;
}

std::string write_catalogue(const std::vector<Form>& forms) {
    json list = json::array();
    for (const Form& form : forms) list.push_back({form.name, form.stamp.number, form.stamp.tie_break});
    return agreement::write_cbor(list);
}

std::optional<std::vector<Form>> read_catalogue(const std::string& value) {
    const json told = agreement::read_cbor(value);
    if (!told.is_array() || told.size() > kMaxForms) return std::nullopt;
    std::vector<Form> forms;
    for (const json& one : told) {
        if (!one.is_array() || one.size() != 3 || !one[0].is_string() || !one[1].is_number_unsigned() ||
            !one[2].is_number_unsigned()) {
            return std::nullopt;
        }
        Form form;
        form.name = one[0].get<std::string>();
        form.stamp = {one[1].get<std::uint64_t>(), false, one[2].get<std::uint32_t>()};
        forms.push_back(std::move(form));
    }
    return forms;
}

std::optional<Rejection> read_rejection(std::string_view error) {
    const auto words = words_of(error.substr(0, 256));
    if (words.size() < 4 || words[0] != "ERR") return std::nullopt;
    Rejection rejection;
    if (words[1] == "form") {
        rejection.unprepared = true;
    } else if (words[1] == "schema") {
        rejection.schema = words[2];
        rejection.version = std::strtoull(words[3].c_str(), nullptr, 10);
    } else {
        return std::nullopt;
    }
    return rejection;
}

}  // namespace linnetlead::statements
