// What the rivals that gossip have in common: a table of who is said to be what, the order of such words, and
// how often each is passed on (Das, Gupta and Motivala, "SWIM", 2002, section 4).
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "lab/membership/detector.h"

namespace lichenlug::lab {

// Numbers in little-endian order at the end of a body, and from its front.
void Put(std::string* body, std::uint64_t value, int bytes);
std::optional<std::uint64_t> Get(std::string_view* body, int bytes);

struct Rumour {
  int number = 0;
  MemberStatus status = MemberStatus::kUnknown;
  std::uint16_t incarnation = 0;
  std::uint16_t accuser = 0;  // of a suspicion
  std::uint64_t life = 0;     // in milliseconds here and on the wire

  bool Newer(const Rumour& than) const;
};

class Rumours {
 public:
  static constexpr std::size_t kBytes = 13;  // of one on the wire

  Rumours(const Seat& seat, double times_each);  // times_each: by the logarithm of the tier's size, to base 2

  int own() const { return seat_.number; }
  int tier() const { return seat_.tier; }
  const Rumour& Of(int number) const { return table_[static_cast<std::size_t>(number)]; }
  const TierView& View() const { return view_; }
  bool Counts(int number) const { return TierView::Counts(Of(number).status); }

  // True: it was newer than what is known, is taken and will be passed on. One of this member itself that
  // says other than alive is objected to, and `objections` grows.
  // Not passed on: what one that has just started is told of the tier.
  bool Take(const Rumour& rumour, bool pass_on = true);
  void Confirm(int number, int accuser);  // another one suspects it: that is told, too
  std::uint64_t objections() const { return objections_; }
  void PassOn(int number);  // anew
  void Leave();

  // As many as fit into `most` bytes of the body, those told least often first; `first`, if any, before all.
  void Write(std::string* body, std::size_t most, int first = -1);
  void Fill(std::string* body, std::size_t most);  // with the table, in turn: for one that has just started
  // All rumours at the end of a body; nothing: malformed.
  std::optional<std::vector<Rumour>> Read(std::string_view body) const;

 private:
  void Set(const Rumour& rumour, bool pass_on = true);
  void Append(std::string* body, int number) const;

  const Seat seat_;
  const int times_;
  std::vector<Rumour> table_;
  TierView view_;
  std::set<std::tuple<int, std::uint64_t, int>> queue_;  // told so often, order, number
  std::vector<std::tuple<int, std::uint64_t>> queued_;   // by number; told below 0: not queued
  std::uint64_t order_ = 0, objections_ = 0;
  int fill_ = 0;
};

}  // namespace lichenlug::lab
