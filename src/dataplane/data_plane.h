// The data plane: client connections, request forwarding and event streaming, on one thread with one Asio
// event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dataplane/report.h"
#include "routing/snapshot.h"

namespace lichenlug::dataplane {

struct Settings {
  std::string listen_address;  // front_dock, "ip:port"; empty: no clients are served and no thread runs
  std::string name;            // name of this dispatcher
  int descriptors = 4100;
  std::size_t memory_bytes = 260u << 20;
  Time grace = 8 * kSecond;  // from SIGTERM to SIGKILL
  // A new process receives the configuration shortly after its start: for this long after the start, requests
  // wait for it instead of being refused.
  Time configuration_wait = 0;
  std::uint64_t seed = 0;
};

class DataPlane {
 public:
  explicit DataPlane(Settings settings);
  ~DataPlane();  // stops and joins its thread

  bool Start(std::string* error);  // listens and serves; requests wait, then get 503, until a snapshot
                                   // with a configuration is installed
  void Install(std::shared_ptr<const routing::Snapshot> snapshot);  // any thread
  // Call before Start(). `notify` is called on the data plane's thread when a requested model or adapter was
  // found not to be loaded; TakeReport() then returns an up-to-date report.
  void OnNewlyUnserved(std::function<void()> notify);
  Report TakeReport();  // any thread; never blocks for long
  // On SIGTERM: continues to serve existing and new requests; closes connections as they become idle in the
  // second half of the grace period.
  void BeginDrain();
  // Any thread. Allows a draining data plane to stop: it closes its listener as soon as it finds that no
  // request, connection or waiting connection is left.
  void StopWhenIdle();
  // Any thread. The end of the grace period: closes the listener now and gives every request in progress its
  // final answer.
  void StopNow();
  // Any thread. Final: no connection is left, none will be accepted, and TakeReport() covers all requests.
  bool Stopped();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lichenlug::dataplane
