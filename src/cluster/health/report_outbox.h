// Batches reports to the keepers, several to a datagram, within a budget of datagrams. SharedHealth makes one
// for each round of reports.
#pragma once

#include <cstdint>
#include <map>

#include "cluster/health/health_codec.h"
#include "cluster/health/health_port.h"

namespace linnetlead::health {

// A token bucket that holds at most one second's worth of datagrams. take() does not check available(), so
// the balance may become negative.
class DatagramAllowance {
public:
    explicit DatagramAllowance(double per_s, double initial = 0) : per_s_(per_s), tokens_(initial) {}
    void refill(Timestamp now);
    double available() const { return tokens_; }
    void take() { tokens_ -= 1; }

private:
    double per_s_;
    double tokens_;
    Timestamp refilled_at_{};
};

class ReportOutbox {
public:
    // The fields of each datagram that describe this gateway.
    struct Sender {
        std::uint16_t process = 0;
        bool outlier = false;
    };
    ReportOutbox(HealthPort& port, DatagramAllowance& allowance, const Sender& sender, Timestamp now)
        : port_(port), allowance_(allowance), sender_(sender), now_(now) {}

    // Adds a report to the keeper's datagram and sends the datagram once it is full.
    void add(int keeper, const EndpointReport& report);
    // Whether the budget allows the unsent datagrams and one more to each of `keepers` keepers.
    bool has_room_for(std::size_t keepers) const;
    // Sends all datagrams that hold reports.
    void flush();

private:
    void send(int keeper, HealthReports& reports);

    HealthPort& port_;
    DatagramAllowance& allowance_;
    Sender sender_;
    Timestamp now_;
    std::map<int, HealthReports> unsent_;  // by keeper
};

}  // namespace linnetlead::health
