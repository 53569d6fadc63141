#include "peers/peers.h"

#include <utility>

namespace lichenlug {
namespace {

constexpr Time kBetweenLines = kSecond;
constexpr int kMostNamed = 8;  // dispatchers in one line

const char* Word(Standing standing) {
  switch (standing) {
    case Standing::kLeft:
      return "left";
    case Standing::kDead:
      return "dead";
    case Standing::kCutOff:
      return "cut off from here";
    case Standing::kUnknown:
      return "never heard";
    case Standing::kJoining:
      return "joining";
    default:
      return "there";
  }
}

// A suspicion that is not over yet is no news to people.
Standing ForPeople(Standing standing) { return TierView::Counts(standing) ? Standing::kAlive : standing; }

}  // namespace

Peers::Peers(asio::io_context& io, const PeerSettings& settings, int zone, int classes, std::uint64_t seed,
             Deadlines* deadlines, HoldingsHeard* heard, std::function<void(const TierView&)> seen,
             std::function<void(const std::string&)> log)
    : deadlines_(deadlines),
      holdings_(seed, {settings.own_number, static_cast<int>(settings.peers.size()), zone}, classes, heard),
      transport_(io, settings, &holdings_, deadlines),
      seen_(std::move(seen)),
      log_(std::move(log)) {
  if (!settings.membership) return;
  const Time now = deadlines->Now();
  membership_.emplace(
      Membership::Place{settings.own_number, static_cast<int>(settings.peers.size()), settings.own_zone},
      static_cast<std::uint64_t>(now), seed, now);
  transport_.Host(extension::Kind::kMembership, &*membership_, static_cast<int>(seed % 8));
  transport_.OnTurn([this](int peer) {
    if (peer != kUnheard) membership_->Evidence(peer, deadlines_->Now());
    Look();
  });
  said_.assign(settings.peers.size(), Standing::kUnknown);
}

void Peers::Start() { transport_.Start(); }

void Peers::Leave() {
  if (!membership_) return;
  membership_->Leave(deadlines_->Now());
  transport_.Changed();
}

void Peers::Hold(const std::string& runner, double slots) {
  holdings_.Hold(runner, slots, deadlines_->Now());
  transport_.Changed();
}

void Peers::Failed(const std::string& runner, int cls) {
  holdings_.Failed(runner, cls, deadlines_->Now());
  transport_.Changed();
}

void Peers::Look() {
  const TierView& view = membership_->View();
  if (std::exchange(version_, view.version) == view.version) return;
  holdings_.See(view, deadlines_->Now());
  seen_(view);
  if (std::exchange(to_say_, true)) return;
  deadlines_->Add(deadlines_->Now() + kBetweenLines, [this] {
    to_say_ = false;
    Say(membership_->View());
  });
}

// One line for all that has changed since the last one.
void Peers::Say(const TierView& view) {
  std::string changes;
  int changed = 0;
  for (const TierMember& member : view.members) {
    const Standing standing = ForPeople(member.standing);
    if (std::exchange(said_[member.number], standing) == standing || member.number == view.own) continue;
    if (++changed <= kMostNamed)
      changes += (changed == 1 ? " " : ", ") + std::to_string(member.number) + " " + Word(standing);
  }
  if (changed == 0) return;
  log_("sees " + std::to_string(view.present()) + " of " + std::to_string(view.members.size()) +
       " dispatchers:" + changes +
       (changed > kMostNamed ? " and " + std::to_string(changed - kMostNamed) + " more" : ""));
}

}  // namespace lichenlug
