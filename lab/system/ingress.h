// Simulated load balancer of the platform: probes the readiness of each dispatcher and sends new connections
// to the ready ones.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "lab/system/loop.h"

namespace lichenlug::standins {

class Ingress {
 public:
  struct Dispatcher {
    std::string ready_address, front_address;
    int consecutive_failures = 0;
    bool ready = false;  // receives new connections
  };

  Ingress(Loop* loop, std::vector<Dispatcher> dispatchers);

  std::string Next();  // front address by round robin; empty if no dispatcher is ready
  bool AllReady() const;
  const std::vector<Dispatcher>& dispatchers() const { return dispatchers_; }

 private:
  void ProbeAll();
  void OnProbeResponse(std::size_t index, int status);

  Loop* loop_;
  std::vector<Dispatcher> dispatchers_;
  std::size_t next_index_ = 0;
  asio::steady_timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lichenlug::standins
