#include "checkpoints/lending.h"

#include <algorithm>
#include <bit>

namespace lichenlug {
namespace {

constexpr std::size_t kRequestBytes = 1 + 4 + 8 + 8 + 8, kGrantBytes = 1 + 4 + 8 + 8;
constexpr std::size_t kMaxLeases = 64;  // of one borrower; further requests are ignored until a lease expires

void Append(std::string* bytes, std::uint64_t value, int count) {
  for (int i = 0; i < count; ++i) *bytes += static_cast<char>(value >> (8 * i) & 0xff);
}

std::uint64_t ReadNumber(std::string_view* bytes, int count) {
  std::uint64_t value = 0;
  for (int i = 0; i < count; ++i)
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>((*bytes)[static_cast<std::size_t>(i)]))
             << (8 * i);
  bytes->remove_prefix(static_cast<std::size_t>(count));
  return value;
}

// Whether the body has the given size, optionally with one trailing zero byte.
bool HasSize(std::string_view body, std::size_t size) {
  return body.size() == size || (body.size() == size + 1 && body.back() == '\0');
}

}  // namespace

Lending::Lending(const Place& place, Amount bound, std::uint64_t life, Time now)
    : number_(place.number),
      tier_(std::max(1, place.tier)),
      own_(bound / tier_),
      life_(life),
      quiet_until_(now + kLease + kMargin),
      next_peer_(place.number) {}

Amount Lending::LentOut(Time now) const {
  Amount sum = 0;
  for (const auto& [peer, borrower] : borrowers_) {
    Amount max_amount = 0;
    for (const Lent& lease : borrower.leases)
      if (now < lease.end) max_amount = std::max(max_amount, lease.amount);
    sum += max_amount;
  }
  return sum;
}

Amount Lending::Allowed(Time now) const {
  if (now < quiet_until_) return 0;
  Amount sum = own_ - LentOut(now);
  for (const auto& [peer, lender] : lenders_)
    if (now < lender.end) sum += lender.amount;
  return sum;
}

Time Lending::LeaseEnd(Time now) const {
  Time end = now + kLease;
  for (const auto& [peer, lender] : lenders_)
    if (now < lender.end && lender.amount > 0) end = std::min(end, lender.end);
  return end;
}

void Lending::SetDemand(Amount used, Amount additional, double gain, Time now) {
  used_ = used, additional_ = additional, gain_ = gain;
  if (additional_ > 0) next_request_ = std::max(next_request_, now);
}

std::vector<PeerProtocol::Datagram> Lending::MakeRequests(const TierView& tier, Time now) {
  std::vector<PeerProtocol::Datagram> datagrams;
  // Leases in use are renewed before they expire.
  Amount borrowed = 0;
  for (const auto& [peer, lender] : lenders_)
    if (now < lender.end) borrowed += lender.amount;
  const Amount needed = std::min(borrowed, std::max<Amount>(0, used_ - (own_ - LentOut(now)))) + additional_;
  if (needed <= 0 || now < next_request_ || now < quiet_until_ || tier.members.empty()) return datagrams;
  next_request_ = now + kRequestPeriod;
  const auto request = [&](int peer, Amount amount) {
    Lender& lender = lenders_[peer];
    lender.request = ++requests_, lender.requested_at = now;
    std::string body(1, kRequestMessage);
    Append(&body, lender.request, 4), Append(&body, life_, 8);
    Append(&body, static_cast<std::uint64_t>(amount), 8),
        Append(&body, std::bit_cast<std::uint64_t>(gain_), 8);
    datagrams.push_back({peer, body});
  };
  for (const auto& [peer, lender] : lenders_)
    if (now < lender.end && lender.amount > 0 && lender.end - now < kLease / 2 &&
        now - lender.requested_at > kRequestPeriod)
      request(peer, lender.amount + additional_ / kMaxConcurrentRequests);
  if (additional_ <= 0) return datagrams;
  const int size = static_cast<int>(tier.members.size());
  for (int i = 0, sent = 0; i < size && sent < kMaxConcurrentRequests; ++i) {
    next_peer_ = (next_peer_ + 1) % size;
    const TierMember& member = tier.members[static_cast<std::size_t>(next_peer_)];
    if (member.number == number_ || !TierView::Counts(member.status)) continue;
    if (const auto at = lenders_.find(member.number); at != lenders_.end() && now < at->second.end) {
      if (at->second.amount > 0) continue;
    }
    request(member.number, additional_), ++sent;
  }
  return datagrams;
}

bool Lending::HandleMessage(int peer, std::string_view body, Time now,
                            std::vector<PeerProtocol::Datagram>* answers) {
  if (body.empty() || peer == number_ || peer < 0 || peer >= tier_) return false;
  if (body[0] == kRequestMessage)
    return HasSize(body, kRequestBytes) && HandleRequest(peer, body.substr(1), now, answers);
  return body[0] == kGrantMessage && HasSize(body, kGrantBytes) && HandleGrant(peer, body.substr(1), now);
}

bool Lending::HandleRequest(int peer, std::string_view body, Time now,
                            std::vector<PeerProtocol::Datagram>* answers) {
  const auto request = static_cast<std::uint32_t>(ReadNumber(&body, 4));
  const std::uint64_t life = ReadNumber(&body, 8);
  const auto requested = static_cast<Amount>(ReadNumber(&body, 8));
  const auto gain = std::bit_cast<double>(ReadNumber(&body, 8));
  if (requested <= 0 || !(gain >= 0)) return false;
  Borrower& borrower = borrowers_[peer];
  if (life < borrower.life || (life == borrower.life && request <= borrower.request))
    return true;  // duplicate or outdated
  borrower.life = life, borrower.request = request;
  std::erase_if(borrower.leases, [now](const Lent& it) { return it.end <= now; });
  Amount held = 0;
  for (const Lent& lease : borrower.leases) held = std::max(held, lease.amount);
  const Amount lendable = own_ - own_ / 4 - LentOut(now) + held;
  const Amount free = Allowed(now) - used_ + held;
  Amount amount_lent = std::min({requested, lendable, free});
  if (now < quiet_until_) amount_lent = 0;
  if (gain_ > 0 && gain > kMinGainRatio * gain_ && amount_lent < requested && lendable > amount_lent)
    yield_ = std::min(requested, lendable) / 2, yield_until_ = now + kLease;
  if (gain <= kMinGainRatio * gain_) amount_lent = std::min(amount_lent, held);
  if (amount_lent <= 0 || borrower.leases.size() >= kMaxLeases) return true;
  borrower.leases.push_back({amount_lent, now + kLease + kMargin});
  std::string grant(1, kGrantMessage);
  Append(&grant, request, 4), Append(&grant, life, 8),
      Append(&grant, static_cast<std::uint64_t>(amount_lent), 8);
  answers->push_back({peer, grant});
  return true;
}

bool Lending::HandleGrant(int peer, std::string_view body, Time now) {
  const auto request = static_cast<std::uint32_t>(ReadNumber(&body, 4));
  const std::uint64_t life = ReadNumber(&body, 8);
  const auto amount = static_cast<Amount>(ReadNumber(&body, 8));
  const auto at = lenders_.find(peer);
  if (amount <= 0 || amount > own_) return false;
  // A grant for an earlier request is ignored: the lender counts the maximum of a borrower's leases, not
  // their sum.
  if (life != life_ || at == lenders_.end() || at->second.request != request) return true;
  Lender& lender = at->second;
  const Time end = lender.requested_at + kLease;
  if (end <= now) return true;
  lender.amount = amount, lender.end = end;
  return true;
}

}  // namespace lichenlug
