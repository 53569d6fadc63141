#include "node/configuration_reader.h"

#include <algorithm>
#include <utility>

namespace lichenlug::node {

namespace {

constexpr Time kReadInterval = 300 * kMillisecond;
constexpr Time kReadGiveUp = 800 * kMillisecond;
constexpr Time kToldWithin =
    400 * kMillisecond;  // after an accept, if its proposer is alive and has a fast link
constexpr std::size_t kSlowestBytesPerMillisecond = 1000;  // most of a 10 Mbit/s link
constexpr Time kLongestWait = kSecond;                     // the random wait is up to twice as long
constexpr Time kLatest = 2 * kSecond;  // after the first accept, regardless of how many follow

}  // namespace

void ConfigurationReader::Accepting(Time now, std::size_t bytes_to_all) {
  if (!check_accepted_at_) check_latest_ = now + kLatest;
  bytes_to_all_ = bytes_to_all;
  check_accepted_at_ = std::min(now + DrawWait(), check_latest_);
}

Time ConfigurationReader::DrawWait() {
  const Time to_send = static_cast<Time>(bytes_to_all_ / kSlowestBytesPerMillisecond) * kMillisecond;
  const Time shortest = std::min(kToldWithin + to_send, kLongestWait);
  return std::uniform_int_distribution<Time>(shortest, 2 * shortest)(random_);
}

void ConfigurationReader::RegistersKnown(Time now) { next_read_ = now; }

void ConfigurationReader::Confirmed() { confirmed_ = true; }

void ConfigurationReader::Installed() { check_accepted_at_.reset(); }

std::optional<ConfigurationReader::Read> ConfigurationReader::Next(Time now) {
  if (in_flight_) return std::nullopt;
  if (check_accepted_at_ && now >= *check_accepted_at_) {
    check_accepted_at_.reset();
    return Begin(now, /*push=*/true);
  }
  if (!confirmed_ && now >= next_read_) return Begin(now, /*push=*/false);
  return std::nullopt;
}

ConfigurationReader::Read ConfigurationReader::Begin(Time now, bool push) {
  next_read_ = now + kReadInterval;
  in_flight_ = Read{push, now + kReadGiveUp};
  return *in_flight_;
}

void ConfigurationReader::Completed(Time now, bool answered) {
  const std::optional<Read> read = std::exchange(in_flight_, std::nullopt);
  if (read && read->push && !answered) Accepting(now, bytes_to_all_);
}

std::optional<Time> ConfigurationReader::NextTimer() const {
  if (in_flight_) return std::nullopt;
  if (confirmed_) return check_accepted_at_;
  return check_accepted_at_ ? std::min(*check_accepted_at_, next_read_) : next_read_;
}

}  // namespace lichenlug::node
