// What the pure parts that share facts between dispatchers have in common: who is there, and how a part is
// asked what it has to tell and handed what it is told. No I/O, no clock: times are arguments.
//
// Guards against parts that know of sockets: a part makes bodies of datagrams and reads them; which address
// they go to, and how they are told apart on the wire, is `peers/`. The laboratory drives the same parts in
// virtual time.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace lichenlug {

// Of a dispatcher, as seen from here.
enum class MemberStatus : std::uint8_t {
  kUnknown,  // never heard of in any life
  kJoining,  // heard, its zone or life is not known yet
  kAlive,
  kSuspected,  // silent; it has time to object
  kCutOff,     // others hear it, this one does not
  kLeft,       // it said so
  kDead,       // agreed on by observers of more than one zone, or by all where there is only one
};

struct TierMember {
  int number = 0;  // its place in the configuration's `peers`
  int zone = -1;   // below 0: not known
  MemberStatus status = MemberStatus::kUnknown;
  std::uint64_t life = 0;  // grows with each start of the same number; 0: not known
};

// A view of the whole tier. Views compare by `version`, which grows with each change seen here; two
// dispatchers' versions say nothing of one another.
struct TierView {
  std::uint64_t version = 0;
  int own = 0;
  std::vector<TierMember> members;  // by number, this one among them: as many as the configuration names

  // Those that answer to what is asked of them: alive, and suspected ones until they are given up.
  static bool Counts(MemberStatus status) {
    return status == MemberStatus::kAlive || status == MemberStatus::kSuspected;
  }
  int present() const {
    return static_cast<int>(
        std::ranges::count_if(members, [](const TierMember& it) { return Counts(it.status); }));
  }
  // What counts for the share: those that left are no loss, the rest might be at work behind a cut.
  int expected() const {
    return static_cast<int>(std::ranges::count_if(
        members, [](const TierMember& it) { return it.status != MemberStatus::kLeft; }));
  }
  // Over half of what might be at work is here. Below it, what needs the tier as a whole takes its safe part.
  bool whole() const { return 2 * present() > expected(); }
};

// A part of the dispatcher that tells its peers something. What is told is state with an age, never a
// command: merging it in any order, any number of times, gives the same.
class PeerProtocol {
 public:
  static constexpr int kAll = -1;               // to every member that counts
  static constexpr std::size_t kMaxBody = 254;  // bytes: a datagram of 256 less head and padding

  struct Datagram {
    int peer = kAll;
    std::string body;  // 1 to kMaxBody bytes; may come with one zero byte behind it
  };

  virtual ~PeerProtocol() = default;
  virtual Time DueAt() const = 0;  // when something is to be told; 0: nothing is
  virtual std::vector<Datagram> MakeDatagrams(Time now) = 0;
  // False: malformed, or of a version not known. It then has changed nothing.
  virtual bool HandleMessage(int peer, std::string_view body, Time now) = 0;
  virtual void TierChanged(const TierView&, Time) {}
};

}  // namespace lichenlug
