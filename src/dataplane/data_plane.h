// The data plane: one thread, one Asio loop; clients' connections, forwarding, streams event by event.
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
  std::string listen_address;  // front_dock, "ip:port"; empty: no client is served, and nothing runs
  std::string name;            // of this dispatcher
  int descriptors = 4100;
  std::size_t memory_bytes = 260u << 20;
  Time grace = 8 * kSecond;  // from SIGTERM to SIGKILL
  // A process that has just begun is about to learn the configuration: so long after its start requests wait
  // for it instead of being refused.
  Time configuration_wait = 0;
  std::uint64_t seed = 0;
};

class DataPlane {
 public:
  explicit DataPlane(Settings settings);
  ~DataPlane();  // stops and joins its thread

  bool Start(std::string* error);  // listens and begins; requests wait, then get 503, until a snapshot
                                   // with a configuration is there
  void Install(std::shared_ptr<const routing::Snapshot> snapshot);  // any thread
  // Before Start(). `tell` is called, on the data plane's thread, when a model or adapter that is asked for
  // was found not to be there: a report of now waits to be taken.
  void OnNewlyUnserved(std::function<void()> tell);
  Report TakeReport();  // any thread; brief
  // SIGTERM: serves on what is there and what comes; closes connections as they fall idle near the end of the
  // grace.
  void BeginDrain();
  bool Drained();  // any thread: nothing is owed any more

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lichenlug::dataplane
