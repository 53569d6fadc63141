// The changes that dispatchers make to the state of a duty in its register, as pure functions of its current
// payload.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "consensus/register_node.h"
#include "messages/generated/duties.pb.h"

namespace lichenlug::duties {

// One process of a dispatcher.
struct Holder {
  std::string name;
  std::uint64_t incarnation = 0;

  bool operator==(const Holder&) const = default;
};

// Identifies one renewal of one lease: as long as it is unchanged, there was no renewal or takeover.
struct Renewal {
  Holder owner;
  std::uint64_t epoch = 0;
  std::uint64_t renewals = 0;

  bool operator==(const Renewal&) const = default;
};

enum KeepReason {  // for KeepPayload
  kOnlyRead = 1,
  kNotOwner = 2,    // the owner or the epoch is another one
  kWasRenewed = 3,  // the renewal is not the one that was observed, or is a later one
  kUnreadable = 4,  // the payload can't be parsed
};

std::optional<messages::OwnershipState> ReadState(
    const std::string& payload);  // empty payload: a fresh state
Renewal RenewalOf(const messages::OwnershipState& state);

consensus::ChangeFunction ReadOnly();
// Takeovers and renewals take an attempt number that is higher than any that their dispatcher has seen or
// used, so that no two attempts lead to the same renewal.

// Takes over in the next epoch, if the state still has the renewal that was observed `elapsed` ago.
consensus::ChangeFunction TakeOver(const Renewal& observed, const Holder& taker, std::uint64_t attempt,
                                   Time elapsed);
// Renews the lease of an epoch, adds tallies of windows later than the chosen ones, and replaces the load
// histories of the given services.
consensus::ChangeFunction Renew(const Holder& owner, std::uint64_t epoch, std::uint64_t attempt,
                                std::vector<messages::WindowCount> tallies,
                                std::vector<messages::LoadHistory> loads);
// Leaves the duty without an owner; the epoch is unchanged.
consensus::ChangeFunction Release(const Holder& owner, std::uint64_t epoch,
                                  std::vector<messages::LoadHistory> loads);

}  // namespace lichenlug::duties
