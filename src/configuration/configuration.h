// The operator's configuration: parsing, validation, and changes applied as operations on the replicated
// register.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "messages/generated/configuration.pb.h"

namespace lichenlug::configuration {

inline constexpr std::string_view kRegisterName = "configuration";

// Why a configuration is rejected; printed as one line of key, place and remedy.
struct Problem {
  std::string key;     // "deadline_ms"
  std::string place;   // "routes[3] (r-abc)"
  std::string remedy;  // "give a number greater than 0"
  std::string Line() const;
};

struct Parsed {
  std::shared_ptr<const messages::Configuration> configuration;
  std::string json;  // the complete text, stored and returned unchanged
};

// Parses and validates a complete configuration. Checks everything that doesn't depend on another version.
std::variant<Parsed, Problem> Parse(std::string_view json);

// A change requested through the operator API.
struct ChangeRequest {
  enum class Method { kPut, kPatch };
  Method method = Method::kPut;
  std::int64_t if_match = 0;  // the edition that the change is based on
  std::string body;
};
std::uint64_t Digest(const ChangeRequest& request);

// Validates what can be checked without the register: a complete configuration, or the structure of a patch.
std::optional<Problem> ValidateRequest(const ChangeRequest& request);

// The result of applying a change to the register's payload (a serialized ConfigurationState; empty at
// first).
enum class Verdict { kTake, kAlreadyAccepted, kConflict, kInvalid };
struct ChangeResult {
  Verdict verdict = Verdict::kInvalid;
  std::string new_payload;         // with kTake
  std::optional<Problem> problem;  // with kInvalid
  std::int64_t current_edition = 0;
};
ChangeResult Judge(const std::string& payload, const ChangeRequest& request);

// The configuration in a payload; none if the payload is empty or unreadable, or holds no version yet.
std::optional<messages::ConfigurationState> ReadState(const std::string& payload);

}  // namespace lichenlug::configuration
