#include "base/deadlines.h"

namespace lichenlug {

Deadlines::Key Deadlines::Add(Time at, std::function<void()> due) {
  const Key key{at, ++last_id_};
  due_.emplace(key, std::move(due));
  Arm();
  return key;
}

void Deadlines::Remove(Key* key) {
  due_.erase(*key);  // leaves the timer armed: one spurious wake-up costs less than rearming
  *key = {};
}

void Deadlines::Move(Key* key, Time at, std::function<void()> due) {
  Remove(key);
  *key = Add(at, std::move(due));
}

void Deadlines::Arm() {
  if (running_ || due_.empty()) return;
  const Key first = due_.begin()->first;
  if (armed_ != Key{} && armed_ <= first) return;
  armed_ = first;
  timer_.expires_at(clock_.ToSteady(first.first));
  timer_.async_wait([this](std::error_code error) {
    if (error) return;  // rearmed for an earlier deadline
    armed_ = {};
    RunDue();
  });
}

void Deadlines::RunDue() {
  running_ = true;
  // Runs only what is due at the start: a callback that schedules itself again for now must not starve the
  // sockets.
  const Time now = Now();
  const std::uint64_t newest = last_id_;
  while (!due_.empty() && due_.begin()->first.first <= now && due_.begin()->first.second <= newest) {
    auto node = due_.extract(due_.begin());
    node.mapped()();
  }
  running_ = false;
  Arm();
}

}  // namespace lichenlug
