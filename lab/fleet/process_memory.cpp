#include "lab/fleet/process_memory.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>

namespace lichenlug::lab {
namespace {

constexpr std::string_view kListening = "0A";  // the state in /proc/net/tcp

// A field of /proc/PID/status that is given in KiB; 0 if the process has ended.
std::size_t StatusBytes(int pid, std::string_view field) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);)
    if (line.starts_with(field)) return std::stoull(line.substr(field.size())) * 1024;
  return 0;
}

// An address as /proc/net/tcp writes it.
std::string TableAddress(const asio::ip::tcp::endpoint& endpoint) {
  char text[24];
  std::snprintf(text, sizeof text, "%08X:%04X",
                static_cast<unsigned>(htonl(endpoint.address().to_v4().to_uint())), endpoint.port());
  return text;
}

}  // namespace

std::size_t ResidentBytes(int pid) { return StatusBytes(pid, "VmRSS:"); }
std::size_t PeakResidentBytes(int pid) { return StatusBytes(pid, "VmHWM:"); }

std::size_t UnreadBytes(const std::vector<asio::ip::tcp::endpoint>& listeners) {
  std::vector<std::string> locals;
  for (const auto& listener : listeners) locals.push_back(TableAddress(listener));
  std::ifstream file("/proc/net/tcp");
  std::string line, number, local, remote, state, queues;
  std::size_t unread = 0;
  while (std::getline(file, line)) {
    std::istringstream fields(line);
    fields >> number >> local >> remote >> state >> queues;
    if (state == kListening || std::ranges::find(locals, local) == locals.end()) continue;
    unread += std::stoull(queues.substr(queues.find(':') + 1), nullptr, 16);
  }
  return unread;
}

void MemoryWatch::Sample() {
  peak_bytes_ = std::max(peak_bytes_, ResidentBytes(process_->pid()) + UnreadBytes(listeners_));
  peak_descriptors_ = std::max(peak_descriptors_, process_->Descriptors());
}

std::size_t MemoryWatch::peak_bytes() const {
  return std::max(peak_bytes_, PeakResidentBytes(process_->pid()));
}

}  // namespace lichenlug::lab
