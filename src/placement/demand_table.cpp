#include "placement/demand_table.h"

#include <algorithm>
#include <cmath>

namespace lichenlug::placement {
namespace {

constexpr Time kStale = 10 * kSecond;         // for a report that isn't replaced
constexpr Time kForgetAfter = 120 * kSecond;  // for a key without demand
constexpr Time kForgetSource = 30 * kSecond;  // for a dispatcher that no longer reports
constexpr double kFallTime = 5.0 * kSecond;   // time constant of the decay, to 1/e
constexpr std::size_t kMaxKeys = 20000;

const Demand kNone;

double Sane(double value) { return std::isfinite(value) && value > 0 ? std::min(value, 1e9) : 0; }

void Take(Time now, double kept, const Demand& sum, Demand* demand) {
  demand->arrivals_per_s = sum.arrivals_per_s;
  demand->unserved = sum.unserved;
  demand->running = std::max(sum.running, demand->running * kept);
  if (demand->running < 1e-3) demand->running = 0;
  const bool asked = sum.running > 0.5 || sum.arrivals_per_s > 0.02 || sum.unserved > 0;
  if (!asked) return;
  if (demand->last_asked == 0 || now - demand->last_asked > 5 * kSecond) demand->asked_since = now;
  demand->last_asked = now;
}

template <typename Name>
void TakeAll(Time now, double kept, const std::map<Name, Demand>& sums, std::map<Name, Demand>* table) {
  for (auto& [name, demand] : *table)
    if (!sums.count(name)) Take(now, kept, kNone, &demand);
  for (const auto& [name, sum] : sums) {
    if (!table->count(name) && table->size() >= kMaxKeys) continue;
    Take(now, kept, sum, &(*table)[name]);
  }
  std::erase_if(*table, [&](const auto& entry) { return now - entry.second.last_asked > kForgetAfter; });
}

}  // namespace

bool DemandTable::Fresh(Time now, const messages::DemandReport& report) {
  Source& source = sources_[report.name()];
  source.seen = now;
  if (source.changed == 0 || source.incarnation != report.incarnation() || source.number != report.number())
    source = {report.incarnation(), report.number(), now, now};
  return now - source.changed <= kStale;
}

void DemandTable::Update(Time now, const std::string& service,
                         const std::vector<messages::DemandReport>& reports, const Catalog& catalog) {
  std::map<Key, Demand> sums;
  std::map<std::string, Demand> model_sums;
  for (const messages::DemandReport& report : reports) {
    if (!Fresh(now, report)) continue;
    for (const messages::ModelDemand& entry : report.models()) {
      const Key key{entry.model(), entry.adapter()};
      if (entry.service() != service || !catalog.Knows(key)) continue;
      for (Demand* sum : {&sums[key], &model_sums[key.model]}) {
        sum->arrivals_per_s += Sane(entry.arrivals_per_s());
        sum->running += Sane(entry.running());
        sum->unserved += Sane(entry.unserved());
      }
    }
  }
  const double kept = updated_ == 0 ? 0 : std::exp(-static_cast<double>(now - updated_) / kFallTime);
  updated_ = now;
  TakeAll(now, kept, sums, &keys_);
  TakeAll(now, kept, model_sums, &models_);
  std::erase_if(sources_, [&](const auto& entry) { return now - entry.second.seen > kForgetSource; });
}

const Demand& DemandTable::Of(const Key& key) const {
  const auto it = keys_.find(key);
  return it == keys_.end() ? kNone : it->second;
}

const Demand& DemandTable::OfModel(const std::string& model) const {
  const auto it = models_.find(model);
  return it == models_.end() ? kNone : it->second;
}

double DemandTable::running() const {
  double sum = 0;
  for (const auto& [name, demand] : models_) sum += demand.running;
  return sum;
}

}  // namespace lichenlug::placement
