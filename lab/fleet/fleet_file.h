// A fleet file (TOML): which day is played, by which programs, and which faults lie between them and when.
// Read whole or not at all.
//
// Parties are named n0, n1 ... (dispatchers), b0, b1 ... (boxes), d (discovery), c (clients); * is all of
// them.
#pragma once

#include <string>
#include <vector>

#include "lab/model/site.h"

namespace lichenlug::lab {

enum class FleetFaultKind {
  // What happens to a dispatcher
  kKill,   // dies at once
  kTerm,   // is asked to end, and ends in order
  kPause,  // stands still, and wakes with old beliefs
  kHup,    // discovery moves, and SIGHUP says so
  // What happens to a box
  kBoxKill,   // its process ends at once, and comes back cold
  kBoxMute,   // it vanishes: nothing is said, and it comes back cold
  kBoxDrain,  // it drains, and is gone at the end
  // What the list says of a box that is not so
  kListGhost,    // it is gone and stays listed as active
  kListAddress,  // at its address nobody listens
  kListZone,     // its zone is one that nobody knows
  kListTwice,    // its id stands there twice, the second with an address where nobody listens
  kDiscoveryDown,
  // What happens between a dispatcher and discovery
  kWatchSilent,    // its watches stay open, and nothing comes on them any more
  kCallSwallowed,  // its next call is taken and never answered
  kLateHeartbeat,  // empty lines come `size` seconds late
  // What happens to links
  kCut,      // connections are reset, new ones too; datagrams are lost
  kHole,     // nothing gets through, nothing is said; bytes come when it is over
  kDelay,    // all comes later by `size` seconds
  kReset,    // a share `size` of the pieces resets its connection instead
  kLoss,     // a share `size` of the datagrams is lost
  kCopies,   // a share `size` of the datagrams comes twice
  kReorder,  // datagrams come later by up to `size` seconds each
};
const std::vector<std::string>& FleetFaultNames();  // in the order of FleetFaultKind
inline bool OfLink(FleetFaultKind kind) { return kind >= FleetFaultKind::kCut; }
// The party that a fault not of links happens to: 'n', 'b' or 'd'.
char PartyOf(FleetFaultKind kind);

struct FleetFault {
  FleetFaultKind kind = FleetFaultKind::kKill;
  Time at = 0, length = 0;
  std::string who;       // of a process, a box or discovery
  std::string from, to;  // of a link
  bool one_way = false;
  double size = 0;
  std::string say;  // told in plain words when it begins
  bool Active(Time now) const { return now >= at && now < at + length; }
};

// Jobs of one object that fell whichever box runs them.
struct Poison {
  std::uint64_t key = 0;
  int cls = rookgw::kNone;             // none: of each class
  bool hangs = false;                  // else the process dies
  Time after = 0, back = 2 * kSecond;  // from the start of the run; until the box is there again, cold
  bool Hits(int job_cls, std::uint64_t job_key) const {
    return key == job_key && (cls == rookgw::kNone || cls == job_cls);
  }
};

// Shares of the call-backs that come as no well-behaved box would send them.
struct CallBackFaults {
  double early = 0;    // of the jobs taken: the 202 waits, so that words come before it
  double late = 0;     // of the attempts given up: they are told of all the same
  double twice = 0;    // of all words
  double wrong = 0;    // of the jobs taken: another runner claims to have ended it
  double unknown = 0;  // of the jobs taken: a word comes of an id that nobody knows
};

struct FleetFile {
  std::string file;
  Day day;
  std::vector<std::vector<std::string>> programs;  // the command of dispatcher i is programs[i % size]
  std::vector<FleetFault> faults;
  int drawn = 0;                     // so many more faults are drawn by the seed
  std::vector<FleetFaultKind> draw;  // out of these, each as likely as it is often here
  CallBackFaults call_backs;
  std::vector<Poison> poison;
  bool marks_again = false;  // X-Again tells the tries after the first
  double stubborn = 0;       // share of clients that try again after a failure, too
  bool peers = true;
  Time answer_slack = 2 * kSecond;  // beside the rules' own: the machine may be busy
  std::string leave;                // how to try it by hand, told at the end
};

// Throws ConfigError with one line for each thing that is wrong.
FleetFile ReadFleet(const std::string& path);

// The faults of one play: those of the file and those that the seed draws, by time.
std::vector<FleetFault> FaultsOf(const FleetFile& fleet, std::uint64_t seed);

}  // namespace lichenlug::lab
