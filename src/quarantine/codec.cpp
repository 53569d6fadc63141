#include "quarantine/codec.h"

#include <algorithm>

namespace lichenlug {
namespace {

constexpr Time kMaxClaim = 60 * kSecond;  // of an attempt: no message may delay a job for longer

void Put(std::string* bytes, const Attempt& it, Time now) {
  PutNumber(bytes, it.epoch);
  PutNumber(bytes, static_cast<std::uint16_t>((it.home & 0x7fff) | (it.running ? 0x8000 : 0)));
  PutNumber(bytes, it.lost);
  const Time left = std::clamp<Time>(it.until - now, 0, kMaxClaim) / (10 * kMillisecond);
  PutNumber(bytes, static_cast<std::uint16_t>(left));
}

Attempt TakeAttempt(ByteReader* in, Time now) {
  Attempt it;
  it.epoch = in->Number<std::uint16_t>();
  const auto home = in->Number<std::uint16_t>();
  it.home = home & 0x7fff, it.running = (home & 0x8000) != 0;
  it.lost = in->Number<std::uint8_t>();
  const Time left = in->Number<std::uint16_t>() * (10 * kMillisecond);
  if (left > 0) it.until = now + std::min(left, kMaxClaim);
  return it;
}

void Put(std::string* bytes, const Sign& it, Time now) {
  PutNumber(bytes, it.runner);
  PutNumber(bytes, it.life);
  PutNumber(bytes, it.runner_kind);
  PutNumber(bytes, it.zone);
  PutNumber(bytes, static_cast<std::uint8_t>(it.what));
  PutNumber(bytes, it.weight);
  PutNumber(bytes, static_cast<std::uint16_t>(std::clamp<Time>((now - it.at) / kSecond, 0, UINT16_MAX)));
}

std::optional<Sign> TakeSign(ByteReader* in, Time now) {
  Sign it;
  it.runner = in->Number<std::uint32_t>();
  it.life = in->Number<std::uint16_t>();
  it.runner_kind = in->Number<std::uint8_t>();
  it.zone = in->Number<std::uint8_t>();
  const auto what = in->Number<std::uint8_t>();
  it.weight = in->Number<std::uint8_t>();
  it.at = now - in->Number<std::uint16_t>() * kSecond;
  if (what < static_cast<int>(Outcome::kSucceeded) || what > static_cast<int>(Outcome::kDied))
    return std::nullopt;
  it.what = static_cast<Outcome>(what);
  return it;
}

}  // namespace

std::string Encode(const Fingerprint& job, const Ticket& ticket, Time now, std::size_t max_bytes) {
  std::string bytes;
  PutNumber(&bytes, job.high), PutNumber(&bytes, job.low);
  PutNumber(&bytes, ticket.tenant), PutNumber(&bytes, ticket.job_class);
  PutNumber(&bytes, ticket.generation), PutNumber(&bytes, ticket.condemned_until);
  PutNumber(&bytes, ticket.failed_trials);
  Put(&bytes, ticket.attempt, now);
  const auto& signs = ticket.evidence.signs();
  const auto& dots = ticket.decisions.dots();
  PutNumber(&bytes, static_cast<std::uint8_t>(signs.size() << 4 | dots.size()));
  for (const Sign& sign : signs) Put(&bytes, sign, now);
  for (const Decisions::Dot& dot : dots) {
    PutNumber(&bytes, dot.by), PutNumber(&bytes, dot.count);
    PutNumber(&bytes, static_cast<std::uint8_t>(dot.what)), PutNumber(&bytes, dot.until);
  }
  if (bytes.size() + ticket.line.size() <= max_bytes) bytes += ticket.line;
  return bytes;
}

std::optional<std::pair<Fingerprint, Ticket>> Decode(std::string_view record, Time now) {
  ByteReader in(record);
  Fingerprint job;
  Ticket it;
  job.high = in.Number<std::uint64_t>(), job.low = in.Number<std::uint64_t>();
  it.tenant = in.Number<std::uint64_t>(), it.job_class = in.Number<std::uint32_t>();
  it.generation = in.Number<std::uint16_t>(), it.condemned_until = in.Number<std::uint32_t>();
  it.failed_trials = in.Number<std::uint8_t>();
  it.attempt = TakeAttempt(&in, now);
  const auto sizes = in.Number<std::uint8_t>();
  for (int i = 0; i < sizes >> 4; ++i) {
    const std::optional<Sign> sign = TakeSign(&in, now);
    if (!sign || !in.good()) return std::nullopt;
    it.evidence.Add(*sign);
  }
  for (int i = 0; i < (sizes & 0xf); ++i) {
    Decisions::Dot dot{.by = in.Number<std::uint32_t>(), .count = in.Number<std::uint16_t>()};
    const auto what = in.Number<std::uint8_t>();
    dot.until = in.Number<std::uint32_t>();
    if (!in.good() || what > static_cast<int>(Decision::kDiscarded) || dot.count == 0) return std::nullopt;
    dot.what = static_cast<Decision>(what);
    it.decisions.Load(dot);
  }
  if (!in.good() || in.left() > kMaxDescription) return std::nullopt;
  it.line = in.Text(in.left());
  for (char& c : it.line)
    if (c < ' ' || c > '~') c = '?';
  return std::pair(job, it);
}

}  // namespace lichenlug
