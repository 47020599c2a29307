// Tracks which gateways are known to hold the same proposals as this one. Heartbeats carry it as a bitmap, so
// that it spreads as fast as gossip. Used by TopicAgreement, ActivationDecider and Heartbeats.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace linnetlead::agreement {

class ProposalHolders {
public:
    ProposalHolders(int gateways, int self) : self_(self), holds_(static_cast<std::size_t>(gateways)) {}

    // Sets the hash of the proposals that this gateway holds (0: none). A change clears what is known about
    // the other gateways.
    void set_own(std::uint32_t proposal_hash) {
        if (proposal_hash == hash_) return;
        hash_ = proposal_hash;
        holds_.assign(holds_.size(), false);
        if (hash_ != 0) holds_[static_cast<std::size_t>(self_)] = true;
    }
    std::uint32_t hash() const { return hash_; }
    bool holds(int gateway) const { return hash_ != 0 && holds_[static_cast<std::size_t>(gateway)]; }
    // Call when a gateway is gone: it no longer counts as a holder.
    void remove(int gateway) { holds_[static_cast<std::size_t>(gateway)] = false; }

    // Applies a received heartbeat: the hash of the sender's proposals and its bitmap of holders.
    void merge(int from, std::uint32_t proposal_hash, const std::string& bitmap) {
        if (proposal_hash == 0 || proposal_hash != hash_) return;
        holds_[static_cast<std::size_t>(from)] = true;
        for (std::size_t i = 0; i < holds_.size() && i / 8 < bitmap.size(); ++i) {
            if ((bitmap[i / 8] >> (i % 8) & 1) != 0) holds_[i] = true;
        }
    }
    // Bit i % 8 of byte i / 8 is set if gateway i is a holder; empty if this gateway holds nothing.
    std::string bitmap() const {
        if (hash_ == 0) return {};
        std::string bits((holds_.size() + 7) / 8, '\0');
        for (std::size_t i = 0; i < holds_.size(); ++i) {
            if (holds_[i]) bits[i / 8] = static_cast<char>(bits[i / 8] | (1 << (i % 8)));
        }
        return bits;
    }

private:
    int self_;
    std::uint32_t hash_ = 0;
    std::vector<bool> holds_;  // by gateway
};

}  // namespace linnetlead::agreement
