#include "peers/relay.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace lichenlug {
namespace {

constexpr std::size_t kMaxFailures = 32;  // pending reports; more in one interval add no information

std::string Head(int version, int life, int number) {
  return {static_cast<char>(version << 6 | life << 3 | number)};
}

}  // namespace

Relay::Relay(int life, int number, int tier, int zone, Sums* sums)
    : life_(life), number_(number), tier_(tier), zone_(zone), sums_(sums), served_at_(-kServes) {
  ranked_[zone_].push_back({Rank(number_), number_});
}

std::uint64_t Relay::Rank(int peer) { return XXH64(&peer, sizeof peer, 0); }

void Relay::Met(int peer, int zone) {
  const int before = std::exchange(peers_[peer].zone, zone);
  if (before == zone) return;
  const std::pair<std::uint64_t, int> rank{Rank(peer), peer};
  std::erase(ranked_[before], rank);
  auto& ranked = ranked_[zone];
  ranked.insert(std::ranges::lower_bound(ranked, rank), rank);
}

void Relay::Restarted(int peer) {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return;
  for (const auto& [runner, said] : it->second.word.told) Change(runner, -said.slots, it->second.word.at);
  Drop(&it->second.word), Drop(&it->second.digest);
  it->second.tried_in_vain = 0;
  relays_.erase(peer);
}

void Relay::Drop(Stream* stream) {
  for (const auto& [runner, said] : stream->told) sums_->Add(runner, -said.slots);
  *stream = {};
}

void Relay::Due(Time at) {
  if (due_at_ == 0 || at < due_at_) due_at_ = at;
}

void Relay::Hold(const std::string& runner, double slots, Time now) {
  const ShortId id = Sums::Short(runner);
  Group& group = groups_[sums_->ZoneOf(runner)];
  double& held = group.held[id];
  const int before = SlotsToSay(held);
  held = std::max(0.0, held + slots);
  const int more = SlotsToSay(held) - before;
  if (held < 0.5) group.held.erase(id);
  if (group.home == number_) Change(id, more, now);
  group.untold = true;
  Due(now);
}

void Relay::Failed(const std::string& runner, int cls, Time now) {
  if (cls < 0 || cls >= kMaxClasses) return;
  Group& group = groups_[sums_->ZoneOf(runner)];
  if (group.failed.size() < kMaxFailures)
    group.failed.push_back(static_cast<std::uint16_t>(Sums::Short(runner) << 4 | (kFailed + cls)));
  Due(now);
}

int Relay::HomeOf(int zone) const {
  const auto it = groups_.find(zone);
  return it == groups_.end() ? kUnheard : it->second.home;
}

bool Relay::KnowsNobody() const {
  return std::ranges::any_of(
      groups_, [](const auto& group) { return group.second.home == kUnheard && !group.second.held.empty(); });
}

// Selects the best-ranked active relay, else the best-ranked dispatcher that wasn't tried in vain recently.
// The ranking of its own zone includes this dispatcher, which is selected when all others were tried in vain.
void Relay::Choose(int zone, Group* group, Time now) {
  if (group->home != kUnheard && group->home != number_) {
    Peer& home = peers_[group->home];
    const bool new_one = home.digest.at < group->chosen;
    if (now - std::max(group->chosen, home.digest.at) >= (new_one ? kAnswers : kSilent))
      home.tried_in_vain = now;
  }
  const auto hears = [&](int peer) {
    if (peer == number_) return Serves(now);
    const Peer& it = peers_[peer];
    return it.digest.at != 0 && now - it.digest.at < kSilent;
  };
  const auto worth_a_try = [&](int peer) {
    return peer == number_ || peers_[peer].tried_in_vain == 0 ||
           now - peers_[peer].tried_in_vain >= kTriedInVain;
  };
  int at_work = kUnheard, worth = kUnheard;
  for (const auto& [rank, peer] : ranked_[zone]) {
    if (worth == kUnheard && worth_a_try(peer)) worth = peer;
    if (hears(peer)) {
      at_work = peer;
      break;
    }
  }
  const int home = at_work != kUnheard ? at_work : worth;
  const int before = std::exchange(group->home, home);
  if (before == home) return;
  group->chosen = now;
  if (before == number_)
    for (const auto& [runner, slots] : group->held) Change(runner, -SlotsToSay(slots), now);
  if (home == number_)
    for (const auto& [runner, slots] : group->held) Change(runner, SlotsToSay(slots), now);
}

std::vector<Relay::Datagram> Relay::MakeDatagrams(Time now) {
  std::vector<Datagram> all;
  if (due_at_ == 0 || now < due_at_) return all;
  due_at_ = 0;
  for (auto& [zone, group] : groups_) TellWord(zone, &group, now, &all);
  if (Serves(now)) TellMembers(now, &all), TellDigests(now, &all);
  return all;
}

