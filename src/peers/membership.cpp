#include "peers/membership.h"

#include <optional>
#include <utility>

#include "peers/membership_local_state.h"
#include "peers/membership_probe.h"
#include "peers/membership_suspicion.h"

namespace lichenlug {

using membership::BadLinks;
using membership::Fact;
using membership::Kind;
using membership::kMaxIncarnation;
using membership::kMaxLife;
using membership::kMaxTier;
using membership::kNoMember;
using membership::Message;
using membership::Outbox;
using membership::Peer;
using membership::Slice;
using membership::SuspicionTracker;

class Membership::State {
 public:
  static constexpr Time kStepInterval = 50 * kMillisecond;  // interval of suspicion checks and view updates
  static constexpr Time kPingInterval = 20 * kMillisecond;  // interval of single pings
  // Between urgent messages, which don't wait for a ping.
  static constexpr Time kUrgentInterval = 20 * kMillisecond;
  // After a pause, queued datagrams are read within it.
  static constexpr Time kStaleTime = 100 * kMillisecond;
  static constexpr Time kTrustDelay = kSecond;      // one round of fresh probes
  static constexpr Time kRefutationTime = kSecond;  // a refutation is repeated for so long
  static constexpr Time kWarmUpTime = 2 * kSecond;  // after a start, the tables of others are fetched
  static constexpr Time kLinkReportInterval = 2 * kSecond;
  static constexpr int kUrgentFanout = 3, kLeaveFanout = 24, kLeaveRepeats = 3;

  State(const Identity& identity, std::uint64_t life, std::uint64_t seed, Time now)
      : local_(identity.number, std::clamp(identity.tier, 1, kMaxTier), identity.zone, seed, now),
        prober_(&local_),
        suspicion_(&local_, &prober_) {
    Fact own;
    own.life = std::clamp<std::uint64_t>(life, 1, kMaxLife), own.zone = local_.zone;
    local_.table.Put(local_.number, own, true);
    local_.trust_after = local_.now() + kTrustDelay, local_.round_trip_at = local_.now();
    warm_up_until_ = local_.now() + kWarmUpTime;
    const Time spread = std::min(4 * kSecond, local_.tier() * 10 * kMillisecond);
    for (Peer& peer : local_.peers) peer.recheck_at = local_.now() + local_.RandomUpTo(spread);
    view_.own = local_.number;
    for (int i = 0; i < local_.tier(); ++i) view_.members.push_back({.number = i});
    suspicion_.UpdateView(&view_);
  }

  void Advance(Time now) {
    if (!local_.time.Advance(now)) return;
    suspicion_.Resumed(), prober_.Clear();
    local_.trust_after = local_.now() + kTrustDelay, local_.stale_until = local_.now() + kStaleTime;
    local_.round_trip_at = local_.now();
    ping_at_ = step_at_ = urgent_at_ = 0;
    Refute(Own().incarnation);
  }

  void RecordContact(int peer) {
    if (!IsOther(peer) || local_.now() < local_.stale_until) return;
    Peer& it = local_.peers[peer];
    it.last_received = it.last_alive = local_.now(), it.refusals = 0;
    if ((it.cut_off || !local_.IsPresent(peer)) && it.recheck_at > local_.now() + kStepInterval)
      it.recheck_at = local_.now();
  }

  void Refused(int peer) {
    if (IsOther(peer) && local_.now() >= local_.stale_until) suspicion_.Refused(peer);
  }

  void Leave() {
    if (Own().left) return;
    Fact own = Own();
    own.left = true;
    local_.table.Put(local_.number, own, true);
    leave_repeats_left_ = kLeaveRepeats, urgent_at_ = 0;
    suspicion_.UpdateView(&view_);
  }

  std::vector<Datagram> MakeDatagrams() {
    if (leave_repeats_left_ > 0) SendLeave();
    if (!Own().left) RunProbes();
    SendUrgent();
    std::vector<Datagram> datagrams;
    for (auto& [peer, body] : local_.out.TakeMessages()) datagrams.push_back({peer, std::move(body)});
    return datagrams;
  }

