// lichenlug-lab run DAY: plays one day with one policy in virtual time and prints what it was worth.
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "lab/commands/commands.h"
#include "lab/config/day_file.h"
#include "lab/virtual/world.h"

namespace lichenlug::lab {
namespace {

struct Options {
  std::string day, policy = "module", json;
  std::uint64_t seed = 1;
  bool quiet = false, cost = false;
};

int Run(const Options& o) {
  const Day day = ReadDay(o.day);
  Testbed testbed(day, o.policy, o.seed);
  const RunResult r = testbed.Run();
  const nlohmann::json report = testbed.ReportJson();
  if (!o.json.empty()) std::ofstream(o.json) << report.dump() << "\n";
  std::printf("digest %016llx  %s, %d dispatchers, %d boxes, policy %s, seed %llu\n",
              static_cast<unsigned long long>(r.digest), day.site.name.c_str(), day.site.dispatchers,
              day.site.boxes, o.policy.c_str(), static_cast<unsigned long long>(o.seed));
  std::printf("G %.3f  whole %.3f, worst 10 s %.3f, worst class %.3f, worst tenant %.3f\n", r.score.g,
              r.score.whole, r.score.worst_window, r.score.worst_class, r.score.worst_tenant);
  std::printf("%s jobs: %s served, %s refused, %s failed; %.2f attempts a job\n",
              report["jobs"].dump().c_str(), report["served"].dump().c_str(),
              report["refused"].dump().c_str(), report["failed"].dump().c_str(),
              report["attempts_per_job"].get<double>());
  if (!o.quiet) {
    for (const auto& cls : report["classes"])
      std::printf("  %-16s %.3f of its worth; ms at 50%% %.0f, 90%% %.0f, 99%% %.0f, 99.9%% %.0f\n",
                  cls["name"].get<std::string>().c_str(), cls["share"].get<double>(),
                  cls["latency_ms"][0].get<double>(), cls["latency_ms"][1].get<double>(),
                  cls["latency_ms"][2].get<double>(), cls["latency_ms"][3].get<double>());
    std::printf("%llu events in %.1f s; the policy took %.1f us an event, %.1f us an arrival\n",
                static_cast<unsigned long long>(r.events), r.wall_seconds,
                1e6 * r.policy_seconds / static_cast<double>(std::max<std::uint64_t>(1, r.policy_events)),
                1e6 * r.policy_seconds / static_cast<double>(std::max<std::uint64_t>(1, r.arrivals)));
  }
  if (o.cost) {
    static constexpr const char* kEvents[] = {
        "list changed",   "request arrived", "note",        "attempt ended",
        "stream started", "request gone",    "probe ended", "timer"};
    for (std::size_t i = 0; i < r.count_by_event.size(); ++i)
      if (r.count_by_event[i] > 0)
        std::printf("  %-16s %10llu events, %8.2f s, %8.2f us each\n", kEvents[i],
                    static_cast<unsigned long long>(r.count_by_event[i]), r.seconds_by_event[i],
                    1e6 * r.seconds_by_event[i] / static_cast<double>(r.count_by_event[i]));
  }
  if (!r.drained)
    std::printf("the day did not drain: it was cut off a minute after its end with work still open\n");
  for (const auto& [rule, breach] : r.breaches) {
    std::printf("RULE %d BROKEN %llu times, first at %lld us%s%s%s: %s\n", rule,
                static_cast<unsigned long long>(r.breach_count.at(rule)), static_cast<long long>(breach.at),
                breach.dispatcher >= 0 ? (" by dispatcher " + std::to_string(breach.dispatcher)).c_str() : "",
                breach.box.empty() ? "" : " at ", breach.box.c_str(), breach.what.c_str());
    for (const std::string& line : breach.history) std::printf("    %s\n", line.c_str());
  }
  if (r.breaches.empty()) {
    std::printf("no rule broken in %llu checks\n", static_cast<unsigned long long>(r.rule_checks));
    return 0;
  }
  std::printf("replay: lichenlug-lab run %s --seed %llu --policy %s\n", o.day.c_str(),
              static_cast<unsigned long long>(o.seed), o.policy.c_str());
  return 1;
}

}  // namespace

Command AddRun(CLI::App* app) {
  auto o = std::make_shared<Options>();
  CLI::App* run = app->add_subcommand("run", "Play one day in virtual time");
  run->add_option("day", o->day, "Day file (TOML)")->required();
  run->add_option("--seed", o->seed, "Seed; one seed gives one day")->capture_default_str();
  run->add_option("--policy", o->policy, "Who decides; see `lichenlug-lab policies`")->capture_default_str();
  run->add_option("--json", o->json, "Write everything that a report draws to this file");
  run->add_flag("--quiet", o->quiet, "Print the digest, the score and broken rules only");
  run->add_flag("--cost", o->cost, "Print what the policy's time went into, by kind of event");
  return [run, o] { return *run ? Run(*o) : -1; };
}

}  // namespace lichenlug::lab
