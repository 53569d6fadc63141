#include "lab/quarantine/holding.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace lichenlug::lab {
namespace {

// As the program does today: tries again while the class allows it, at every dispatcher anew.
class ByCount : public HoldingBack {
 public:
  ByCount(int attempts, int hand_ins) : attempts_(attempts), hand_ins_(hand_ins) {}
  int attempts() const override { return attempts_; }
  int hand_ins() const override { return hand_ins_; }
  Asked Ask(int, const Job&, Time) override { return {}; }
  void Ended(int, const Job&, const Runner&, Outcome, Time) override {}

 private:
  int attempts_, hand_ins_;
};

// A breaker a class and dispatcher: five bad ends among the last twenty open it for ten seconds.
class Breaker : public ByCount {
 public:
  Breaker() : ByCount(3, 1000) {}
  Asked Ask(int dispatcher, const Job& job, Time now) override {
    const Of& of = of_[{dispatcher, job.job_class}];
    if (now < of.open_until) return {Asked::What::kLater, of.open_until - now};
    return {};
  }
  void Ended(int dispatcher, const Job& job, const Runner&, Outcome outcome, Time now) override {
    if (outcome == Outcome::kNothing) return;
    Of& of = of_[{dispatcher, job.job_class}];
    of.last.push_back(outcome != Outcome::kSucceeded);
    if (of.last.size() > 20) of.last.pop_front();
    if (std::ranges::count(of.last, true) < 5) return;
    of.last.clear();
    of.open_until = now + 10 * kSecond;
  }

 private:
  struct Of {
    std::deque<bool> last;
    Time open_until = 0;
  };
  std::map<std::pair<int, std::uint32_t>, Of> of_;
};

class ByQuarantine : public ByCount {
 public:
  ByQuarantine(const PoisonDay& day, Time now) : ByCount(3, 1000) {
    TierView view;
    view.version = 1;
    for (int i = 0; i < day.dispatchers; ++i)
      view.members.push_back({.number = i, .zone = i % 3, .status = MemberStatus::kAlive, .life = 1});
    for (int i = 0; i < day.dispatchers; ++i) {
      Quarantine::Settings settings;
      settings.seed = day.seed * 1000 + static_cast<std::uint64_t>(i);
      all_.push_back(std::make_unique<Quarantine>(i, 1, settings));
      view.own = i;
      all_.back()->TierChanged(view, now - 10 * kSecond);
    }
  }
  Asked Ask(int dispatcher, const Job& job, Time now) override {
    const Quarantine::Verdict verdict = Of(dispatcher).Admit(job, now);
    if (verdict.runs()) return {};
    if (verdict.what == Quarantine::Verdict::What::kLater)
      return {Asked::What::kLater, verdict.retry_after, verdict.home};
    return {Asked::What::kFinal};
  }
  void Began(int dispatcher, const Job& job, Time now) override { Of(dispatcher).Started(job, now); }
  void Ended(int dispatcher, const Job& job, const Runner& runner, Outcome outcome, Time now) override {
    Of(dispatcher).Ended(job, runner, outcome, now);
  }
  Time DueAt(int dispatcher) const override { return all_[static_cast<std::size_t>(dispatcher)]->DueAt(); }
  Time MakeDatagrams(int dispatcher, Time now,
                     const std::function<void(int, const std::string&)>& send) override {
    for (const PeerProtocol::Datagram& word : Of(dispatcher).MakeDatagrams(now)) {
      if (word.peer != PeerProtocol::kAll) {
        send(word.peer, word.body);
        continue;
      }
      for (int to = 0; to < static_cast<int>(all_.size()); ++to)
        if (to != dispatcher) send(to, word.body);
    }
    (void)Of(dispatcher).TakeTakenBack();
    (void)Of(dispatcher).TakeChanges();
    return Of(dispatcher).DueAt();
  }
  void HandleMessage(int from, int to, const std::string& body, Time now) override {
    Of(to).HandleMessage(from, body, now);
  }
  std::vector<Fingerprint> Condemned(Time now) const override {
    std::set<Fingerprint> found;
    for (const auto& it : all_)
      for (const auto& [job, ticket] : it->table().all())
        if (ticket.condemned(now)) found.insert(job);
    return {found.begin(), found.end()};
  }

 private:
  Quarantine& Of(int dispatcher) { return *all_[static_cast<std::size_t>(dispatcher)]; }
  std::vector<std::unique_ptr<Quarantine>> all_;
};

}  // namespace

std::unique_ptr<HoldingBack> MakeHolding(const PoisonDay& day, Time now) {
  switch (day.holding) {
    case Holding::kToday:
      return std::make_unique<ByCount>(3, 1000);
    case Holding::kCapped:
      return std::make_unique<ByCount>(2, 3);
    case Holding::kBreaker:
      return std::make_unique<Breaker>();
    case Holding::kQuarantine:
      return std::make_unique<ByQuarantine>(day, now);
  }
  return nullptr;
}

}  // namespace lichenlug::lab
