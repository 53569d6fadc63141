// A tier of quarantines in virtual time: messages are lost, duplicated and delayed; dispatchers crash,
// restart, pause and are partitioned. Clients keep submitting jobs; some jobs kill each runner that takes
// them.
#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "quarantine/quarantine.h"

namespace lichenlug {

inline Job JobNamed(const std::string& object, const std::string& tenant = "t",
                    const std::string& job_class = "publish") {
  return Job::Of(
      {.tenant = tenant, .job_class = job_class, .method = "POST", .path_and_query = "/p", .object = object});
}

// Records successful runs of harmless jobs, as a baseline for the dispatcher.
inline void RecordHealthyRuns(Quarantine* quarantine, Time now) {
  for (int i = 0; i < 2000; ++i)
    quarantine->Ended(JobNamed("calm" + std::to_string(i)),
                      {.name = "calm" + std::to_string(i % 40), .life = 1}, Outcome::kSucceeded, now);
}

struct SimulatedTier {
  static constexpr Time kStep = 100 * kMillisecond;

  struct Node {
    std::unique_ptr<Quarantine> quarantine;
    int partition = 0, starts = 0;
    bool alive = true;
    Time paused_until = 0, view_at = 0;  // view_at 0: the view is up to date
    std::uint64_t view_version = 0;
  };
  struct Run {
    int node = 0, starts = 0;
    Job job;
    Time began = 0, ends = 0;
    bool alone = false;
    Outcome outcome = Outcome::kDied;
    std::string runner;
  };
  struct InFlight {
    int from, to;
    std::string body;
    Time at;
  };

  SimulatedTier(int nodes, std::uint64_t seed) : random(seed), nodes_(static_cast<std::size_t>(nodes)) {
    for (int i = 0; i < nodes; ++i) Start(i);
    for (int i = 0; i < nodes; ++i) ShowView(i);
    now += 10 * kSecond;
  }

  Quarantine& at(int i) { return *nodes_[static_cast<std::size_t>(i)].quarantine; }
  Node& node(int i) { return nodes_[static_cast<std::size_t>(i)]; }
  int size() const { return static_cast<int>(nodes_.size()); }
  bool Awake(int i) { return node(i).alive && now >= node(i).paused_until; }
  int Draw(int below) { return static_cast<int>(random(static_cast<std::uint32_t>(below))); }
  int DrawAwake() {
    for (int tries = 0; tries < 100; ++tries)
      if (const int i = Draw(size()); Awake(i)) return i;
    return -1;
  }

  void Start(int i) {
    Node& it = node(i);
    it.alive = true, it.paused_until = 0;
    it.quarantine = std::make_unique<Quarantine>(i, static_cast<std::uint64_t>(++it.starts),
                                                 Quarantine::Settings{.seed = random()});
    Changed();
  }
  void Kill(int i) {
    node(i).alive = false;
    Changed();
  }
  void Pause(int i, Time span) {
    node(i).paused_until = now + span;
    Changed();
  }
  void SetPartition(int i, int partition) {
    node(i).partition = partition;
    Changed();
  }
  // Each node gets the new view after a random delay.
  void Changed() {
    for (Node& it : nodes_) it.view_at = now + (3 + Draw(12)) * kStep;
  }
  void ShowView(int i) {
    TierView view;
    view.version = ++node(i).view_version, view.own = i;
    for (int m = 0; m < size(); ++m)
      view.members.push_back({.number = m,
                              .zone = m % 2,
                              .status = Awake(m) && node(m).partition == node(i).partition
                                            ? MemberStatus::kAlive
                                            : MemberStatus::kDead,
                              .life = static_cast<std::uint64_t>(node(m).starts)});
    at(i).TierChanged(view, now);
  }

  // A client submits the job. Returns the verdict if the job was refused, nullopt if it runs.
  std::optional<Quarantine::Verdict> Submit(int i, const Job& job, Outcome outcome) {
    const Quarantine::Verdict verdict = at(i).Admit(job, now);
    if (!verdict.runs()) return verdict;
    if (verdict.what == Quarantine::Verdict::What::kRunAlone) SendDatagrams(i);  // sent before the run starts
    at(i).Started(job, now);
    runs.push_back({.node = i,
                    .starts = node(i).starts,
                    .job = job,
                    .began = now,
                    .ends = now + (2 + Draw(15)) * kStep,
                    .alone = verdict.what == Quarantine::Verdict::What::kRunAlone,
                    .outcome = outcome,
                    .runner = "r" + std::to_string(runners++)});
    return std::nullopt;
  }

  void Step() {
    now += kStep;
    for (int i = 0; i < size(); ++i) {
      Node& it = node(i);
      if (it.paused_until != 0 && now >= it.paused_until && now - it.paused_until < kStep) Changed();
      if (Awake(i) && it.view_at != 0 && now >= it.view_at) it.view_at = 0, ShowView(i);
    }
    std::vector<InFlight> datagrams_before;
    datagrams_before.swap(in_flight_);
    for (InFlight& datagram : datagrams_before) {
      if (datagram.at > now || (node(datagram.to).alive && !Awake(datagram.to)))
        in_flight_.push_back(std::move(datagram));
      else if (Awake(datagram.to) && node(datagram.from).partition == node(datagram.to).partition)
        at(datagram.to).HandleMessage(datagram.from, datagram.body, now);
    }
    for (std::size_t r = 0; r < runs.size();) {
      const Run run = runs[r];
      if (now < run.ends ||
          (node(run.node).starts == run.starts && node(run.node).alive && !Awake(run.node))) {
        ++r;
        continue;
      }
      runs.erase(runs.begin() + static_cast<std::ptrdiff_t>(r));
      if (node(run.node).alive && node(run.node).starts == run.starts)
        at(run.node).Ended(run.job, {.name = run.runner, .life = 1, .zone = 1 + run.node % 2}, run.outcome,
                           now);
    }
    for (int i = 0; i < size(); ++i) {
      const Time due = Awake(i) ? at(i).DueAt() : 0;
      if (due != 0 && due <= now) SendDatagrams(i);
    }
  }
  void Advance(Time span) {
    for (const Time end = now + span; now < end;) Step();
  }
  int RunsOf(const Job& job) const {
    return static_cast<int>(
        std::ranges::count_if(runs, [&](const Run& it) { return it.job.fingerprint == job.fingerprint; }));
  }
  State StateAt(int i, const Job& job) {
    const Ticket* ticket = at(i).table().Find(job.fingerprint);
    return ticket == nullptr ? State::kWatched : ticket->StateAt(now);
  }

  pcg32 random;
  Time now = 1'700'000'000 * kSecond;
  double loss = 0;
  std::vector<Run> runs;
  int runners = 0;
  std::uint64_t datagrams = 0, bytes = 0, oversized = 0;

 private:
  void SendDatagrams(int i) {
    for (const PeerProtocol::Datagram& datagram : at(i).MakeDatagrams(now))
      for (int to = 0; to < size(); ++to)
        if (to != i && (datagram.peer == PeerProtocol::kAll || datagram.peer == to))
          Send(i, to, datagram.body);
  }
  void Send(int from, int to, const std::string& body) {
    ++datagrams, bytes += body.size(),
        oversized += body.empty() || body.size() > PeerProtocol::kMaxBody ? 1 : 0;
    for (int copy = 0; copy < (random(10) == 0 ? 2 : 1); ++copy)
      if (random(1000) >= loss * 1000) in_flight_.push_back({from, to, body, now + Draw(3) * kStep});
  }

  std::vector<Node> nodes_;
  std::vector<InFlight> in_flight_;
};

}  // namespace lichenlug
