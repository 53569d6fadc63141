// What a control node asks of the machine that it runs on. Behind it stand an event loop, sockets and a
// disk's thread (host/control_host.h), or virtual ones (lab/control). All callbacks come on the node's own
// thread, never from within the call that asked for them.
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

// What the store held as it was opened.
struct StoreContents {
  bool opened = false;
  std::string error;       // one line with the remedy, where not opened
  std::string replica_id;  // identity of the store
  bool created = false;    // the folder held no store before
  std::vector<std::pair<std::string, std::string>> records;
};

class NodeHost {
 public:
  virtual ~NodeHost() = default;

  virtual Time Now() const = 0;      // a steady clock
  virtual Time WallNow() const = 0;  // true Unix time as this life began, carried on by the steady clock
  virtual void Post(std::function<void()> task) = 0;  // soon, in order

  // To another dispatcher; may be lost, never altered. Forget: it is dead.
  virtual void Send(const std::string& address, messages::Envelope envelope) = 0;
  virtual void Forget(const std::string& address) = 0;

  // To a runner or the platform. `done` is called exactly once.
  using CallDone = std::function<void(const duties::HttpResult&)>;
  virtual void Call(const duties::HttpCall& call, CallDone done) = 0;

  // A new store is given `new_replica_id`. Writes are synced before they are told of, in their order.
  virtual void OpenStore(const std::string& new_replica_id, std::function<void(StoreContents)> done) = 0;
  virtual void Write(std::string key, std::string value, std::function<void(bool written)> done) = 0;

  // The data plane.
  virtual void Install(std::shared_ptr<const routing::Snapshot> snapshot) = 0;
  virtual dataplane::Report TakeReport() = 0;
  virtual void DrainRequests() = 0;
  virtual bool RequestsAreDrained() = 0;

  virtual void Exit() = 0;  // nothing is owed any more
};

// Of one life of a process.
struct NodeIdentity {
  std::uint64_t incarnation = 0;  // rises with each life on this machine
  std::uint64_t seed = 0;         // unique to this life
};

}  // namespace lichenlug::node
