// The set of models and adapters that a runner holds.
#pragma once

#include <compare>
#include <map>
#include <set>
#include <string>

namespace lichenlug::placement {

// A model, or an adapter of it.
struct Key {
  std::string model;
  std::string adapter;  // empty: the model itself

  auto operator<=>(const Key&) const = default;
  bool is_model() const { return adapter.empty(); }
};

inline std::string ToText(const Key& key) {
  return key.is_model() ? key.model : key.model + "/" + key.adapter;
}

// An order to a runner.
struct Order {
  enum class Kind { kLoad, kUnload };
  Kind kind = Kind::kLoad;
  Key key;
};

class HeldSet {
 public:
  bool Holds(const Key& key) const {
    const auto model = models_.find(key.model);
    if (model == models_.end()) return false;
    return key.is_model() || model->second.count(key.adapter) > 0;
  }
  void Add(const Key& key) {
    std::set<std::string>& adapters = models_[key.model];
    if (!key.is_model()) adapters.insert(key.adapter);
  }
  void Remove(const Key& key) {
    const auto model = models_.find(key.model);
    if (model == models_.end()) return;
    if (key.is_model())
      models_.erase(model);  // with its adapters
    else
      model->second.erase(key.adapter);
  }
  void AddAll(const HeldSet& other) {
    for (const auto& [model, adapters] : other.models_)
      models_[model].insert(adapters.begin(), adapters.end());
  }
  // Whether this set shows the order's effect.
  bool Reflects(const Order& order) const { return Holds(order.key) == (order.kind == Order::Kind::kLoad); }

  int adapter_count() const {
    int count = 0;
    for (const auto& [model, adapters] : models_) count += static_cast<int>(adapters.size());
    return count;
  }
  const std::map<std::string, std::set<std::string>>& models() const { return models_; }
  bool operator==(const HeldSet&) const = default;

 private:
  std::map<std::string, std::set<std::string>> models_;
};

}  // namespace lichenlug::placement
