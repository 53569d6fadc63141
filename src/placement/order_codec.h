// The wire words of calls to runners and to the platform, and of their answers. They stand here and nowhere
// else.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "duties/usage.h"
#include "placement/held_set.h"

namespace lichenlug::placement {

// What a runner answers when it is asked for its state.
struct RunnerReport {
  HeldSet held;
  bool busy = false;               // an order is under way
  std::uint64_t orders_taken = 0;  // since it started
};

enum class ReportError {
  kNoAnswer,      // ask again later
  kNotRead,       // the body is no JSON object, or too large: ask again later
  kFieldMissing,  // the body lacks a field, or has it in another type: this runner can't be ordered
};

enum class OrderOutcome {
  kAccepted,     // it is being done
  kHolds,        // there was nothing to do
  kConflict,     // another order is under way, or it has taken orders since it was read
  kFenced,       // a later holder of the duty has acted
  kInvalid,      // no such order
  kOtherRunner,  // another runner has this address now
  kUnknown,      // no clear answer: it may have been taken
};

duties::HttpCall OrderCall(const Order& order, std::uint64_t orders_taken, const std::string& holder,
                           std::uint64_t epoch);
duties::HttpCall ReportCall();
duties::HttpCall FleetCall(const std::string& service, const std::string& zone, int size,
                           std::uint64_t epoch);

std::variant<RunnerReport, ReportError> ReadReport(const duties::HttpResult& result);
OrderOutcome ReadOrderOutcome(const duties::HttpResult& result);
bool FleetSizeTaken(const duties::HttpResult& result);
bool FleetSizeFenced(const duties::HttpResult& result);

}  // namespace lichenlug::placement
