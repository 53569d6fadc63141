#include "lab/membership/net.h"

#include <algorithm>
#include <stdexcept>

namespace lichenlug::lab {
namespace {

constexpr Time kTickInterval = 20 * kMillisecond, kFarewell = 300 * kMillisecond;

Time Micros(double ms) { return static_cast<Time>(ms * 1000); }

}  // namespace

Net::Net(int size, int zones, std::uint64_t seed, MakeDetector make)
    : zones_(std::min(zones, size)),
      seed_(seed),
      make_(std::move(make)),
      wire_(seed, 71),
      lateness_(seed, 72),
      ways_(static_cast<std::size_t>(zones_ * zones_)),
      members_(Index(size)),
      cut_(members_.size() * members_.size()),
      link_loss_(members_.size() * members_.size()) {
  Random ways(seed, 73);
  for (int a = 0; a < zones_; ++a)
    for (int b = 0; b < zones_; ++b)
      ways_[Index(a * zones_ + b)] = a == b ? ways.Between(0.3, 1) : ways.Between(3, 22);
}

void Net::Push(Time at, What what, int member, int from, std::string body) {
  const std::uint32_t generation = member < 0 ? 0 : members_[Index(member)].generation;
  queue_.push_back({at, order_++, what, member, from, generation, std::move(body)});
  std::ranges::push_heap(
      queue_, [](const Event& x, const Event& y) { return x.at != y.at ? x.at > y.at : x.order > y.order; });
}

void Net::Play(const Day& day, Onlooker* onlooker) {
  day_ = day;
  onlooker_ = onlooker;
  measured_from_ = kEpoch + day.measured_from;
  Random starts(seed_, 74);
  for (int m = 0; m < size(); ++m)
    Push(kEpoch + static_cast<Time>(starts.Between(0, kSecond)), What::kStart, m);
  for (std::size_t i = 0; i < day_.faults.size(); ++i)
    Push(kEpoch + day_.faults[i].at, What::kFault, -1, static_cast<int>(i));
  Push(kEpoch, What::kTick, -1);
  while (!queue_.empty()) {
    std::ranges::pop_heap(queue_, [](const Event& x, const Event& y) {
      return x.at != y.at ? x.at > y.at : x.order > y.order;
    });
    Event event = std::move(queue_.back());
    queue_.pop_back();
    if (event.at > kEpoch + day_.length) break;
    now_ = event.at;
    ++events_;
    digest_.Add(static_cast<std::uint64_t>(event.at));
    digest_.Add(static_cast<std::uint64_t>(event.what) << 48 |
                static_cast<std::uint64_t>(event.member + 1) << 24 |
                static_cast<std::uint64_t>(event.from + 1));
    digest_.Add(event.body);
    Handle(event);
  }
  for (Member& m : members_)
    if (m.part) m.sent.lived += now_ - std::max(m.started, measured_from_);
}

void Net::Handle(Event& event) {
  switch (event.what) {
    case What::kFault:
      return Apply(day_.faults[Index(event.from)], event.from);
    case What::kFaultEnds:
      return Undo(day_.faults[Index(event.from)]);
    case What::kTick:
      onlooker_->Tick(now_);
      return Push(now_ + kTickInterval, What::kTick, -1);
    case What::kStart:
      return Start(event.member);
    case What::kArrive:
      return Arrive(event);  // at a socket of this address, whichever life it is by now
    default:
      break;
  }
  Member& m = members_[Index(event.member)];
  if (event.generation != m.generation || !m.part) return;
  if (event.what == What::kEnd) return End(event.member, true);
  if (event.what == What::kWake) return Wake(event.member);
  if (event.what == What::kBeat) Push(now_ + kBeatInterval + Late(m), What::kBeat, event.member);
  if (event.what == What::kTimer) {
    if (event.at != m.timer_at) return;
    if (const Time late = event.from > 0 ? 0 : Late(m); late > 0) {
      m.timer_at = now_ + late, m.timer_late = true;
      return Push(m.timer_at, What::kTimer, event.member, 1);
    }
    m.timer_at = 0, m.timer_late = false;
  }
  if (m.paused_until > now_) {  // timers are looked at on waking
    if (event.what == What::kHandle) m.inbox.emplace_back(event.from, std::move(event.body));
    return;
  }
  m.part->Beat(now_);
  if (event.what == What::kRefused) m.part->Refused(event.from, now_);
  if (event.what == What::kHandle && !m.part->HandleMessage(event.from, event.body, now_)) ++refused_;
  Turn(event.member);
}

Time Net::Late(Member& m) {
  if (m.slow_until <= now_) return 0;
  m.busy_until = std::max(m.busy_until, now_ + Micros(lateness_.Between(50, 500)));
  return m.busy_until - now_;
}

void Net::Start(int member) {
  Member& m = members_[Index(member)];
  if (m.part) return;
  ++m.generation, ++changes_;
  m.life = static_cast<std::uint64_t>(now_);
  m.started = now_;
  m.paused_until = m.slow_until = m.busy_until = m.timer_at = 0;
  m.seen = 0, m.timer_late = m.vanished = false;
  const std::uint64_t seed = seed_ * 1'000'003 + m.life * 31 + Index(member);
  m.part = make_({member, size(), ZoneOf(member), m.life, seed}, now_);
  onlooker_->Started(member, now_);
  m.part->Beat(now_);
  Turn(member);
  Push(now_ + kBeatInterval, What::kBeat, member);
}

void Net::End(int member, bool with_farewell) {
  Member& m = members_[Index(member)];
  if (!m.part) return;
  ++m.generation, ++changes_;
  m.part.reset();
  m.inbox.clear();
  m.sent.lived += std::max<Time>(0, now_ - std::max(m.started, measured_from_));
  onlooker_->Ended(member, with_farewell, now_);
}

void Net::Wake(int member) {
  Member& m = members_[Index(member)];
  if (m.paused_until > now_) return;  // another pause has begun meanwhile
  m.part->Beat(now_);
  if (lateness_.Chance(0.5)) Turn(member);  // which a loop looks at first, timers or sockets, is left open
  while (!m.inbox.empty()) {
    const auto [from, body] = std::move(m.inbox.front());
    m.inbox.pop_front();
    if (!m.part->HandleMessage(from, body, now_)) ++refused_;
  }
  Turn(member);
}

void Net::Arrive(Event& event) {
  Member& m = members_[Index(event.member)];
  if (!m.part) {
    const bool refused = !m.vanished && Passes(event.member, event.from) && !Lost(event.member, event.from);
    if (refused) Push(now_ + Way(event.member, event.from), What::kRefused, event.from, event.member);
    return;
  }
  if (m.paused_until > now_) {
    if (m.inbox.size() < kSocketBuffer)
      m.inbox.emplace_back(event.from, std::move(event.body));
    else
      ++overflown_;
    return;
  }
  if (const Time late = Late(m); late > 0)
    return Push(now_ + late, What::kHandle, event.member, event.from, std::move(event.body));
  m.part->Beat(now_);
  if (!m.part->HandleMessage(event.from, event.body, now_)) ++refused_;
  Turn(event.member);
}

void Net::Turn(int member) {
  Member& m = members_[Index(member)];
  constexpr int kMaxRounds = 4;  // of one that is never done
  for (int i = 0; i < kMaxRounds; ++i) {
    const Time due = m.part->DueAt();
    if (due == 0 || due > now_) break;
    for (const PeerProtocol::Datagram& word : m.part->MakeDatagrams(now_)) {
      if (word.peer != PeerProtocol::kAll) {
        Send(member, word.peer, word.body);
        continue;
      }
      const TierView& view = m.part->View();
      for (int to = 0; to < size(); ++to)
        if (to != member && TierView::Counts(view.members[Index(to)].status)) Send(member, to, word.body);
    }
  }
  if (const Time due = m.part->DueAt(); due != 0 && !m.timer_late) {
    const Time at = std::max(due, now_ + kMillisecond);
    if (m.timer_at == 0 || at < m.timer_at) {
      m.timer_at = at;
      Push(at, What::kTimer, member);
    }
  }
  if (m.part->View().version != m.seen) {
    m.seen = m.part->View().version;
    onlooker_->Saw(member, m.part->View(), now_);
  }
}

void Net::Send(int from, int to, const std::string& body) {
  if (body.empty() || body.size() > PeerProtocol::kMaxBody || to < 0 || to >= size() || to == from)
    throw std::length_error("a detector told " + std::to_string(to) + " " + std::to_string(body.size()) +
                            " bytes; bodies have 1 to 254, and go to others of the tier");
  Member& m = members_[Index(from)];
  const std::uint64_t bytes = body.size() + 2;
  if (now_ >= measured_from_) m.sent.bytes += bytes, ++m.sent.datagrams;
  if (m.second != now_ / kSecond) m.second = now_ / kSecond, m.second_bytes = 0;
  m.second_bytes += bytes;
  if (now_ >= measured_from_) m.sent.peak_per_second = std::max(m.sent.peak_per_second, m.second_bytes);
  Carry(from, to, body);
  if (copies_ > 0 && wire_.Chance(copies_)) Carry(from, to, body);
}

void Net::Carry(int from, int to, const std::string& body) {
  if (Passes(from, to) && !Lost(from, to)) Push(now_ + Way(from, to), What::kArrive, to, from, body);
}

bool Net::Lost(int from, int to) {
  const double lost = std::max<double>(loss_, link_loss_[Pair(from, to)]);
  return lost > 0 && wire_.Chance(lost);
}

Time Net::Way(int from, int to) {
  double ms = ways_[Index(ZoneOf(from) * zones_ + ZoneOf(to))] * (1 + wire_.Exponential(0.1));
  if (wire_.Chance(0.01)) ms += wire_.Between(0, 20);
  if (reorder_ > 0 && wire_.Chance(reorder_)) ms += wire_.Between(0, 200);
  return Micros(ms);
}

void Net::Apply(const Fault& f, int index) {
  using Kind = Fault::Kind;
  onlooker_->Happened(f, now_);
  const bool has_member = f.kind <= Kind::kSlow;
  if (has_member && !Running(f.a)) return;
  Member* m = has_member ? &members_[Index(f.a)] : nullptr;
  switch (f.kind) {
    case Kind::kVanish:
      m->vanished = true;
      [[fallthrough]];
    case Kind::kDie:
      return End(f.a, false);
    case Kind::kRestart:
      End(f.a, false);
      return Push(now_ + f.length, What::kStart, f.a);
    case Kind::kLeave:
      if (m->paused_until > now_) return;
      m->part->Leave(now_);
      Turn(f.a);
      Push(now_ + kFarewell, What::kEnd, f.a);
      if (f.length > 0) Push(now_ + kFarewell + f.length, What::kStart, f.a);
      return;
    case Kind::kPause:
      m->paused_until = std::max(m->paused_until, now_ + f.length);
      onlooker_->Blocked(f.a, now_, m->paused_until);
      return Push(m->paused_until, What::kWake, f.a);
    case Kind::kSlow:
      m->slow_until = now_ + f.length;
      return;
    case Kind::kLoss:
      loss_ = f.amount;
      break;
    case Kind::kLinkLoss:
      link_loss_[Pair(f.a, f.b)] = static_cast<float>(f.amount);
      break;
    case Kind::kCopies:
      copies_ = f.amount;
      break;
    case Kind::kReorder:
      reorder_ = f.amount;
      break;
    case Kind::kCut:
    case Kind::kZoneCut:
      Cut(f, 1);
      break;
    case Kind::kHealed:
      return;
  }
  if (f.length > 0) Push(now_ + f.length, What::kFaultEnds, -1, index);
}

void Net::Undo(const Fault& f) {
  switch (f.kind) {
    case Fault::Kind::kLoss:
      loss_ = 0;
      break;
    case Fault::Kind::kLinkLoss:
      link_loss_[Pair(f.a, f.b)] = 0;
      break;
    case Fault::Kind::kCopies:
      copies_ = 0;
      break;
    case Fault::Kind::kReorder:
      reorder_ = 0;
      break;
    case Fault::Kind::kCut:
    case Fault::Kind::kZoneCut:
      Cut(f, -1);
      break;
    default:
      break;
  }
}

void Net::Cut(const Fault& f, int by) {
  const bool zones = f.kind == Fault::Kind::kZoneCut;
  for (int from = 0; from < size(); ++from)
    for (int to = 0; to < size(); ++to)
      if (from != to && (f.a < 0 || f.a == (zones ? ZoneOf(from) : from)) &&
          (f.b < 0 || f.b == (zones ? ZoneOf(to) : to)))
        cut_[Pair(from, to)] = static_cast<std::uint16_t>(cut_[Pair(from, to)] + by);
  ++changes_;
  if (by < 0) return;
  FindParts();
  std::vector<int> sizes(members_.size());
  for (int part : part_)
    if (part >= 0) ++sizes[Index(part)];
  const auto largest = static_cast<int>(std::ranges::max_element(sizes) - sizes.begin());
  for (int m = 0; m < size(); ++m)
    if (part_[Index(m)] >= 0 && part_[Index(m)] != largest)
      onlooker_->Blocked(m, now_, f.length > 0 ? now_ + f.length : kEpoch + day_.length);
}

void Net::FindParts() {
  part_.assign(members_.size(), -1);
  parts_of_ = changes_;
  const auto reach = [this](int start, bool forwards) {
    std::vector<bool> reached(members_.size());
    std::vector<int> open{start};
    reached[Index(start)] = true;
    while (!open.empty()) {
      const int at = open.back();
      open.pop_back();
      for (int next = 0; next < size(); ++next)
        if (!reached[Index(next)] && Running(next) && (forwards ? Passes(at, next) : Passes(next, at))) {
          reached[Index(next)] = true;
          open.push_back(next);
        }
    }
    return reached;
  };
  for (int m = 0; m < size(); ++m) {
    if (!Running(m) || part_[Index(m)] >= 0) continue;
    const std::vector<bool> out = reach(m, true), in = reach(m, false);
    for (int other = m; other < size(); ++other)
      if (out[Index(other)] && in[Index(other)]) part_[Index(other)] = m;
  }
}

bool Net::HeardInPart(int observer, int subject) {
  if (parts_of_ != changes_) FindParts();
  for (int m = 0; m < size(); ++m)
    if (m != subject && Running(m) && part_[Index(m)] == part_[Index(observer)] && Passes(subject, m))
      return true;
  return false;
}

}  // namespace lichenlug::lab
