#include "routing/decisions.h"

namespace lichenlug::routing {

std::string_view ToText(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kServed:
      return "served";
    case AttemptOutcome::kServerError:
      return "server error";
    case AttemptOutcome::kNotRun:
      return "not run";
    case AttemptOutcome::kModelMissing:
      return "model missing";
    case AttemptOutcome::kWrongRunner:
      return "wrong runner";
    case AttemptOutcome::kConnectFailed:
      return "connect failed";
    case AttemptOutcome::kBroken:
      return "connection broken";
    case AttemptOutcome::kTimeout:
      return "timeout";
    case AttemptOutcome::kCancelled:
      break;
  }
  return "cancelled";
}

}  // namespace lichenlug::routing
