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

inline constexpr std::size_t kEntryBytes = 2;
inline constexpr int kMaxSlots = 11, kFailureBase = 12, kMaxClasses = 4;
inline constexpr int kNoZone = 255, kUnset = -1;  // no zones; unknown peer or zone

void AppendEntry(std::string* bytes, ShortId runner, int value);
std::uint16_t EntryAt(std::string_view bytes, std::size_t at);
int ToWireSlots(double slots);

// Detects reordered datagrams by their sequence number (0 to 7). Reordering spans milliseconds only: shortly
// after a datagram, one with a number just behind it is older. `last` below 0: none was received yet.
inline bool IsReordered(int last, Time last_at, int number, Time now) {
  return last >= 0 && now - last_at < kSecond / 10 && (last - number + 8) % 8 < 4;
}

class HoldingsObserver {
 public:
  virtual ~HoldingsObserver() = default;
  virtual void Held(const std::string& runner, int slots) = 0;  // sum of all other dispatchers
  virtual void Failing(const std::string& runner, int cls) = 0;
};

class SlotTotals {
 public:
  static constexpr Time kAgreementWindow = 4 * kSecond;

  // `zone`: of this dispatcher, also used for runners of unknown zone. `classes`: number of job classes.
  SlotTotals(int zone, int classes, HoldingsObserver* observer)
      : zone_(zone), classes_(classes), observer_(observer) {}

  static ShortId ToShortId(std::string_view runner);

  // Registers a runner and its zone. Sums of unregistered runners are kept and reported on registration.
  void RegisterRunner(const std::string& runner, int zone);
  void RemoveRunner(const std::string& runner);
  void RemoveAllRunners() { runners_.clear(); }
  int ZoneOf(const std::string& runner) const;

  void Add(ShortId runner, int slots);  // to the slots used there by others; may be negative
  void Republish(ShortId runner);       // reports the unchanged sum again, as fresh

  // A peer reports a failure. True: another peer has reported it within kAgreementWindow.
  bool RecordFailure(std::uint16_t entry, int peer, Time now);
  void ReportFailing(std::uint16_t entry);  // passes a confirmed failure to the observer
  bool IsKnownClass(std::uint16_t entry) const { return (entry & 0xf) - kFailureBase < classes_; }
  void ExpireEntries(Time now);

 private:
  const int zone_, classes_;
  HoldingsObserver* observer_;
  std::map<ShortId, int> totals_;
  std::map<ShortId, std::map<std::string, int>> runners_;   // runner id to zone
  std::map<std::uint16_t, std::pair<int, Time>> failures_;  // by entry: the last reporting peer and the time
};

}  // namespace lichenlug
