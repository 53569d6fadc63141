// Common interface of the components that share state between dispatchers: the membership view, and how a
// component produces and receives messages. No I/O, no clock: times are arguments.
//
// Components only encode and decode datagram bodies. Addressing and framing belong to `peers/`, so components
// don't depend on sockets and the lab can run them in virtual time.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace lichenlug {

// The state of a dispatcher, as seen by this one.
enum class MemberStatus : std::uint8_t {
  kUnknown,  // no incarnation of it has been heard from
  kJoining,  // heard from, but its zone or incarnation is not known yet
  kAlive,
  kSuspected,  // silent; it has time to refute the suspicion
  kCutOff,     // reachable by others, but not by this one
  kLeft,       // announced that it left
  kDead,       // confirmed by observers in more than one zone, or by all if there is only one zone
};

struct TierMember {
  int number = 0;  // its index in the configuration's `peers`
  int zone = -1;   // negative: unknown
  MemberStatus status = MemberStatus::kUnknown;
  std::uint64_t life = 0;  // incarnation: increases with each start of the same number; 0: unknown
};

// A view of the whole tier. `version` increases with each change seen by this dispatcher; the versions of two
// dispatchers are not comparable.
struct TierView {
  std::uint64_t version = 0;
  int own = 0;
  std::vector<TierMember> members;  // by number, including this one: all that are configured

  // Whether the dispatcher is expected to respond: it is alive, or suspected and not yet declared dead.
  static bool Counts(MemberStatus status) {
    return status == MemberStatus::kAlive || status == MemberStatus::kSuspected;
  }
  int present() const {
    return static_cast<int>(
        std::ranges::count_if(members, [](const TierMember& it) { return Counts(it.status); }));
  }
  // The members that count towards the majority: those that left don't, the rest may be running behind a
  // network partition.
  int expected() const {
    return static_cast<int>(std::ranges::count_if(
        members, [](const TierMember& it) { return it.status != MemberStatus::kLeft; }));
  }
  // Whether a majority of the members that may be running is present. Without one, whatever depends on the
  // whole tier must use its safe fallback.
  bool whole() const { return 2 * present() > expected(); }
};

// A component of the dispatcher that exchanges messages with its peers. Messages carry state with an age,
// never commands: merging is commutative and idempotent.
class PeerProtocol {
 public:
  static constexpr int kAll = -1;               // broadcast to every present member
  static constexpr std::size_t kMaxBody = 254;  // bytes: a 256-byte datagram without header and padding

  struct Datagram {
    int peer = kAll;
    std::string body;  // 1 to kMaxBody bytes; may arrive with one trailing zero byte
  };

  virtual ~PeerProtocol() = default;
  virtual Time DueAt() const = 0;  // when the next message is due; 0: none is
  virtual std::vector<Datagram> MakeDatagrams(Time now) = 0;
  // Returns false and changes nothing if the message is malformed or of an unknown version.
  virtual bool HandleMessage(int peer, std::string_view body, Time now) = 0;
  virtual void TierChanged(const TierView&, Time) {}
};

}  // namespace lichenlug
