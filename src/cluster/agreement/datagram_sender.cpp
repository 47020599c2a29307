#include "cluster/agreement/datagram_sender.h"

#include <algorithm>
#include <utility>

namespace linnetlead::agreement {

bool DatagramBudget::take_token(Timestamp now) {
    const double elapsed_s = std::chrono::duration<double>(now - filled_at_).count();
    tokens_ = std::min(datagrams_per_s_, tokens_ + std::max(0.0, elapsed_s) * datagrams_per_s_);
    filled_at_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
}

DatagramSender::DatagramSender(const Send& send, const Membership& members, double datagrams_per_s)
    : send_(send),
      members_(members),
      agreement_((1 - kApplicationShare) * datagrams_per_s),
      application_(kApplicationShare * datagrams_per_s) {}

bool DatagramSender::send(Timestamp now, int to, Message message, Priority priority) {
    if (!agreement_.take_token(now) && priority != Priority::kAlways) {
        ++counts_.held_back;
        return false;
    }
    write(to, std::move(message));
    return true;
}

bool DatagramSender::send_application(Timestamp now, int to, const std::string& payload) {
    if (!application_.take_token(now)) return false;
    Message message;
    message.kind = MessageKind::kApplication;
    message.payload = payload;
    write(to, std::move(message));
    return true;
}

void DatagramSender::write(int to, Message message) {
    message.from = members_.self();
    message.presence = members_.presence(members_.self());
    message.incarnation = members_.incarnation();
    const std::string bytes = encode(message, ++datagrams_written_);
    if (bytes.empty()) return;  // too long: dropped
    ++counts_.sent;
    counts_.bytes += bytes.size();
    if (send_) send_(to, bytes);
}

}  // namespace linnetlead::agreement
