// The environment of the dispatchers and boxes of a day: discovery, faults and measurements.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "lab/virtual/world.h"

namespace lichenlug::lab {

using rookgw::ListChanged;
using rookgw::ListedWorker;

namespace {

constexpr std::size_t kLoadGroups = 40;  // rows of the heat map

}  // namespace

// ---- Discovery ----

bool Testbed::IsFaultFree(FaultKind kind) const {
  return std::ranges::none_of(day_.faults,
                              [&](const Fault& fault) { return fault.kind == kind && fault.Active(now_); });
}

void Testbed::Register(int box_index, ListedWorker::State state, Time after) {
  const Box& box = boxes_[box_index];
  ListedWorker entry{box_ids_[box_index], state, box.since, box.cell, box.kind_index, box.zone, 1};
  changes_.push_back({box_index, std::move(entry)});
  Push(now_ + after, EventType::kRegistry, 0, 0, changes_.size() - 1);
}

void Testbed::Registered(std::uint64_t change) {
  log_.push_back(change);
  for (std::size_t node_index = 0; node_index < nodes_.size(); ++node_index) {
    Node& node = nodes_[node_index];
    if (!node.up || !node.watching || std::exchange(node.push_due, true)) continue;
    const Time wait =
        static_cast<Time>(discovery_random_.Uniform() * static_cast<double>(site_.discovery.period));
    Push(now_ + wait, EventType::kListPush, static_cast<std::uint32_t>(node_index), node.life);
  }
}

std::vector<ListedWorker> Testbed::ListAt(std::int64_t version) const {
  std::vector<ListedWorker> list = first_list_;
  std::unordered_map<std::string, std::size_t> at;
  for (std::size_t i = 0; i < list.size(); ++i) at[list[i].id] = i;
  for (std::int64_t v = 0; v < version; ++v) {
    const ListedWorker& entry = changes_[log_[v]].entry;
    const auto [it, fresh] = at.try_emplace(entry.id, list.size());
    if (fresh)
      list.push_back(entry);
    else
      list[it->second] = entry;
  }
  std::erase_if(list, [](const ListedWorker& e) { return e.state == ListedWorker::State::kGone; });
  return list;
}

void Testbed::SendList(int node_index, ListChanged::Form form) {
  Node& node = nodes_[node_index];
  const std::int64_t version = static_cast<std::int64_t>(log_.size());
  std::vector<ListedWorker> entries;
  const bool half = !IsFaultFree(FaultKind::kDiscoveryHalf);
  if (half) form = ListChanged::Form::kWhole;
  if (form == ListChanged::Form::kPatch) {
    for (std::int64_t v = node.version; v < version; ++v) entries.push_back(changes_[log_[v]].entry);
  } else {
    entries = ListAt(version);
    if (half)
      for (std::size_t i = 0; i < entries.size(); ++i)
        if (i % 2 == 1) entries[i].state = ListedWorker::State::kGone;
    if (half)
      std::erase_if(entries, [](const ListedWorker& e) { return e.state == ListedWorker::State::kGone; });
    // A box that is missing from a full list is gone.
    std::vector<char> named(boxes_.size());
    for (const ListedWorker& e : entries) named[box_by_id_.at(e.id)] = 1;
    for (std::size_t box_index = 0; box_index < boxes_.size(); ++box_index)
      if (!named[box_index])
        checker_.Told(now_, node_index, static_cast<int>(box_index), ListedWorker::State::kGone);
  }
  for (const ListedWorker& entry : entries) {
    const int box = box_by_id_.at(entry.id);
    if (entry.id == box_ids_[box]) {  // not an earlier machine that was replaced
      checker_.Told(now_, node_index, box, entry.state);
      node.known_start[box] = entry.since;
    }
  }
  node.version = version;
  if (form == ListChanged::Form::kPatch && entries.empty()) return;
  Feed(node_index, ListChanged{form, version, entries});
}

// ---- Faults ----

// A random subset of 0..n-1 for this fault, sorted, from a generator of its own.
std::vector<int> Testbed::AffectedSubset(std::size_t i, int count) {
  Random draw(seed_, 1000 + i);
  std::vector<int> all(count);
  for (int k = 0; k < count; ++k) all[k] = k;
  for (int k = count; k > 1; --k) std::swap(all[k - 1], all[draw.Below(k)]);
  all.resize(
      std::clamp<std::size_t>(static_cast<std::size_t>(std::llround(day_.faults[i].part * count)), 1, count));
  std::ranges::sort(all);
  return all;
}

void Testbed::StartFault(std::size_t i) {
  const Fault& fault = day_.faults[i];
  const int boxes = static_cast<int>(boxes_.size());
  auto each = [&](auto call) {
    affected_[i] = AffectedSubset(i, boxes);
    for (int box_index : affected_[i]) call(box_index);
  };
  switch (fault.kind) {
    case FaultKind::kVanish:
      return each([&](int box_index) {
        if (toppled_[box_index]) return;
        StopBox(box_index, Box::Life::kSilent);
        Register(box_index, ListedWorker::State::kGone, site_.discovery.notice_silent);
      });
    case FaultKind::kKill:
      return each([&](int box_index) {
        if (toppled_[box_index]) return;
        StopBox(box_index, Box::Life::kDown);
        Register(box_index, ListedWorker::State::kGone, site_.discovery.notice);
      });
    case FaultKind::kReplace:
      return each([&](int box_index) {
        if (toppled_[box_index]) return;
        StopBox(box_index, Box::Life::kDown);
        Register(box_index, ListedWorker::State::kGone, site_.discovery.notice);
        box_ids_[box_index] += "r";  // a new machine in the same position
        box_by_id_[box_ids_[box_index]] = box_index;
        StartBox(box_index, true);
      });
    case FaultKind::kShrink:
      return each([&](int box_index) {
        if (toppled_[box_index]) return;
        boxes_[box_index].Drain(now_, &news_);
        HandleBoxNews(box_index);
        Register(box_index, ListedWorker::State::kDraining, site_.discovery.notice);
      });
    case FaultKind::kSlow:
    case FaultKind::kGrey:
      return each([&](int box_index) {
        boxes_[box_index].Advance(now_, &news_);
        boxes_[box_index].SetSlow(now_, std::max(fault.size, 1e-3));
        boxes_[box_index].masks_load = fault.kind == FaultKind::kGrey;
        HandleBoxNews(box_index);
      });
    case FaultKind::kFail:
      return each([&](int box_index) { boxes_[box_index].fail_share = std::min(fault.size, 1.0); });
    case FaultKind::kLie:
      return each([&](int box_index) { boxes_[box_index].lies = true; });
    case FaultKind::kRoll: {
      affected_[i] = AffectedSubset(i, site_.dispatchers);
      const Time step = fault.length / static_cast<Time>(affected_[i].size());
      for (std::size_t k = 0; k < affected_[i].size(); ++k)
        Push(now_ + static_cast<Time>(k) * step, EventType::kNodeDown,
             static_cast<std::uint32_t>(affected_[i][k]), 0,
             static_cast<std::uint64_t>(fault.size * kSecond));
      return;
    }
    case FaultKind::kClockJump:
      affected_[i] = AffectedSubset(i, site_.dispatchers);
      for (int node_index : affected_[i])
        nodes_[node_index].offset += static_cast<Time>(fault.size * kSecond);
      return;
    case FaultKind::kStore:
      store_.SetRate(now_, StoreRate());
      return ArmStore();
    default:
      return;  // these kinds are checked where they take effect
  }
}

void Testbed::EndFault(std::size_t i) {
  const Fault& fault = day_.faults[i];
  // A box stays faulty if another active fault of the same kind affects it too.
  auto still_affected = [&](int box_index) {
    for (std::size_t j = 0; j < day_.faults.size(); ++j)
      if (j != i && day_.faults[j].kind == fault.kind && day_.faults[j].Active(now_) &&
          std::ranges::binary_search(affected_[j], box_index))
        return true;
    return false;
  };
  for (int box_index : affected_[i]) {
    if (fault.kind == FaultKind::kRoll || fault.kind == FaultKind::kClockJump) continue;
    if (still_affected(box_index)) continue;
    switch (fault.kind) {
      case FaultKind::kVanish:
      case FaultKind::kKill:
      case FaultKind::kShrink:
        StartBox(box_index, true);
        break;
      case FaultKind::kSlow:
      case FaultKind::kGrey:
        boxes_[box_index].Advance(now_, &news_);
        boxes_[box_index].SetSlow(now_, 1), boxes_[box_index].masks_load = false;
        HandleBoxNews(box_index);
        break;
      case FaultKind::kFail:
        boxes_[box_index].fail_share = 0;
        break;
      case FaultKind::kLie:
        boxes_[box_index].lies = false;
        break;
      default:
        break;
    }
  }
  if (fault.kind == FaultKind::kStore) store_.SetRate(now_, StoreRate()), ArmStore();
  // Sends the full list again, because the lists sent during the fault were incomplete.
  if (fault.kind == FaultKind::kDiscoveryHalf)
    for (std::size_t node_index = 0; node_index < nodes_.size(); ++node_index)
      if (nodes_[node_index].up && nodes_[node_index].watching)
        SendList(static_cast<int>(node_index), ListChanged::Form::kWhole);
}

// ---- Measurements ----

void Testbed::Sample() {
  const std::size_t groups = std::min(kLoadGroups, boxes_.size());
  std::vector<double> used(groups), cores(groups);
  for (std::size_t box_index = 0; box_index < boxes_.size(); ++box_index) {
    const std::size_t group = box_index * groups / boxes_.size();
    used[group] += boxes_[box_index].UsedCores();
    cores[group] += site_.kinds[boxes_[box_index].kind_index].cores;
  }
  for (std::size_t g = 0; g < groups; ++g) used[g] /= cores[g];
  score_keeper_.LoadOf(now_, used);
}

double Testbed::EndAt(const std::string& id, rookgw::RequestId job) const {
  const auto it = box_by_id_.find(id);
  const OpenRequest* open_request = const_cast<Testbed*>(this)->open_requests_.Find(Handle::Unpack(job));
  if (it == box_by_id_.end() || open_request == nullptr) return 1e18;
  const Box& box = boxes_[it->second];
  if (box.life != Box::Life::kUp || box.fail_share > 0.5) return 1e18;
  const double pace = std::max(box.Pace(now_), 1e-9);
  const bool fetch =
      site_.keys.setup > 0 && site_.kinds[box.kind_index].keys_kept > 0 && !box.KeepsKey(open_request->key);
  const double own =
      open_request->work * box.Slots() / pace + (fetch ? site_.keys.setup / std::max(StoreRate(), 1e-3) : 0);
  const double wait =
      box.FreeSlots() >= open_request->slots && box.Waiting() == 0 ? 0 : box.Backlog(now_) / pace;
  return wait + own;
}

double Testbed::WorkOf(rookgw::RequestId id) const {
  const OpenRequest* open_request = const_cast<Testbed*>(this)->open_requests_.Find(Handle::Unpack(id));
  return open_request != nullptr ? open_request->work : 0;
}

nlohmann::json Testbed::ReportJson() const {
  nlohmann::json out = score_keeper_.ToJson();
  out["policy"] = policy_, out["seed"] = seed_, out["day"] = day_.file, out["site"] = site_.name;
  out["boxes"] = site_.boxes, out["dispatchers"] = site_.dispatchers, out["load"] = day_.load;
  char digest[20];
  std::snprintf(digest, sizeof digest, "%016llx", static_cast<unsigned long long>(result_.digest));
  out["digest"] = digest, out["drained"] = result_.drained, out["events"] = result_.events;
  out["toppled"] = result_.toppled, out["rule_checks"] = result_.rule_checks;
  nlohmann::json& faults = out["faults"] = nlohmann::json::array();
  for (const Fault& fault : day_.faults)
    faults.push_back({{"what", FaultName(fault.kind)},
                      {"start_s", static_cast<double>(fault.start) / kSecond},
                      {"length_s", static_cast<double>(fault.length) / kSecond},
                      {"part", fault.part},
                      {"size", fault.size}});
  nlohmann::json& breaches = out["breaches"] = nlohmann::json::array();
  for (const auto& [rule, breach] : result_.breaches)
    breaches.push_back({{"rule", rule},
                        {"at_us", breach.at},
                        {"what", breach.what},
                        {"box", breach.box},
                        {"count", result_.breach_count.at(rule)}});
  return out;
}
}  // namespace lichenlug::lab
