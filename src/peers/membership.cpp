#include "peers/membership.h"

#include <optional>
#include <utility>

#include "peers/membership_here.h"
#include "peers/membership_judge.h"
#include "peers/membership_probe.h"

namespace lichenlug {

using membership::BadLinks;
using membership::Fact;
using membership::Judge;
using membership::Kind;
using membership::kMaxIncarnation;
using membership::kMaxLife;
using membership::kMaxTier;
using membership::kNone;
using membership::Message;
using membership::Outbox;
using membership::Peer;
using membership::Slice;

class Membership::State {
 public:
  static constexpr Time kStep = 50 * kMillisecond;    // interval of suspicion checks and view updates
  static constexpr Time kPeek = 20 * kMillisecond;    // interval of single pings
  static constexpr Time kPush = 20 * kMillisecond;    // between urgent messages that don't wait for a ping
  static constexpr Time kStale = 100 * kMillisecond;  // after a pause: queued datagrams are read within it
  static constexpr Time kTrust = kSecond;             // one round of fresh probes
  static constexpr Time kObjects = kSecond;           // a refutation is repeated for so long
  static constexpr Time kWarm = 2 * kSecond;          // after a start, the tables of others are fetched
  static constexpr Time kSayLinks = 2 * kSecond;
  static constexpr int kPushTo = 3, kFarewells = 24, kFarewellTimes = 3;

  State(const Place& place, std::uint64_t life, std::uint64_t seed, Time now)
      : here_(place.number, std::clamp(place.tier, 1, kMaxTier), place.zone, seed, now),
        prober_(&here_),
        judge_(&here_, &prober_) {
    Fact own;
    own.life = std::clamp<std::uint64_t>(life, 1, kMaxLife), own.zone = here_.zone;
    here_.table.Put(here_.number, own, true);
    here_.trusted_at = here_.now() + kTrust, here_.round_trip_at = here_.now();
    warm_until_ = here_.now() + kWarm;
    const Time spread = std::min(4 * kSecond, here_.tier() * 10 * kMillisecond);
    for (Peer& peer : here_.peers) peer.recheck_at = here_.now() + here_.Below(spread);
    view_.own = here_.number;
    for (int i = 0; i < here_.tier(); ++i) view_.members.push_back({.number = i});
    judge_.Show(&view_);
  }

  void Pass(Time now) {
    if (!here_.time.Pass(now)) return;
    judge_.Woke(), prober_.Forget();
    here_.trusted_at = here_.now() + kTrust, here_.stale_until = here_.now() + kStale;
    here_.round_trip_at = here_.now();
    look_at_ = step_at_ = push_at_ = 0;
    Object(Own().incarnation);
  }

  void Evidence(int peer) {
    if (!Other(peer) || here_.now() < here_.stale_until) return;
    Peer& it = here_.peers[peer];
    it.heard = it.sign = here_.now(), it.refused = 0;
    if ((it.cut || !here_.Present(peer)) && it.recheck_at > here_.now() + kStep) it.recheck_at = here_.now();
  }

  void Refused(int peer) {
    if (Other(peer) && here_.now() >= here_.stale_until) judge_.Refused(peer);
  }

  void Leave() {
    if (Own().left) return;
    Fact own = Own();
    own.left = true;
    here_.table.Put(here_.number, own, true);
    farewells_ = kFarewellTimes, push_at_ = 0;
    judge_.Show(&view_);
  }

  std::vector<Datagram> MakeDatagrams() {
    if (farewells_ > 0) SayFarewell();
    if (!Own().left) Probe();
    Push();
    std::vector<Datagram> words;
    for (auto& [peer, body] : here_.out.Take()) words.push_back({peer, std::move(body)});
    return words;
  }

  bool HandleMessage(int peer, std::string_view body) {
    if (!Other(peer)) return false;
    const auto message = membership::ReadMessage(body, here_.tier());
    if (!message) return false;
    Evidence(peer);
    for (const auto& [member, fact] : message->facts)
      if (member == here_.number)
        HearOwn(fact);
      else
        judge_.Put(member, fact, !message->slice || here_.table.Of(member).life != 0);
    for (const auto& [observer, links] : message->links) HearLinks(observer, links);
    Answer(peer, *message);
    if (judge_.Urgent()) urgent_ = true;
    return true;
  }

  Time DueAt() const {
    if (!here_.out.empty()) return here_.time.ToOuter(here_.now());
    Time due = std::min({prober_.DueAt(), step_at_, look_at_});
    if (Own().left) due = here_.now() + kStep;
    if (urgent_ || farewells_ > 0) due = std::min(due, push_at_);
    return here_.time.ToOuter(std::max(due, here_.now()));
  }

  const TierView& view() const { return view_; }

 private:
  const Fact& Own() const { return here_.table.Of(here_.number); }
  bool Other(int peer) const { return peer >= 0 && peer < here_.tier() && peer != here_.number; }

