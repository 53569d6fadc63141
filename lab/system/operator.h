// Simulated operator: sends configurations and reads them back. It calls one dispatcher, or each in turn
// until one gives a conclusive response.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/system/http_call.h"
#include "lab/system/loop.h"

namespace lichenlug::standins {

// One configuration change; every retry sends the same bytes.
struct Change {
  enum class Method { kPut, kPatch } method = Method::kPut;
  std::int64_t if_match = 0;  // the edition that the change is based on
  std::string body;
};

class Operator {
 public:
  Operator(Loop* loop, std::vector<std::string> control_addresses);

  // One call to one dispatcher; status 0 means no response.
  void SendTo(const std::string& address, const Change& change, std::function<void(HttpMessage)> done);
  HttpMessage SendTo(const std::string& address, const Change& change);
  // Retries the call on the next dispatcher until a response is conclusive.
  HttpMessage Send(const Change& change, Time timeout);
  // The newest configuration; null if none was received in time.
  nlohmann::json Read(Time timeout);
  nlohmann::json ReadFrom(const std::string& address);

 private:
  Loop* loop_;
  std::vector<std::string> addresses_;
  std::size_t next_index_ = 0;
};

}  // namespace lichenlug::standins
