// The operator's stand-in: sends configurations and reads them back, at one dispatcher or, without a clear
// answer, at one after the other.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/system/http_call.h"
#include "lab/system/loop.h"

namespace lichenlug::standins {

// One change as it goes over the wire, the same at each repetition.
struct Change {
  enum class Method { kPut, kPatch } method = Method::kPut;
  std::int64_t if_match = 0;  // the edition it builds on
  std::string body;
};

class Operator {
 public:
  Operator(Loop* loop, std::vector<std::string> control_addresses);

  // One call at one dispatcher; status 0: no answer.
  void SendTo(const std::string& address, const Change& change, std::function<void(HttpMessage)> done);
  HttpMessage SendTo(const std::string& address, const Change& change);
  // Repeats the call at other dispatchers until there is a clear answer.
  HttpMessage Send(const Change& change, Time timeout);
  // The newest configuration; null where none is told in time.
  nlohmann::json Read(Time timeout);
  nlohmann::json ReadFrom(const std::string& address);

 private:
  Loop* loop_;
  std::vector<std::string> addresses_;
  std::size_t turn_ = 0;
};

}  // namespace lichenlug::standins
