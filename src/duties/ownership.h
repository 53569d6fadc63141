// Who holds a duty: the first live dispatcher in an agreed order acts, under a lease that it renews in a
// register; each change of owner raises the epoch, which is the fencing token. A state machine over register
// operations.
//
// The lease is observed, not granted: an owner acts only until `lease` after the *start* of its last renewal
// that was chosen, less a margin; another may take over only when it has seen the same renewal for the whole
// lease and a margin on its own steady clock. So one that was frozen finds its lease over before it acts. A
// replica that was asked to accept a renewal has seen it then: it need not read along while the owner lives.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cluster/member.h"
#include "consensus/register_node.h"
#include "messages/generated/duties.pb.h"

namespace lichenlug::duties {

inline constexpr int kRenewalsInLease = 3;  // so often is a lease renewed within its span

struct RegisterOperation {  // to be submitted; its completion comes back with the same tag
  std::uint64_t tag = 0;
  std::string register_name;
  consensus::ChangeFunction change;
  Time deadline = 0;
};
struct OwnershipOutput {
  std::vector<RegisterOperation> operations;
  bool changed = false;  // Holds(), the owner or the epoch; a renewal is none
};

struct OwnershipSettings {
  std::string register_name;
  std::string self_name;
  std::uint64_t self_incarnation = 0;
  Time lease = 3 * kSecond;
  std::uint64_t seed = 0;
  // Asked as a renewal begins, by the owner: what its placement may have loaded of late. None where nothing
  // is placed.
  std::function<std::vector<messages::LoadHistory>(Time now)> tell_loads;
};

class Ownership {
 public:
  explicit Ownership(OwnershipSettings settings);
  ~Ownership();

  // `live` holds this dispatcher too. `wanted`: there is work for this duty; without, a lease that is held
  // lapses. Candidates are the live members with a store, in the agreed order (those that are ready first,
  // then by a hash of register and name).
  void SetMembers(Time now, const std::vector<Member>& live, bool wanted);
  // The replica beside it was asked to accept this state, chosen or not.
  void Accepting(Time now, const messages::OwnershipState& state);
  void Tick(Time now, OwnershipOutput* output);
  void Completed(Time now, std::uint64_t tag, const consensus::Completion& completion,
                 OwnershipOutput* output);
  std::optional<Time> NextTimer() const;

  bool Holds(Time now) const;  // may act at this moment
  // Calls that it makes while it holds the duty must have left by then, as another may act a margin later.
  // None unless it owns the duty.
  std::optional<Time> CallsEndBy() const;
  std::uint64_t epoch() const;
  // Start of the last renewal or take-over of this dispatcher that was chosen: the moment that the state's
  // histories of loads are of. None unless it owns the duty.
  std::optional<Time> lease_started_at() const;
  const messages::OwnershipState& state() const;  // as last seen chosen
  // Adds to the state with the next renewal, at once: usage tallies. Dropped if the ownership is lost before
  // it is chosen.
  void ChooseTally(Time now, const messages::WindowCount& tally, OwnershipOutput* output);
  // On SIGTERM: acts no more and leaves the duty to the next at once, so the calls under way are to end
  // before.
  void Resign(Time now, OwnershipOutput* output);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lichenlug::duties
