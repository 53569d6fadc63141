// What an operation does with the value it has found: end, or propose a value. Pure functions, the core of
// the register's guarantees.
//
// An operation may be tried at several ballots. Values carry the ballots at which they and those before them
// were proposed (`origins`), so that a later try sees whether an earlier one is already part of the value.
#pragma once

#include <string>
#include <vector>

#include "consensus/register_node.h"
#include "consensus/value.h"

namespace lichenlug::consensus {

inline constexpr int kMaxOrigins = 16;

// An operation as its caller gave it, and what has become of it.
struct Operation {
  OperationId id = 0;
  ChangeFunction change;
  Time deadline = 0;
  std::vector<messages::Ballot> sent;  // ballots at which an Accept of this change has left, rising
  bool read_only = false;              // proposes nothing, not even what it finds
};

struct FoundValue {
  messages::Ballot ballot;  // round 0: nothing accepted
  ValuePointer value;       // never null
  bool chosen = false;      // known to be
};

struct Decision {
  enum class Kind {
    kEnd,      // the operation ends at once
    kWrite,    // `value` is to be chosen; then the operation ends
    kAdvance,  // `value` is to be chosen; then the operation looks at the register again
  };
  Kind kind = Kind::kEnd;
  Outcome outcome = Outcome::kUnknown;  // of kEnd and kWrite
  int reason = 0;
  messages::RegisterValue value;
  bool carries_change = false;  // `value` holds this operation's change
};

Decision Decide(const Operation& operation, const FoundValue& found, const messages::Ballot& ballot);

// Whether Decide would only look, as far as this value shows: then a read does.
bool OnlyReads(const Operation& operation, const messages::RegisterValue& value);

}  // namespace lichenlug::consensus
