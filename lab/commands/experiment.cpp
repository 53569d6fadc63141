// lichenlug-lab experiment FILE: plays a matrix of runs on all cores and prints paired differences.
#include "lab/experiment/experiment.h"

#include <unistd.h>

#include <cstdio>
#include <numeric>
#include <thread>

#include "lab/commands/commands.h"

namespace lichenlug::lab {
namespace {

struct Options {
  std::string file, dir;
  std::uint64_t seeds = 0, first_seed = 0;  // 0: as the file says
  int threads = static_cast<int>(std::thread::hardware_concurrency());
};

int Run(const Options& o) {
  Experiment e = ReadExperiment(o.file);
  const std::uint64_t first = o.first_seed > 0 ? o.first_seed : e.seeds.front();
  if (o.seeds > 0) e.seeds.resize(o.seeds);
  std::iota(e.seeds.begin(), e.seeds.end(), first);
  const std::string dir = o.dir.empty() ? "lab-results/" + e.name : o.dir;
  const bool terminal = isatty(STDERR_FILENO) != 0;
  const int broken = Play(e, dir, o.threads, [&](const Progress& p) {
    if (terminal || p.done == p.all || p.done % 50 == 0)
      std::fprintf(stderr, "%s%zu of %zu runs, %.0f s left%s", terminal ? "\r" : "", p.done, p.all,
                   p.seconds_left, terminal && p.done < p.all ? "  " : "\n");
  });
  std::printf("%-18s %-14s %8s %6s %-22s %-24s\n", "variant", "day",
              e.sweep_key.empty() ? "" : e.sweep_key.c_str(), "pairs", "G with 95% interval",
              "difference from the first");
  for (const Difference& d : Compare(e, ReadResults(dir))) {
    std::printf("%-18s %-14s ", d.variant.c_str(), d.day.empty() ? "all" : d.day.c_str());
    if (e.sweep_key.empty())
      std::printf("%8s", "");
    else
      std::printf("%8g", d.point);
    std::printf(" %6d %.3f [%.3f, %.3f]   %+.3f [%+.3f, %+.3f]%s%s\n", d.pairs, d.own.mean, d.own.low,
                d.own.high, d.difference.mean, d.difference.low, d.difference.high,
                d.variant != e.variants[0].name && !d.difference.HoldsZero() ? " *" : "",
                d.breaches > 0 ? " RULES BROKEN" : "");
  }
  std::printf("results in %s; * : the interval holds no zero\n", dir.c_str());
  return broken > 0 ? 1 : 0;
}

}  // namespace

Command AddExperiment(CLI::App* app) {
  auto o = std::make_shared<Options>();
  CLI::App* command = app->add_subcommand("experiment", "Play a matrix of runs and compare its variants");
  command->add_option("file", o->file, "Experiment file (TOML)")->required();
  command->add_option("--dir", o->dir, "Where results go; the same again goes on where it stopped");
  command->add_option("--seeds", o->seeds, "How many seeds, in place of the file's");
  command->add_option("--first-seed", o->first_seed, "The first of them, in place of the file's");
  command->add_option("--threads", o->threads, "Runs at once")->capture_default_str();
  return [command, o] { return *command ? Run(*o) : -1; };
}

}  // namespace lichenlug::lab
