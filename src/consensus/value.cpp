#include "consensus/value.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lichenlug::consensus {
namespace {

// Adds the length as well: no two sequences of fields look alike.
void AddField(const std::string& field, std::string* fields) {
  *fields += std::to_string(field.size()) + ':' + field;
}

}  // namespace

std::uint64_t ValueDigest(const std::string& register_name, const messages::Ballot& ballot,
                          const messages::RegisterValue& value) {
  std::string fields;
  AddField(register_name, &fields);
  AddField(ballot.SerializeAsString(), &fields);
  AddField(value.group().SerializeAsString(), &fields);
  for (const auto& origin : value.origins()) AddField(origin.SerializeAsString(), &fields);
  const std::uint64_t seed = XXH64(fields.data(), fields.size(), 0);
  const std::uint64_t digest = XXH64(value.payload().data(), value.payload().size(), seed);
  return digest != 0 ? digest : 1;
}

}  // namespace lichenlug::consensus
