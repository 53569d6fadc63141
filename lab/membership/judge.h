// Looks on from outside and says how well a detector did: how soon all knew of a death, who was taken for
// dead while alive, how soon all agreed after healing.
//
// A member counts as wrongly declared dead by an observer when it runs in that very life and some live one of
// the observer's own part hears it. What nobody of a part hears is dead to that part by any detector; those
// are counted apart (`beyond_a_cut`).
#pragma once

#include <cstdint>
#include <vector>

#include "lab/membership/net.h"

namespace lichenlug::lab {

// Of one play. Times in milliseconds; what did not come about by the end of the day is kNever.
struct Verdict {
  static constexpr double kNever = 1e9;

  std::vector<double> deaths, farewells;  // until all that could know did
  std::vector<double> agreements;         // from each mark of healing until all views are right
  std::uint64_t wrong_members = 0;        // episodes, from the first observer's error to the last one's end
  std::uint64_t wrong_for_all = 0;        // of them, those in which over half of the live ones erred together
  std::uint64_t wrong_views = 0;          // by each observer
  std::uint64_t beyond_a_cut = 0;         // views, not counted above
  std::uint64_t suspicions = 0;           // views, of those that ran
  std::uint64_t flaps = 0;  // views: one that ran no longer counted and came back in the same life
  std::uint64_t digest = 0;
  double hours = 0;                      // measured
  double bytes_mean = 0, bytes_max = 0;  // a second, of a member
  double bytes_peak = 0;                 // in any one second, of any member
  double datagrams = 0;                  // a second, of a member
};

class Judge : public Onlooker {
 public:
  Judge(Net* net, Time measured_from);  // from the start of the day

  void Saw(int observer, const TierView& view, Time now) override;
  void Started(int member, Time now) override;
  void Ended(int member, bool with_farewell, Time now) override;
  void Blocked(int member, Time from, Time to) override;
  void Happened(const Fault& fault, Time now) override;
  void Tick(Time now) override;

  Verdict Close(const Day& day);

 private:
  struct Seen {
    MemberStatus status = MemberStatus::kUnknown;
    std::uint64_t life = 0;
    bool wrong = false, gone = false;  // gone: it had counted in this life, and no longer does
  };
  struct End {
    int member;
    bool with_farewell;
    std::uint64_t life;
    Time at;
    std::vector<Time> known;  // by observer; 0: not known. kExcused: need not know
  };
  struct Span {
    Time from, to;
  };
  static constexpr Time kExcused = -1;

  static std::size_t Index(int member) { return static_cast<std::size_t>(member); }
  Seen& Of(int observer, int subject) { return seen_[Index(observer) * Index(net_.size()) + Index(subject)]; }
  void Look(int observer, const TierMember& was_told, Time now);
  void Unwrong(int observer, int subject);
  bool Agreed(Time now);
  double UntilKnown(const End& end) const;

  Net& net_;
  const Time measured_from_;
  std::vector<Seen> seen_;
  std::vector<int> wrong_by_;  // by subject: how many err now
  std::vector<bool> for_all_;  // by subject: this episode is counted as one of all
  std::vector<std::vector<Span>> blocked_;
  std::vector<End> ends_;
  std::vector<Time> healed_;  // not yet agreed
  int running_ = 0;
  Verdict verdict_;
};

// One detector plays one day.
Verdict PlayDay(int size, const Day& day, std::uint64_t seed, const MakeDetector& make);

}  // namespace lichenlug::lab
