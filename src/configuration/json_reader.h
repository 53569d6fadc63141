// Reads JSON into a protobuf message in one pass, by a table made from the message's descriptor. Only the
// names given as json_name are known; all others are skipped, whatever they hold. (protobuf's own reader also
// takes the field names of the .proto file, so a new field of the operator could collide with one of those;
// and it does not tell where a wrong type stands.)
#pragma once

#include <google/protobuf/message.h>

#include <optional>
#include <string_view>
#include <vector>

#include "configuration/configuration.h"

namespace lichenlug::configuration {

struct ReadResult {
  std::optional<Problem> problem;
  std::vector<int> present;  // numbers of the message's own fields that the text holds, null or not
};

// `message` is empty at first. null stands for an absent value; of two members of the same name the later
// counts.
ReadResult ReadJson(std::string_view json, google::protobuf::Message* message);

}  // namespace lichenlug::configuration
