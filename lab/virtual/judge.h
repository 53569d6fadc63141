// Scores a day: counts answers, latencies and loads by class, tenant and second.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "lab/model/workload.h"

namespace lichenlug::lab {

enum class JobEnd { kServed, kRefused, kFailed, kTooLate };

class ScoreKeeper {
 public:
  explicit ScoreKeeper(const Day& day);

  void Offered(const JobSpec& job, bool over_share);
  // The job's client received its final answer `latency` after its first request.
  void Ended(const JobSpec& job, bool over_share, JobEnd end, Time latency);
  void Sent(Time now, bool cross_zone) { ++attempts_, cross_zone_ += cross_zone, ++At(now).attempts; }
  void LoadOf(Time now, const std::vector<double>& used_by_group);  // share of cores in use, by group

  // Shares of the offered worth: of the whole day, the worst 10 s, the worst class and the worst tenant; and
  // their weighted sum G.
  struct Result {
    double whole = 0, worst_window = 0, worst_class = 0, worst_tenant = 0, g = 0;
  };
  Result result() const;
  // All data of a report, as JSON.
  nlohmann::json ToJson() const;

 private:
  struct Second {
    double offered = 0, gained = 0;
    std::uint64_t served = 0, refused = 0, failed = 0, late = 0, attempts = 0;
    std::vector<double> load;
  };
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(Axis(1, 1.0, 2.0)));

  Second& At(Time now);
  double WorthOf(const JobSpec& job, bool over_share) const;
  Time AimOf(const JobSpec& job) const;

  const Day& day_;
  std::vector<Second> seconds_;
  struct Sum {
    double offered = 0, gained = 0;
    double share() const { return offered > 0 ? gained / offered : 1; }
  };
  std::vector<Sum> by_class_, by_tenant_;
  std::vector<std::uint64_t> ends_ = std::vector<std::uint64_t>(4);
  std::vector<Histogram> latency_;  // of served jobs, by class, in milliseconds
  std::uint64_t attempts_ = 0, cross_zone_ = 0, jobs_ = 0;
};

}  // namespace lichenlug::lab
