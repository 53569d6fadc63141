#include "duties/ownership_changes.h"

#include <algorithm>
#include <utility>

#include "duties/load_history.h"

namespace lichenlug::duties {
namespace {

using consensus::Change;
using consensus::KeepPayload;
using consensus::NewPayload;
using messages::OwnershipState;

constexpr int kMaxTallies = 16;  // the newest are kept; older ones are past their deadline

Holder OwnerOf(const OwnershipState& state) { return {state.owner(), state.owner_incarnation()}; }

void AddTally(const messages::WindowCount& tally, OwnershipState* state) {
  auto* tallies = state->mutable_tallies();
  if (!tallies->empty() && tallies->rbegin()->window() >= tally.window()) return;
  *tallies->Add() = tally;
  if (tallies->size() > kMaxTallies) tallies->DeleteSubrange(0, tallies->size() - kMaxTallies);
}

}  // namespace

std::optional<OwnershipState> ReadState(const std::string& payload) {
  OwnershipState state;
  if (!state.ParseFromString(payload)) return std::nullopt;
  return state;
}

Renewal RenewalOf(const OwnershipState& state) { return {OwnerOf(state), state.epoch(), state.renewals()}; }

consensus::ChangeFunction ReadOnly() {
  return [](const std::string&) -> Change { return KeepPayload{kOnlyRead}; };
}

consensus::ChangeFunction TakeOver(const Renewal& observed, const Holder& taker, std::uint64_t attempt,
                                   Time elapsed) {
  return [observed, taker, attempt, elapsed](const std::string& payload) -> Change {
    std::optional<OwnershipState> state = ReadState(payload);
    if (!state) return KeepPayload{kUnreadable};
    if (RenewalOf(*state) != observed) return KeepPayload{kWasRenewed};
    state->set_owner(taker.name);
    state->set_owner_incarnation(taker.incarnation);
    state->set_epoch(observed.epoch + 1);
    state->set_renewals(attempt);
    for (messages::LoadHistory& history : *state->mutable_loads()) AgeLoads(elapsed, &history);
    return NewPayload{state->SerializeAsString()};
  };
}

consensus::ChangeFunction Renew(const Holder& owner, std::uint64_t epoch, std::uint64_t attempt,
                                std::vector<messages::WindowCount> tallies,
                                std::vector<messages::LoadHistory> loads) {
  return [owner, epoch, attempt, tallies = std::move(tallies),
          loads = std::move(loads)](const std::string& payload) -> Change {
    std::optional<OwnershipState> state = ReadState(payload);
    if (!state) return KeepPayload{kUnreadable};
    if (OwnerOf(*state) != owner || state->epoch() != epoch) return KeepPayload{kNotOwner};
    // No two attempts lead to the same renewal: one that is applied after a later one has no effect.
    if (state->renewals() >= attempt) return KeepPayload{kWasRenewed};
    state->set_renewals(attempt);
    for (const auto& tally : tallies) AddTally(tally, &*state);
    ReplaceLoads(loads, &*state);
    return NewPayload{state->SerializeAsString()};
  };
}

consensus::ChangeFunction Release(const Holder& owner, std::uint64_t epoch,
                                  std::vector<messages::LoadHistory> loads) {
  return [owner, epoch, loads = std::move(loads)](const std::string& payload) -> Change {
    std::optional<OwnershipState> state = ReadState(payload);
    if (!state) return KeepPayload{kUnreadable};
    if (OwnerOf(*state) != owner || state->epoch() != epoch) return KeepPayload{kNotOwner};
    state->set_owner("");
    state->set_owner_incarnation(0);
    ReplaceLoads(loads, &*state);
    return NewPayload{state->SerializeAsString()};
  };
}

}  // namespace lichenlug::duties
