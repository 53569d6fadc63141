// An experiment: variants x days x points of a sweep x seeds, played on all cores, one line of results a run.
// What a killed experiment had finished is kept; the same command goes on from there.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/experiment/stats.h"

namespace lichenlug::lab {

struct Variant {
  std::string name, policy = "module";
  std::uint64_t policy_seed = 0;
  toml::table changes;  // of the day
};

struct Experiment {
  std::string name, file;
  std::vector<std::string> days;  // paths
  std::vector<Variant> variants;  // the first is what the others are compared with
  std::vector<std::uint64_t> seeds;
  std::string sweep_key;  // empty: no sweep
  std::vector<double> sweep_values;
  std::string fingerprint;  // of all that decides a run but for its seed and point
};

// Throws ConfigError.
Experiment ReadExperiment(const std::string& path);

struct RunKey {
  std::size_t variant = 0, day = 0, point = 0;
  std::uint64_t seed = 0;
  std::string Text(const Experiment& e) const;  // the same in each life of the experiment
};
std::vector<RunKey> AllRuns(const Experiment& e);

// Plays what is not in `dir`/results.jsonl yet, with so many threads, and appends a line a run, flushed at
// once. A last line that was cut off is dropped. A folder that holds
// results of other days, variants or versions is refused by std::runtime_error: they would be mixed. The
// first seed's reports go to `dir`/runs. Returns how many rules broke.
struct Progress {
  std::size_t done = 0, all = 0;
  double seconds_left = 0;
};
int Play(const Experiment& e, const std::string& dir, int threads,
         const std::function<void(const Progress&)>& told);

// What Play wrote of the plan, with names for files: enough to compare and to draw. Throws
// std::runtime_error.
Experiment ReadPlan(const std::string& dir);

// The lines of `dir`/results.jsonl, whole ones only.
std::vector<nlohmann::json> ReadResults(const std::string& dir);

// Differences of G from the first variant, paired by day, point and seed; `day` empty: over all days.
struct Difference {
  std::string variant, day;
  double point = 0;
  Interval own, difference;
  int pairs = 0, breaches = 0;
};
std::vector<Difference> Compare(const Experiment& e, const std::vector<nlohmann::json>& results);

}  // namespace lichenlug::lab
