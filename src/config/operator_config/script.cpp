#include "config/operator_config/script.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <functional>
#include <limits>
#include <map>
#include <stdexcept>
#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/parse_tree.hpp>

namespace linnetlead::operator_config {

namespace grammar {

// A new line ends a statement but for within brackets and behind an operator.
namespace p = tao::pegtl;

struct Comment : p::seq<p::one<'#'>, p::until<p::at<p::eolf>>> {};
struct Sp : p::star<p::blank> {};
struct Nl : p::star<p::sor<p::blank, p::eol, Comment>> {};
struct Name : p::identifier {};
struct Digits : p::plus<p::digit> {};
struct Exponent : p::seq<p::one<'e', 'E'>, p::opt<p::one<'+', '-'>>, Digits> {};
struct Number : p::seq<Digits, p::opt<p::one<'.'>, p::star<p::digit>>, p::opt<Exponent>,
                       p::not_at<p::identifier_other>> {};
struct Escape : p::seq<p::one<'\\'>, p::must<p::one<'n', 't', '\\', '"', '\''>>> {};
template <char Quote>
struct Inside : p::star<p::sor<Escape, p::not_one<Quote, '\\', '\n', '\r'>>> {};
struct QuoteEnd : p::one<'"'> {};
struct TickEnd : p::one<'\''> {};
struct Text : p::sor<p::if_must<p::one<'"'>, Inside<'"'>, QuoteEnd>,
                     p::if_must<p::one<'\''>, Inside<'\''>, TickEnd>> {};
struct expression;
struct ClosingBracket : p::one<']'> {};
struct ClosingBrace : p::one<'}'> {};
struct ClosingParenthesis : p::one<')'> {};
struct Colon : p::one<':'> {};
template <typename Item>
struct Items : p::opt<Item, Nl, p::star<p::one<','>, Nl, Item, Nl>, p::opt<p::one<','>, Nl>> {};
struct List : p::if_must<p::one<'['>, Nl, Items<expression>, ClosingBracket> {};
struct Entry : p::seq<expression, Nl, p::must<Colon>, Nl, p::must<expression>> {};
struct Dict : p::if_must<p::one<'{'>, Nl, Items<Entry>, ClosingBrace> {};
struct Keyword : p::seq<Name, Sp, p::one<'='>, p::not_at<p::one<'='>>, Nl, p::must<expression>> {};
struct Argument : p::sor<Keyword, expression> {};
struct Call : p::seq<Name, Sp, p::one<'('>, p::must<Nl, Items<Argument>, ClosingParenthesis>> {};
struct Group : p::if_must<p::one<'('>, Nl, expression, Nl, ClosingParenthesis> {};
struct Atom : p::sor<Number, Text, List, Dict, Call, Name, Group> {};
struct Negative : p::seq<p::one<'-'>, Sp, Atom> {};
struct Operand : p::sor<Negative, Atom> {};
struct Times : p::one<'*', '/'> {};
struct Plus : p::one<'+', '-'> {};
struct Product : p::list_must<Operand, p::seq<Sp, Times, Nl>> {};
struct expression : p::list_must<Product, p::seq<Sp, Plus, Nl>> {};
struct Assignment : p::seq<Name, Sp, p::one<'='>, p::not_at<p::one<'='>>, Nl, p::must<expression>> {};
struct Statement : p::sor<Assignment, expression> {};
struct EndOfStatement : p::seq<Sp, p::opt<Comment>, p::eolf> {};
struct Script
    : p::until<p::eof, p::sor<p::seq<Sp, p::opt<Comment>, p::eol>, p::seq<Sp, p::opt<Comment>, p::eof>,
                              p::seq<p::must<Statement>, p::must<EndOfStatement>>>> {};

template <typename Rule>
using selector =
    p::parse_tree::selector<Rule,
                            p::parse_tree::store_content::on<Name, Number, Text, Times, Plus, Call, List,
                                                             Dict, Entry, Keyword, Assignment, Negative>,
                            p::parse_tree::fold_one::on<Product, expression>>;

template <typename>
inline constexpr const char* expected = "this cannot be read here";
template <>
inline constexpr const char* expected<expression> = "a value is expected here";
template <>
inline constexpr const char* expected<Operand> = "a value is expected behind the operator";
template <>
inline constexpr const char* expected<Product> = "a value is expected behind the operator";
template <>
inline constexpr const char* expected<Statement> = "a statement is expected here: NAME = VALUE, or a call";
template <>
inline constexpr const char* expected<EndOfStatement> = "the statement should end here";
template <>
inline constexpr const char* expected<ClosingBracket> = "',' or ']' is expected here";
template <>
inline constexpr const char* expected<ClosingBrace> = "',' or '}' is expected here";
template <>
inline constexpr const char* expected<ClosingParenthesis> = "',' or ')' is expected here";
template <>
inline constexpr const char* expected<Colon> = "':' and a value are expected behind a key";
template <>
inline constexpr const char* expected<QuoteEnd> = "the text does not end on its line";
template <>
inline constexpr const char* expected<TickEnd> = "the text does not end on its line";

template <typename Rule>
struct control : p::normal<Rule> {
    template <typename Input, typename... States>
    [[noreturn]] static void raise(const Input& in, States&&...) {
        throw p::parse_error(expected<Rule>, in);
    }
};

using Node = p::parse_tree::node;

}  // namespace grammar

namespace {

using grammar::Node;
using Kind = Value::Kind;

// Within this file only: carried out of the recursion and made a Problem at its edge.
struct Wrong {
    Position at;
    std::string what;
};

Position position_of(const Node& node) { return {node.begin().line, node.begin().column}; }

struct Unit {
    const char* name;
    const char* of;
    double factor;
};
constexpr std::array<Unit, 7> kUnits{{{"ms", "time", 1e-3},
                                      {"seconds", "time", 1},
                                      {"minutes", "time", 60},
                                      {"hours", "time", 3600},
                                      {"days", "time", 86400},
                                      {"percent", "share", 1e-2},
                                      {"per_second", "rate", 1}}};

// What may be called: where a declaration is listed in the document, and what the arguments without a
// keyword are. Those with no list are values inside others.
struct Function {
    const char* name;
    const char* list;
    std::vector<const char*> positional;
};
const std::vector<Function>& functions() {
    static const std::vector<Function> kAll{{"pool", "pools", {"name"}},
                                            {"move", "moves", {"name"}},
                                            {"stage", nullptr, {"share"}},
                                            {"plan", "plans", {"name"}},
                                            {"account", "accounts", {"id"}},
                                            {"accounts", "account_lists", {"file"}},
                                            {"usage", "usages", {}},
                                            {"reserve", "reserves", {"id"}},
                                            {"capacity", "capacities", {"rate"}},
                                            {"registry", "registries", {"kind"}},
                                            {"accord", "accords", {"version"}},
                                            {"health", "healths", {}},
                                            {"forms", "form_settings", {}},
                                            {"schema", "schemas", {"name", "version"}},
                                            {"route", "routes", {"name"}},
                                            {"relay", "relays", {"name"}},
                                            {"distribution", "distributions", {}}};
    return kAll;
}

const char* name_of(Kind kind) {
    constexpr std::array<const char*, 6> kNames{"None",   "a truth value", "a number",
                                                "a text", "a list",        "a dict"};
    return kNames[static_cast<std::size_t>(kind)];
}

bool is_quantity(const Value& value) {
    return value.kind == Kind::kDict && value.find("unit") && value.find("value") && value.fields.size() == 2;
}

class Evaluator {
public:
    Value run(const Node& script) {
        document_.kind = Kind::kDict;
        for (const auto& child : script.children) {
            if (child->is_type<grammar::Assignment>()) {
                assign(*child);
            } else {
                const Value value = evaluate(*child);
                if (value.declares.empty()) {
                    throw Wrong{position_of(*child), "this value is used for nothing: give it a name"};
                }
            }
        }
        return std::move(document_);
    }

private:
    void assign(const Node& node) {
        const std::string name = node.children[0]->string();
        const Position at = position_of(*node.children[0]);
        Value value = evaluate(*node.children[1]);
        const auto [was, fresh] = names_.try_emplace(name, std::pair(at, std::move(value)));
        if (!fresh) {
            throw Wrong{at, "'" + name + "' has a value already, from line " +
                                std::to_string(was->second.first.line)};
        }
    }

