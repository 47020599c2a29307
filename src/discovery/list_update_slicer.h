// Passes a long change of the endpoint list on in slices, with turns of the loop in between, so that
// thousands of endpoints do not delay requests. Draining and removed endpoints come first. DiscoveryWatch
// uses it; RegistryClient uses its slice size and interval.
#pragma once

#include <vector>

#include "net/loop.h"

namespace linnetlead::net {

class ListUpdateSlicer {
public:
    static constexpr std::size_t kMinSliceSize = 256;  // endpoints
    static constexpr proxy::Duration kSliceInterval = std::chrono::milliseconds(2);
    // Every slice also costs a pass over the complete list, which limits the number of slices.
    static constexpr std::size_t kMaxSlices = 32;

    ListUpdateSlicer(Loop& loop, proxy::EndpointListPort& lists) : loop_(loop), lists_(lists) {}
    ~ListUpdateSlicer() { discard(); }
    ListUpdateSlicer(const ListUpdateSlicer&) = delete;
    ListUpdateSlicer& operator=(const ListUpdateSlicer&) = delete;

    // Both pass the rest of an earlier change on first, at once.
    void pass_complete_list(const std::vector<proxy::DiscoveredEndpoint>& entries);
    void pass_changes(std::vector<proxy::DiscoveredEndpoint> entries);
    bool pending() const { return passed_count_ < entries_.size(); }
    // Discards the rest of the change.
    void discard();

private:
    void pass_slice(std::size_t most);
    void pass_next_slice();

    Loop& loop_;
    proxy::EndpointListPort& lists_;
    std::vector<proxy::DiscoveredEndpoint> entries_;  // of the current change
    std::size_t passed_count_ = 0;                    // number of entries passed on
    std::size_t slice_size_ = kMinSliceSize;
    proxy::Handle timer_;
};

}  // namespace linnetlead::net
