// Applies a change requested by the operator to the register's payload.
#include <algorithm>
#include <utility>

#include "configuration/configuration.h"
#include "configuration/patch.h"
#include "configuration/places.h"

namespace lichenlug::configuration {
namespace {

using messages::ConfigurationState;

// Digests of accepted changes that are stored. With hundreds of changes a day, 64 KiB cover many days.
constexpr int kMaxStoredDigests = 8192;

// The complete configuration that results from the request.
std::variant<Parsed, Problem> BuildConfiguration(const ConfigurationState& state,
                                                 const ChangeRequest& request) {
  if (request.method == ChangeRequest::Method::kPut) return Parse(request.body);
  if (state.revision() == 0) {
    return Problem{"patch", "the first configuration", "there is nothing to change yet: PUT a complete one"};
  }
  auto patch = ReadPatch(request.body);
  if (auto* problem = std::get_if<Problem>(&patch)) return std::move(*problem);
  auto patched = ApplyPatch(state.json(), std::get<Patch>(patch));
  if (auto* problem = std::get_if<Problem>(&patched)) return std::move(*problem);
  return Parse(std::get<std::string>(patched));
}

ChangeResult InvalidChange(Problem problem, std::int64_t current_edition) {
  return {Verdict::kInvalid, "", std::move(problem), current_edition};
}

void StoreDigest(std::uint64_t digest, ConfigurationState* state) {
  auto* digests = state->mutable_taken_digests();
  if (digests->size() >= kMaxStoredDigests) {
    digests->erase(digests->begin(), digests->begin() + (digests->size() - kMaxStoredDigests + 1));
  }
  digests->Add(digest);
}

}  // namespace

ChangeResult Judge(const std::string& payload, const ChangeRequest& request) {
  ConfigurationState state;
  if (!state.ParseFromString(payload)) {
    return InvalidChange({"configuration", "the register", "its record can't be parsed: restore the store"},
                         0);
  }
  const std::uint64_t digest = Digest(request);
  const auto& accepted_digests = state.taken_digests();
  if (std::find(accepted_digests.rbegin(), accepted_digests.rend(), digest) != accepted_digests.rend()) {
    return {Verdict::kAlreadyAccepted, "", std::nullopt, state.edition()};
  }
  if (request.if_match != state.edition()) return {Verdict::kConflict, "", std::nullopt, state.edition()};
  auto requested = BuildConfiguration(state, request);
  if (auto* problem = std::get_if<Problem>(&requested))
    return InvalidChange(std::move(*problem), state.edition());
  auto& parsed = std::get<Parsed>(requested);
  const std::int64_t edition = parsed.configuration->edition();
  if (edition <= state.edition()) {
    return InvalidChange(
        {"edition", std::string(kTopLevel), "give a number greater than " + std::to_string(state.edition())},
        state.edition());
  }
  state.set_edition(edition);
  state.set_revision(state.revision() + 1);
  state.set_json(std::move(parsed.json));
  StoreDigest(digest, &state);
  return {Verdict::kTake, state.SerializeAsString(), std::nullopt, edition};
}

std::optional<ConfigurationState> ReadState(const std::string& payload) {
  ConfigurationState state;
  if (payload.empty() || !state.ParseFromString(payload) || state.revision() == 0) return std::nullopt;
  return state;
}

}  // namespace lichenlug::configuration
