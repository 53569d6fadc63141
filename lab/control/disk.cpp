#include "lab/control/disk.h"

#include <algorithm>
#include <utility>

namespace lichenlug::lab::control {

namespace {

constexpr Time kShortestSync = 300;
constexpr Time kSyncSpread = 2 * kMillisecond;
constexpr Time kLongestOpen = 150 * kMillisecond;

}  // namespace

Time Disk::Draw(Time most) { return std::uniform_int_distribution<Time>(0, most)(*random_); }

void Disk::Open(const std::string& new_replica_id, std::function<void(node::StoreContents)> done) {
  const Time at = std::max(events_->now() + kMillisecond + Draw(kLongestOpen), stalled_until_);
  events_->At(at, [this, new_replica_id, done = std::move(done), life = life_] {
    if (life != life_) return;
    node::StoreContents contents;
    const bool is_full = events_->now() < full_until_;
    contents.opened = !is_full || HoldsStore();
    contents.created = !HoldsStore();
    if (!contents.opened) {
      contents.error = "the disk is full";
      return done(std::move(contents));
    }
    if (replica_id_.empty()) replica_id_ = new_replica_id;
    contents.replica_id = replica_id_;
    contents.records.assign(records_.begin(), records_.end());
    done(std::move(contents));
  });
}

void Disk::Write(std::string key, std::string value, std::function<void(bool written)> done) {
  pending_.push_back({std::move(key), std::move(value), std::move(done)});
  if (pending_.size() == 1) PlanWrite();
}

void Disk::PlanWrite() {
  const Time begins = std::max(events_->now(), stalled_until_);
  events_->At(begins + kShortestSync + Draw(kSyncSpread) + slow_by_,
              [this, life = life_] { FinishWrite(life); });
}

void Disk::FinishWrite(std::uint64_t life) {
  if (life != life_ || pending_.empty()) return;
  if (events_->now() < stalled_until_) return PlanWrite();
  Pending write = std::move(pending_.front());
  pending_.pop_front();
  const bool written = events_->now() >= full_until_;
  // A write that reported failure may have been persisted all the same.
  if (written || Draw(1) == 0) records_[write.key] = write.value;
  if (!pending_.empty()) PlanWrite();
  write.done(written);
}

void Disk::ProcessEnds() {
  ++life_;
  const Time kept = Draw(static_cast<Time>(pending_.size()));
  for (Time i = 0; i < kept; ++i) {
    const Pending& write = pending_[static_cast<std::size_t>(i)];
    records_[write.key] = write.value;
  }
  pending_.clear();
}

void Disk::Wipe() {
  records_.clear();
  replica_id_.clear();
}

}  // namespace lichenlug::lab::control
