// What others hold at each runner, added up, whoever told it; and which runners two of them say fail a class.
// Without I/O and clock.
//
// Guards against mixing things up: on the wire a runner is the twelve lowest bits of the xxHash of its id.
// Runners that share them all count as holding the sum (200 runners: five pairs, so one runner in twenty
// looks fuller than it is), and an accusation of one of them counts against none.
//
// An entry on the wire has two bytes: twelve bits of runner and four of what is said of it. 0 to 11: so many
// slots are held there (11: or more); 12 to 15: it failed a job of class 0 to 3.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "base/clock.h"

namespace lichenlug {

using ShortId = std::uint16_t;  // twelve bits

inline constexpr std::size_t kEntry = 2;
inline constexpr int kMaxSlots = 11, kFailed = 12, kMaxClasses = 4;
inline constexpr int kNoZone = 255, kUnheard = -1;  // all zones alike; a peer whose zone is not known

void AppendEntry(std::string* bytes, ShortId runner, int said);
std::uint16_t EntryAt(std::string_view bytes, std::size_t at);
int SlotsToSay(double slots);

// Datagrams, numbered 0 to 7, overtake one another by milliseconds: soon after one, a number just behind it
// is older news. `last` below 0: there was none.
inline bool IsOlder(int last, Time heard, int number, Time now) {
  return last >= 0 && now - heard < kSecond / 10 && (last - number + 8) % 8 < 4;
}

class HoldingsHeard {
 public:
  virtual ~HoldingsHeard() = default;
  virtual void Held(const std::string& runner, int slots) = 0;  // by all others together
  virtual void Failing(const std::string& runner, int cls) = 0;
};

class Sums {
 public:
  static constexpr Time kAgree = 4 * kSecond;

  // `zone`: the own one, which a runner of no known zone counts to. `classes`: how many there are.
  Sums(int zone, int classes, HoldingsHeard* heard) : zone_(zone), classes_(classes), heard_(heard) {}

  static ShortId Short(std::string_view runner);

  // A runner of the list and its zone: what is told of others is kept, and passed on when they are named.
  void Name(const std::string& runner, int zone);
  void Forget(const std::string& runner);
  void ForgetAll() { names_.clear(); }
  int ZoneOf(const std::string& runner) const;

  void Add(ShortId runner, int slots);  // others hold so many more there; fewer where negative
  void Say(ShortId runner);             // hands the sum on again: it is still so

  // One peer tells of a failure. True: another has told of it within kAgree.
  bool Accuse(std::uint16_t entry, int peer, Time now);
  void Failing(std::uint16_t entry);  // it is believed
  bool Known(std::uint16_t entry) const {
    return (entry & 0xf) - kFailed < classes_;
  }  // names a class there is
  void Fade(Time now);

 private:
  const int zone_, classes_;
  HoldingsHeard* heard_;
  std::map<ShortId, int> others_;
  std::map<ShortId, std::map<std::string, int>> names_;    // and zones
  std::map<std::uint16_t, std::pair<int, Time>> accused_;  // by whole entry: the last peer to tell, when
};

}  // namespace lichenlug
