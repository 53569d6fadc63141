// Plays detectors on the same days and seeds, and sets them side by side, with intervals over seeds.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/membership/judge.h"

namespace lichenlug::lab {

struct MembersPlan {
  std::vector<int> sizes;
  std::vector<std::string> days, detectors;
  std::uint64_t first_seed = 1;
  int seeds = 5, threads = 3;
};

struct MembersCell {  // a detector on a day in a tier
  int size = 0;
  std::string day, detector;
  std::vector<Verdict> verdicts;  // by seed
};

std::vector<MembersCell> PlayMembers(const MembersPlan& plan,
                                     const std::function<void(std::size_t, std::size_t)>& told);

// Tables in markdown, one a size.
std::string MembersTable(const MembersPlan& plan, const std::vector<MembersCell>& cells);

// Of one size: wrongly dead members an hour above, time until all know of a death below, by day. SVG.
std::string MembersPlot(const MembersPlan& plan, const std::vector<MembersCell>& cells, int size);

}  // namespace lichenlug::lab
