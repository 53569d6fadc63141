#include "peers/membership_codec.h"

#include <concepts>

namespace lichenlug::membership {
namespace {

constexpr int kVersion = 1, kHasSlice = 1, kFact = 1, kLinks = 2, kLeft = 1, kDead = 2;
constexpr int kCountShift = 4, kWeightShift = 14, kLifeBytes = 7;

void Put(std::string* bytes, std::uint64_t value, int count) {
  for (int i = 0; i < count; ++i) *bytes += static_cast<char>(value >> (8 * i) & 0xff);
}

// Past the end it returns zeros and clears good().
class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}
  std::size_t remaining() const { return bytes_.size() - at_; }
  bool good() const { return good_; }
  void Require(bool condition) { good_ = good_ && condition; }

  std::uint64_t Get(int count) {
    if (remaining() < static_cast<std::size_t>(count)) return good_ = false, 0;
    std::uint64_t value = 0;
    for (int i = 0; i < count; ++i)
      value |= std::uint64_t{static_cast<std::uint8_t>(bytes_[at_++])} << (8 * i);
    return value;
  }
  template <std::unsigned_integral T>
  T Get() {
    return static_cast<T>(Get(sizeof(T)));
  }

 private:
  std::string_view bytes_;
  std::size_t at_ = 0;
  bool good_ = true;
};

void PutFact(std::string* bytes, std::uint16_t number, const Fact& fact) {
  Put(bytes, kFact, 1), Put(bytes, number, 2), Put(bytes, fact.life, kLifeBytes);
  Put(bytes, fact.incarnation, 2), Put(bytes, fact.round, 1), Put(bytes, fact.zone, 1);
  Put(bytes, (fact.left ? kLeft : 0) | (fact.dead ? kDead : 0) | fact.accusers.size() << kCountShift, 1);
  for (const Accuser& it : fact.accusers)
    Put(bytes, static_cast<unsigned>(it.weight) << kWeightShift | it.number, 2), Put(bytes, it.zone, 1);
}

void GetFact(Reader* in, int tier, Message* message) {
  const auto number = in->Get<std::uint16_t>();
  Fact fact;
  fact.life = in->Get(kLifeBytes);
  fact.incarnation = in->Get<std::uint16_t>();
  fact.round = in->Get<std::uint8_t>(), fact.zone = in->Get<std::uint8_t>();
  const int flags = in->Get<std::uint8_t>(), count = flags >> kCountShift;
  fact.left = flags & kLeft, fact.dead = flags & kDead;
  in->Require(number < tier && fact.life != 0 && (flags & 0xc) == 0 &&
              count <= Fact::kMaxPerZone * Fact::kMaxZones);
  for (int i = 0; i < count && in->good(); ++i) {
    const auto packed_accuser = in->Get<std::uint16_t>();
    const auto zone = in->Get<std::uint8_t>();
    const int weight = packed_accuser >> kWeightShift, accuser = packed_accuser & ((1 << kWeightShift) - 1);
    in->Require(weight <= static_cast<int>(Weight::kRefused) && accuser < tier && accuser != number);
    fact.accusers.push_back({static_cast<std::uint16_t>(accuser), zone, static_cast<Weight>(weight)});
  }
  message->facts.emplace_back(number, std::move(fact));
}

void PutLinks(std::string* bytes, std::uint16_t number, const BadLinks& links) {
  Put(bytes, kLinks, 1), Put(bytes, number, 2), Put(bytes, links.life, kLifeBytes);
  Put(bytes, links.version, 2), Put(bytes, links.silent.size(), 1);
  for (const std::uint16_t it : links.silent) Put(bytes, it, 2);
}

void GetLinks(Reader* in, int tier, Message* message) {
  const auto number = in->Get<std::uint16_t>();
  BadLinks links;
  links.life = in->Get(kLifeBytes);
  links.version = in->Get<std::uint16_t>();
  const std::size_t count = in->Get<std::uint8_t>();
  in->Require(number < tier && links.life != 0 && count <= BadLinks::kMax);
  for (std::size_t i = 0; i < count && in->good(); ++i) {
    links.silent.push_back(in->Get<std::uint16_t>());
    in->Require(links.silent.back() < tier);
  }
  message->links.emplace_back(number, std::move(links));
}

}  // namespace

std::size_t SizeOf(const Fact& fact) { return 15 + 3 * fact.accusers.size(); }
std::size_t SizeOf(const BadLinks& links) { return 13 + 2 * links.silent.size(); }

std::string EncodeMessage(const Message& message) {
  std::string bytes;
  Put(&bytes, kVersion << 4 | static_cast<int>(message.kind), 1);
  Put(&bytes, message.nonce, 2), Put(&bytes, message.other, 2), Put(&bytes, message.slice ? kHasSlice : 0, 1);
  if (message.slice) Put(&bytes, message.slice->index, 1), Put(&bytes, message.slice->hash, 4);
  for (const auto& [number, fact] : message.facts)
    if (bytes.size() + SizeOf(fact) <= PeerProtocol::kMaxBody) PutFact(&bytes, number, fact);
  for (const auto& [number, links] : message.links)
    if (bytes.size() + SizeOf(links) <= PeerProtocol::kMaxBody) PutLinks(&bytes, number, links);
  return bytes;
}

std::optional<Message> DecodeMessage(std::string_view body, int tier) {
  if (body.size() > PeerProtocol::kMaxBody + 1) return std::nullopt;
  Reader in(body);
  Message message;
  const auto head = in.Get<std::uint8_t>();
  message.kind = static_cast<Kind>(head & 0xf);
  message.nonce = in.Get<std::uint16_t>(), message.other = in.Get<std::uint16_t>();
  const auto flags = in.Get<std::uint8_t>();
  in.Require(head >> 4 == kVersion && message.kind >= Kind::kPing && message.kind <= Kind::kGossip &&
             flags <= kHasSlice && (message.other == kNoMember || message.other < tier));
  if (in.good() && flags == kHasSlice) {
    message.slice.emplace();
    message.slice->index = in.Get<std::uint8_t>(), message.slice->hash = in.Get<std::uint32_t>();
  }
  while (in.good() && in.remaining() > 0) {
    const auto tag = in.Get<std::uint8_t>();
    if (tag == kFact)
      GetFact(&in, tier, &message);
    else if (tag == kLinks)
      GetLinks(&in, tier, &message);
    else
      in.Require(tag == 0 && in.remaining() == 0);
  }
  if (!in.good()) return std::nullopt;
  return message;
}

}  // namespace lichenlug::membership
