#include "storage/record_store.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

#include "storage/database.h"

namespace lichenlug::storage {
namespace {

constexpr std::size_t kMaxBatch = 64;  // writes that share one sync

struct QueuedWrite {
  RecordChange change;
  std::function<void(bool)> done;
};

}  // namespace

class RecordStore::Impl {
 public:
  Impl(std::string folder, std::string new_replica_id)
      : database_(std::move(folder), std::move(new_replica_id)), thread_([this] { Run(); }) {}

  ~Impl() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
  }

  void Open(std::function<void(OpenResult)> done) {
    {
      const std::lock_guard lock(mutex_);
      open_ = std::move(done);
    }
    wake_.notify_one();
  }

  void Write(QueuedWrite write) {
    {
      const std::lock_guard lock(mutex_);
      writes_.push_back(std::move(write));
    }
    wake_.notify_one();
  }

 private:
  void Run() {
    for (;;) {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return stopping_ || open_ || !writes_.empty(); });
      if (open_) {
        const auto done = std::exchange(open_, nullptr);
        lock.unlock();
        done(database_.Open());
      } else if (!writes_.empty()) {
        auto batch = DequeueBatch();
        lock.unlock();
        WriteBatch(std::move(batch));
      } else {
        return;
      }
    }
  }

  std::vector<QueuedWrite> DequeueBatch() {
    std::vector<QueuedWrite> batch;
    while (!writes_.empty() && batch.size() < kMaxBatch) {
      batch.push_back(std::move(writes_.front()));
      writes_.pop_front();
    }
    return batch;
  }

  void WriteBatch(std::vector<QueuedWrite> batch) {
    std::vector<RecordChange> changes;
    changes.reserve(batch.size());
    for (auto& write : batch) changes.push_back(std::move(write.change));
    const bool written = database_.Write(changes);
    for (const auto& write : batch) write.done(written);
  }

  Database database_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  std::function<void(OpenResult)> open_;
  std::deque<QueuedWrite> writes_;
  std::thread thread_;  // declared last: it uses all other members
};

RecordStore::RecordStore(std::string folder, std::string new_replica_id)
    : impl_(std::make_unique<Impl>(std::move(folder), std::move(new_replica_id))) {}

RecordStore::~RecordStore() = default;

void RecordStore::Open(std::function<void(OpenResult)> done) { impl_->Open(std::move(done)); }

void RecordStore::Write(std::string key, std::string value, std::function<void(bool written)> done) {
  impl_->Write({{std::move(key), std::move(value)}, std::move(done)});
}

void RecordStore::Erase(std::string key) {
  impl_->Write({{std::move(key), std::nullopt}, [](bool) {}});
}

}  // namespace lichenlug::storage
