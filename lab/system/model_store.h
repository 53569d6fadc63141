// The models loaded on a simulated runner and the orders that load or unload them, one at a time.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "lab/system/ledger.h"
#include "lab/system/loop.h"

namespace lichenlug::standins {

class ModelStore {
 public:
  ModelStore(Loop* loop, std::string runner_id, const std::vector<std::string>& models, Ledger* ledger);

  // "MODEL" or "MODEL/ADAPTER".
  bool Holds(const std::string& name) const;
  bool busy() const { return busy_; }
  std::uint64_t accepted_orders() const { return accepted_orders_; }
  nlohmann::json ToJson() const;  // the field `models` of a report

  // Handles an order and returns the HTTP status of the response.
  int Order(const nlohmann::json& order);

 private:
  void Apply(bool load, const std::string& model, const std::string& adapter);

  std::string runner_id_;
  Ledger* ledger_;
  std::map<std::string, std::set<std::string>> models_;  // adapters by model
  std::uint64_t highest_fence_ = 0;
  std::string highest_holder_;
  std::uint64_t accepted_orders_ = 0;
  bool busy_ = false;
  asio::steady_timer timer_;
};

}  // namespace lichenlug::standins
