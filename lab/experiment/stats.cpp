#include "lab/experiment/stats.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

#include "lab/base/random.h"

namespace lichenlug::lab {
namespace {

struct Moments {
  double mean = 0, error = 0;  // standard error of the mean
};

Moments Of(std::span<const double> values) {
  const double n = static_cast<double>(values.size());
  Moments m;
  for (double v : values) m.mean += v / n;
  double squares = 0;
  for (double v : values) squares += (v - m.mean) * (v - m.mean);
  m.error = std::sqrt(squares / (n - 1) / n);
  return m;
}

}  // namespace

Interval BootstrapMean(std::span<const double> values, std::uint64_t seed, int resamples) {
  constexpr double kInfinite = std::numeric_limits<double>::infinity();
  if (values.empty()) return {0, -kInfinite, kInfinite};
  if (values.size() < 3) {
    double sum = 0;
    for (double v : values) sum += v;
    return {sum / static_cast<double>(values.size()), -kInfinite, kInfinite};
  }
  const Moments all = Of(values);
  if (all.error < 1e-12) return {all.mean, all.mean, all.mean};
  Random random(seed, 41);
  std::vector<double> sample(values.size()), t;
  for (int i = 0; i < resamples; ++i) {
    for (double& v : sample) v = values[random.Below(values.size())];
    const Moments m = Of(sample);
    if (m.error > all.error * 1e-6) t.push_back((m.mean - all.mean) / m.error);
  }
  if (t.size() < 100) return {all.mean, -kInfinite, kInfinite};
  std::ranges::sort(t);
  const auto at = [&t](double q) {
    return t[static_cast<std::size_t>(q * static_cast<double>(t.size() - 1))];
  };
  return {all.mean, all.mean - at(0.975) * all.error, all.mean - at(0.025) * all.error};
}

}  // namespace lichenlug::lab
