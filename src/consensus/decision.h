// Decides what an operation does with the value it has found: end, or propose a value. These pure functions
// are the core of the register's guarantees.
//
// An operation may be attempted at several ballots. A value carries the ballots at which it and its
// predecessors were proposed (`origins`), so that a later attempt detects whether an earlier one is already
// part of the value.
#pragma once

#include <string>
#include <vector>

#include "consensus/register_node.h"
#include "consensus/value.h"

namespace lichenlug::consensus {

inline constexpr int kMaxOrigins = 16;

// An operation as submitted by its caller, and its state.
struct Operation {
  OperationId id = 0;
  ChangeFunction change;
  Time deadline = 0;
  std::vector<messages::Ballot> sent;  // ballots at which an Accept of this change was sent, ascending
  bool read_only = false;              // never proposes anything, not even the value it finds
};

struct FoundValue {
  messages::Ballot ballot;  // round 0: nothing accepted
  ValuePointer value;       // never null
  bool chosen = false;      // known to be chosen
};

struct Decision {
  enum class Kind {
    kEnd,      // end the operation immediately
    kWrite,    // propose `value`, then end the operation
    kAdvance,  // propose `value`, then read the register again
  };
  Kind kind = Kind::kEnd;
  Outcome outcome = Outcome::kUnknown;  // for kEnd and kWrite
  int reason = 0;
  messages::RegisterValue value;
  bool carries_change = false;  // `value` contains this operation's change
};

Decision Decide(const Operation& operation, const FoundValue& found, const messages::Ballot& ballot);

// Whether Decide would propose nothing if it found this value, in which case a Read is enough.
bool OnlyReads(const Operation& operation, const messages::RegisterValue& value);

}  // namespace lichenlug::consensus
