// Mechanisms of the routing and placement policy that an experiment can disable, to measure what each is
// worth. All are enabled unless the command line disables them; no operator's setting does.
#pragma once

#include <array>
#include <bitset>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lichenlug {

enum class Mechanism {
  kPromptHomes,   // requests with a common prompt prefix share a home among the runners that hold their model
  kServerErrors,  // a runner that returns an error is avoided; repeatable requests are retried on another
  kStoreHomes,    // dispatchers with a store are the homes of runners
};

inline constexpr std::array<std::string_view, 3> kMechanismNames = {"prompt-homes", "server-errors",
                                                                    "store-homes"};

class Mechanisms {
 public:
  bool Has(Mechanism mechanism) const { return !disabled_[static_cast<std::size_t>(mechanism)]; }

  // Disables the mechanisms in a comma-separated list of names. Returns the first unknown name, if any.
  std::optional<std::string> Disable(std::string_view names) {
    while (!names.empty()) {
      const std::size_t end = names.find(',');
      const std::string_view name = names.substr(0, end);
      if (!DisableOne(name)) return std::string(name);
      names = end == std::string_view::npos ? std::string_view() : names.substr(end + 1);
    }
    return std::nullopt;
  }

  bool operator==(const Mechanisms&) const = default;

 private:
  bool DisableOne(std::string_view name) {
    for (std::size_t i = 0; i < kMechanismNames.size(); ++i) {
      if (kMechanismNames[i] != name) continue;
      disabled_[i] = true;
      return true;
    }
    return false;
  }

  std::bitset<kMechanismNames.size()> disabled_;
};

}  // namespace lichenlug
