// The changes that dispatchers make to the state of a duty in its register, as pure functions of the payload
// found.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "consensus/register_node.h"
#include "messages/generated/duties.pb.h"

namespace lichenlug::duties {

// One life of one dispatcher.
struct Holder {
  std::string name;
  std::uint64_t incarnation = 0;

  bool operator==(const Holder&) const = default;
};

// What identifies one renewal of one lease: while it stays the same, nobody has renewed or taken over.
struct Renewal {
  Holder owner;
  std::uint64_t epoch = 0;
  std::uint64_t renewals = 0;

  bool operator==(const Renewal&) const = default;
};

enum KeepReason {  // of KeepPayload
  kOnlyRead = 1,
  kNotOwner = 2,    // another owns it, or another epoch runs
  kWasRenewed = 3,  // it is not as observed any more
  kUnreadable = 4,  // the payload is no state of a duty
};

std::optional<messages::OwnershipState> ReadState(
    const std::string& payload);  // empty payload: a fresh state
Renewal RenewalOf(const messages::OwnershipState& state);

consensus::ChangeFunction ReadOnly();
// A take-over and a renewal are given the number that their dispatcher has for this attempt, higher than any
// it saw or used before: so no two attempts lead to the same renewal.

// Takes over what is still as observed `elapsed` ago, in the next epoch.
consensus::ChangeFunction TakeOver(const Renewal& observed, const Holder& taker, std::uint64_t attempt,
                                   Time elapsed);
// Renews the lease of an epoch, adds tallies of windows later than those that are chosen, and replaces the
// histories of the services that are told.
consensus::ChangeFunction Renew(const Holder& owner, std::uint64_t epoch, std::uint64_t attempt,
                                std::vector<messages::WindowCount> tallies,
                                std::vector<messages::LoadHistory> loads);
// Leaves the duty without owner; the epoch stays.
consensus::ChangeFunction GiveUp(const Holder& owner, std::uint64_t epoch,
                                 std::vector<messages::LoadHistory> loads);

}  // namespace lichenlug::duties
