#include "consensus/value.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lichenlug::consensus {

void AddField(const std::string& field, std::string* fields) {
  *fields += std::to_string(field.size()) + ':' + field;
}

std::uint64_t Hash(const std::string& bytes, std::uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

std::uint64_t ValueDigest(const std::string& register_name, const messages::Ballot& ballot,
                          const messages::RegisterValue& value) {
  std::string fields;
  AddField(register_name, &fields);
  AddField(ballot.SerializeAsString(), &fields);
  AddField(value.group().SerializeAsString(), &fields);
  for (const auto& origin : value.origins()) AddField(origin.SerializeAsString(), &fields);
  const std::uint64_t digest = Hash(value.payload(), Hash(fields, 0));
  return digest != 0 ? digest : 1;
}

std::uint64_t ClaimDigest(const std::string& register_name, const messages::Ballot& ballot,
                          std::uint64_t value_digest) {
  std::string fields;
  AddField(register_name, &fields);
  AddField(ballot.SerializeAsString(), &fields);
  AddField(std::to_string(value_digest), &fields);
  return Hash(fields, 1);
}

}  // namespace lichenlug::consensus
