// The operator's own file (TOML; `serve --operator FILE`): what is switched on beside what the platform's
// settings tell. Without a file all of it is off.
//
// Guards against a switch that is misspelt and silently does nothing: a key that is not known is a fault.
#pragma once

#include <string>
#include <tl/expected.hpp>

#include "base/fault.h"

namespace lichenlug {

enum class OperatorFileError { kCannotRead, kMalformed, kUnknownKey, kWrongType };

struct OperatorFile {
  bool membership = false;  // [peers] membership: dispatchers tell one another who is there
};

tl::expected<OperatorFile, Fault<OperatorFileError>> ReadOperatorFile(const std::string& path);

}  // namespace lichenlug