  bool HandleMessage(int peer, std::string_view body) {
    if (!IsOther(peer)) return false;
    const auto message = membership::DecodeMessage(body, local_.tier());
    if (!message) return false;
    RecordContact(peer);
    for (const auto& [member, fact] : message->facts)
      if (member == local_.number)
        HandleOwnFact(fact);
      else
        suspicion_.HandleFact(member, fact, !message->slice || local_.table.FactOf(member).life != 0);
    for (const auto& [observer, links] : message->links) HandleLinks(observer, links);
    Reply(peer, *message);
    if (suspicion_.TakeUrgent()) urgent_ = true;
    return true;
  }

  Time DueAt() const {
    if (!local_.out.empty()) return local_.time.ToClockTime(local_.now());
    Time due = std::min({prober_.DueAt(), step_at_, ping_at_});
    if (Own().left) due = local_.now() + kStepInterval;
    if (urgent_ || leave_repeats_left_ > 0) due = std::min(due, urgent_at_);
    return local_.time.ToClockTime(std::max(due, local_.now()));
  }

  const TierView& view() const { return view_; }

 private:
  const Fact& Own() const { return local_.table.FactOf(local_.number); }
  bool IsOther(int peer) const { return peer >= 0 && peer < local_.tier() && peer != local_.number; }

  // Refutes all suspicions of this member up to incarnation `to`.
  void Refute(std::uint16_t to) {
    Fact own = Own();
    if (own.left) return;
    if (to == kMaxIncarnation && own.life < kMaxLife)
      ++own.life, own.incarnation = 0;
    else
      own.incarnation = static_cast<std::uint16_t>(to + 1);
    own.round = 0, own.dead = false, own.accusers.clear();
    local_.table.Put(local_.number, own, true);
    urgent_ = true, refute_until_ = local_.now() + kRefutationTime;
  }

  void HandleOwnFact(const Fact& received) {
    const Fact& own = Own();
    if (received.Epoch() < own.Epoch()) {
      if (received.IsSuspectedOrDead() || received.life < own.life) local_.table.Queue(local_.number);
      return;
    }
    if (own.left) return;
    // Its clock was set back, or another process uses its number.
    if (received.life > own.life || received.left) {
      if (received.life >= kMaxLife) return;
      Fact later = own;
      later.life = received.life + 1, later.incarnation = 0, later.round = 0;
      local_.table.Put(local_.number, later, true);
      urgent_ = true;
    } else if (received.IsSuspectedOrDead() || received.incarnation > own.incarnation) {
      local_.reported_unheard_at = local_.now();
      Refute(received.incarnation);
    } else {
      local_.table.Put(local_.number, received, true);  // witnesses refuted on its behalf
    }
  }

  void HandleLinks(int observer, const BadLinks& links) {
    if (observer == local_.number) {
      if (links.life == Own().life && links.version >= links_.version) links_.version = links.version;
      return;
    }
    if (local_.table.Put(observer, links) &&
        std::ranges::find(links.silent, local_.number) != links.silent.end())
      local_.reported_unheard_at = local_.now();
  }

