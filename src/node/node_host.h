// The interface between a control node and the machine that it runs on. It is implemented with an event loop,
// sockets and a disk thread (host/control_host.h), or by a simulation (lab/control). All callbacks run on the
// node's own thread, never from within the call that requested them.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "dataplane/report.h"
#include "duties/usage.h"
#include "messages/generated/envelope.pb.h"
#include "routing/snapshot.h"

namespace lichenlug::node {

// The contents of the store when it was opened.
struct StoreContents {
  bool opened = false;
  std::string error;       // one line that includes the remedy, if not opened
  std::string replica_id;  // identity of the store
  bool created = false;    // the folder contained no store before
  std::vector<std::pair<std::string, std::string>> records;
};

class NodeHost {
 public:
  virtual ~NodeHost() = default;

  virtual Time Now() const = 0;      // a steady clock
  virtual Time WallNow() const = 0;  // true Unix time at process start, advanced by the steady clock
  virtual void Post(std::function<void()> task) = 0;  // runs the tasks asynchronously, in order

  // Send: to another dispatcher; messages may be lost but never altered. Forget: that dispatcher is dead.
  virtual void Send(const std::string& address, messages::Envelope envelope) = 0;
  virtual void Forget(const std::string& address) = 0;

  // To a runner or the platform. `done` is called exactly once.
  using CallDone = std::function<void(const duties::HttpResult&)>;
  virtual void Call(const duties::HttpCall& call, CallDone done) = 0;

  // A new store gets the identity `new_replica_id`. Writes are synced to disk before `done` is called, in
  // order.
  virtual void OpenStore(const std::string& new_replica_id, std::function<void(StoreContents)> done) = 0;
  virtual void Write(std::string key, std::string value, std::function<void(bool written)> done) = 0;
  // After the writes before it. A record whose erasure fails is there when the store is opened again.
  virtual void Erase(std::string key) = 0;

  // The data plane.
  virtual void Install(std::shared_ptr<const routing::Snapshot> snapshot) = 0;
  virtual dataplane::Report TakeReport() = 0;
  virtual void DrainRequests() = 0;
  virtual void StopRequestsWhenIdle() = 0;  // no other work of the drain is pending
  virtual void StopRequestsNow() = 0;       // the process is about to exit: gives final answers
  virtual bool RequestsAreStopped() = 0;    // final: none is in progress and none will be accepted

  virtual void Exit() = 0;  // no work is pending
};

// Identifies one run of a process.
struct NodeIdentity {
  std::uint64_t incarnation = 0;  // increases with each start on this machine
  std::uint64_t seed = 0;         // unique to this run
};

}  // namespace lichenlug::node
