// Collects the messages that a transport receives; tests wait for them with a timeout.
#pragma once

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <vector>

#include "messages/generated/envelope.pb.h"

namespace lichenlug::transport {

class Inbox {
 public:
  void Add(messages::Envelope envelope) {
    const std::lock_guard lock(mutex_);
    envelopes_.push_back(std::move(envelope));
    changed_.notify_all();
  }

  bool WaitForOperation(std::uint64_t operation, std::chrono::milliseconds deadline) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, deadline, [&] {
      return std::ranges::any_of(envelopes_, [&](const messages::Envelope& envelope) {
        return envelope.consensus().operation() == operation;
      });
    });
  }

  messages::Envelope Last() {
    const std::lock_guard lock(mutex_);
    return envelopes_.back();
  }

  std::size_t size() {
    const std::lock_guard lock(mutex_);
    return envelopes_.size();
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<messages::Envelope> envelopes_;
};

// Polls a condition that has no notification, such as a counter, every few milliseconds.
inline bool WaitFor(const std::function<bool()>& condition, std::chrono::milliseconds deadline) {
  const auto end = std::chrono::steady_clock::now() + deadline;
  std::mutex mutex;
  std::condition_variable never;
  std::unique_lock lock(mutex);
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    never.wait_for(lock, std::chrono::milliseconds(5));
  }
  return true;
}

}  // namespace lichenlug::transport
