// A tier of dispatchers in virtual time: a network with drawn faults, and the loop of each process.
//
// One seed, one digest, on any machine. What is drawn for the wire, for the day's faults and for the
// detectors comes from streams of their own. A process hears and tells through base/tier.h's words; its other
// traffic is not played, so what a detector knows it has paid for.
//
// Guards against detectors that look good on a wire that is too kind: a pause lets datagrams pile up in a
// socket buffer that is bounded, timers fire late, a restart loses all memory, a farewell can be lost.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "lab/base/digest.h"
#include "lab/base/random.h"
#include "lab/membership/detector.h"

namespace lichenlug::lab {

struct Fault {
  enum class Kind {
    kDie,       // the process `a` ends without a word; its address then refuses datagrams
    kVanish,    // its machine goes: nothing refuses
    kRestart,   // `a` ends without a word and starts anew after `length`
    kLeave,     // `a` says farewell, ends, and starts anew after `length` (0: never)
    kPause,     // `a` stands still
    kSlow,      // `a` handles each datagram and each timer 50 to 500 ms late, in order
    kLoss,      // each datagram is lost with the chance `amount`
    kLinkLoss,  // from `a` to `b` alone
    kCopies,    // a datagram comes twice
    kReorder,   // a datagram takes up to 200 ms more
    kCut,       // from `a` to `b` nothing arrives; below 0: from or to anyone
    kZoneCut,   // from zone `a` to zone `b`, one way
    kHealed,    // a mark: from here to agreement is measured
  };
  Kind kind;
  Time at = 0, length = 0;  // from the start of the day; length 0: for good
  int a = -1, b = -1;
  double amount = 0;
};

struct Day {
  std::string name;
  Time length = 0, measured_from = 0;
  std::vector<Fault> faults;
};

class Net;

// What looks on from outside.
class Onlooker {
 public:
  virtual ~Onlooker() = default;
  virtual void Saw(int observer, const TierView& view, Time now) = 0;  // its view has changed
  virtual void Started(int member, Time now) = 0;
  virtual void Ended(int member, bool with_farewell, Time now) = 0;
  virtual void Blocked(int member, Time from, Time to) = 0;  // paused, or cut off from some
  virtual void Happened(const Fault& fault, Time now) = 0;
  virtual void Tick(Time now) = 0;  // each 20 ms
};

class Net {
 public:
  static constexpr Time kEpoch = 1'750'000'000 * kSecond;
  static constexpr Time kBeatInterval = 100 * kMillisecond;
  static constexpr std::size_t kSocketBuffer =
      256;  // datagrams, about what Linux's default holds of small ones

  struct Sent {
    std::uint64_t bytes = 0, datagrams = 0;  // since measured_from; body and two bytes each
    Time lived = 0;                          // since measured_from
    std::uint64_t peak_per_second = 0;       // bytes, over the whole day
  };

  Net(int size, int zones, std::uint64_t seed, MakeDetector make);

  void Play(const Day& day, Onlooker* onlooker);

  int size() const { return static_cast<int>(members_.size()); }
  int ZoneOf(int member) const { return member % zones_; }
  bool Running(int member) const { return members_[Index(member)].part != nullptr; }
  bool Paused(int member, Time now) const { return members_[Index(member)].paused_until > now; }
  std::uint64_t Life(int member) const { return members_[Index(member)].life; }
  bool Passes(int from, int to) const { return cut_[Pair(from, to)] == 0; }
  // Some live one that `observer` exchanges datagrams with, by whatever way, hears `subject`.
  bool HeardInPart(int observer, int subject);

  std::uint64_t digest() const { return digest_.Value(); }
  const Sent& SentBy(int member) const { return members_[Index(member)].sent; }
  std::uint64_t events() const { return events_; }
  std::uint64_t refused() const { return refused_; }      // datagrams that a detector took for malformed
  std::uint64_t overflown() const { return overflown_; }  // of socket buffers

 private:
  enum class What : std::uint8_t {
    kFault,
    kFaultEnds,
    kStart,
    kEnd,
    kWake,
    kArrive,
    kHandle,
    kRefused,
    kTimer,
    kBeat,
    kTick
  };
  struct Event {
    Time at;
    std::uint64_t order;
    What what;
    int member, from;
    std::uint32_t generation;
    std::string body;
  };
  struct Member {
    std::unique_ptr<Detector> part;
    std::uint64_t life = 0, seen = 0, second_bytes = 0;
    std::uint32_t generation = 0;
    Time started = 0, paused_until = 0, slow_until = 0, busy_until = 0, timer_at = 0, second = 0;
    bool timer_late = false, vanished = false;
    std::deque<std::pair<int, std::string>> inbox;
    Sent sent;
  };

  static std::size_t Index(int member) { return static_cast<std::size_t>(member); }
  std::size_t Pair(int from, int to) const { return Index(from) * members_.size() + Index(to); }
  void Push(Time at, What what, int member, int from = -1, std::string body = {});
  void Handle(Event& event);
  void Apply(const Fault& fault, int index);
  void Undo(const Fault& fault);
  void Cut(const Fault& fault, int by);
  void Start(int member);
  void End(int member, bool with_farewell);
  void Wake(int member);
  void Arrive(Event& event);
  void Turn(int member);  // what a loop does at the end of each turn
  void Send(int from, int to, const std::string& body);
  void Carry(int from, int to, const std::string& body);
  bool Lost(int from, int to);
  Time Way(int from, int to);
  Time Late(Member& member);
  void FindParts();

  const int zones_;
  const std::uint64_t seed_;
  const MakeDetector make_;
  Random wire_, lateness_;
  std::vector<double> ways_;  // between zones, ms
  std::vector<Member> members_;
  std::vector<std::uint16_t> cut_;
  std::vector<float> link_loss_;
  double loss_ = 0, copies_ = 0, reorder_ = 0;
  std::vector<Event> queue_;
  std::uint64_t order_ = 0, events_ = 0, refused_ = 0, overflown_ = 0;
  Time now_ = kEpoch, measured_from_ = kEpoch;
  Day day_;
  Onlooker* onlooker_ = nullptr;
  Digest digest_;
  std::uint64_t changes_ = 1, parts_of_ = 0;  // of cuts and lives
  std::vector<int> part_;                     // by member, as of parts_of_
};

}  // namespace lichenlug::lab
