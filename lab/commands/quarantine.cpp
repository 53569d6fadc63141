// lichenlug-parts quarantine: days with poisoned jobs, and fault days without, held back in four ways.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <thread>

#include "lab/commands/commands.h"
#include "lab/experiment/stats.h"
#include "lab/quarantine/day.h"

namespace lichenlug::lab {
namespace {

struct Options {
  std::vector<std::string> days, ways;
  std::vector<int> tiers = {12, 300};
  int seeds = 8, threads = 3, jobs = 100000;
  std::string out;
};

struct Named {
  const char* name;
  int poisons;
  Fault fault;
};
constexpr Named kDays[] = {{"calm", 0, Fault::kNone},     {"poison-1", 1, Fault::kNone},
                           {"poison-5", 5, Fault::kNone}, {"poison-20", 20, Fault::kNone},
                           {"eighth", 0, Fault::kEighth}, {"zone", 0, Fault::kZone},
                           {"store", 0, Fault::kStore},   {"class", 0, Fault::kClass}};
constexpr std::pair<const char*, Holding> kWays[] = {{"today", Holding::kToday},
                                                     {"capped", Holding::kCapped},
                                                     {"breaker", Holding::kBreaker},
                                                     {"quarantine", Holding::kQuarantine}};

std::string Shown(const Interval& it, int digits) {
  char text[96];
  std::snprintf(text, sizeof text, "%.*f (%.*f to %.*f)", digits, it.mean, digits, it.low, digits, it.high);
  return text;
}

int Compare(const Options& o) {
  std::filesystem::create_directories(o.out);
  struct Row {
    PoisonDay day;
    const char* way;
    std::vector<PoisonResult> results;
  };
  std::vector<Row> rows;
  for (const int tier : o.tiers)
    for (const Named& named : kDays) {
      if (!o.days.empty() && std::ranges::find(o.days, named.name) == o.days.end()) continue;
      for (const auto& [way, holding] : kWays) {
        if (!o.ways.empty() && std::ranges::find(o.ways, way) == o.ways.end()) continue;
        PoisonDay day;
        day.name = named.name, day.dispatchers = tier, day.runners = tier > 100 ? 200 : 40;
        day.jobs = o.jobs, day.poisons = named.poisons, day.fault = named.fault, day.holding = holding;
        rows.push_back({day, way, std::vector<PoisonResult>(static_cast<std::size_t>(o.seeds))});
      }
    }
  const std::size_t plays = rows.size() * static_cast<std::size_t>(o.seeds);
  std::atomic<std::size_t> next = 0;
  std::vector<std::thread> threads;
  for (int t = 0; t < o.threads; ++t)
    threads.emplace_back([&] {
      for (std::size_t i; (i = next++) < plays;) {
        Row& row = rows[i / static_cast<std::size_t>(o.seeds)];
        const std::size_t seed = i % static_cast<std::size_t>(o.seeds);
        PoisonDay day = row.day;
        day.seed = seed + 1;
        row.results[seed] = Play(day);
      }
    });
  for (std::thread& thread : threads) thread.join();

  std::ofstream csv(o.out + "/plays.csv"), table(o.out + "/table.md");
  csv << "dispatchers,day,way,seed,worth,kills,most_kills,late_kills,condemned,innocents_condemned,held,"
         "bytes\n";
  table << "| dispatchers | day | way | worth | runners a poison, mean | worst | worst, late | poison held | "
           "innocents condemned | innocents refused | bytes/s |\n"
           "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (const Row& row : rows) {
    std::vector<double> worth, kills, bytes;
    double worst = 0, late = 0;
    int condemned = 0, innocents = 0, held = 0;
    for (std::size_t s = 0; s < row.results.size(); ++s) {
      const PoisonResult& r = row.results[s];
      worth.push_back(r.worth), kills.push_back(r.kills), bytes.push_back(r.bytes);
      worst = std::max(worst, r.max_kills), late = std::max(late, r.late_kills);
      condemned += r.condemned, innocents += r.innocents_condemned, held += r.innocents_held;
      csv << row.day.dispatchers << ',' << row.day.name << ',' << row.way << ',' << s + 1 << ',' << r.worth
          << ',' << r.kills << ',' << r.max_kills << ',' << r.late_kills << ',' << r.condemned << ','
          << r.innocents_condemned << ',' << r.innocents_held << ',' << r.bytes << '\n';
    }
    table << "| " << row.day.dispatchers << " | " << row.day.name << " | " << row.way << " | "
          << Shown(BootstrapMean(worth), 4) << " | " << Shown(BootstrapMean(kills), 1) << " | " << worst
          << " | " << late << " | " << condemned << " of " << row.day.poisons * o.seeds << " | " << innocents
          << " of " << static_cast<std::int64_t>(o.jobs) * o.seeds << " | " << held << " | "
          << static_cast<int>(BootstrapMean(bytes).mean) << " |\n";
  }
  std::printf("%zu plays; %s/table.md, %s/plays.csv\n", plays, o.out.c_str(), o.out.c_str());
  return 0;
}

}  // namespace

Command AddQuarantine(CLI::App* app) {
  auto o = std::make_shared<Options>();
  CLI::App* it = app->add_subcommand("quarantine", "Compare ways to hold back jobs that kill runners");
  it->add_option("--days", o->days,
                 "Days (default: all): calm, poison-1, -5, -20, eighth, zone, store, class");
  it->add_option("--ways", o->ways, "Ways (default: all): today, capped, breaker, quarantine");
  it->add_option("--tiers", o->tiers, "Numbers of dispatchers")->capture_default_str();
  it->add_option("--seeds", o->seeds, "Seeds of each")->capture_default_str()->check(CLI::Range(1, 1000));
  it->add_option("--jobs", o->jobs, "Jobs of a day")
      ->capture_default_str()
      ->check(CLI::Range(1000, 10000000));
  it->add_option("--threads", o->threads, "Plays at a time")->capture_default_str()->check(CLI::Range(1, 64));
  it->add_option("--out", o->out, "Folder for the table and all plays")->required();
  return [it, o] { return *it ? Compare(*o) : -1; };
}

}  // namespace lichenlug::lab
