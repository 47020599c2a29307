#include "server/usage_service.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <stdexcept>
#include <utility>

#include "storage/checksummed_file.h"

namespace linnetlead::server {

using namespace std::chrono_literals;
using metering::Batch;
using metering::LedgerStore;
using nlohmann::json;

namespace {

constexpr proxy::Duration kRetryAfterProblem = 1s;  // with the disk
constexpr proxy::Duration kReplyTimeout = 5s;       // of the receiver
// Between sends of a batch that the receiver has not taken, doubled each time.
constexpr proxy::Duration kFirstResendPause = 250ms;
constexpr proxy::Duration kLongestResendPause = 10s;
constexpr int kMaxDoublings = 10;
constexpr proxy::Duration kLateCorrections = 10s;  // a period is taken for closed so long after its end
constexpr mode_t kBatchFileMode = 0644;

}  // namespace

Status write_batch(const std::string& folder, const std::string& ledger, const Batch& batch) {
    char name[64];
    std::snprintf(name, sizeof(name), "%s-%08lld.jsonl.zst", ledger.c_str(),
                  static_cast<long long>(batch.number));
    const Status written = storage::replace_file(folder + '/' + name, batch.content, kBatchFileMode);
    if (!written) return fail(ErrorCode::kIo, "a batch: " + written.error().message);
    return {};
}

UsageService::UsageService(const std::string& gateway, std::uint64_t seed, const config::Site& site,
                           metering::UsageSettings settings, net::Loop& loop, proxy::RequestManager& core,
                           proxy::CounterPort& counter, Log& log)
    : settings_(std::move(settings)),
      loop_(loop),
      core_(core),
      log_(log),
      accounts_(site.settings, settings_.period, {}, settings_.enabled ? settings_.lease_units : 0,
                [&counter](const std::string& name, double amount, proxy::Duration life) {
                    counter.add(name, amount, life);
                }),
      gateway_(gateway) {
    if (settings_.enabled) {
        // One file serves all gateways, and each has a ledger of its own.
        constexpr std::string_view kOwn = "{gateway}";
        if (const auto at = settings_.ledger_path.find(kOwn); at != std::string::npos) {
            settings_.ledger_path.replace(at, kOwn.size(), gateway);
        }
        auto opened = LedgerStore::open({settings_.ledger_path, gateway, seed});
        if (!opened) throw std::runtime_error(opened.error().message);
        auto store = std::move(*opened);
        ledger_id_ = store->ledger_id();
        uncertain_ = store->uncertain();
        log_.write(loop_.now(), "ledger",
                   {{"path", settings_.ledger_path.empty() ? "in memory: gone with the process"
                                                           : settings_.ledger_path},
                    {"ledger", ledger_id_},
                    {"epoch", store->epoch()},
                    {"uncertain_units", metering::units_of(uncertain_)}});
        // The first block is written down before the first call can go out.
        if (const auto limit = accounts_.lease().next_limit()) {
            const Status written = store->record(accounts_.ledger().names(), {}, settings_.period, *limit, 0);
            if (!written)
                throw std::runtime_error("the ledger cannot be written: " + written.error().message);
            accounts_.lease().on_written(*limit);
        }
        if (!settings_.receiver.empty()) {
            sockaddr_storage to{};
            if (!net::read_address(settings_.receiver, to)) {
                throw std::runtime_error("receiver: no address: '" + settings_.receiver + "'");
            }
            receiver_ = std::make_unique<net::HttpPost>(loop_, to, settings_.receiver);
        }
        ledger_thread_ = std::make_unique<LedgerThread>(loop_, std::move(store));
    }
    accounts_.count_usage(settings_.enabled);
    next_batch_at_ = loop_.now() + settings_.batch_interval;
    core_.attach(&accounts_);
    tick();
}

UsageService::~UsageService() { close(); }

void UsageService::apply_schedule(std::shared_ptr<const metering::PlanSchedule> schedule) {
    const std::size_t terms = schedule->terms.size();
    const proxy::Timestamp begun = loop_.now();
    auto added = accounts_.apply_schedule(std::move(schedule));
    if (!added) {
        log_.write(begun, "plans", {{"taken", false}, {"problem", added.error().message}});
        return;
    }
    const std::size_t new_plans = added->size();
    if (!added->empty()) core_.add_plans(std::move(*added));
    const auto stall = std::chrono::duration<double, std::micro>(loop_.now() - begun).count();
    log_.write(
        begun, "plans",
        {{"taken", true}, {"terms", terms}, {"new_plans", new_plans}, {"stall_us", std::round(stall)}});
}

void UsageService::restrict(bool on, std::shared_ptr<const metering::PlanSchedule> other) {
    auto added = accounts_.restrict(on, std::move(other));
    if (!added) {
        log_.write(loop_.now(), "plans", {{"taken", false}, {"problem", added.error().message}});
    } else if (!added->empty()) {
        core_.add_plans(std::move(*added));
    }
}

void UsageService::tick() {
    timer_ = loop_.arm(loop_.now() + kTickInterval, [this] { tick(); });
    accounts_.balances().tick(loop_.now());
    if (!ledger_thread_) return;
    const proxy::Timestamp now = loop_.now();
    if (ledger_thread_->busy() || now < next_flush_at_) return;
    if (const auto number = std::exchange(unwritten_receipt_, std::nullopt)) {
        return ledger_thread_->run([number, now](LedgerStore& store) { store.record_receipt(*number, now); },
                                   {});
    }
    const bool exports = receiver_ || !settings_.batch_directory.empty();
    if (exports && now >= next_batch_at_) {
        next_batch_at_ = now + settings_.batch_interval;
        return flush(true);
    }
    const bool to_flush = accounts_.ledger().rows() > 0 || accounts_.lease().next_limit().has_value();
    const bool to_send =
        exports && may_have_unsent_ && now >= next_send_at_ && !(receiver_ && receiver_->busy());
    // In turns: under load there is always something to flush, and the export would never have its own.
    if (to_flush && !(to_send && std::exchange(flushed_last_, false))) {
        flushed_last_ = true;
        flush(false);
    } else if (to_send) {
        send_batch();
    }
}

// One transaction for all that has come since the last one, and perhaps a batch behind it.
void UsageService::flush(bool with_batch) {
    struct Work {
        metering::UsageLedger::Changes changes;
        std::vector<std::string> names;
        metering::Milliunits lease_limit = 0, counted = 0;
        // A job that ends early (it threw) has recorded nothing.
        Status recorded = fail(ErrorCode::kIo, "");
        bool made = false;  // a batch
    };
    auto work = std::make_shared<Work>();
    work->changes = accounts_.ledger().take_changes();
    work->names = accounts_.ledger().names();
    work->lease_limit = accounts_.lease().next_limit().value_or(0);
    work->counted = accounts_.ledger().total().estimated;
    const proxy::Timestamp now = loop_.now();
    ledger_thread_->run(
        [work, with_batch, now, period = settings_.period,
         retention = settings_.retention](LedgerStore& store) {
            work->recorded =
                store.record(work->names, work->changes, period, work->lease_limit, work->counted);
            if (!work->recorded || !with_batch) return;
            // What fails here is done at the next batch's time.
            const auto batch = store.make_batch(now, now - period - kLateCorrections);
            work->made = batch && *batch;
            store.prune(now - retention);
        },
        [this, work] {
            if (!work->recorded) {
                accounts_.ledger().restore(work->changes);
                next_flush_at_ = loop_.now() + kRetryAfterProblem;
                return note_problem(work->recorded.error().message);
            }
            note_problem("");
            if (work->lease_limit > 0) accounts_.lease().on_written(work->lease_limit);
            batches_ += work->made;
            may_have_unsent_ = may_have_unsent_ || work->made;
        });
}

void UsageService::note_problem(const std::string& problem) {
    if (problem == problem_) return;
    problem_ = problem;
    log_.write(loop_.now(), "ledger",
               {{"problem", problem.empty() ? "none any more" : problem},
                {"rows_waiting", accounts_.ledger().rows()}});
}

// The oldest batch without a receipt goes out, always the same bytes under the same number.
void UsageService::send_batch() {
    auto batch = std::make_shared<std::optional<Batch>>();
    auto written = std::make_shared<Status>();
    ledger_thread_->run(
        [batch, written, files = settings_.batch_directory, ledger = ledger_id_, only = !receiver_,
         now = loop_.now()](LedgerStore& store) {
            *batch = store.first_without_receipt();
            if (!*batch || files.empty()) return;
            *written = write_batch(files, ledger, **batch);
            if (*written && only) store.record_receipt((*batch)->number, now);
        },
        [this, batch, written] {
            if (!*batch) {
                may_have_unsent_ = false;
                return;
            }
            if (!*written) {
                next_send_at_ = loop_.now() + kRetryAfterProblem;
                return note_problem(written->error().message);
            }
            if (!receiver_) {
                ++receipts_;
                return;
            }
            push(batch);
        });
}

void UsageService::push(const std::shared_ptr<std::optional<Batch>>& batch) {
    const Batch& one = **batch;
    const std::string headers =
        "Content-Type: application/x-ndjson\r\nContent-Encoding: zstd\r\nX-Gateway: " + gateway_ +
        "\r\nX-Ledger: " + ledger_id_ + "\r\nX-Batch: " + std::to_string(one.number) +
        "\r\nX-Checksum: " + one.checksum + "\r\n";
    const auto done = [this, batch](const net::HttpPost::Answer& answer) {
        on_receiver_reply(**batch, answer);
    };
    if (!receiver_->post("/usage", headers, one.content, kReplyTimeout, done)) on_receiver_reply(one, {});
}

void UsageService::on_receiver_reply(const Batch& batch, const net::HttpPost::Answer& answer) {
    const json receipt = json::parse(answer.body, nullptr, false);
    constexpr int kOk = 200;
    const bool good = answer.status == kOk && receipt.is_object() && receipt.contains("batch") &&
                      receipt["batch"] == batch.number && receipt.contains("checksum") &&
                      receipt["checksum"] == batch.checksum;
    if (!good) {
        // Whoever it was that answered, this batch has no receipt: it goes out again, the same.
        const proxy::Duration pause = std::min<proxy::Duration>(
            kLongestResendPause, kFirstResendPause * (1 << std::min(failures_, kMaxDoublings)));
        next_send_at_ = loop_.now() + pause;
        if (failures_++ == 0) {
            log_.write(loop_.now(), "export",
                       {{"batch", batch.number}, {"status", answer.status}, {"receipt", false}});
        }
        return;
    }
    if (failures_ > 0) {
        log_.write(loop_.now(), "export",
                   {{"batch", batch.number}, {"receipt", true}, {"after_failures", failures_}});
    }
    failures_ = 0;
    ++receipts_;
    unwritten_receipt_ = batch.number;  // if it cannot be written, the batch goes out once more, the same
}

json UsageService::state() {
    const metering::Usage& total = accounts_.ledger().total();
    json state{{"tries", total.requests},
               {"units", metering::units_of(total.estimated + total.corrected)},
               {"rows_waiting", accounts_.ledger().rows()},
               {"terms", accounts_.schedule() ? accounts_.schedule()->terms.size() : 0}};
    for (const metering::BalanceLease* lease : accounts_.balances().leases()) {
        const metering::BalanceLease::State one = lease->state();
        state["reserves"].push_back({{"id", lease->balance().id},
                                     {"in_force", lease->active(loop_.now())},
                                     {"known", one.known},
                                     {"units", lease->balance().units},
                                     {"claimed_by_all", one.reserved},
                                     {"at_hand", one.available},
                                     {"paid_here", one.charged},
                                     {"lent_here", one.lent},
                                     {"claims_lost", one.lost_reservations},
                                     {"counter_resets", one.counter_resets}});
    }
    if (ledger_thread_) {
        state["ledger"] = ledger_id_;
        state["batches_made"] = batches_;
        state["receipts"] = receipts_;
        state["uncertain_units_before"] = metering::units_of(uncertain_);
        state["units_beyond_lease"] = metering::units_of(accounts_.lease().beyond_limit());
        state["rows_given_up"] = accounts_.ledger().overflowed();
        if (!problem_.empty()) state["problem"] = problem_;
    }
    return state;
}

void UsageService::close() {
    loop_.disarm(std::exchange(timer_, {}));
    core_.attach(static_cast<proxy::AccountingPort*>(nullptr));
    if (receiver_) receiver_->close();
    if (!ledger_thread_) return;
    ledger_thread_->finish([this](LedgerStore& store) {
        const auto changes = accounts_.ledger().take_changes();
        const Status recorded = store.record(accounts_.ledger().names(), changes, settings_.period, 0,
                                             accounts_.ledger().total().estimated);
        if (recorded && accounts_.open_requests() == 0) store.close_epoch();
    });
    ledger_thread_->close();
    ledger_thread_.reset();
}

}  // namespace linnetlead::server
