// Alters one field of one message: to nothing, to what that field was in an earlier message, or to something
// near. Every field is open to it, one at a time. Outside the fault model, as it takes a forger and not a
// fault, are two fields changed to fit one another (a value together with its digest).
#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "messages/generated/consensus.pb.h"

namespace lichenlug::consensus {

class Alterer {
 public:
  // Remembers the fields of a message, for later ones.
  void Observe(const messages::RegisterMessage& message);
  // Returns which field was altered, and how.
  std::string Alter(messages::RegisterMessage* message, std::mt19937_64* random);

 private:
  std::map<std::string, std::vector<std::string>> earlier_;  // serialized, by the path of the field
};

}  // namespace lichenlug::consensus
