#include "placement/demand_table.h"

#include <algorithm>
#include <cmath>

namespace lichenlug::placement {
namespace {

constexpr Time kReportLifetime = 10 * kSecond;    // for a report that isn't replaced
constexpr Time kIdleKeyLifetime = 120 * kSecond;  // for a key without demand
constexpr Time kSourceLifetime = 30 * kSecond;    // for a dispatcher that no longer reports
constexpr double kDecayTime = 5.0 * kSecond;      // time constant of the decay, to 1/e
constexpr std::size_t kMaxKeys = 20000;

const Demand kNoDemand;

double Sanitize(double value) { return std::isfinite(value) && value > 0 ? std::min(value, 1e9) : 0; }

void UpdateDemand(Time now, double decay, const Demand& sum, Demand* demand) {
  demand->arrivals_per_s = sum.arrivals_per_s;
  demand->unserved = sum.unserved;
  demand->running = std::max(sum.running, demand->running * decay);
  if (demand->running < 1e-3) demand->running = 0;
  const bool requested = sum.running > 0.5 || sum.arrivals_per_s > 0.02 || sum.unserved > 0;
  if (!requested) return;
  if (demand->last_requested == 0 || now - demand->last_requested > 5 * kSecond)
    demand->requested_since = now;
  demand->last_requested = now;
}

template <typename Name>
void UpdateAll(Time now, double decay, const std::map<Name, Demand>& sums, std::map<Name, Demand>* table) {
  for (auto& [name, demand] : *table)
    if (!sums.count(name)) UpdateDemand(now, decay, kNoDemand, &demand);
  for (const auto& [name, sum] : sums) {
    if (!table->count(name) && table->size() >= kMaxKeys) continue;
    UpdateDemand(now, decay, sum, &(*table)[name]);
  }
  std::erase_if(*table,
                [&](const auto& entry) { return now - entry.second.last_requested > kIdleKeyLifetime; });
}

}  // namespace

bool DemandTable::IsFresh(Time now, const messages::DemandReport& report) {
  Source& source = sources_[report.name()];
  source.last_seen = now;
  if (source.last_changed == 0 || source.incarnation != report.incarnation() ||
      source.number != report.number())
    source = {report.incarnation(), report.number(), now, now};
  return now - source.last_changed <= kReportLifetime;
}

void DemandTable::Update(Time now, const std::string& service,
                         const std::vector<messages::DemandReport>& reports, const Catalog& catalog) {
  std::map<Key, Demand> sums;
  std::map<std::string, Demand> model_sums;
  for (const messages::DemandReport& report : reports) {
    if (!IsFresh(now, report)) continue;
    for (const messages::ModelDemand& entry : report.models()) {
      const Key key{entry.model(), entry.adapter()};
      if (entry.service() != service || !catalog.Contains(key)) continue;
      for (Demand* sum : {&sums[key], &model_sums[key.model]}) {
        sum->arrivals_per_s += Sanitize(entry.arrivals_per_s());
        sum->running += Sanitize(entry.running());
        sum->unserved += Sanitize(entry.unserved());
      }
    }
  }
  const double decay = updated_ == 0 ? 0 : std::exp(-static_cast<double>(now - updated_) / kDecayTime);
  updated_ = now;
  UpdateAll(now, decay, sums, &keys_);
  UpdateAll(now, decay, model_sums, &models_);
  std::erase_if(sources_, [&](const auto& entry) { return now - entry.second.last_seen > kSourceLifetime; });
}

const Demand& DemandTable::Of(const Key& key) const {
  const auto it = keys_.find(key);
  return it == keys_.end() ? kNoDemand : it->second;
}

const Demand& DemandTable::OfModel(const std::string& model) const {
  const auto it = models_.find(model);
  return it == models_.end() ? kNoDemand : it->second;
}

double DemandTable::running() const {
  double sum = 0;
  for (const auto& [name, demand] : models_) sum += demand.running;
  return sum;
}

}  // namespace lichenlug::placement
