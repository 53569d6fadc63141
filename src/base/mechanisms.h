// Parts of the routing and placement policy that an experiment may leave out, to learn what each is worth.
// Nothing on the operator's path sets them: all are on unless the command line says otherwise.
#pragma once

#include <array>
#include <bitset>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lichenlug {

enum class Mechanism {
  kPromptHomes,   // requests that share a prompt's prefix share a home among the holders of their model
  kServerErrors,  // a runner that answers with an error is set aside; what may be repeated goes to another
  kStoreHomes,    // dispatchers that keep a store are the homes of runners
};

inline constexpr std::array<std::string_view, 3> kMechanismNames = {"prompt-homes", "server-errors",
                                                                    "store-homes"};

class Mechanisms {
 public:
  bool Has(Mechanism mechanism) const { return !without_[static_cast<std::size_t>(mechanism)]; }

  // Leaves out the mechanisms of a list of names with commas between. Returns the first name that there is
  // not.
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
      without_[i] = true;
      return true;
    }
    return false;
  }

  std::bitset<kMechanismNames.size()> without_;
};

}  // namespace lichenlug
