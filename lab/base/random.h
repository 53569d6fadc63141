// Random numbers of the laboratory: PCG streams, one for each purpose, so that a change of policy moves no
// draw of the world. The transforms are written out here because the standard library's differ between
// vendors.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <pcg_random.hpp>

namespace lichenlug::lab {

class Random {
 public:
  // `stream` keeps purposes apart; two of the same seed and stream give the same numbers.
  Random(std::uint64_t seed, std::uint64_t stream) : engine_(seed, stream) {}

  std::uint64_t Bits() { return engine_(); }
  double Uniform() { return static_cast<double>(engine_() >> 11) * 0x1p-53; }  // [0, 1)
  double Between(double low, double high) { return low + (high - low) * Uniform(); }
  std::uint64_t Below(std::uint64_t n) { return n == 0 ? 0 : engine_() % n; }
  bool Chance(double p) { return Uniform() < p; }
  double Exponential(double mean) { return -mean * std::log(1 - Uniform()); }

  double Normal() {  // Box-Muller, the second of the pair thrown away: no state between calls
    const double radius = std::sqrt(-2 * std::log(1 - Uniform()));
    return radius * std::cos(2 * 3.14159265358979323846 * Uniform());
  }

  // Lognormal with the given mean and coefficient of variation (standard deviation by mean).
  double Lognormal(double mean, double cv) {
    if (cv <= 0) return mean;
    const double variance = std::log(1 + cv * cv);
    return mean * std::exp(std::sqrt(variance) * Normal() - variance / 2);
  }

 private:
  pcg64 engine_;
};

}  // namespace lichenlug::lab
