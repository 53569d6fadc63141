// In-process representation of a register value, and the digest that binds it to its register and ballot in
// messages and on disk.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "messages/generated/consensus.pb.h"

namespace lichenlug::consensus {

using ValuePointer = std::shared_ptr<const messages::RegisterValue>;

// A value and the ballot at which it was accepted. A null value means that nothing was accepted.
struct AcceptedValue {
  messages::Ballot ballot;
  ValuePointer value;
  std::uint64_t digest = 0;
};

// Appends a length-prefixed field, so that different sequences of fields never encode to the same bytes.
void AddField(const std::string& field, std::string* fields);
std::uint64_t Hash(const std::string& bytes, std::uint64_t seed);

// Never 0, so that an absent digest matches no value.
std::uint64_t ValueDigest(const std::string& register_name, const messages::Ballot& ballot,
                          const messages::RegisterValue& value);

// Binds the ballot and digest of a value that is not part of the message.
std::uint64_t ClaimDigest(const std::string& register_name, const messages::Ballot& ballot,
                          std::uint64_t value_digest);

}  // namespace lichenlug::consensus