  // Refutes all suspicions of this member up to incarnation `to`.
  void Object(std::uint16_t to) {
    Fact own = Own();
    if (own.left) return;
    if (to == kMaxIncarnation && own.life < kMaxLife)
      ++own.life, own.incarnation = 0;
    else
      own.incarnation = static_cast<std::uint16_t>(to + 1);
    own.round = 0, own.dead = false, own.accusers.clear();
    here_.table.Put(here_.number, own, true);
    urgent_ = true, objects_until_ = here_.now() + kObjects;
  }

  void HearOwn(const Fact& told) {
    const Fact& own = Own();
    if (told.Epoch() < own.Epoch()) {
      if (told.Accused() || told.life < own.life) here_.table.Queue(here_.number);
      return;
    }
    if (own.left) return;
    if (told.life > own.life || told.left) {  // its clock was set back, or another process uses its number
      if (told.life >= kMaxLife) return;
      Fact later = own;
      later.life = told.life + 1, later.incarnation = 0, later.round = 0;
      here_.table.Put(here_.number, later, true);
      urgent_ = true;
    } else if (told.Accused() || told.incarnation > own.incarnation) {
      here_.told_deaf_at = here_.now();
      Object(told.incarnation);
    } else {
      here_.table.Put(here_.number, told, true);  // witnesses refuted on its behalf
    }
  }

  void HearLinks(int observer, const BadLinks& links) {
    if (observer == here_.number) {
      if (links.life == Own().life && links.version >= links_.version) links_.version = links.version;
      return;
    }
    if (here_.table.Put(observer, links) &&
        std::ranges::find(links.unheard, here_.number) != links.unheard.end())
      here_.told_deaf_at = here_.now();
  }

  void Answer(int peer, const Message& message) {
    const Time now = here_.now();
    Message answer;
    answer.nonce = message.nonce;
    if (message.kind == Kind::kPing) {
      answer.kind = Kind::kAck, answer.other = message.other;
      if (message.other != kNone && message.other != here_.number && message.other != peer)
        here_.out.Send(message.other, answer, Outbox::kForAnswers, now);
      if (message.slice) AddSlice(*message.slice, &answer);
      const Fact& fact = here_.table.Of(peer);
      if (fact.Accused() && !answer.slice) answer.facts.emplace_back(static_cast<std::uint16_t>(peer), fact);
      here_.out.Send(peer, std::move(answer), Outbox::kForAnswers, now);
    } else if (message.kind == Kind::kAck && (message.other == kNone || message.other == here_.number)) {
      Peer& it = here_.peers[peer];
      const bool direct = message.other == kNone;
      if (direct && now >= here_.stale_until) it.answered = now;
      if (now >= here_.stale_until) here_.round_trip_at = now;
      prober_.Answered(peer, message.nonce, direct);
      if (message.slice) {  // if the tables still differ, this one has newer facts
        answer.kind = Kind::kNews;
        if (AddSlice({message.slice->index, message.slice->hash}, &answer)) {
          answer.slice.reset();
          here_.out.Send(peer, std::move(answer), Outbox::kForTables, now);
        }
      }
    } else if (message.kind == Kind::kAck) {
      answer.kind = Kind::kHeard, answer.other = static_cast<std::uint16_t>(peer);
      here_.out.Send(message.other, std::move(answer), Outbox::kForAnswers, now);
    } else if (message.kind == Kind::kAsk && Other(message.other) && message.other != peer) {
      answer.kind = Kind::kPing, answer.other = static_cast<std::uint16_t>(peer);
      here_.out.Send(message.other, std::move(answer), Outbox::kForProbes, now);
    } else if (message.kind == Kind::kHeard && Other(message.other) && now >= here_.stale_until) {
      here_.peers[message.other].sign = here_.round_trip_at = now;
      prober_.Answered(message.other, message.nonce, false);
    }
  }

  bool AddSlice(const Slice& theirs, Message* answer) {
    if (theirs.index >= here_.table.slices() || !here_.out.HasFor(Outbox::kForTables)) return false;
    const std::uint32_t own = here_.table.HashOf(theirs.index);
    if (own == theirs.hash) return false;
    answer->slice = Slice{theirs.index, own};
    here_.table.FillSlice(theirs.index, answer);
    return true;
  }

  void Probe() {
    const Time now = here_.now();
    for (const int member : prober_.Step()) judge_.ProbedInVain(member);
    for (int i = 0; i < here_.tier() && now >= look_at_; ++i) {
      Peer& peer = here_.peers[i];
      if (i == here_.number) continue;
      if (peer.look_at != 0 && now >= peer.look_at && prober_.Ping(i, Outbox::kForHelp)) peer.look_at = 0;
      if (now >= peer.recheck_at) Recheck(i, &peer);
    }
    if (now >= look_at_) {
      look_at_ = now + kPeek;
      if (now < warm_until_) Fetch();
    }
    if (now >= step_at_) {
      step_at_ = now + kStep;
      judge_.Step();
      SayLinks();
      judge_.Show(&view_);
      if (now < objects_until_) urgent_ = true, here_.table.Queue(here_.number);
    }
    if (judge_.Urgent()) urgent_ = true;
  }

