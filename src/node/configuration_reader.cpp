#include "node/configuration_reader.h"

#include <algorithm>
#include <utility>

namespace lichenlug::node {

namespace {

constexpr Time kReadInterval = 300 * kMillisecond;
constexpr Time kReadTimeout = 800 * kMillisecond;
constexpr Time kDistributionTime =
    400 * kMillisecond;  // after an accept, if its proposer is alive and has a fast link
constexpr std::size_t kMinBytesPerMillisecond = 1000;  // most of a 10 Mbit/s link
constexpr Time kMaxBaseWait = kSecond;                 // the random wait is up to twice as long
constexpr Time kMaxTotalWait = 2 * kSecond;  // after the first accept, regardless of how many follow

}  // namespace

void ConfigurationReader::OnAcceptRequest(Time now, std::size_t bytes_to_all) {
  if (!accept_check_at_) check_deadline_ = now + kMaxTotalWait;
  bytes_to_all_ = bytes_to_all;
  accept_check_at_ = std::min(now + RandomWait(), check_deadline_);
}

Time ConfigurationReader::RandomWait() {
  const Time to_send = static_cast<Time>(bytes_to_all_ / kMinBytesPerMillisecond) * kMillisecond;
  const Time base_wait = std::min(kDistributionTime + to_send, kMaxBaseWait);
  return std::uniform_int_distribution<Time>(base_wait, 2 * base_wait)(random_);
}

void ConfigurationReader::RegistersKnown(Time now) { next_read_ = now; }

void ConfigurationReader::Confirmed() { confirmed_ = true; }

void ConfigurationReader::Installed() { accept_check_at_.reset(); }

std::optional<ConfigurationReader::Read> ConfigurationReader::Next(Time now) {
  if (in_flight_) return std::nullopt;
  if (accept_check_at_ && now >= *accept_check_at_) {
    accept_check_at_.reset();
    return Begin(now, /*push=*/true);
  }
  if (!confirmed_ && now >= next_read_) return Begin(now, /*push=*/false);
  return std::nullopt;
}

ConfigurationReader::Read ConfigurationReader::Begin(Time now, bool push) {
  next_read_ = now + kReadInterval;
  in_flight_ = Read{push, now + kReadTimeout};
  return *in_flight_;
}

void ConfigurationReader::Completed(Time now, bool answered) {
  const std::optional<Read> read = std::exchange(in_flight_, std::nullopt);
  if (read && read->push && !answered) OnAcceptRequest(now, bytes_to_all_);
}

std::optional<Time> ConfigurationReader::NextTimer() const {
  if (in_flight_) return std::nullopt;
  if (confirmed_) return accept_check_at_;
  return accept_check_at_ ? std::min(*accept_check_at_, next_read_) : next_read_;
}

}  // namespace lichenlug::node
