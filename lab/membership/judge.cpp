#include "lab/membership/judge.h"

#include <algorithm>

namespace lichenlug::lab {
namespace {

constexpr int kZones = 3;
constexpr Time kTimeout = 15 * kSecond;  // who has not heard of a death by then has no excuse

// Detectors may carry lives in milliseconds.
bool Same(std::uint64_t told, std::uint64_t life) { return told / 1000 == life / 1000; }

}  // namespace

Judge::Judge(Net* net, Time measured_from)
    : net_(*net),
      measured_from_(measured_from),
      seen_(Index(net->size()) * Index(net->size())),
      wrong_by_(Index(net->size())),
      for_all_(Index(net->size())),
      blocked_(Index(net->size())) {}

void Judge::Saw(int observer, const TierView& view, Time now) {
  for (const TierMember& member : view.members) {
    if (member.number == observer) continue;
    const Seen& seen = Of(observer, member.number);
    if (seen.status != member.status || seen.life != member.life) Look(observer, member, now);
  }
}

void Judge::Look(int observer, const TierMember& told, Time now) {
  const int subject = told.number;
  Seen& seen = Of(observer, subject);
  const Seen before = seen;
  seen.status = told.status, seen.life = told.life;
  const bool dead = told.status == MemberStatus::kDead;
  const bool over = dead || told.status == MemberStatus::kLeft;
  for (End& end : ends_) {
    if (end.member != subject || end.known[Index(observer)] == kExcused) continue;
    const bool knows = Same(told.life, end.life) ? over : told.life > end.life || (over && told.life == 0);
    Time& known = end.known[Index(observer)];
    if (knows && known == 0) known = now;
    if (!knows) known = 0;
  }
  const bool runs = net_.Running(subject) && Same(told.life, net_.Life(subject));
  if (before.wrong && !(dead && runs)) Unwrong(observer, subject);
  if (!runs || now < Net::kEpoch + measured_from_) return;
  const bool counted = TierView::Counts(before.status), counts = TierView::Counts(told.status);
  if (counted && !counts && Same(before.life, told.life)) seen.gone = true;
  if (counts && seen.gone) {
    seen.gone = false;
    if (Same(before.life, told.life)) ++verdict_.flaps;
  }
  if (told.status == MemberStatus::kSuspected && before.status != MemberStatus::kSuspected)
    ++verdict_.suspicions;
  if (!dead || seen.wrong || (before.status == MemberStatus::kDead && Same(before.life, told.life))) return;
  if (!net_.HeardInPart(observer, subject)) {
    ++verdict_.beyond_a_cut;
    return;
  }
  seen.wrong = true;
  ++verdict_.wrong_views;
  if (wrong_by_[Index(subject)]++ == 0) ++verdict_.wrong_members;
  if (2 * wrong_by_[Index(subject)] > running_ - 1 && !for_all_[Index(subject)]) {
    for_all_[Index(subject)] = true;
    ++verdict_.wrong_for_all;
  }
}

void Judge::Unwrong(int observer, int subject) {
  Of(observer, subject).wrong = false;
  if (--wrong_by_[Index(subject)] == 0) for_all_[Index(subject)] = false;
}

void Judge::Started(int member, Time) {
  ++running_;
  for (int subject = 0; subject < net_.size(); ++subject) {
    if (Of(member, subject).wrong) Unwrong(member, subject);
    Of(member, subject) = {};
  }
  for (int other = 0; other < net_.size(); ++other) Of(other, member).gone = false;
}

void Judge::Ended(int member, bool with_farewell, Time now) {
  --running_;
  for (int other = 0; other < net_.size(); ++other) {
    if (Of(member, other).wrong) Unwrong(member, other);
    if (Of(other, member).wrong) Unwrong(other, member);
  }
  for (End& end : ends_)
    if (end.known[Index(member)] == 0) end.known[Index(member)] = kExcused;
  if (now < Net::kEpoch + measured_from_) return;
  End end{member, with_farewell, net_.Life(member), now, std::vector<Time>(Index(net_.size()))};
  for (int other = 0; other < net_.size(); ++other) {
    const Seen& seen = Of(other, member);
    const bool over = seen.status == MemberStatus::kDead || seen.status == MemberStatus::kLeft;
    if (other == member || !net_.Running(other))
      end.known[Index(other)] = kExcused;
    else if (over && Same(seen.life, end.life))
      end.known[Index(other)] = now;
  }
  ends_.push_back(std::move(end));
}

void Judge::Blocked(int member, Time from, Time to) { blocked_[Index(member)].push_back({from, to}); }

void Judge::Happened(const Fault& fault, Time now) {
  if (fault.kind == Fault::Kind::kHealed) healed_.push_back(now);
}

void Judge::Tick(Time now) {
  if (healed_.empty() || !Agreed(now)) return;
  for (Time from : healed_) verdict_.agreements.push_back(static_cast<double>(now - from) / 1000);
  healed_.clear();
}

bool Judge::Agreed(Time now) {
  for (int observer = 0; observer < net_.size(); ++observer) {
    if (!net_.Running(observer) || net_.Paused(observer, now)) continue;
    for (int subject = 0; subject < net_.size(); ++subject) {
      if (subject == observer) continue;
      const Seen& seen = Of(observer, subject);
      const bool counts = TierView::Counts(seen.status);
      if (counts != net_.Running(subject) || (counts && !Same(seen.life, net_.Life(subject)))) return false;
    }
  }
  return true;
}

// The time until the last one knew, of those that ran and were neither paused nor cut off meanwhile.
double Judge::UntilKnown(const End& end) const {
  Time last = 0;
  bool never = false;
  for (int observer = 0; observer < net_.size(); ++observer) {
    const Time known = end.known[Index(observer)];
    if (known == kExcused) continue;
    const Time until = known == 0 ? end.at + kTimeout : known;
    const bool blocked = std::ranges::any_of(
        blocked_[Index(observer)], [&](const Span& span) { return span.from < until && span.to > end.at; });
    if (blocked) continue;
    never |= known == 0;
    last = std::max(last, known - end.at);
  }
  return never ? Verdict::kNever : static_cast<double>(last) / 1000;
}

Verdict Judge::Close(const Day& day) {
  for (const End& end : ends_) {
    const bool came_back = net_.Running(end.member) || end.at > Net::kEpoch + day.length - 10 * kSecond;
    if (!came_back) (end.with_farewell ? verdict_.farewells : verdict_.deaths).push_back(UntilKnown(end));
  }
  for (std::size_t i = 0; i < healed_.size(); ++i) verdict_.agreements.push_back(Verdict::kNever);
  verdict_.hours = static_cast<double>(day.length - day.measured_from) / static_cast<double>(3600 * kSecond);
  double seconds = 0;
  for (int m = 0; m < net_.size(); ++m) {
    const Net::Sent& sent = net_.SentBy(m);
    const double lived = static_cast<double>(sent.lived) / kSecond;
    if (lived < 1) continue;
    seconds += lived;
    verdict_.bytes_mean += static_cast<double>(sent.bytes);
    verdict_.datagrams += static_cast<double>(sent.datagrams);
    verdict_.bytes_max = std::max(verdict_.bytes_max, static_cast<double>(sent.bytes) / lived);
    verdict_.bytes_peak = std::max(verdict_.bytes_peak, static_cast<double>(sent.peak_per_second));
  }
  verdict_.bytes_mean /= seconds, verdict_.datagrams /= seconds;
  verdict_.digest = net_.digest();
  return verdict_;
}

Verdict PlayDay(int size, const Day& day, std::uint64_t seed, const MakeDetector& make) {
  Net net(size, kZones, seed, make);
  Judge judge(&net, day.measured_from);
  net.Play(day, &judge);
  return judge.Close(day);
}

}  // namespace lichenlug::lab