  // After a start, pings random members for differing slices of their tables, until all members are known.
  void Fetch() {
    const int member = static_cast<int>(here_.Below(here_.tier() - 1));
    for (int i = 0; i < here_.tier(); ++i)
      if (here_.table.Of(i).life == 0) return member == here_.number ? void() : prober_.Ask(member);
  }

  // Probes members that aren't healthy from time to time. The interval grows with the tier, so that all
  // observers together send no more than some hundred pings a second.
  void Recheck(int member, Peer* peer) {
    const Fact& fact = here_.table.Of(member);
    if (fact.left) return;
    if (fact.life != 0 && !fact.dead && !peer->cut && peer->bad == 0 && !fact.Accused()) return;
    Time every = std::clamp(here_.tier() * 10 * kMillisecond, 300 * kMillisecond, 2 * kSecond);
    if (fact.life == 0) every *= 4;
    if (peer->good > 0 || (peer->bad > 0 && !peer->cut)) every = 300 * kMillisecond;
    peer->recheck_at = here_.now() + every / 2 + here_.Below(every);
    if (here_.Present(member) && (peer->since == 0 || here_.now() - peer->since < Judge::kMaxObjection))
      return prober_.Begin(member);
    prober_.Ask(member);
  }

  void SayLinks() {
    const Time now = here_.now();
    std::vector<std::uint16_t> unheard;
    for (int i = 0; i < here_.tier() && unheard.size() < BadLinks::kMax; ++i)
      if (here_.peers[i].cut && here_.Present(i) && now - here_.peers[i].heard > 3 * kSecond)
        unheard.push_back(static_cast<std::uint16_t>(i));
    if (unheard == links_.unheard && (unheard.empty() || now < links_at_)) return;
    links_.unheard = std::move(unheard), links_.life = Own().life, ++links_.version;
    links_at_ = now + kSayLinks;
    here_.table.Put(here_.number, links_);
  }

  std::vector<int> Some(int most) {
    std::vector<int> all;
    for (int i = 0; i < here_.tier(); ++i)
      if (i != here_.number && here_.Present(i)) all.push_back(i);
    const std::size_t count = std::min(all.size(), static_cast<std::size_t>(most));
    for (std::size_t i = 0; i < count; ++i) std::swap(all[i], all[i + here_.random() % (all.size() - i)]);
    all.resize(count);
    return all;
  }

  void Push() {
    if (!urgent_ || here_.now() < push_at_) return;
    urgent_ = false, push_at_ = here_.now() + kPush;
    for (const int to : Some(kPushTo))
      if (here_.table.HasNews()) here_.out.Send(to, Message{}, Outbox::kForNews, here_.now());
  }

  void SayFarewell() {
    if (here_.now() < push_at_) return;
    --farewells_, push_at_ = here_.now() + kPush;
    for (const int to : Some(kFarewells)) {
      Message farewell;
      farewell.facts.emplace_back(static_cast<std::uint16_t>(here_.number), Own());
      here_.out.Send(to, std::move(farewell), Outbox::kForAnswers, here_.now());
    }
  }

  membership::Here here_;
  membership::Prober prober_;
  membership::Judge judge_;
  TierView view_;
  BadLinks links_;
  Time warm_until_ = 0, look_at_ = 0, step_at_ = 0, push_at_ = 0, links_at_ = 0, objects_until_ = 0;
  bool urgent_ = false;
  int farewells_ = 0;
};

Membership::Membership(const Place& place, std::uint64_t life, std::uint64_t seed, Time now)
    : state_(std::make_unique<State>(place, life, seed, now)) {}
Membership::~Membership() = default;

void Membership::Evidence(int peer, Time now) { state_->Pass(now), state_->Evidence(peer); }
void Membership::Refused(int peer, Time now) { state_->Pass(now), state_->Refused(peer); }
void Membership::Leave(Time now) { state_->Pass(now), state_->Leave(); }
void Membership::Beat(Time now) { state_->Pass(now); }
Time Membership::DueAt() const { return state_->DueAt(); }

std::vector<PeerProtocol::Datagram> Membership::MakeDatagrams(Time now) {
  state_->Pass(now);
  return state_->MakeDatagrams();
}

bool Membership::HandleMessage(int peer, std::string_view body, Time now) {
  state_->Pass(now);
  return state_->HandleMessage(peer, body);
}

const TierView& Membership::View() const { return state_->view(); }

}  // namespace lichenlug
