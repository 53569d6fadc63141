#include "duties/load_history.h"

#include <algorithm>

namespace lichenlug::duties {
namespace {

constexpr int kMaxServices = 256;
constexpr Time kMaxLoadAge = 60 * kSecond;  // longer than any rate limit window of the weight store

}  // namespace

void AgeLoads(Time elapsed, messages::LoadHistory* history) {
  elapsed = std::max<Time>(0, elapsed);
  for (messages::LoadsBegun& begun : *history->mutable_begun())
    begun.set_age_us(begun.age_us() + static_cast<std::uint64_t>(elapsed));
  auto* begun = history->mutable_begun();
  begun->erase(std::remove_if(begun->begin(), begun->end(),
                              [](const messages::LoadsBegun& item) {
                                return item.age_us() > static_cast<std::uint64_t>(kMaxLoadAge);
                              }),
               begun->end());
  const std::uint32_t unseen = history->allowance() + history->unsettled();
  history->set_unsettled(0);
  if (unseen == 0) return;
  messages::LoadsBegun* entry = history->add_begun();
  entry->set_age_us(0);
  entry->set_loads(unseen);
}

void ReplaceLoads(const std::vector<messages::LoadHistory>& updates, messages::OwnershipState* state) {
  for (const messages::LoadHistory& history : updates) {
    auto* histories = state->mutable_loads();
    const auto existing =
        std::find_if(histories->begin(), histories->end(),
                     [&](const messages::LoadHistory& item) { return item.service() == history.service(); });
    if (existing != histories->end())
      *existing = history;
    else if (histories->size() < kMaxServices)
      *histories->Add() = history;
  }
}

const messages::LoadHistory* FindLoads(const messages::OwnershipState& state, const std::string& service) {
  for (const messages::LoadHistory& history : state.loads())
    if (history.service() == service) return &history;
  return nullptr;
}

}  // namespace lichenlug::duties
