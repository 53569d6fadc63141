// Estimates the cost of a save and of a restart for a class of jobs from progress notes and run times.
//
// Between two notes a job has worked for `worked` seconds and saved `saves` times in `took` seconds; the
// remainder is attributed to the saves. After a restart, the remainder up to the first note is attributed to
// the restart. Each estimate is a mean over about the last kWindowSamples samples, in which the initial
// estimate weighs as much as two. Samples are clamped to between zero and five times the mean, so that one
// outlier can't distort the estimate.
#pragma once

#include <algorithm>
#include <cmath>

namespace lichenlug {

class Cost {
 public:
  static constexpr double kWindowSamples = 32, kInitialWeight = 2;

  explicit Cost(double initial) : mean_(initial), variance_(initial * initial / 2) {}

  void Sample(double seconds) {
    seconds = std::clamp(seconds, 0.0, 5 * mean_ + 0.001);
    count_ = std::min(count_ + 1, kWindowSamples);
    const double by = seconds - mean_;
    mean_ += by / count_;
    variance_ += (by * by - variance_) / count_;
  }

  double mean() const { return mean_; }
  double standard_error() const { return std::sqrt(variance_ / count_); }  // standard error of the mean

 private:
  double mean_, variance_, count_ = kInitialWeight;
};

struct Costs {
  Cost save{1}, restart{2};

  void Note(double took, double worked, int saves) {
    if (saves > 0) save.Sample((took - worked) / saves);
  }
  void NoteRestart(double took, double worked, int saves) {
    restart.Sample(took - worked - saves * save.mean());
  }
};

}  // namespace lichenlug
