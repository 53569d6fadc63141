#include "controlplane/configuration_reader.h"

#include <algorithm>
#include <utility>

namespace lichenlug::controlplane {

namespace {

constexpr Time kReadEvery = 300 * kMillisecond;
constexpr Time kReadGiveUp = 800 * kMillisecond;
constexpr Time kLearnAccepted = 250 * kMillisecond;  // a push usually comes sooner after an accept

}  // namespace

void ConfigurationReader::Accepting(Time now) {
  if (!check_accepted_at_) check_accepted_at_ = now + kLearnAccepted;
}

void ConfigurationReader::RegistersKnown(Time now) { next_read_ = now; }

void ConfigurationReader::Confirmed() { confirmed_ = true; }

void ConfigurationReader::Installed() { check_accepted_at_.reset(); }

std::optional<ConfigurationReader::Read> ConfigurationReader::Next(Time now) {
  if (under_way_) return std::nullopt;
  if (check_accepted_at_ && now >= *check_accepted_at_) {
    check_accepted_at_.reset();
    return Begin(now, /*push=*/true);
  }
  if (!confirmed_ && now >= next_read_) return Begin(now, /*push=*/false);
  return std::nullopt;
}

ConfigurationReader::Read ConfigurationReader::Begin(Time now, bool push) {
  next_read_ = now + kReadEvery;
  under_way_ = Read{push, now + kReadGiveUp};
  return *under_way_;
}

void ConfigurationReader::Completed(Time now, bool answered) {
  const std::optional<Read> read = std::exchange(under_way_, std::nullopt);
  if (read && read->push && !answered) Accepting(now);
}

std::optional<Time> ConfigurationReader::NextTimer() const {
  if (under_way_) return std::nullopt;
  if (confirmed_) return check_accepted_at_;
  return check_accepted_at_ ? std::min(*check_accepted_at_, next_read_) : next_read_;
}

}  // namespace lichenlug::controlplane
