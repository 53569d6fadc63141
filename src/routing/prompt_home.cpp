#include "routing/prompt_home.h"

#include <algorithm>

#include "base/hash.h"

namespace lichenlug::routing {

std::uint64_t PromptHome(Holding needs, const std::vector<std::string>& prompt_parts) {
  std::uint64_t home = needs;
  const std::size_t shared = prompt_parts.size() - std::min<std::size_t>(prompt_parts.size(), 1);
  for (std::size_t i = 0; i < shared; ++i) home = Mix(home ^ HashText(prompt_parts[i]));
  return home;
}

}  // namespace lichenlug::routing