    Value evaluate(const Node& node) {
        if (node.is_type<grammar::Number>()) return number_of(node);
        if (node.is_type<grammar::Text>()) return text_of(node);
        if (node.is_type<grammar::Name>()) return look_up(node);
        if (node.is_type<grammar::Call>()) return call(node);
        if (node.is_type<grammar::Negative>()) return negate(evaluate(*node.children[0]), position_of(node));
        Value value;
        value.at = position_of(node);
        if (node.is_type<grammar::List>()) {
            value.kind = Kind::kList;
            for (const auto& child : node.children) value.items.push_back(plain(evaluate(*child)));
            return value;
        }
        if (node.is_type<grammar::Dict>()) {
            value.kind = Kind::kDict;
            for (const auto& child : node.children) {
                const Value key = evaluate(*child->children[0]);
                if (key.kind != Kind::kText) throw Wrong{key.at, "a key must be a text"};
                add_field(value, key.text, key.at, evaluate(*child->children[1]));
            }
            return value;
        }
        Value left = evaluate(*node.children[0]);
        for (std::size_t i = 1; i + 1 < node.children.size(); i += 2) {
            left = combine(std::move(left), node.children[i]->string()[0], evaluate(*node.children[i + 1]));
        }
        return left;
    }

    // A declaration used as a value stands for its name.
    static Value plain(Value value) {
        if (value.declares.empty()) return value;
        const Value* name = value.find("name");
        if (!name) return value;
        Value text = *name;
        text.at = value.at;
        return text;
    }