void Relay::TellWord(int zone, Group* group, Time now, std::vector<Datagram>* all) {
  if (group->held.empty() && group->failed.empty() && !group->untold) return;
  const int before = group->home;
  if (group->untold || !group->failed.empty() || now - group->said >= kRepeat) {
    Choose(zone, group, now);
    const int home = group->home;
    if (before != home && before != kUnheard && before != number_)
      all->push_back({before, Head(kWord, life_, group->number)});  // switched away
    if (home == number_) {
      served_at_ = now;
      for (const std::uint16_t entry : group->failed)
        if (sums_->Accuse(entry, number_, now) && agreed_.size() < kMaxFailures) agreed_.push_back(entry);
    } else if (home != kUnheard) {
      std::string bytes = Head(kWord, life_, group->number);
      for (const std::uint16_t entry : group->failed) AppendEntry(&bytes, entry >> 4, entry & 0xf);
      for (const auto& [runner, slots] : group->held)
        if (bytes.size() + kEntry <= kMaxBytes)
          AppendEntry(&bytes, runner, SlotsToSay(slots));
        else
          ++left_out_;
      all->push_back({home, std::move(bytes)});
    }
    group->number = (group->number + 1) % 8;
    group->failed.clear(), group->said = now, group->untold = false;
  }
  if (!group->held.empty()) Due(group->said + kRepeat);
}

void Relay::TellDigests(Time now, std::vector<Datagram>* all) {
  bool changed = !agreed_.empty();
  for (const auto& [runner, sum] : total_) changed = changed || sum.changed;
  const Time at = digest_at_ + (changed ? kGather : kBeat);
  if (now < at) return Due(at);
  digest_at_ = now;
  std::vector<ShortId> said;  // changed, or due to be repeated
  for (auto& [runner, sum] : total_) {
    if (!sum.changed && now - sum.told < kWholeInterval) continue;
    said.push_back(runner);
    sum.changed = false, sum.told = now;
  }
  std::size_t at_runner = 0;
  do {
    std::string base = Head(kDigest, life_, digest_number_);
    digest_number_ = (digest_number_ + 1) % 8;
    const auto fits = [&base] { return base.size() + kEntry <= kMaxBytes; };
    for (; !agreed_.empty() && fits(); agreed_.pop_back())
      AppendEntry(&base, agreed_.back() >> 4, agreed_.back() & 0xf);
    const std::size_t first = base.size(), from = at_runner;
    for (; at_runner < said.size() && fits(); ++at_runner) AppendEntry(&base, said[at_runner], 0);
    TellDigest(base, first, {said.begin() + from, said.begin() + at_runner}, now, all);
  } while (at_runner < said.size() || !agreed_.empty());
  std::erase_if(total_, [now](const auto& entry) {
    const Sum& sum = entry.second;
    return sum.slots == 0 && !sum.changed && now - sum.empty_since >= kDigestFade;
  });
  Due(now + kGather);
}

// The best active relay that ranks before this one; kUnheard: none.
int Relay::Better(Time now) const {
  std::pair best{Rank(number_), kUnheard};
  for (const int relay : relays_)
    if (now - peers_.at(relay).digest.at < kSilent) best = std::min(best, {Rank(relay), relay});
  return best.second;
}

// `runners`: those whose entries begin at byte `first` of `base`. Their sums are filled in per receiver, as
// the receiver's own part is left out.
void Relay::TellDigest(const std::string& base, std::size_t first, const std::vector<ShortId>& runners,
                       Time now, std::vector<Datagram>* all) {
  const bool best = Better(now) == kUnheard;
  for (auto& [number, peer] : peers_) {
    if (peer.zone != zone_) {  // needs no sums of this zone, only an acknowledgement of its updates
      if (!best || peer.word.told.empty() || now - peer.answered < kBeat) continue;
      peer.answered = now;
      all->push_back({number, base.substr(0, 1)});
      continue;
    }
    all->push_back({number, base});
    for (std::size_t i = 0; i < runners.size(); ++i) {
      const auto own = peer.word.told.find(runners[i]);
      const int slots = total_[runners[i]].slots - (own == peer.word.told.end() ? 0 : own->second.slots);
      all->back().bytes[first + kEntry * i + 1] |= static_cast<char>(std::clamp(slots, 0, kMaxSlots));
    }
  }
}

void Relay::TellMembers(Time now, std::vector<Datagram>* all) {
  const int home = Better(now);
  if (home == kUnheard || now - members_at_ < kBeat) return;
  members_at_ = now;
  std::string bytes = Head(kMembers, life_, 0);
  const auto send = [&] {
    if (bytes.size() > 1) all->push_back({home, std::exchange(bytes, Head(kMembers, life_, 0))});
  };
  for (const auto& [number, peer] : peers_) {
    if (peer.word.told.empty() || peer.zone != zone_ || number == home) continue;
    bytes += static_cast<char>(number >> 8), bytes += static_cast<char>(number & 0xff);
    if (bytes.size() + kEntry > kMaxBytes) send();
  }
  send();
}

