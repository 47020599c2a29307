#include "proxy/resp/parser.h"

#include <charconv>

namespace linnetlead::resp {

namespace {

class Reader {
public:
    Reader(std::string_view buffer, std::size_t max_bulk, std::size_t max_message)
        : buffer_(buffer), max_bulk_(max_bulk), max_message_(max_message) {}

    std::size_t taken() const { return at_; }
    std::size_t left() const { return left_; }

    // Reads a type byte and the rest of its line.
    Parsed read_line(char& type, std::string_view& rest) {
        const auto end = buffer_.find('\n', at_);
        // Rejects garbage by its first byte, since a line end might never arrive.
        constexpr std::string_view kTypes = "+-:$*";
        if (at_ < buffer_.size() && kTypes.find(buffer_[at_]) == std::string_view::npos) {
            return Parsed::kMalformed;
        }
        if (end == std::string_view::npos) {
            return buffer_.size() - at_ > kMaxLine ? Parsed::kMalformed : Parsed::kPartial;
        }
        if (end + 1 > max_message_ || end - at_ > kMaxLine || end < at_ + 2 || buffer_[end - 1] != '\r')
            return Parsed::kMalformed;
        type = buffer_[at_];
        rest = buffer_.substr(at_ + 1, end - at_ - 2);
        at_ = end + 1;
        return Parsed::kWhole;
    }

    Parsed read_bulk(std::size_t size, std::string_view& text) {
        if (at_ + size + 2 > max_message_) return Parsed::kMalformed;
        if (buffer_.size() - at_ < size + 2) return Parsed::kPartial;
        if (buffer_.substr(at_ + size, 2) != "\r\n") return Parsed::kMalformed;
        text = buffer_.substr(at_, size);
        at_ += size + 2;
        return Parsed::kWhole;
    }

    Parsed read_item(char type, std::string_view rest, Item& item) {
        item.text = rest;
        switch (type) {
            case '+':
                item.type = Type::kSimple;
                return Parsed::kWhole;
            case '-':
                item.type = Type::kError;
                return Parsed::kWhole;
            case ':':
                item.type = Type::kInteger;
                return Parsed::kWhole;
            case '$': {
                if (rest == "-1") {
                    item = {Type::kNull, {}};
                    return Parsed::kWhole;
                }
                std::size_t size = 0;
                if (!read_length(rest, kMaxLong, size)) return Parsed::kMalformed;
                if (size > max_bulk_) {
                    left_ = size;
                    return Parsed::kLongBulk;
                }
                item.type = Type::kBulk;
                return read_bulk(size, item.text);
            }
            default:
                return Parsed::kMalformed;
        }
    }

    static bool read_length(std::string_view text, std::size_t max, std::size_t& value) {
        const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
        return result.ec == std::errc{} && result.ptr == text.data() + text.size() && value <= max;
    }

private:
    std::string_view buffer_;
    std::size_t max_bulk_;
    std::size_t max_message_;
    std::size_t at_ = 0;
    std::size_t left_ = 0;
};

}  // namespace

Parsed parse(std::string_view buffer, Message& message, std::size_t max_bulk, std::size_t max_message) {
    message.items.clear();
    message.array = false;
    message.count = 0;
    message.size = message.left = 0;
    Reader reader(buffer, max_bulk, max_message);
    char type = 0;
    std::string_view rest;
    if (const Parsed got = reader.read_line(type, rest); got != Parsed::kWhole) return got;
    message.array = type == '*';
    message.count = 1;
    if (message.array && !Reader::read_length(rest, kMaxItems, message.count)) return Parsed::kMalformed;
    for (std::size_t i = 0; i < message.count; ++i) {
        if (message.array) {
            if (const Parsed got = reader.read_line(type, rest); got != Parsed::kWhole) return got;
        }
        Item item;
        if (const Parsed got = reader.read_item(type, rest, item); got != Parsed::kWhole) {
            message.size = reader.taken();
            message.left = reader.left();
            return got;
        }
        message.items.push_back(item);
    }
    message.size = reader.taken();
    return Parsed::kWhole;
}

void write_bulk(std::string& out, std::string_view text) {
    out.append(1, '$').append(std::to_string(text.size())).append("\r\n").append(text).append("\r\n");
}

void write_array(std::string& out, std::size_t items) {
    out.append(1, '*').append(std::to_string(items)).append("\r\n");
}

}  // namespace linnetlead::resp
