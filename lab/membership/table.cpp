#include "lab/membership/table.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <exception>
#include <mutex>
#include <sstream>
#include <thread>

#include "lab/experiment/stats.h"
#include "lab/membership/days.h"
#include "lab/report/gnuplot.h"

namespace lichenlug::lab {
namespace {

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1) + 0.5)];
}

using Times = std::vector<double> Verdict::*;

std::vector<double> Pooled(const MembersCell& cell, Times times) {
  std::vector<double> all;
  for (const Verdict& v : cell.verdicts) all.insert(all.end(), (v.*times).begin(), (v.*times).end());
  return all;
}

// Of the pooled quantile, by drawing seeds anew: the plain percentile interval.
Interval BootstrapQuantile(const MembersCell& cell, Times times, double q) {
  Random random(1, 42);
  std::vector<double> drawn;
  for (int i = 0; i < 1000; ++i) {
    std::vector<double> all;
    for (std::size_t k = 0; k < cell.verdicts.size(); ++k) {
      const auto& some = cell.verdicts[random.Below(cell.verdicts.size())].*times;
      all.insert(all.end(), some.begin(), some.end());
    }
    drawn.push_back(Quantile(all, q));
  }
  return {Quantile(Pooled(cell, times), q), Quantile(drawn, 0.025), Quantile(drawn, 0.975)};
}

std::string Seconds(double ms) {
  if (ms >= Verdict::kNever) return "never";
  char text[32];
  std::snprintf(text, sizeof text, "%.2f", ms / 1000);
  return text;
}

std::string Short(double x) {
  char text[32];
  std::snprintf(text, sizeof text, x >= 100 ? "%.0f" : x >= 10 ? "%.1f" : "%.2f", x);
  return x == 0 ? "0" : text;
}

template <typename Get>
std::vector<double> BySeed(const MembersCell& cell, Get get) {
  std::vector<double> values;
  for (const Verdict& v : cell.verdicts) values.push_back(get(v));
  return values;
}

template <typename Get>
double Mean(const MembersCell& cell, Get get) {
  double sum = 0;
  for (const Verdict& v : cell.verdicts) sum += get(v) / static_cast<double>(cell.verdicts.size());
  return sum;
}

double Worst(const MembersCell& cell, double Verdict::*what) {
  double most = 0;
  for (const Verdict& v : cell.verdicts) most = std::max(most, v.*what);
  return most;
}

double WrongAnHour(const MembersCell& cell) {
  return Mean(cell, [](const Verdict& v) { return static_cast<double>(v.wrong_members) / v.hours; });
}

std::string Row(const MembersCell& cell) {
  std::ostringstream out;
  const std::vector<double> deaths = Pooled(cell, &Verdict::deaths),
                            healed = Pooled(cell, &Verdict::agreements);
  out << "| " << cell.day << " | " << cell.detector << " | ";
  if (deaths.empty()) {
    out << " | | | ";
  } else {
    const Interval p99 = BootstrapQuantile(cell, &Verdict::deaths, 0.99);
    out << Seconds(Quantile(deaths, 0.5)) << " | " << Seconds(p99.mean) << " (" << Seconds(p99.low) << " to "
        << Seconds(p99.high) << ") | " << Seconds(Quantile(deaths, 1)) << " | ";
  }
  const auto wrong = [](const Verdict& v) { return static_cast<double>(v.wrong_members) / v.hours; };
  const Interval hourly = BootstrapMean(BySeed(cell, wrong));
  out << Short(hourly.mean);
  if (hourly.mean > 0 && hourly.high < 1e12)
    out << " (" << Short(std::max(0.0, hourly.low)) << " to " << Short(hourly.high) << ")";
  const auto each = [&](auto what) {
    out << " | "
        << Short(Mean(cell, [&](const Verdict& v) { return static_cast<double>(v.*what) / v.hours; }));
  };
  each(&Verdict::wrong_for_all), each(&Verdict::wrong_views), each(&Verdict::beyond_a_cut),
      each(&Verdict::flaps);
  out << " | " << Short(Mean(cell, [](const Verdict& v) { return v.bytes_mean; })) << " | "
      << Short(Worst(cell, &Verdict::bytes_max)) << " | " << Short(Worst(cell, &Verdict::bytes_peak)) << " | "
      << Short(Mean(cell, [](const Verdict& v) { return v.datagrams; })) << " | ";
  if (!healed.empty()) out << Seconds(Quantile(healed, 0.5)) << " / " << Seconds(Quantile(healed, 1));
  out << " |\n";
  return out.str();
}

