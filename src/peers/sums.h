// Aggregates the slots that the other dispatchers use at each runner, and the runners that two of them report
// as failing a job class. No I/O and no clock.
//
// On the wire a runner is identified by the twelve lowest bits of the xxHash of its id. Runners with the same
// bits share one sum (200 runners: five pairs, so one runner in twenty looks fuller than it is), and a
// failure report for such an id counts against none of them.
//
// An entry on the wire has two bytes: twelve bits of runner id and four bits of value. 0 to 11: the number of
// slots used there (11: or more); 12 to 15: it failed a job of class 0 to 3.
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
inline constexpr int kNoZone = 255, kUnheard = -1;  // no zones; unknown peer or zone

void AppendEntry(std::string* bytes, ShortId runner, int said);
std::uint16_t EntryAt(std::string_view bytes, std::size_t at);
int SlotsToSay(double slots);

// Detects reordered datagrams by their sequence number (0 to 7). Reordering spans milliseconds only: shortly
// after a datagram, one with a number just behind it is older. `last` below 0: none was received yet.
inline bool IsOlder(int last, Time heard, int number, Time now) {
  return last >= 0 && now - heard < kSecond / 10 && (last - number + 8) % 8 < 4;
}

class HoldingsObserver {
 public:
  virtual ~HoldingsObserver() = default;
  virtual void Held(const std::string& runner, int slots) = 0;  // sum of all other dispatchers
  virtual void Failing(const std::string& runner, int cls) = 0;
};

class Sums {
 public:
  static constexpr Time kAgree = 4 * kSecond;

  // `zone`: of this dispatcher, also used for runners of unknown zone. `classes`: number of job classes.
  Sums(int zone, int classes, HoldingsObserver* heard) : zone_(zone), classes_(classes), heard_(heard) {}

  static ShortId Short(std::string_view runner);

  // Registers a runner and its zone. Sums of unregistered runners are kept and reported on registration.
  void Name(const std::string& runner, int zone);
  void Forget(const std::string& runner);
  void ForgetAll() { names_.clear(); }
  int ZoneOf(const std::string& runner) const;

  void Add(ShortId runner, int slots);  // to the slots used there by others; may be negative
  void Say(ShortId runner);             // reports the unchanged sum again, as fresh

  // A peer reports a failure. True: another peer has reported it within kAgree.
  bool Accuse(std::uint16_t entry, int peer, Time now);
  void Failing(std::uint16_t entry);  // passes a confirmed failure to the observer
  bool Known(std::uint16_t entry) const { return (entry & 0xf) - kFailed < classes_; }  // the class exists
  void Fade(Time now);

 private:
  const int zone_, classes_;
  HoldingsObserver* heard_;
  std::map<ShortId, int> others_;
  std::map<ShortId, std::map<std::string, int>> names_;    // runner id to zone
  std::map<std::uint16_t, std::pair<int, Time>> accused_;  // by entry: the last reporting peer and the time
};

}  // namespace lichenlug