    static void add_field(Value& into, const std::string& name, Position at, Value value) {
        if (into.find(name)) throw Wrong{at, "'" + name + "' is given twice"};
        into.fields.push_back({name, at, plain(std::move(value))});
    }

    static Value number_of(const Node& node) {
        Value value;
        value.kind = Kind::kNumber;
        value.at = position_of(node);
        value.number = std::strtod(node.string().c_str(), nullptr);
        if (!std::isfinite(value.number)) throw Wrong{value.at, "the number is too large"};
        return value;
    }

    static Value text_of(const Node& node) {
        Value value;
        value.kind = Kind::kText;
        value.at = position_of(node);
        const std::string_view written = node.string_view();
        for (std::size_t i = 1; i + 1 < written.size(); ++i) {
            char c = written[i];
            if (c == '\\') {
                c = written[++i];
                c = c == 'n' ? '\n' : c == 't' ? '\t' : c;
            }
            value.text += c;
        }
        return value;
    }

    Value look_up(const Node& node) const {
        const std::string name = node.string();
        Value value;
        value.at = position_of(node);
        if (name == "None") return value;
        if (name == "True" || name == "False") {
            value.kind = Kind::kTruth;
            value.truth = name == "True";
            return value;
        }
        const auto known = names_.find(name);
        if (known == names_.end()) throw Wrong{value.at, "'" + name + "' has no value before this line"};
        value = known->second.second;
        value.at = position_of(node);  // a mistake is told where the name is used
        return value;
    }

    Value call(const Node& node) {
        const std::string name = node.children[0]->string();
        const Position at = position_of(node);
        for (const Unit& unit : kUnits) {
            if (name == unit.name) return quantity(node, unit);
        }
        if (name == "instant") return instant(node);
        const auto known = std::find_if(functions().begin(), functions().end(),
                                        [&](const Function& one) { return name == one.name; });
        if (known == functions().end()) throw Wrong{at, "there is no function '" + name + "'"};
        Value made;
        made.kind = Kind::kDict;
        made.at = at;
        std::size_t unnamed = 0;
        for (std::size_t i = 1; i < node.children.size(); ++i) {
            const Node& argument = *node.children[i];
            if (argument.is_type<grammar::Keyword>()) {
                add_field(made, argument.children[0]->string(), position_of(argument),
                          evaluate(*argument.children[1]));
                continue;
            }
            if (made.fields.size() > unnamed) {
                throw Wrong{position_of(argument), "an argument without a keyword behind one with a keyword"};
            }
            if (unnamed >= known->positional.size()) {
                throw Wrong{position_of(argument), "'" + name + "' wants a keyword for this argument"};
            }
            add_field(made, known->positional[unnamed++], position_of(argument), evaluate(argument));
        }
        if (!known->list) return made;
        made.declares = name;
        list_of(known->list).items.push_back(made);
        return made;
    }

