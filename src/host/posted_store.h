// Record store whose callbacks run on the event loop's thread.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "host/event_loop.h"
#include "node/node_host.h"
#include "storage/record_store.h"

namespace lichenlug::host {

class PostedStore {
 public:
  // `loop` must outlive the store.
  PostedStore(EventLoop* loop, std::string folder) : loop_(loop), folder_(std::move(folder)) {}

  // May be called again if the store could not be opened.
  void Open(const std::string& new_replica_id, std::function<void(node::StoreContents)> done);
  void Write(std::string key, std::string value, std::function<void(bool written)> done);
  void Erase(std::string key) { store_->Erase(std::move(key)); }

 private:
  EventLoop* loop_;
  std::string folder_;
  std::unique_ptr<storage::RecordStore> store_;
};

}  // namespace lichenlug::host
