#include "lab/experiment/experiment.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iomanip>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

#include "lab/base/digest.h"
#include "lab/config/day_file.h"
#include "lab/config/reader.h"
#include "lab/virtual/world.h"

namespace lichenlug::lab {
namespace {

using Json = nlohmann::json;
namespace fs = std::filesystem;

std::string ShortName(const std::string& path) { return fs::path(path).stem().string(); }

std::string FileText(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

std::string Worded(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

// "net.jitter" = 0.2 as a table.
toml::table Nested(const std::string& key, double value) {
  const std::size_t dot = key.find('.');
  toml::table table;
  if (dot == std::string::npos) {
    if (value == static_cast<double>(static_cast<std::int64_t>(value)))
      table.insert(key, static_cast<std::int64_t>(value));
    else
      table.insert(key, value);
  } else {
    table.insert(key.substr(0, dot), Nested(key.substr(dot + 1), value));
  }
  return table;
}

Day DayOf(const Experiment& e, const RunKey& key) {
  toml::table changes = e.variants[key.variant].changes;
  if (!e.sweep_key.empty())
    for (auto&& [name, node] : Nested(e.sweep_key, e.sweep_values[key.point]))
      changes.insert_or_assign(name.str(), node);
  return ReadDay(e.days[key.day], changes);
}

}  // namespace

Experiment ReadExperiment(const std::string& path) {
  Problems problems;
  const toml::table root = ReadTomlFile(path);
  TableReader t(root, "", &problems);
  Experiment e;
  e.file = path;
  e.name = t.Text("name", ShortName(path));
  for (const std::string& day : t.Texts("days", {}))
    e.days.push_back((fs::path(path).parent_path() / day).lexically_normal().string());
  if (e.days.empty()) problems.Add(path + ": days: a list of day files expected");
  const std::int64_t seeds = t.Whole("seeds", 10, 1, 100'000), first = t.Whole("first-seed", 1);
  for (std::int64_t s = 0; s < seeds; ++s) e.seeds.push_back(static_cast<std::uint64_t>(first + s));
  for (TableReader& v : t.Tables("variant")) {
    Variant out;
    out.policy = v.Text("policy", out.policy);
    out.name = v.Text("name", out.policy);
    out.policy_seed = static_cast<std::uint64_t>(v.Whole("policy-seed", 0));
    v.Table("set");  // any key of a day; checked when the day is read
    v.Done();
    e.variants.push_back(std::move(out));
  }
  if (const toml::array* variants = root["variant"].as_array())
    for (std::size_t i = 0; i < variants->size() && i < e.variants.size(); ++i)
      if (const toml::table* set = (*variants)[i].as_table()->get_as<toml::table>("set"))
        e.variants[i].changes = *set;
  if (e.variants.empty()) problems.Add(path + ": variant: at least one [[variant]] expected");
  std::set<std::string> names;
  for (const Variant& v : e.variants)
    if (!names.insert(v.name).second) problems.Add(path + ": variant: two of the name \"" + v.name + "\"");
  if (t.Has("sweep")) {
    TableReader sweep = t.Table("sweep");
    e.sweep_key = sweep.Text("key", "");
    e.sweep_values = sweep.Numbers("values", {});
    if (e.sweep_key.empty() || e.sweep_values.empty())
      sweep.Fault("key", "a key of a day and `values` expected");
    sweep.Done();
  }
  t.Done();
  problems.Check();
  if (e.sweep_key.empty()) e.sweep_values = {0};
  Digest digest;
  digest.Add(LICHENLUG_VERSION), digest.Add(e.sweep_key);
  for (const std::string& day : e.days) {
    digest.Add(FileText(day));
    if (const std::string site = ReadDay(day).site_file; !site.empty()) digest.Add(FileText(site));
  }
  for (const Variant& v : e.variants) {
    std::ostringstream changes;
    changes << v.changes;
    digest.Add(v.name), digest.Add(v.policy), digest.Add(v.policy_seed), digest.Add(changes.str());
  }
  e.fingerprint = std::to_string(digest.Value());
  for (std::size_t v = 0; v < e.variants.size(); ++v)  // a fault in any day shows before the first run
    for (std::size_t d = 0; d < e.days.size(); ++d)
      for (std::size_t p = 0; p < e.sweep_values.size(); ++p) DayOf(e, {v, d, p, 0});
  return e;
}

std::string RunKey::Text(const Experiment& e) const {
  std::string text = e.variants[variant].name + "/" + ShortName(e.days[day]);
  if (!e.sweep_key.empty()) text += "/" + Worded(e.sweep_values[point]);
  return text + "/" + std::to_string(seed);
}

std::vector<RunKey> AllRuns(const Experiment& e) {
  std::vector<RunKey> all;
  for (std::uint64_t seed : e.seeds)  // seeds outermost: a killed experiment has whole pairs
    for (std::size_t p = 0; p < e.sweep_values.size(); ++p)
      for (std::size_t d = 0; d < e.days.size(); ++d)
        for (std::size_t v = 0; v < e.variants.size(); ++v) all.push_back({v, d, p, seed});
  return all;
}

// The plan goes with its results, so that a report needs no other file.
void WritePlan(const Experiment& e, const std::string& dir) {
  Json plan = {{"name", e.name},           {"fingerprint", e.fingerprint}, {"days", e.days},
               {"seeds", e.seeds},         {"sweep_key", e.sweep_key},     {"sweep_values", e.sweep_values},
               {"variants", Json::array()}};
  for (const Variant& v : e.variants) plan["variants"].push_back(v.name);
  std::ofstream(fs::path(dir) / "plan.json") << plan.dump() << "\n";
}

Experiment ReadPlan(const std::string& dir) {
  const std::string path = (fs::path(dir) / "plan.json").string();
  std::ifstream file(path);
  const Json plan = Json::parse(file, nullptr, false);
  if (!plan.is_object()) throw std::runtime_error(path + ": no plan of an experiment");
  Experiment e;
  e.name = plan.at("name").get<std::string>();
  e.fingerprint = plan.at("fingerprint").get<std::string>();
  e.days = plan.at("days").get<std::vector<std::string>>();
  e.seeds = plan.at("seeds").get<std::vector<std::uint64_t>>();
  e.sweep_key = plan.at("sweep_key").get<std::string>();
  e.sweep_values = plan.at("sweep_values").get<std::vector<double>>();
  for (const Json& name : plan.at("variants")) e.variants.push_back({name.get<std::string>(), "", 0, {}});
  return e;
}

std::vector<Json> ReadResults(const std::string& dir) {
  std::vector<Json> results;
  std::ifstream file(fs::path(dir) / "results.jsonl");
  for (std::string line; std::getline(file, line);) {
    Json json = Json::parse(line, nullptr, false);
    if (json.is_object() && json.contains("key")) results.push_back(std::move(json));
  }
  return results;
}

int Play(const Experiment& e, const std::string& dir, int threads,
         const std::function<void(const Progress&)>& told) {
  fs::create_directories(fs::path(dir) / "runs");
  if (fs::exists(fs::path(dir) / "plan.json") && ReadPlan(dir).fingerprint != e.fingerprint)
    throw std::runtime_error(
        dir + ": holds results of other days, variants or versions; remove it or name another");
  WritePlan(e, dir);
  const fs::path path = fs::path(dir) / "results.jsonl";
  std::set<std::string> have;
  {
    const std::vector<Json> before = ReadResults(dir);
    std::ofstream kept(path.string() + ".new");
    for (const Json& json : before) kept << json.dump() << "\n", have.insert(json["key"].get<std::string>());
  }
  fs::rename(path.string() + ".new", path);
  std::vector<RunKey> todo;
  for (const RunKey& key : AllRuns(e))
    if (!have.contains(key.Text(e))) todo.push_back(key);

  std::ofstream out(path, std::ios::app);
  std::mutex mutex;
  std::atomic<std::size_t> next = 0;
  std::size_t done = 0;
  int broken = 0;
  std::exception_ptr failure;
  const auto began = std::chrono::steady_clock::now();
  auto work = [&] {
    for (std::size_t i; (i = next++) < todo.size();) {
      try {
        const RunKey& key = todo[i];
        Testbed testbed(DayOf(e, key), e.variants[key.variant].policy, key.seed,
                        e.variants[key.variant].policy_seed);
        const RunResult r = testbed.Run();
        Json report = testbed.ReportJson();
        Json line = {{"key", key.Text(e)},
                     {"variant", e.variants[key.variant].name},
                     {"day", ShortName(e.days[key.day])},
                     {"seed", key.seed},
                     {"version", LICHENLUG_VERSION},
                     {"policy_us_per_arrival",
                      1e6 * r.policy_seconds / static_cast<double>(std::max<std::uint64_t>(1, r.arrivals))}};
        if (!e.sweep_key.empty()) line["point"] = e.sweep_values[key.point];
        for (const char* k : {"g", "whole", "worst_window", "worst_class", "worst_tenant", "jobs", "served",
                              "refused", "failed", "attempts_per_job", "digest", "drained", "breaches"})
          line[k] = report[k];
        const std::lock_guard lock(mutex);
        out << line.dump() << std::endl;
        broken += static_cast<int>(r.breaches.size());
        if (key.seed == e.seeds.front()) {
          std::string name = key.Text(e);
          std::ranges::replace(name, '/', '_');
          std::ofstream(fs::path(dir) / "runs" / (name + ".json")) << report.dump();
        }
        const double spent = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
        ++done;
        told({done + have.size(), todo.size() + have.size(),
              spent / static_cast<double>(done) * static_cast<double>(todo.size() - done)});
      } catch (...) {
        const std::lock_guard lock(mutex);
        if (!failure) failure = std::current_exception();
        next = todo.size();
      }
    }
  };
  std::vector<std::thread> pool;
  for (int i = 0; i < std::max(1, threads); ++i) pool.emplace_back(work);
  for (std::thread& thread : pool) thread.join();
  if (failure) std::rethrow_exception(failure);
  return broken;
}

std::vector<Difference> Compare(const Experiment& e, const std::vector<Json>& results) {
  std::map<std::string, const Json*> by_key;
  for (const Json& r : results) by_key[r["key"].get<std::string>()] = &r;
  std::vector<Difference> all;
  for (std::size_t v = 0; v < e.variants.size(); ++v)
    for (std::size_t p = 0; p < e.sweep_values.size(); ++p) {
      std::vector<double> every_own, every_difference;
      int every_breach = 0;
      auto add = [&](const std::string& day, const std::vector<double>& own,
                     const std::vector<double>& differences, int breaches) {
        all.push_back({e.variants[v].name, day, e.sweep_values[p], BootstrapMean(own),
                       BootstrapMean(differences), static_cast<int>(differences.size()), breaches});
      };
      for (std::size_t d = 0; d < e.days.size(); ++d) {
        std::vector<double> own, differences;
        int breaches = 0;
        for (std::uint64_t seed : e.seeds) {
          const auto mine = by_key.find(RunKey{v, d, p, seed}.Text(e)),
                     base = by_key.find(RunKey{0, d, p, seed}.Text(e));
          if (mine == by_key.end() || base == by_key.end()) continue;
          own.push_back((*mine->second)["g"].get<double>());
          differences.push_back(own.back() - (*base->second)["g"].get<double>());
          breaches += static_cast<int>((*mine->second)["breaches"].size());
        }
        every_own.insert(every_own.end(), own.begin(), own.end());
        every_difference.insert(every_difference.end(), differences.begin(), differences.end());
        every_breach += breaches;
        add(ShortName(e.days[d]), own, differences, breaches);
      }
      if (e.days.size() > 1) add("", every_own, every_difference, every_breach);
    }
  return all;
}

}  // namespace lichenlug::lab