void Relay::Members(std::string_view numbers) {
  for (std::size_t at = 0; at + kEntry <= numbers.size(); at += kEntry) {
    const int number = EntryAt(numbers, at);
    if (number < tier_ && number != number_ && peers_[number].zone == kUnheard) Met(number, zone_);
  }
}

void Relay::Change(ShortId runner, int more, Time now) {
  if (more == 0) return;
  Sum& sum = total_[runner];
  sum.slots += more, sum.changed = true;
  if (sum.slots == 0) sum.empty_since = now;
}

bool Relay::HandleMessage(int peer, std::string_view bytes, Time now) {
  if (bytes.empty() || bytes.size() > kMaxBytes || bytes.size() % kEntry == 0) return false;
  const auto head = static_cast<std::uint8_t>(bytes[0]);
  if (head >> 6 == kMembers) return Members(bytes.substr(1)), true;
  Peer& from = peers_[peer];
  if (from.zone == kUnheard) Met(peer, zone_);  // assume this zone until a greeting corrects it
  Stream& stream = head >> 6 == kWord ? from.word : from.digest;
  if (IsOlder(stream.number, stream.at, head & 7, now)) return false;
  stream.number = head & 7, stream.at = now;
  bytes.remove_prefix(1);
  DropSilent(now);
  if (head >> 6 == kDigest && from.zone == zone_ && relays_.insert(peer).second) {
    Group& group = groups_[zone_];  // newly active: send the slots in use to the best-ranked one
    group.untold = group.untold || !group.held.empty();
    Due(now);
  }
  if (head >> 6 == kWord)
    Word(peer, &stream, bytes, now);
  else
    Digest(&stream, bytes, now);
  return true;
}

void Relay::Word(int peer, Stream* stream, std::string_view entries, Time now) {
  served_at_ = now;
  std::map<ShortId, Said> told;
  for (std::size_t at = 0; at + kEntry <= entries.size(); at += kEntry) {
    const std::uint16_t entry = EntryAt(entries, at);
    const int said = entry & 0xf;
    if (said < kFailed)
      told[entry >> 4] = {said, now};
    else if (sums_->Known(entry) && sums_->Accuse(entry, peer, now) && agreed_.size() < kMaxFailures) {
      agreed_.push_back(entry);
      sums_->Failing(entry);
    }
  }
  std::swap(told, stream->told);  // `told`: its previous entries
  const auto change = [&](ShortId runner, int more) { Change(runner, more, now), sums_->Add(runner, more); };
  for (const auto& [runner, said] : stream->told) {
    const auto before = told.find(runner);
    change(runner, said.slots - (before == told.end() ? 0 : before->second.slots));
  }
  for (const auto& [runner, said] : told)
    if (!stream->told.contains(runner)) change(runner, -said.slots);
  Due(std::max(now, digest_at_ + kGather));
}

// Drops the sums of relays that have become silent: their members now send updates to an active relay, which
// would count them twice.
void Relay::DropSilent(Time now) {
  std::erase_if(relays_, [&](int relay) {
    Peer& peer = peers_[relay];
    const bool silent = now - peer.digest.at >= kSilent;
    if (silent) Drop(&peer.digest);
    return silent;
  });
}

void Relay::Digest(Stream* stream, std::string_view entries, Time now) {
  bool any = false;
  for (std::size_t at = 0; at + kEntry <= entries.size(); at += kEntry) {
    const std::uint16_t entry = EntryAt(entries, at);
    const ShortId runner = entry >> 4;
    const int said = entry & 0xf;
    if (said >= kFailed) {
      if (sums_->Known(entry)) sums_->Failing(entry);
      continue;
    }
    Said& told = stream->told[runner];
    const int more = said - std::exchange(told.slots, said);
    told.at = now;
    any = any || more != 0;
    sums_->Add(runner, more);
  }
  if (!any && !stream->told.empty()) sums_->Say(stream->told.begin()->first);
}

void Relay::Fade(Time now) {
  for (auto& [number, peer] : peers_) {
    if (!peer.word.told.empty() && now - peer.word.at >= kWordFade) {
      for (const auto& [runner, said] : peer.word.told) Change(runner, -said.slots, now);
      Drop(&peer.word);
    }
    for (auto it = peer.digest.told.begin(); it != peer.digest.told.end();) {
      if (now - it->second.at < kDigestFade) {
        ++it;
        continue;
      }
      const auto [runner, said] = *it;
      it = peer.digest.told.erase(it);
      sums_->Add(runner, -said.slots);
    }
  }
}

}  // namespace lichenlug
