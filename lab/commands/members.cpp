// lichenlug-parts members: plays failure detectors side by side on days of faults, and prints the table.
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "lab/commands/commands.h"
#include "lab/membership/days.h"
#include "lab/membership/table.h"

namespace lichenlug::lab {
namespace {

struct Options {
  MembersPlan plan;
  std::string out;
};

int Play(const Options& o) {
  const std::vector<MembersCell> cells = PlayMembers(o.plan, [](std::size_t done, std::size_t all) {
    if (done % 50 == 0 || done == all) std::fprintf(stderr, "%zu of %zu plays\n", done, all);
  });
  const std::string table = MembersTable(o.plan, cells);
  std::fputs(table.c_str(), stdout);
  for (const MembersCell& cell : cells)
    for (std::size_t i = 0; i < cell.verdicts.size() && o.plan.seeds == 1; ++i)
      std::printf("%s %s %d digest %016llx\n", cell.day.c_str(), cell.detector.c_str(), cell.size,
                  static_cast<unsigned long long>(cell.verdicts[i].digest));
  if (o.out.empty()) return 0;
  std::filesystem::create_directories(o.out);
  std::ofstream(std::filesystem::path(o.out) / "members.md") << table;
  for (int size : o.plan.sizes)
    std::ofstream(std::filesystem::path(o.out) / ("members-" + std::to_string(size) + ".svg"))
        << MembersPlot(o.plan, cells, size);
  return 0;
}

}  // namespace

Command AddMembers(CLI::App* app) {
  auto o = std::make_shared<Options>();
  o->plan.sizes = {300};
  o->plan.days = FaultDayNames();
  o->plan.detectors = DetectorNames();
  CLI::App* members = app->add_subcommand("members", "Play failure detectors side by side in virtual time");
  members->add_option("--size", o->plan.sizes, "Members of the tier, one or more sizes")
      ->capture_default_str()
      ->check(CLI::Range(3, 300));
  members->add_option("--days", o->plan.days, "Fault days (default: all)");
  members->add_option("--only", o->plan.detectors, "Detectors (default: all)");
  members->add_option("--seeds", o->plan.seeds, "How many seeds each")
      ->capture_default_str()
      ->check(CLI::Range(1, 10000));
  members->add_option("--from-seed", o->plan.first_seed, "The first of them")->capture_default_str();
  members->add_option("--threads", o->plan.threads, "Plays at a time")
      ->capture_default_str()
      ->check(CLI::Range(1, 256));
  members->add_option("--out", o->out, "Folder for members.md and a plot for each size");
  return [members, o] { return !*members ? -1 : Play(*o); };
}

}  // namespace lichenlug::lab
