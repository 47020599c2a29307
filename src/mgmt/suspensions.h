// Workers that the operators have taken out, or of which another gateway's list says that they drain or are
// gone, as an overlay on the list: such a one is told on as draining, whatever the registry says; what it
// says is kept beneath, and a resume tells that. No I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/ports.h"

namespace linnetlead::mgmt {

class Suspensions final : public core::Lists {
public:
    explicit Suspensions(core::Lists& beyond) : beyond_(beyond) {}

    void listed(topazcrank::ListKind kind, const std::vector<core::Listed>& entries) override;

    // False where the id was never listed: nothing is kept of it then. Twice is once.
    bool suspend(const core::WorkerId& id);
    bool resume(const core::WorkerId& id);
    // The word of another process, which knew what was listed.
    void adopt(const core::WorkerId& id);
    void release(const core::WorkerId& id);
    std::vector<core::WorkerId> all() const { return {banned_.begin(), banned_.end()}; }

    // The list of another gateway says that this process of the worker drains or is gone.
    void warn(const core::WorkerId& id, core::Time started);
    void unwarn(const core::WorkerId& id);
    // Hears what the list itself says of each worker that it names or drops: whether it is wanted any more.
    using Change = std::function<void(const core::WorkerId&, core::Time started, bool wanted)>;
    void on_change(Change change) { change_ = std::move(change); }
    // Hears the list itself, before it is told on.
    using Listing = std::function<void(topazcrank::ListKind, const std::vector<core::Listed>&)>;
    void on_list(Listing listing) { listing_ = std::move(listing); }

    bool has_list() const { return has_list_; }
    std::size_t known() const { return told_.size(); }  // workers in the list
    std::size_t skipped() const;                        // of them, suspended ones

    // So many ids that are gone are remembered, the latest; a ban stays until its resume in any case.
    static constexpr std::size_t most_gone = 16384;

private:
    bool was_listed(const core::WorkerId& id) const;
    void tell(const core::WorkerId& id);
    void forget(const core::WorkerId& id);
    core::Listed seen(core::Listed listed) const;

    core::Lists& beyond_;
    std::unordered_map<core::WorkerId, core::Listed> told_;
    std::unordered_set<core::WorkerId> banned_;
    std::unordered_map<core::WorkerId, core::Time> warned_;  // by when the process began that they are of
    Change change_;
    Listing listing_;
    std::unordered_set<std::size_t> gone_;  // by hash: a long day's ids are many
    std::deque<std::size_t> gone_order_;
    bool has_list_ = false;
};

}  // namespace linnetlead::mgmt