std::string Bars(const MembersPlan& plan, const std::vector<MembersCell>& cells, int size, bool wrong) {
  static constexpr const char* kColours[] = {"#8e5ea2", "#d98e04", "#c0392b", "#555555", "#1b6ca8"};
  std::ostringstream script, plots, ticks;
  const auto n = static_cast<double>(plan.detectors.size());
  for (std::size_t d = 0; d < plan.detectors.size(); ++d) {
    std::vector<std::vector<double>> rows;
    double at = 0;
    for (const std::string& day : plan.days) {
      for (const MembersCell& cell : cells) {
        if (cell.size != size || cell.day != day || cell.detector != plan.detectors[d]) continue;
        const std::vector<double> deaths = Pooled(cell, &Verdict::deaths);
        const double value = wrong ? WrongAnHour(cell) : std::min(30.0, Quantile(deaths, 0.99) / 1000);
        if (value > 0) rows.push_back({at + (static_cast<double>(d) + 0.5) / (n + 1), value});
      }
      if (d == 0) ticks << (at > 0 ? ", " : "") << Quoted(day) << " " << at + 0.5 * n / (n + 1);
      at += 1;
    }
    const std::string name = (wrong ? "w" : "t") + std::to_string(d);
    if (rows.empty()) rows.push_back({-5, 1});  // none to be seen: for the key alone
    script << DataBlock(name, rows);
    plots << (d ? ", " : "") << "$" << name << " using 1:2 with boxes fill solid noborder lc rgb '"
          << kColours[d % std::size(kColours)] << "' title " << Quoted(plan.detectors[d]);
  }
  script << "set xtics (" << ticks.str() << ") scale 0\nset xrange [-0.1:" << plan.days.size()
         << "]\nset boxwidth " << 0.9 / (n + 1) << "\n";
  return script.str() + "plot " + plots.str() + "\n";
}

}  // namespace

std::vector<MembersCell> PlayMembers(const MembersPlan& plan,
                                     const std::function<void(std::size_t, std::size_t)>& told) {
  std::vector<MembersCell> cells;
  std::vector<MakeDetector> makers;
  for (int size : plan.sizes)
    for (const std::string& day : plan.days)
      for (const std::string& detector : plan.detectors) {
        cells.push_back({size, day, detector, std::vector<Verdict>(static_cast<std::size_t>(plan.seeds))});
        makers.push_back(DetectorNamed(detector));
        FaultDay(day, size, plan.first_seed);  // names are looked at before hours are spent
      }
  const auto seeds = static_cast<std::size_t>(plan.seeds);
  const std::size_t all = cells.size() * seeds;
  std::atomic<std::size_t> next = 0;
  std::size_t done = 0;
  std::exception_ptr failed;
  std::mutex mutex;
  const auto work = [&] {
    for (std::size_t i; (i = next++) < all;) {
      try {
        MembersCell& cell = cells[i / seeds];
        const std::uint64_t seed = plan.first_seed + i % seeds;
        cell.verdicts[i % seeds] =
            PlayDay(cell.size, FaultDay(cell.day, cell.size, seed), seed, makers[i / seeds]);
        const std::lock_guard lock(mutex);
        told(++done, all);
      } catch (...) {
        const std::lock_guard lock(mutex);
        failed = std::current_exception();
        next = all;
      }
    }
  };
  {
    std::vector<std::jthread> threads;
    for (int i = 0; i < plan.threads; ++i) threads.emplace_back(work);
  }
  if (failed) std::rethrow_exception(failed);
  return cells;
}

std::string MembersTable(const MembersPlan& plan, const std::vector<MembersCell>& cells) {
  std::ostringstream out;
  for (int size : plan.sizes) {
    out << "## " << size << " members, seeds " << plan.first_seed << " to "
        << plan.first_seed + static_cast<std::uint64_t>(plan.seeds) - 1 << "\n\n"
        << "| day | detector | known to all, s: p50 | p99 (95%) | worst | wrongly dead members/h (95%) | of "
           "them for "
           "over half/h | wrong views/h | views dead beyond a cut/h | flaps/h | bytes/s mean | worst member "
           "| worst "
           "second | datagrams/s | agreed, s: p50 / worst |\n"
        << "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (const MembersCell& cell : cells)
      if (cell.size == size) out << Row(cell);
    out << "\n";
  }
  return out.str();
}

std::string MembersPlot(const MembersPlan& plan, const std::vector<MembersCell>& cells, int size) {
  std::ostringstream script;
  script << "set multiplot layout 2,1\nset grid ytics\nset key outside right\nset logscale y\n"
         << "set yrange [0.5:*]\nset ylabel 'wrongly dead an hour'\nset title '" << size << " members'\n"
         << Bars(plan, cells, size, true)
         << "unset title\nunset logscale y\nset yrange [0:10]\nset ylabel 'all know of a death, s (p99)'\n"
         << Bars(plan, cells, size, false) << "unset multiplot\n";
  return DrawSvg(script.str(), 1100, 620);
}

}  // namespace lichenlug::lab
