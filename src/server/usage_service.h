// Metering in the running gateway: usage is flushed from memory to the ledger, batches are made, pushed to
// the billing receiver and written to files. The loop waits for none of it.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "metering/plan_accounts.h"
#include "metering/usage_settings.h"
#include "net/http_post.h"
#include "proxy/request_manager.h"
#include "server/ledger_thread.h"
#include "server/log.h"

namespace linnetlead::server {

class UsageService {
public:
    // Throws std::runtime_error, in one line, where the ledger cannot be used.
    UsageService(const std::string& gateway, std::uint64_t seed, const config::Site& site,
                 metering::UsageSettings settings, net::Loop& loop, proxy::RequestManager& core,
                 proxy::CounterPort& counter, Log& log);
    ~UsageService();

    // As PlanAccounts's; plans that are new go to the decision module, and failures to the log.
    void apply_schedule(std::shared_ptr<const metering::PlanSchedule> schedule);
    void restrict(bool on, std::shared_ptr<const metering::PlanSchedule> other);
    void use_term_source(const metering::TermSource* source) { accounts_.use_term_source(source); }
    void suspend_balances(bool on) { accounts_.suspend_balances(on); }
    // For the admin endpoint.
    nlohmann::json state();
    // At the program's end: writes what is in memory and, if no request is open, closes the epoch.
    void close();

private:
    static constexpr proxy::Duration kTickInterval = std::chrono::milliseconds(50);
    void tick();
    void flush(bool with_batch);
    void send_batch();
    void push(const std::shared_ptr<std::optional<metering::Batch>>& batch);
    void on_receiver_reply(const metering::Batch& batch, const net::HttpPost::Answer& answer);
    void note_problem(const std::string& problem);

    metering::UsageSettings settings_;
    net::Loop& loop_;
    proxy::RequestManager& core_;
    Log& log_;
    metering::PlanAccounts accounts_;
    std::string ledger_id_, gateway_;
    metering::Milliunits uncertain_ = 0;
    std::unique_ptr<LedgerThread> ledger_thread_;
    std::unique_ptr<net::HttpPost> receiver_;
    proxy::Handle timer_;
    proxy::Timestamp next_batch_at_{}, next_send_at_{}, next_flush_at_{};
    std::optional<std::int64_t> unwritten_receipt_;  // of the batch of this number
    bool flushed_last_ = false;
    bool may_have_unsent_ = true;  // batches without a receipt
    int failures_ = 0;             // of the receiver, in a row
    std::int64_t batches_ = 0, receipts_ = 0;
    std::string problem_;
};

// Writes a batch as LEDGER-NUMBER.jsonl.zst, whole or not at all; blocks. kIo: it cannot be written.
Status write_batch(const std::string& folder, const std::string& ledger, const metering::Batch& batch);

}  // namespace linnetlead::server
