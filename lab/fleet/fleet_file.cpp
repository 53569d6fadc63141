#include "lab/fleet/fleet_file.h"

#include <algorithm>
#include <filesystem>

#include "lab/base/random.h"
#include "lab/config/day_file.h"
#include "lab/config/reader.h"

namespace lichenlug::lab {
namespace {

bool IsParty(const std::string& name, const Site& site) {
  if (name == "*" || name == "d" || name == "c" || name == "n*" || name == "b*") return true;
  if (name.size() < 2 || (name[0] != 'n' && name[0] != 'b') || name.size() > 6) return false;
  if (!std::all_of(name.begin() + 1, name.end(), [](unsigned char c) { return std::isdigit(c) != 0; }))
    return false;
  return std::stoi(name.substr(1)) < (name[0] == 'n' ? site.dispatchers : site.boxes);
}

FleetFault ReadFault(TableReader t, const Site& site) {
  FleetFault f;
  if (!t.Has("what")) t.Fault("what", "the name of a fault expected");
  f.kind = static_cast<FleetFaultKind>(t.Choice("what", 0, FleetFaultNames()));
  f.at = t.Span("at", 0), f.length = t.Span("for", 0);
  f.size = t.Number("size", 0, 0, 60);
  f.say = t.Text("say", "");
  const auto party = [&](const char* key, const char* kinds) {
    const std::string name = t.Text(key, "");
    const bool good = IsParty(name, site) && (*kinds == '\0' || name[0] == *kinds);
    if (!good)
      t.Fault(key, "the name of a party expected (n0 to n" + std::to_string(site.dispatchers - 1) +
                       ", b0 to b" + std::to_string(site.boxes - 1) + ", d, c, n*, b*, *), found \"" + name +
                       "\"");
    return name;
  };
  if (OfLink(f.kind)) {
    f.from = party("from", ""), f.to = party("to", "");
    f.one_way = t.Flag("one-way", false);
    if (f.length <= 0) t.Fault("for", "a span above 0 expected: a link's fault has an end");
  } else {
    const std::string kind(1, PartyOf(f.kind));
    f.who = kind == "d" ? kind : party("who", kind.c_str());
    if (f.who.find('*') != std::string::npos) t.Fault("who", "one party expected");
    static constexpr FleetFaultKind kWithEnd[] = {
        FleetFaultKind::kPause,        FleetFaultKind::kListGhost, FleetFaultKind::kListAddress,
        FleetFaultKind::kListZone,     FleetFaultKind::kListTwice, FleetFaultKind::kDiscoveryDown,
        FleetFaultKind::kLateHeartbeat};
    if (std::ranges::find(kWithEnd, f.kind) != std::end(kWithEnd) && f.length <= 0)
      t.Fault("for", "a span above 0 expected");
  }
  t.Done();
  return f;
}

Poison ReadPoison(TableReader t, const Site& site) {
  Poison p;
  p.key = static_cast<std::uint64_t>(t.Whole("key", 0, 0, site.keys.count - 1));
  std::vector<std::string> classes;
  for (const ClassModel& c : site.classes) classes.push_back(c.name);
  if (t.Has("class")) p.cls = t.Choice("class", 0, classes);
  p.hangs = t.Choice("does", 0, {"kill", "hang"}) == 1;
  p.after = t.Span("after", 0), p.back = t.Span("back", p.back);
  t.Done();
  return p;
}

CallBackFaults ReadCallBacks(TableReader t) {
  CallBackFaults f;
  f.early = t.Number("early", 0, 0, 1), f.late = t.Number("late", 0, 0, 1);
  f.twice = t.Number("twice", 0, 0, 1), f.wrong = t.Number("wrong", 0, 0, 1);
  f.unknown = t.Number("unknown", 0, 0, 1);
  t.Done();
  return f;
}

// Kinds to draw from. Absent: what a network, a machine and a process may do, and a list that is true.
std::vector<FleetFaultKind> ReadDraw(TableReader* t) {
  const std::vector<std::string>& names = FleetFaultNames();
  std::vector<FleetFaultKind> draw;
  for (const std::string& name :
       t->Texts("draw", {"kill", "term", "pause", "box-kill", "box-mute", "box-drain", "discovery-down",
                         "cut", "hole", "delay", "reset", "loss", "copies", "reorder"})) {
    const auto at = std::ranges::find(names, name);
    if (at == names.end())
      t->Fault("draw", "names of faults expected, found \"" + name + "\"");
    else
      draw.push_back(static_cast<FleetFaultKind>(at - names.begin()));
  }
  return draw;
}

}  // namespace

const std::vector<std::string>& FleetFaultNames() {
  static const std::vector<std::string> names = {
      "kill",         "term",           "pause",          "hup",       "box-kill",   "box-mute",
      "box-drain",    "list-ghost",     "list-address",   "list-zone", "list-twice", "discovery-down",
      "watch-silent", "call-swallowed", "late-heartbeat", "cut",       "hole",       "delay",
      "reset",        "loss",           "copies",         "reorder"};
  return names;
}

char PartyOf(FleetFaultKind kind) {
  if (kind <= FleetFaultKind::kHup || kind > FleetFaultKind::kDiscoveryDown) return 'n';
  return kind == FleetFaultKind::kDiscoveryDown ? 'd' : 'b';
}

FleetFile ReadFleet(const std::string& path) {
  FleetFile fleet;
  fleet.file = path;
  const toml::table root = ReadTomlFile(path);
  Problems problems;
  TableReader t(root, "", &problems);
  const std::string day = t.Text("day", "");
  if (day.empty())
    t.Fault("day", "the path of a day file expected, as seen from this file");
  else
    fleet.day = ReadDay((std::filesystem::path(path).parent_path() / day).lexically_normal().string());
  if (!fleet.day.faults.empty())
    t.Fault("day", "a day without faults expected: a fleet's faults stand in its own file");
  fleet.programs.push_back(t.Texts("program", {"build/lichenlug", "serve"}));
  if (const auto other = t.Texts("other-program", {}); !other.empty()) fleet.programs.push_back(other);
  for (const auto& words : fleet.programs)
    if (words.empty() || words[0].empty()) t.Fault("program", "a command as a list of words expected");
  fleet.drawn = static_cast<int>(t.Whole("drawn-faults", 0, 0, 1000));
  fleet.draw = ReadDraw(&t);
  fleet.call_backs = ReadCallBacks(t.Table("call-backs"));
  fleet.marks_again = t.Flag("marks-again", false);
  fleet.stubborn = t.Number("stubborn", 0, 0, 1);
  fleet.peers = t.Flag("peers", true);
  fleet.answer_slack = t.Span("answer-slack", fleet.answer_slack);
  fleet.leave = t.Text("leave", "");
  if (!day.empty())
    for (TableReader& poison : t.Tables("poison")) fleet.poison.push_back(ReadPoison(poison, fleet.day.site));
  if (!day.empty())
    for (TableReader& fault : t.Tables("fault")) fleet.faults.push_back(ReadFault(fault, fleet.day.site));
  t.Done();
  problems.Check();
  return fleet;
}

std::vector<FleetFault> FaultsOf(const FleetFile& fleet, std::uint64_t seed) {
  std::vector<FleetFault> faults = fleet.faults;
  Random random(seed, 41);
  const Site& site = fleet.day.site;
  for (int i = 0; i < fleet.drawn && !fleet.draw.empty(); ++i) {
    FleetFault f;
    f.kind = fleet.draw[random.Below(fleet.draw.size())];
    f.at = static_cast<Time>(random.Between(0.1, 0.7) * static_cast<double>(fleet.day.length));
    f.length = static_cast<Time>(random.Between(0.3, 3) * kSecond);
    const std::string n = "n" + std::to_string(random.Below(site.dispatchers)),
                      b = "b" + std::to_string(random.Below(site.boxes));
    f.who = PartyOf(f.kind) == 'n' ? n : PartyOf(f.kind) == 'd' ? "d" : b;
    const bool datagrams = f.kind >= FleetFaultKind::kLoss;
    const std::vector<std::string> others = {"n*", "b*", b, "d"};
    f.from = n, f.to = datagrams ? "n*" : others[random.Below(others.size())];
    f.one_way = random.Chance(0.4);
    const bool span = f.kind == FleetFaultKind::kDelay || f.kind == FleetFaultKind::kReorder;
    f.size = span ? random.Between(0.01, 0.3) : random.Between(0.05, 0.5);
    if (f.kind == FleetFaultKind::kPause) f.length = f.length * 5 / 3;  // 0.5 to 5 s
    if (f.kind == FleetFaultKind::kLateHeartbeat) f.size *= 4;          // 0.2 to 2 s
    faults.push_back(f);
  }
  std::ranges::stable_sort(faults, {}, &FleetFault::at);
  return faults;
}

}  // namespace lichenlug::lab
