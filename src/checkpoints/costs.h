// What a save and a restart cost in a class of jobs, learned from progress notes and run times.
//
// Between two notes a job has worked for `worked` seconds and saved `saves` times in `took` seconds: what is
// over is the saves'. After a restart what is over until the first note is the restart's. Each is a mean over
// the last kMemory samples or so, in which the first belief weighs as much as two. Guards against one odd
// sample: none counts for more than five times the mean; none below zero.
#pragma once

#include <algorithm>
#include <cmath>

namespace lichenlug {

class Cost {
 public:
  static constexpr double kMemory = 32, kFirst = 2;

  explicit Cost(double belief) : mean_(belief), square_(belief * belief / 2) {}

  void Sample(double seconds) {
    seconds = std::clamp(seconds, 0.0, 5 * mean_ + 0.001);
    count_ = std::min(count_ + 1, kMemory);
    const double by = seconds - mean_;
    mean_ += by / count_;
    square_ += (by * by - square_) / count_;
  }

  double mean() const { return mean_; }
  double error() const { return std::sqrt(square_ / count_); }  // of the mean

 private:
  double mean_, square_, count_ = kFirst;
};

struct Costs {
  Cost save{1}, restart{2};

  void Note(double took, double worked, int saves) {
    if (saves > 0) save.Sample((took - worked) / saves);
  }
  void WentOn(double took, double worked, int saves) { restart.Sample(took - worked - saves * save.mean()); }
};

}  // namespace lichenlug