  void Reply(int peer, const Message& message) {
    const Time now = local_.now();
    Message reply;
    reply.nonce = message.nonce;
    if (message.kind == Kind::kPing) {
      reply.kind = Kind::kAck, reply.other = message.other;
      if (message.other != kNoMember && message.other != local_.number && message.other != peer)
        local_.out.Send(message.other, reply, Outbox::kReplyReserve, now);
      if (message.slice) AddSlice(*message.slice, &reply);
      const Fact& fact = local_.table.FactOf(peer);
      if (fact.IsSuspectedOrDead() && !reply.slice)
        reply.facts.emplace_back(static_cast<std::uint16_t>(peer), fact);
      local_.out.Send(peer, std::move(reply), Outbox::kReplyReserve, now);
    } else if (message.kind == Kind::kAck && (message.other == kNoMember || message.other == local_.number)) {
      Peer& it = local_.peers[peer];
      const bool direct = message.other == kNoMember;
      if (direct && now >= local_.stale_until) it.last_direct_ack = now;
      if (now >= local_.stale_until) local_.round_trip_at = now;
      prober_.HandleAck(peer, message.nonce, direct);
      if (message.slice) {  // if the tables still differ, this one has newer facts
        reply.kind = Kind::kGossip;
        if (AddSlice({message.slice->index, message.slice->hash}, &reply)) {
          reply.slice.reset();
          local_.out.Send(peer, std::move(reply), Outbox::kTableReserve, now);
        }
      }
    } else if (message.kind == Kind::kAck) {
      reply.kind = Kind::kIndirectAck, reply.other = static_cast<std::uint16_t>(peer);
      local_.out.Send(message.other, std::move(reply), Outbox::kReplyReserve, now);
    } else if (message.kind == Kind::kPingRequest && IsOther(message.other) && message.other != peer) {
      reply.kind = Kind::kPing, reply.other = static_cast<std::uint16_t>(peer);
      local_.out.Send(message.other, std::move(reply), Outbox::kProbeReserve, now);
    } else if (message.kind == Kind::kIndirectAck && IsOther(message.other) && now >= local_.stale_until) {
      local_.peers[message.other].last_alive = local_.round_trip_at = now;
      prober_.HandleAck(message.other, message.nonce, false);
    }
  }

  bool AddSlice(const Slice& theirs, Message* reply) {
    if (theirs.index >= local_.table.slices() || !local_.out.HasBudget(Outbox::kTableReserve)) return false;
    const std::uint32_t own = local_.table.HashOf(theirs.index);
    if (own == theirs.hash) return false;
    reply->slice = Slice{theirs.index, own};
    local_.table.FillSlice(theirs.index, reply);
    return true;
  }

  void RunProbes() {
    const Time now = local_.now();
    for (const int member : prober_.Step()) suspicion_.ProbeFailed(member);
    for (int i = 0; i < local_.tier() && now >= ping_at_; ++i) {
      Peer& peer = local_.peers[i];
      if (i == local_.number) continue;
      if (peer.check_at != 0 && now >= peer.check_at && prober_.Ping(i, Outbox::kIndirectProbeReserve))
        peer.check_at = 0;
      if (now >= peer.recheck_at) Recheck(i, &peer);
    }
    if (now >= ping_at_) {
      ping_at_ = now + kPingInterval;
      if (now < warm_up_until_) FetchTables();
    }
    if (now >= step_at_) {
      step_at_ = now + kStepInterval;
      suspicion_.Step();
      PublishLinks();
      suspicion_.UpdateView(&view_);
      if (now < refute_until_) urgent_ = true, local_.table.Queue(local_.number);
    }
    if (suspicion_.TakeUrgent()) urgent_ = true;
  }

  // After a start, pings random members for differing slices of their tables, until all members are known.
  void FetchTables() {
    const int member = static_cast<int>(local_.RandomUpTo(local_.tier() - 1));
    for (int i = 0; i < local_.tier(); ++i)
      if (local_.table.FactOf(i).life == 0)
        return member == local_.number ? void() : prober_.PingWithFacts(member);
  }

  // Probes members that aren't healthy from time to time. The interval grows with the tier, so that all
  // observers together send no more than some hundred pings a second.
  void Recheck(int member, Peer* peer) {
    const Fact& fact = local_.table.FactOf(member);
    if (fact.left) return;
    if (fact.life != 0 && !fact.dead && !peer->cut_off && peer->direct_failures == 0 &&
        !fact.IsSuspectedOrDead())
      return;
    Time interval = std::clamp(local_.tier() * 10 * kMillisecond, 300 * kMillisecond, 2 * kSecond);
    if (fact.life == 0) interval *= 4;
    if (peer->direct_successes > 0 || (peer->direct_failures > 0 && !peer->cut_off))
      interval = 300 * kMillisecond;
    peer->recheck_at = local_.now() + interval / 2 + local_.RandomUpTo(interval);
    if (local_.IsPresent(member) && (peer->suspected_at == 0 || local_.now() - peer->suspected_at <
                                                                    SuspicionTracker::kMaxSuspicionTimeout))
      return prober_.StartProbe(member);
    prober_.PingWithFacts(member);
  }

