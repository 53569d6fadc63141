// The value of a register as it is held and passed on inside the process, and the digest that binds it to its
// register and ballot on the way and on disk.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "messages/generated/consensus.pb.h"

namespace lichenlug::consensus {

using ValuePointer = std::shared_ptr<const messages::RegisterValue>;

// A value together with the ballot at which it was accepted. No value: nothing was accepted.
struct AcceptedValue {
  messages::Ballot ballot;
  ValuePointer value;
  std::uint64_t digest = 0;
};

// Adds a field to others in such a way that no two sequences of fields look alike.
void AddField(const std::string& field, std::string* fields);
std::uint64_t Hash(const std::string& bytes, std::uint64_t seed);

// Never 0, so that an absent digest fits no value.
std::uint64_t ValueDigest(const std::string& register_name, const messages::Ballot& ballot,
                          const messages::RegisterValue& value);

// Binds ballot and digest of a value that is not sent along.
std::uint64_t ClaimDigest(const std::string& register_name, const messages::Ballot& ballot,
                          std::uint64_t value_digest);

}  // namespace lichenlug::consensus
