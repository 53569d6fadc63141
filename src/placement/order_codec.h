// Encodes the calls to runners and to the platform, and decodes their answers. No other code of this library
// depends on the wire format.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "duties/usage.h"
#include "placement/held_set.h"

namespace lichenlug::placement {

// A runner's answer to a request for its state.
struct RunnerReport {
  HeldSet held;
  bool busy = false;                  // an order is in progress
  std::uint64_t orders_accepted = 0;  // accepted since the runner started
};

enum class ReportError {
  kNoAnswer,      // retry later
  kMalformed,     // the body is not a JSON object, or is too large: retry later
  kFieldMissing,  // a field is missing or of the wrong type: no orders can be sent to this runner
};

enum class OrderOutcome {
  kAccepted,     // accepted and in progress
  kAlreadyDone,  // nothing to do
  kConflict,     // another order is in progress, or the runner accepted orders since its state was read
  kFenced,       // a later holder of the duty has sent orders
  kInvalid,      // rejected as invalid
  kOtherRunner,  // another runner has this address now
  kUnknown,      // no conclusive answer: the order may have been accepted
};

duties::HttpCall MakeOrderCall(const Order& order, std::uint64_t orders_accepted, const std::string& holder,
                               std::uint64_t epoch);
duties::HttpCall MakeReportCall();
duties::HttpCall MakeFleetCall(const std::string& service, const std::string& zone, int size,
                               std::uint64_t epoch);

std::variant<RunnerReport, ReportError> ParseReport(const duties::HttpResult& result);
OrderOutcome ParseOrderOutcome(const duties::HttpResult& result);
bool FleetSizeAccepted(const duties::HttpResult& result);
bool FleetSizeFenced(const duties::HttpResult& result);

}  // namespace lichenlug::placement
