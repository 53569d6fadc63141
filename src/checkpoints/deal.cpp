#include "checkpoints/deal.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace lichenlug {
namespace {

double Demand(const Job& job) {
  const Choice choice = Choose(job);
  return choice.saves == 0 ? 0 : 1 / choice.interval;
}

// The max-min level: each demand is met up to it.
double MaxMinLevel(std::vector<double> wants, double allowed) {
  std::ranges::sort(wants);
  double left = allowed;
  for (std::size_t i = 0; i < wants.size(); ++i) {
    const double part = left / static_cast<double>(wants.size() - i);
    if (wants[i] > part) return part;
    left -= wants[i];
  }
  return wants.empty() ? 0 : wants.back();
}

// Allocates `level` among the jobs of one tenant by a price. Returns the price.
double AllocateWithinTenant(std::vector<Wish*>* wishes, double level) {
  // The price is searched with Young's approximation; Choose runs only once, at the price found.
  const auto approximate_sum = [&](double price) {
    double sum = 0;
    for (const Wish* it : *wishes)
      sum += std::min(it->unconstrained,
                      std::sqrt(it->job.rate / (2 * (it->job.save + price / it->job.worth_a_second))));
    return sum;
  };
  double low = 0, high = 1;
  while (approximate_sum(high) > level && high < 1e12) high *= 4;
  for (int i = 0; i < 40; ++i) (approximate_sum((low + high) / 2) > level ? low : high) = (low + high) / 2;
  double sum = 0;
  for (Wish* it : *wishes) {
    Job priced = it->job;
    priced.price = high / priced.worth_a_second;
    it->given = std::min(it->unconstrained, Demand(priced));
    sum += it->given;
  }
  if (sum > level)
    for (Wish* it : *wishes) it->given *= level / sum * (1 - 1e-9);
  return high;
}

}  // namespace

DealResult Deal(std::vector<Wish>* wishes, double allowed) {
  DealResult result;
  std::map<std::string, std::vector<Wish*>> tenants;
  std::map<std::string, double> wants;
  for (Wish& wish : *wishes) {
    wish.given = wish.unconstrained = Demand(wish.job);
    tenants[wish.tenant].push_back(&wish);
    wants[wish.tenant] += wish.unconstrained, result.wanted += wish.unconstrained;
  }
  result.given = result.wanted;
  if (result.wanted <= allowed) return result;
  std::vector<double> list;
  for (const auto& [tenant, want] : wants) list.push_back(want);
  const double level = MaxMinLevel(list, allowed);
  for (auto& [tenant, own] : tenants)
    if (wants[tenant] > level) result.gain = std::max(result.gain, AllocateWithinTenant(&own, level));
  result.given = 0;
  for (const Wish& wish : *wishes) result.given += wish.given;
  return result;
}

}  // namespace lichenlug