    Value& list_of(const std::string& name) {
        for (Value::Field& field : document_.fields) {
            if (field.name == name) return field.value;
        }
        Value list;
        list.kind = Kind::kList;
        document_.fields.push_back({name, {}, std::move(list)});
        return document_.fields.back().value;
    }

    Value quantity(const Node& node, const Unit& unit) {
        const Position at = position_of(node);
        if (node.children.size() != 2) throw Wrong{at, std::string(unit.name) + "() takes one number"};
        Value value = evaluate(*node.children[1]);
        if (value.kind != Kind::kNumber) {
            throw Wrong{value.at, std::string(unit.name) + "() takes a number, not " + describe(value)};
        }
        return make_quantity(unit.of, value.number * unit.factor, at);
    }

    Value instant(const Node& node) {
        const Position at = position_of(node);
        if (node.children.size() != 2) throw Wrong{at, "instant() takes one text"};
        const Value value = evaluate(*node.children[1]);
        const auto seconds = value.kind == Kind::kText ? read_instant(value.text) : std::nullopt;
        if (!seconds) throw Wrong{value.at, "an instant is written \"2026-12-01T10:00:00Z\""};
        return make_quantity("instant", *seconds, at);
    }

    static Value make_quantity(const std::string& of, double number, Position at) {
        Value unit, amount, made;
        unit.kind = Kind::kText;
        unit.text = of;
        amount.kind = Kind::kNumber;
        amount.number = number;
        made.kind = Kind::kDict;
        unit.at = amount.at = made.at = at;
        made.fields = {{"unit", at, unit}, {"value", at, amount}};
        return made;
    }

    static std::string describe(const Value& value) {
        return is_quantity(value) ? "a " + value.find("unit")->text : name_of(value.kind);
    }

    static Value negate(Value value, Position at) {
        if (is_quantity(value)) return make_quantity(value.fields[0].value.text, -amount_of(value), at);
        if (value.kind != Kind::kNumber) throw Wrong{at, "only a number has a sign"};
        value.number = -value.number;
        value.at = at;
        return value;
    }

    static double amount_of(const Value& value) {
        return is_quantity(value) ? value.fields[1].value.number : value.number;
    }

    // Numbers, quantities of one unit, texts and lists; a quantity may be multiplied by a number.
    static Value combine(Value left, char sign, const Value& right) {
        const bool quantities = is_quantity(left) || is_quantity(right);
        const bool both = is_quantity(left) && is_quantity(right);
        const auto numeric = [](const Value& v) { return v.kind == Kind::kNumber || is_quantity(v); };
        const Position at = left.at;
        if (sign == '+' && left.kind == right.kind && left.kind == Kind::kText) {
            left.text += right.text;
            return left;
        }
        if (sign == '+' && left.kind == right.kind && left.kind == Kind::kList) {
            left.items.insert(left.items.end(), right.items.begin(), right.items.end());
            return left;
        }
        const auto unit_of = [](const Value& v) { return is_quantity(v) ? v.fields[0].value.text : ""; };
        if ((sign == '+' || sign == '-') && unit_of(left) == "instant" && unit_of(right) == "time") {
            const double later = sign == '+' ? amount_of(right) : -amount_of(right);
            return make_quantity("instant", amount_of(left) + later, at);
        }
        const bool sum = sign == '+' || sign == '-';
        const bool fit = numeric(left) && numeric(right) &&
                         (sum ? is_quantity(left) == is_quantity(right) &&
                                    (!both || left.fields[0].value.text == right.fields[0].value.text)
                          : sign == '*' ? !both
                                        : !is_quantity(right));
        if (!fit) {
            throw Wrong{at, std::string("'") + sign + "' does not go with " + describe(left) + " and " +
                                describe(right)};
        }
        const double a = amount_of(left), b = amount_of(right);
        if (sign == '/' && b == 0) throw Wrong{right.at, "division by zero"};
        const double result = sign == '+' ? a + b : sign == '-' ? a - b : sign == '*' ? a * b : a / b;
        if (!std::isfinite(result)) throw Wrong{at, "the number is too large"};
        if (quantities) {
            const std::string of = (is_quantity(left) ? left : right).fields[0].value.text;
            return make_quantity(of, result, at);
        }
        left.number = result;
        return left;
    }

