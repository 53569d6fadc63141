// Exponential and logarithm computed from sums and products only, and integer decay of evidence weights.
//
// The C library's exp and log differ in the last bit between versions and between processors with and without
// fused multiply-add, which can flip a choice; dispatchers would then pick different intervals from the same
// facts. This library is built without floating-point contraction.
#pragma once

#include <cmath>
#include <cstdint>

namespace lichenlug::exact {

double Exp(double x);        // relative error below 1e-14; x is clamped to +-700
double Log(double x);        // x > 0; relative error below 1e-14
double NormalCdf(double z);  // standard normal CDF; error below 0.0002

// The weight of a new observation (1.0 in fixed point).
inline constexpr std::int64_t kFullWeight = std::int64_t{1} << 30;

// kFullWeight * 2^(-age / half_life), to one part in 10^6; 0 after thirty half-lives. Never negative.
std::int64_t DecayedWeight(std::int64_t age, std::int64_t half_life);

}  // namespace lichenlug::exact
