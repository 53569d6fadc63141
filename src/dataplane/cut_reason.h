// Why a response was truncated after its head was sent to the client.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lichenlug::dataplane {

enum class CutReason : std::uint8_t {
  kNotResumable,   // its runner failed and the response can't be resumed at another runner
  kNoOtherRunner,  // it could be resumed, but no other runner may take it
  kDeadline,       // its deadline expired
  kRouteGone,      // the current configuration no longer allows another attempt
  kShutdown,       // the grace period of this dispatcher ended
};
inline constexpr std::size_t kCutReasons = 5;
using CutCounts = std::array<std::uint64_t, kCutReasons>;  // by reason

constexpr std::string_view ToText(CutReason reason) {
  switch (reason) {
    case CutReason::kNotResumable:
      return "not_resumable";
    case CutReason::kNoOtherRunner:
      return "no_other_runner";
    case CutReason::kDeadline:
      return "deadline";
    case CutReason::kRouteGone:
      return "route_gone";
    case CutReason::kShutdown:
      return "shutdown";
  }
  return "unknown";
}

}  // namespace lichenlug::dataplane
