// Leader election for a duty: the first live dispatcher in an agreed order holds it under a lease that it
// renews in a register. Each change of owner increments the epoch, which is the fencing token. A state
// machine over register operations.
//
// The lease is observed, not granted: an owner acts only until `lease` after the *start* of its last renewal
// that was chosen, less a margin; another may take over only when it has seen the same renewal for the whole
// lease and a margin on its own steady clock. An owner that was paused therefore finds its lease expired
// before it acts. A replica that was asked to accept a renewal has seen it at that time, so it need not poll
// the register while the owner is live.
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

inline constexpr int kRenewalsInLease = 3;  // number of renewals within the duration of a lease

struct RegisterOperation {  // to be submitted; its completion must have the same tag
  std::uint64_t tag = 0;
  std::string register_name;
  consensus::ChangeFunction change;
  Time deadline = 0;
};
struct OwnershipOutput {
  std::vector<RegisterOperation> operations;
  bool changed = false;  // whether Holds(), the owner or the epoch changed; a renewal is not a change
};

struct OwnershipSettings {
  std::string register_name;
  std::string self_name;
  std::uint64_t self_incarnation = 0;
  Time lease = 3 * kSecond;
  std::uint64_t seed = 0;
  // Called by the owner when a renewal starts: the loads that its placement may have started recently. Empty
  // if the duty places nothing.
  std::function<std::vector<messages::LoadHistory>(Time now)> recent_loads;
};

class Ownership {
 public:
  explicit Ownership(OwnershipSettings settings);
  ~Ownership();

  // `live` includes this dispatcher. `wanted`: there is work for this duty; otherwise a lease that is held is
  // allowed to expire. Candidates are the live members with a store, in the agreed order (ready ones first,
  // then by a hash of register and name).
  void SetMembers(Time now, const std::vector<Member>& live, bool wanted);
  // To be called when the local replica was asked to accept this state, whether or not it is chosen.
  void Accepting(Time now, const messages::OwnershipState& state);
  void Tick(Time now, OwnershipOutput* output);
  void Completed(Time now, std::uint64_t tag, const consensus::Completion& completion,
                 OwnershipOutput* output);
  std::optional<Time> NextTimer() const;

  bool Holds(Time now) const;  // may act at this moment
  // Calls made while it holds the duty must have been sent by then, as another dispatcher may act a margin
  // later. None unless it owns the duty.
  std::optional<Time> CallDeadline() const;
  std::uint64_t epoch() const;
  // Start of this dispatcher's last renewal or takeover that was chosen, which is also the time of the load
  // histories in the state. None unless it owns the duty.
  std::optional<Time> lease_started_at() const;
  const messages::OwnershipState& state() const;  // the last state known to be chosen
  // Starts a renewal that adds a usage tally to the state. The tally is dropped if the ownership is lost
  // before it is chosen.
  void ChooseTally(Time now, const messages::WindowCount& tally, OwnershipOutput* output);
  // On SIGTERM: stops acting and releases the duty immediately, so calls in flight must have ended before.
  void Resign(Time now, OwnershipOutput* output);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lichenlug::duties
