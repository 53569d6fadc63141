#include "configuration/configuration.h"

#include <algorithm>
#include <utility>

#include "configuration/digest.h"
#include "configuration/json_reader.h"
#include "configuration/patch.h"
#include "configuration/places.h"
#include "configuration/rules.h"

namespace lichenlug::configuration {
namespace {

using messages::Configuration;

// Lists that a complete configuration must have, so that a patch sent by PUT is rejected.
constexpr int kRequiredLists[] = {Configuration::kRoutesFieldNumber, Configuration::kServicesFieldNumber};

std::optional<Problem> CheckRequiredLists(const std::vector<int>& present) {
  for (const int number : kRequiredLists) {
    if (std::find(present.begin(), present.end(), number) != present.end()) continue;
    const auto* field = Configuration::descriptor()->FindFieldByNumber(number);
    return Problem{field->json_name(), std::string(kTopLevel), "give a list, which may be empty"};
  }
  return std::nullopt;
}

}  // namespace

std::string Problem::Line() const { return key + " at " + place + ": " + remedy; }

std::variant<Parsed, Problem> Parse(std::string_view json) {
  auto configuration = std::make_shared<Configuration>();
  ReadResult read = ReadJson(json, configuration.get());
  if (read.problem) return *std::move(read.problem);
  if (auto problem = CheckRequiredLists(read.present)) return *std::move(problem);
  if (auto problem = CheckRules(*configuration)) return *std::move(problem);
  return Parsed{std::move(configuration), std::string(json)};
}

std::uint64_t Digest(const ChangeRequest& request) {
  return Digester()
      .Number(request.method == ChangeRequest::Method::kPut ? 0 : 1)
      .Number(static_cast<std::uint64_t>(request.if_match))
      .Text(request.body)
      .Result();
}

std::optional<Problem> ValidateRequest(const ChangeRequest& request) {
  if (request.method == ChangeRequest::Method::kPut) {
    auto parsed = Parse(request.body);
    if (auto* problem = std::get_if<Problem>(&parsed)) return std::move(*problem);
    return std::nullopt;
  }
  auto patch = ReadPatch(request.body);
  if (auto* problem = std::get_if<Problem>(&patch)) return std::move(*problem);
  return std::nullopt;
}

}  // namespace lichenlug::configuration
