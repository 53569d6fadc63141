// The history of calls on one register, and the check that it is linearizable.
//
// The payload is the list of applied changes, each identified by its call. Of any two payloads reported as
// chosen, one must therefore be a prefix of the other, and a payload shows which changes it contains.
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

  // Begins a call and returns its identity. `expected`: for kAppendAfter, the payload to append to.
  int Begin(Time now, Kind kind, const std::string& expected = "");
  void End(Time now, int call, const Completion& completion);
  // Records a payload that a proposer has sent or a disk has received.
  void RecordProposed(const std::string& payload);
  // Returns false if another value was accepted at the same ballot.
  bool RecordAccepted(const messages::Ballot& ballot, const std::string& value);

  static std::string Item(int call) { return std::to_string(call) + ";"; }
  static std::string Append(const std::string& payload, int call);
  static bool Contains(const std::string& payload, int call);

  const std::string& LastProposed() const { return last_proposed_; }  // chosen or not
  bool HasChanged(int call) const;  // ended as a chosen change of the payload
  bool Succeeded(int call) const;   // ended as kChosen or kKept
  std::vector<std::string> Violations() const;

 private:
  struct Call {
    Kind kind = Kind::kRead;
    std::string expected;
    Time begun = 0;
    Time ended = -1;  // -1: its process was killed, or it is still in progress
    Outcome outcome = Outcome::kUnknown;
    std::string payload;
  };

  bool HasKnownResult(const Call& call) const;
  void CheckOrder(std::vector<std::string>* violations) const;
  void CheckCalls(std::vector<std::string>* violations) const;
  void CheckRealTime(std::vector<std::string>* violations) const;

  std::vector<Call> calls_;
  std::unordered_set<std::string> proposed_payloads_;
  std::string last_proposed_;
  std::set<std::string> proposed_;  // items of proposed payloads
  std::map<std::pair<std::uint64_t, std::string>, std::string> accepted_;
  std::vector<std::string> violations_;  // detected during the run
};

}  // namespace lichenlug::consensus
