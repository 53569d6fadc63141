// What callers of one register saw, and the check that it is a linearizable register.
//
// The payload is the list of the changes in it, each by the identity of its call. So any two payloads that
// were told to be chosen must be one the beginning of the other, and a payload tells which changes it holds.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "consensus/register_node.h"

namespace lichenlug::consensus {

class History {
 public:
  enum class Kind { kAppend, kAppendAfter, kRead, kGroup };

  // Begins a call; returns its identity. `expected`: of kAppendAfter, the payload it appends to.
  int Begin(Time now, Kind kind, const std::string& expected = "");
  void End(Time now, int call, const Completion& completion);
  // A payload that has left a proposer or reached a disk.
  void NoteProposed(const std::string& payload);
  bool NoteAccepted(const messages::Ballot& ballot, const std::string& value);  // false: two values at it

  static std::string Item(int call) { return std::to_string(call) + ";"; }
  static std::string Append(const std::string& payload, int call);
  static bool Contains(const std::string& payload, int call);

  const std::string& LastProposed() const { return last_proposed_; }  // chosen or not
  bool HasChanged(int call) const;  // has ended as a change of the payload that is chosen
  bool Succeeded(int call) const;   // has ended as kChosen or kKept
  std::vector<std::string> Violations() const;

 private:
  struct Call {
    Kind kind = Kind::kRead;
    std::string expected;
    Time begun = 0;
    Time ended = -1;  // -1: its process was killed, or it is still under way
    Outcome outcome = Outcome::kUnknown;
    std::string payload;
  };

  bool IsKnown(const Call& call) const;
  void CheckOrder(std::vector<std::string>* violations) const;
  void CheckCalls(std::vector<std::string>* violations) const;
  void CheckRealTime(std::vector<std::string>* violations) const;

  std::vector<Call> calls_;
  std::unordered_set<std::string> proposed_payloads_;
  std::string last_proposed_;
  std::set<std::string> proposed_;  // calls, by their items in payloads
  std::map<std::pair<std::uint64_t, std::string>, std::string> accepted_;
  std::vector<std::string> noted_;  // violations seen on the way
};

}  // namespace lichenlug::consensus
