#include "host/posted_store.h"

#include <utility>

namespace lichenlug::host {

namespace {

node::StoreContents ContentsOf(storage::RecordStore::OpenResult result) {
  node::StoreContents contents;
  contents.opened = result.opened;
  contents.error = std::move(result.error);
  contents.replica_id = std::move(result.replica_id);
  contents.created = result.created;
  contents.records = std::move(result.records);
  return contents;
}

}  // namespace

void PostedStore::Open(const std::string& new_replica_id, std::function<void(node::StoreContents)> done) {
  if (!store_) store_ = std::make_unique<storage::RecordStore>(folder_, new_replica_id);
  store_->Open([this, done = std::move(done)](storage::RecordStore::OpenResult result) {
    loop_->Post([done, contents = ContentsOf(std::move(result))]() mutable { done(std::move(contents)); });
  });
}

void PostedStore::Write(std::string key, std::string value, std::function<void(bool written)> done) {
  store_->Write(std::move(key), std::move(value), [this, done = std::move(done)](bool written) {
    loop_->Post([done, written] { done(written); });
  });
}

}  // namespace lichenlug::host
