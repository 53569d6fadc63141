// Parses JSON into a protobuf message in one pass, using a table built from the message's descriptor. Only
// the names given as json_name are recognized; all other members are skipped, whatever their values.
// (protobuf's own parser also accepts the field names of the .proto file, which a new field of the operator
// could collide with, and it doesn't report where a value has the wrong type.)
#pragma once

#include <google/protobuf/message.h>

#include <optional>
#include <string_view>
#include <vector>

#include "configuration/configuration.h"

namespace lichenlug::configuration {

struct ReadResult {
  std::optional<Problem> problem;
  std::vector<int> present;  // numbers of the top-level fields in the text, including those that are null
};

// `message` must be empty. A null counts as an absent value; if a name is repeated, the last member wins.
ReadResult ReadJson(std::string_view json, google::protobuf::Message* message);

}  // namespace lichenlug::configuration
