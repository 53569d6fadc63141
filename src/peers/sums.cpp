#include "peers/sums.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace lichenlug {

void AppendEntry(std::string* bytes, ShortId runner, int said) {
  *bytes += static_cast<char>(runner >> 4);
  *bytes += static_cast<char>((runner & 0xf) << 4 | said);
}

std::uint16_t EntryAt(std::string_view bytes, std::size_t at) {
  return static_cast<std::uint16_t>(static_cast<std::uint8_t>(bytes[at]) << 8 |
                                    static_cast<std::uint8_t>(bytes[at + 1]));
}

int SlotsToSay(double slots) {
  return static_cast<int>(std::lround(std::clamp(slots, 0.0, static_cast<double>(kMaxSlots))));
}

ShortId Sums::Short(std::string_view runner) {
  return static_cast<ShortId>(XXH64(runner.data(), runner.size(), 0) & 0xfff);
}

void Sums::Name(const std::string& runner, int zone) {
  const ShortId id = Short(runner);
  names_[id][runner] = zone_ == kNoZone || zone < 0 || zone >= kNoZone ? zone_ : zone;
  const auto told = others_.find(id);
  if (told != others_.end()) heard_->Held(runner, told->second);
}

void Sums::Forget(const std::string& runner) {
  const auto named = names_.find(Short(runner));
  if (named != names_.end() && named->second.erase(runner) > 0 && named->second.empty()) names_.erase(named);
}

int Sums::ZoneOf(const std::string& runner) const {
  const auto named = names_.find(Short(runner));
  if (named == names_.end()) return zone_;
  const auto zone = named->second.find(runner);
  return zone == named->second.end() ? zone_ : zone->second;
}

void Sums::Add(ShortId runner, int slots) {
  if (slots == 0) return;
  const int sum = others_[runner] += slots;
  if (sum == 0) others_.erase(runner);
  const auto named = names_.find(runner);
  if (named == names_.end()) return;
  for (const auto& [name, zone] : named->second) heard_->Held(name, sum);
}

void Sums::Say(ShortId runner) {
  const auto named = names_.find(runner);
  const auto told = others_.find(runner);
  if (named != names_.end())
    heard_->Held(named->second.begin()->first, told == others_.end() ? 0 : told->second);
}

bool Sums::Accuse(std::uint16_t entry, int peer, Time now) {
  auto& [accuser, at] = accused_[entry];
  const bool agreed = at != 0 && accuser != peer && now - at < kAgree;
  accuser = peer, at = now;
  return agreed;
}

void Sums::Failing(std::uint16_t entry) {
  const auto named = names_.find(entry >> 4);
  if (named != names_.end() && named->second.size() == 1)
    heard_->Failing(named->second.begin()->first, (entry & 0xf) - kFailed);
}

void Sums::Fade(Time now) {
  std::erase_if(accused_, [now](const auto& entry) { return now - entry.second.second >= kAgree; });
}

}  // namespace lichenlug