  void PublishLinks() {
    const Time now = local_.now();
    std::vector<std::uint16_t> silent;
    for (int i = 0; i < local_.tier() && silent.size() < BadLinks::kMax; ++i)
      if (local_.peers[i].cut_off && local_.IsPresent(i) && now - local_.peers[i].last_received > 3 * kSecond)
        silent.push_back(static_cast<std::uint16_t>(i));
    if (silent == links_.silent && (silent.empty() || now < next_links_at_)) return;
    links_.silent = std::move(silent), links_.life = Own().life, ++links_.version;
    next_links_at_ = now + kLinkReportInterval;
    local_.table.Put(local_.number, links_);
  }

  std::vector<int> RandomMembers(int max_count) {
    std::vector<int> all;
    for (int i = 0; i < local_.tier(); ++i)
      if (i != local_.number && local_.IsPresent(i)) all.push_back(i);
    const std::size_t count = std::min(all.size(), static_cast<std::size_t>(max_count));
    for (std::size_t i = 0; i < count; ++i) std::swap(all[i], all[i + local_.random() % (all.size() - i)]);
    all.resize(count);
    return all;
  }

  void SendUrgent() {
    if (!urgent_ || local_.now() < urgent_at_) return;
    urgent_ = false, urgent_at_ = local_.now() + kUrgentInterval;
    for (const int to : RandomMembers(kUrgentFanout))
      if (local_.table.HasPending()) local_.out.Send(to, Message{}, Outbox::kGossipReserve, local_.now());
  }

  void SendLeave() {
    if (local_.now() < urgent_at_) return;
    --leave_repeats_left_, urgent_at_ = local_.now() + kUrgentInterval;
    for (const int to : RandomMembers(kLeaveFanout)) {
      Message leave;
      leave.facts.emplace_back(static_cast<std::uint16_t>(local_.number), Own());
      local_.out.Send(to, std::move(leave), Outbox::kReplyReserve, local_.now());
    }
  }

  membership::LocalState local_;
  membership::Prober prober_;
  membership::SuspicionTracker suspicion_;
  TierView view_;
  BadLinks links_;
  Time warm_up_until_ = 0, ping_at_ = 0, step_at_ = 0, urgent_at_ = 0, next_links_at_ = 0, refute_until_ = 0;
  bool urgent_ = false;
  int leave_repeats_left_ = 0;
};

Membership::Membership(const Identity& identity, std::uint64_t life, std::uint64_t seed, Time now)
    : state_(std::make_unique<State>(identity, life, seed, now)) {}
Membership::~Membership() = default;

void Membership::RecordContact(int peer, Time now) { state_->Advance(now), state_->RecordContact(peer); }
void Membership::Refused(int peer, Time now) { state_->Advance(now), state_->Refused(peer); }
void Membership::Leave(Time now) { state_->Advance(now), state_->Leave(); }
void Membership::Beat(Time now) { state_->Advance(now); }
Time Membership::DueAt() const { return state_->DueAt(); }

std::vector<PeerProtocol::Datagram> Membership::MakeDatagrams(Time now) {
  state_->Advance(now);
  return state_->MakeDatagrams();
}

bool Membership::HandleMessage(int peer, std::string_view body, Time now) {
  state_->Advance(now);
  return state_->HandleMessage(peer, body);
}

const TierView& Membership::View() const { return state_->view(); }

}  // namespace lichenlug
