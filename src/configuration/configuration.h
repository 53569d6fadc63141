// The operator's configuration: reading, checking, changes, and the operator's calls as operations on the
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

// Why a configuration is refused: one clear line of key, place and remedy.
struct Problem {
  std::string key;     // "deadline_ms"
  std::string place;   // "routes[3] (r-abc)"
  std::string remedy;  // "give a number over 0"
  std::string Line() const;
};

struct Parsed {
  std::shared_ptr<const messages::Configuration> configuration;
  std::string json;  // whole, as it is kept and given back
};

// Reads and checks a whole configuration. Everything is checked that needs no other version.
std::variant<Parsed, Problem> Parse(std::string_view json);

// A call of the operator.
struct ChangeRequest {
  enum class Method { kPut, kPatch };
  Method method = Method::kPut;
  std::int64_t if_match = 0;  // the edition it builds on
  std::string body;
};
std::uint64_t Digest(const ChangeRequest& request);

// Refuses a change that no register is needed to refuse: a whole configuration that is invalid, or a patch
// whose own form is.
std::optional<Problem> CheckShape(const ChangeRequest& request);

// What a change makes of the register's payload (a serialized ConfigurationState; empty at first).
enum class Verdict { kTake, kTakenBefore, kConflict, kInvalid };
struct Judgement {
  Verdict verdict = Verdict::kInvalid;
  std::string new_payload;         // with kTake
  std::optional<Problem> problem;  // with kInvalid
  std::int64_t current_edition = 0;
};
Judgement Judge(const std::string& payload, const ChangeRequest& request);

// The configuration in a payload; none where it is empty.
std::optional<messages::ConfigurationState> ReadState(const std::string& payload);

}  // namespace lichenlug::configuration
