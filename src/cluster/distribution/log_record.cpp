#include "cluster/distribution/log_record.h"

#include "cluster/distribution/cbor_fields.h"

namespace linnetlead::distribution {

using wire_form::json;

namespace {

constexpr std::size_t kMaxReasonBytes = 4096;

}  // namespace

std::string encode_record_body(const Record& record) {
    json form;
    switch (record.kind) {
        case RecordKind::kTermStart:
            return {};
        case RecordKind::kChange:
            form = wire_form::change_form(record.change);
            form.insert(form.begin(), json(static_cast<unsigned>(record.kind)));
            break;
        case RecordKind::kActivate:
            form = json::array(
                {static_cast<unsigned>(record.kind), record.through_index, record.activation_time.count()});
            break;
        case RecordKind::kWithdraw:
            form = json::array({static_cast<unsigned>(record.kind), record.through_index,
                                record.reason.substr(0, kMaxReasonBytes)});
            break;
    }
    return agreement::write_cbor(form);
}

std::optional<Record> decode_record_body(std::string_view body) {
    Record record;
    if (body.empty()) return record;
    const auto form = wire_form::read_array(body);
    if (!form) return std::nullopt;
    wire_form::Fields fields(*form);
    switch (fields.number(static_cast<unsigned>(RecordKind::kWithdraw))) {
        case static_cast<unsigned>(RecordKind::kChange):
            record.kind = RecordKind::kChange;
            if (!wire_form::read_change(fields, record.change)) return std::nullopt;
            if (check(record.change) != Rejection::kNone) return std::nullopt;
            break;
        case static_cast<unsigned>(RecordKind::kActivate):
            record.kind = RecordKind::kActivate;
            record.through_index = fields.number();
            record.activation_time = fields.time();
            break;
        case static_cast<unsigned>(RecordKind::kWithdraw):
            record.kind = RecordKind::kWithdraw;
            record.through_index = fields.number();
            record.reason = fields.text(kMaxReasonBytes);
            break;
        default:
            return std::nullopt;
    }
    if (!fields.done()) return std::nullopt;
    return record;
}

}  // namespace linnetlead::distribution
