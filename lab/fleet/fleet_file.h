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
  // What happens to a process. With a length it ends after that: a new life, or the old one goes on.
  kKill,   // SIGKILL, then started again under its name and address
  kTerm,   // SIGTERM, then started again once it has ended
  kPause,  // SIGSTOP, then SIGCONT
  // What happens to a box
  kBoxKill,   // its process ends at once, and comes back cold
  kBoxMute,   // it vanishes: nothing is said, and it comes back cold
  kBoxDrain,  // it drains, and is gone at the end
  kDiscoveryDown,
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

struct FleetFile {
  std::string file;
  Day day;
  std::vector<std::vector<std::string>> programs;  // the command of dispatcher i is programs[i % size]
  std::vector<FleetFault> faults;
  int drawn = 0;  // so many more faults are drawn by the seed
  bool peers = true;
  Time answer_slack = 2 * kSecond;  // beside the rules' own: the machine may be busy
  std::string leave;                // how to try it by hand, told at the end
};

// Throws ConfigError with one line for each thing that is wrong.
FleetFile ReadFleet(const std::string& path);

// The faults of one play: those of the file and those that the seed draws, by time.
std::vector<FleetFault> FaultsOf(const FleetFile& fleet, std::uint64_t seed);

}  // namespace lichenlug::lab
