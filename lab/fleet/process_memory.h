// What a process holds, as the platform charges it: resident memory, bytes that have arrived on its
// connections and are not read yet, and descriptors.
#pragma once

#include <asio.hpp>
#include <cstddef>
#include <vector>

#include "lab/fleet/process.h"

namespace lichenlug::lab {

std::size_t ResidentBytes(int pid);
std::size_t PeakResidentBytes(int pid);  // since the process has started
// Of all connections that were accepted at these addresses.
std::size_t UnreadBytes(const std::vector<asio::ip::tcp::endpoint>& listeners);

// Records the peaks of one process.
class MemoryWatch {
 public:
  MemoryWatch(const Process* process, std::vector<asio::ip::tcp::endpoint> listeners)
      : process_(process), listeners_(std::move(listeners)) {}

  void Sample();
  // Includes the peak of resident memory between two samples.
  std::size_t peak_bytes() const;
  std::size_t peak_descriptors() const { return peak_descriptors_; }

 private:
  const Process* process_;
  const std::vector<asio::ip::tcp::endpoint> listeners_;
  std::size_t peak_bytes_ = 0, peak_descriptors_ = 0;
};

}  // namespace lichenlug::lab