    std::map<std::string, std::pair<Position, Value>> names_;
    Value document_;
};

// Guards the parser's recursion.
std::optional<Wrong> too_deep(std::string_view text) {
    std::size_t depth = 0, line = 1;
    char quote = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c == '\n') ++line, quote = 0;
        if (quote) {
            if (c == '\\') ++i;
            if (c == quote) quote = 0;
        } else if (c == '"' || c == '\'') {
            quote = c;
        } else if (c == '#') {
            while (i + 1 < text.size() && text[i + 1] != '\n') ++i;
        } else if (c == '(' || c == '[' || c == '{') {
            if (++depth > kMaxDepth) return Wrong{{line, 1}, "brackets inside brackets go too deep"};
        } else if ((c == ')' || c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return std::nullopt;
}

}  // namespace

std::optional<double> read_instant(std::string_view text) {
    const std::string copy(text);
    std::tm parts{};
    int size = 0;
    constexpr int kWholeSeconds = 19;
    if (std::sscanf(copy.c_str(), "%4d-%2d-%2dT%2d:%2d:%2d%n", &parts.tm_year, &parts.tm_mon, &parts.tm_mday,
                    &parts.tm_hour, &parts.tm_min, &parts.tm_sec, &size) != 6 ||
        size != kWholeSeconds || copy.back() != 'Z') {
        return std::nullopt;
    }
    const std::string rest = copy.substr(kWholeSeconds, copy.size() - kWholeSeconds - 1);
    const bool digits = rest.size() > 1 && rest.find_first_not_of("0123456789", 1) == std::string::npos;
    if (!rest.empty() && (rest.front() != '.' || !digits)) return std::nullopt;
    parts.tm_year -= 1900;
    parts.tm_mon -= 1;
    const std::tm asked = parts;
    const std::time_t seconds = timegm(&parts);  // carries a 31 February over: no such day
    const bool real = parts.tm_mday == asked.tm_mday && parts.tm_mon == asked.tm_mon &&
                      parts.tm_hour == asked.tm_hour && parts.tm_min == asked.tm_min &&
                      parts.tm_sec == asked.tm_sec;
    if (!real || seconds < 0) return std::nullopt;
    return static_cast<double>(seconds) + (rest.empty() ? 0 : std::strtod(("0" + rest).c_str(), nullptr));
}

std::string write_instant(double seconds) {
    const auto whole = static_cast<std::time_t>(std::floor(seconds));
    std::tm parts{};
    gmtime_r(&whole, &parts);
    char text[40];
    std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}

std::string Problem::line() const {
    return file + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " + what;
}

const Value* Value::find(std::string_view name) const {
    for (const Field& field : fields) {
        if (field.name == name) return &field.value;
    }
    return nullptr;
}

nlohmann::json Value::json() const {
    switch (kind) {
        case Kind::kNull:
            return nullptr;
        case Kind::kTruth:
            return truth;
        case Kind::kNumber: {
            constexpr double kExact = 9e15;
            if (std::floor(number) == number && std::abs(number) < kExact) {
                return static_cast<std::int64_t>(number);
            }
            return number;
        }
        case Kind::kText:
            return text;
        case Kind::kList: {
            auto made = nlohmann::json::array();
            for (const Value& item : items) made.push_back(item.json());
            return made;
        }
        case Kind::kDict: {
            auto made = nlohmann::json::object();
            for (const Field& field : fields) made[field.name] = field.value.json();
            return made;
        }
    }
    return nullptr;
}

Result read_script(std::string_view text, const std::string& file) {
    if (text.size() > kMaxBytes) return Problem{file, {}, "the file is over 1 MiB"};
    if (const auto wrong = too_deep(text)) return Problem{file, wrong->at, wrong->what};
    tao::pegtl::memory_input<> in(text.data(), text.size(), file);
    try {
        const auto root = tao::pegtl::parse_tree::parse<grammar::Script, grammar::selector,
                                                        tao::pegtl::nothing, grammar::control>(in);
        if (!root) return Problem{file, {}, "this is no script"};
        return Evaluator().run(*root);
    } catch (const tao::pegtl::parse_error& e) {
        const auto& at = e.positions().front();
        return Problem{file, {at.line, at.column}, std::string(e.message())};
    } catch (const Wrong& wrong) {
        return Problem{file, wrong.at, wrong.what};
    }
}

}  // namespace linnetlead::operator_config
