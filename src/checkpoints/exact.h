// Exponential and logarithm of sums and products alone, and the fading of evidence in whole numbers.
//
// Guards against dispatchers that pick different intervals from the same facts: the C library's exp and log
// differ in the last bit between versions and between processors with and without fused multiply-add, and
// that can turn a choice over. This library is built without contraction.
#pragma once

#include <cmath>
#include <cstdint>

namespace lichenlug::exact {

double Exp(double x);     // relative error below 1e-14; beyond +-700 the value there
double Log(double x);     // x > 0; relative error below 1e-14
double Normal(double z);  // the normal distribution's integral up to z; error below 0.0002

inline constexpr std::int64_t kWhole = std::int64_t{1} << 30;  // the weight of what is new

// kWhole * 2^(-age / half_life), to one part in 10^6; 0 from thirty half-lives on. Never negative.
std::int64_t Fade(std::int64_t age, std::int64_t half_life);

}  // namespace lichenlug::exact
