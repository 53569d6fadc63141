#include "lab/control/disk.h"

#include <algorithm>
#include <utility>

namespace lichenlug::lab::control {

namespace {

constexpr Time kMinSyncTime = 300;
constexpr Time kSyncSpread = 2 * kMillisecond;
constexpr Time kMaxOpenTime = 150 * kMillisecond;

}  // namespace

Time Disk::RandomTime(Time max) { return std::uniform_int_distribution<Time>(0, max)(*random_); }

void Disk::Open(const std::string& new_replica_id, std::function<void(node::StoreContents)> done) {
  const Time at = std::max(events_->now() + kMillisecond + RandomTime(kMaxOpenTime), stalled_until_);
  events_->At(at, [this, new_replica_id, done = std::move(done), generation = generation_] {
    if (generation != generation_) return;
    node::StoreContents contents;
    const bool is_full = events_->now() < full_until_;
    contents.opened = !is_full || HasStore();
    contents.created = !HasStore();
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
  Enqueue({std::move(key), std::move(value), std::move(done)});
}

void Disk::Erase(std::string key) {
  Enqueue({std::move(key), std::nullopt, [](bool) {}});
}

void Disk::Enqueue(Pending write) {
  pending_.push_back(std::move(write));
  if (pending_.size() == 1) ScheduleWrite();
}

void Disk::Persist(const Pending& write) {
  if (write.value)
    records_[write.key] = *write.value;
  else
    records_.erase(write.key);
}

void Disk::ScheduleWrite() {
  const Time begins = std::max(events_->now(), stalled_until_);
  events_->At(begins + kMinSyncTime + RandomTime(kSyncSpread) + slow_by_,
              [this, generation = generation_] { FinishWrite(generation); });
}

void Disk::FinishWrite(std::uint64_t generation) {
  if (generation != generation_ || pending_.empty()) return;
  if (events_->now() < stalled_until_) return ScheduleWrite();
  Pending write = std::move(pending_.front());
  pending_.pop_front();
  const bool written = events_->now() >= full_until_;
  // A write that reported failure may have been persisted all the same.
  if (written || RandomTime(1) == 0) Persist(write);
  if (!pending_.empty()) ScheduleWrite();
  write.done(written);
}

void Disk::OnProcessEnd() {
  ++generation_;
  const Time persisted = RandomTime(static_cast<Time>(pending_.size()));
  for (Time i = 0; i < persisted; ++i) Persist(pending_[static_cast<std::size_t>(i)]);
  pending_.clear();
}

void Disk::Wipe() {
  records_.clear();
  replica_id_.clear();
}

}  // namespace lichenlug::lab::control
