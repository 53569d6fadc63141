#include "lab/quarantine/day.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <queue>
#include <set>

#include "lab/base/random.h"
#include "lab/quarantine/holding.h"

namespace lichenlug::lab {
namespace {

constexpr Time kStart = 1'700'000'000 * kSecond;
constexpr double kArrivals = 250;  // a second over the tier
constexpr int kSlots = 4, kZones = 3, kClasses = 5, kTenants = 10;
constexpr double kRunMean = 0.25, kRunSpread = 0.8;  // seconds; coefficient of variation
constexpr Time kInTime = 10 * kSecond, kTimeout = 20 * kSecond;
constexpr Time kBack = 5 * kSecond, kHungFor = 3 * kSecond, kNotice = 50 * kMillisecond;
constexpr double kHangs = 0.3;            // of what a poisoned job does
constexpr double kDeathsASecond = 0.001;  // of a healthy runner
constexpr double kBadKills = 0.3, kStoreFails = 0.5, kClassKills = 0.1;

struct Client {
  Job job;
  Time born = 0;
  int job_class = 0, tries = 0, poison = -1;
  bool served = false, held = false;
};

struct Attempt {
  int client = 0, dispatcher = 0, number = 0;
  Time began = 0;
};

struct Box {
  std::uint64_t life = 1;
  int zone = 0;
  bool up = true, bad = false, hung = false;
  std::vector<Attempt> running;
  std::deque<Attempt> waiting;
  std::string name;
};

class PoisonWorld {
 public:
  explicit PoisonWorld(const PoisonDay& day)
      : day_(day),
        arrivals_(day.seed, 1),
        runs_(day.seed, 2),
        ways_(day.seed, 3),
        faults_(day.seed, 4),
        holding_(MakeHolding(day, kStart)) {}

  PoisonResult Play();

 private:
  struct Event {
    Time at;
    std::uint64_t number;
    std::function<void()> what;
    bool operator>(const Event& o) const { return at != o.at ? at > o.at : number > o.number; }
  };

  void At(Time at, std::function<void()> what) { events_.push({at, ++number_, std::move(what)}); }
  void Arrive(int client, int dispatcher);
  void Try(const Attempt& attempt);
  void Enter(int box, const Attempt& attempt);
  void Run(int box, const Attempt& attempt);
  void Finish(int box, std::uint64_t life, const Attempt& attempt, Outcome outcome);
  void Fell(int box, Outcome outcome);
  void Over(const Attempt& attempt, const Runner& runner, Outcome outcome);
  void Again(int client, Time after, int at);
  void Wake(int dispatcher);
  void MakeClients();
  void MakeFaults();
  int AnyDispatcher() { return static_cast<int>(ways_.Below(static_cast<std::uint64_t>(day_.dispatchers))); }

  PoisonDay day_;
  Random arrivals_, runs_, ways_, faults_;
  std::unique_ptr<HoldingBack> holding_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t number_ = 0, bytes_ = 0;
  Time now_ = kStart, end_ = 0, store_from_ = 0, store_to_ = 0;
  std::vector<Client> clients_;
  std::vector<Box> boxes_;
  std::vector<Time> wakes_, first_kill_;
  std::vector<int> kills_, late_kills_;
};

void PoisonWorld::MakeClients() {
  Time at = kStart;
  for (int i = 0; i < day_.jobs + day_.poisons; ++i) {
    Client client;
    client.poison = i < day_.jobs ? -1 : i - day_.jobs;
    at += static_cast<Time>(arrivals_.Exponential(1 / kArrivals) * kSecond);
    const Time spread = static_cast<Time>(day_.jobs / kArrivals * kSecond) / 2;
    client.born =
        client.poison < 0 ? at : kStart + 20 * kSecond + static_cast<Time>(faults_.Uniform() * spread);
    client.job_class = static_cast<int>(arrivals_.Below(kClasses));
    client.job = Job::Of({.tenant = "t" + std::to_string(arrivals_.Below(kTenants)),
                          .job_class = "c" + std::to_string(client.job_class),
                          .method = "POST",
                          .path_and_query = "/jobs",
                          .object = "o" + std::to_string(i)});
    clients_.push_back(client);
    At(client.born, [this, i] { Arrive(i, AnyDispatcher()); });
    if (client.poison < 0) end_ = std::max(end_, client.born);
  }
  kills_.resize(static_cast<std::size_t>(day_.poisons)), late_kills_ = kills_;
  first_kill_.resize(kills_.size());
}

void PoisonWorld::MakeFaults() {
  for (int i = 0; i < day_.runners; ++i) {
    Box box;
    box.name = "r" + std::to_string(i), box.zone = i % kZones;
    box.bad = day_.fault == Fault::kEighth && i % 8 == 3;
    boxes_.push_back(std::move(box));
    for (double t = faults_.Exponential(1 / kDeathsASecond); t < static_cast<double>(end_ - kStart) / kSecond;
         t += faults_.Exponential(1 / kDeathsASecond))
      At(kStart + static_cast<Time>(t * kSecond), [this, i] { Fell(i, Outcome::kDied); });
  }
  if (day_.fault == Fault::kZone)
    for (const int second : {60, 120, 180, 240})
      for (int i = 0; i < day_.runners; i += kZones)
        At(kStart + second * kSecond + static_cast<Time>(faults_.Uniform() * kSecond),
           [this, i] { Fell(i, Outcome::kDied); });
  if (day_.fault == Fault::kStore)
    store_from_ = kStart + 100 * kSecond, store_to_ = store_from_ + 60 * kSecond;
}

void PoisonWorld::Wake(int dispatcher) {
  const Time due = holding_->DueAt(dispatcher);
  Time& wake = wakes_[static_cast<std::size_t>(dispatcher)];
  if (due == 0 || (wake != 0 && wake <= std::max(due, now_))) return;
  wake = std::max(due, now_);
  At(wake, [this, dispatcher, at = wake] {
    if (wakes_[static_cast<std::size_t>(dispatcher)] != at) return;
    wakes_[static_cast<std::size_t>(dispatcher)] = 0;
    holding_->MakeDatagrams(dispatcher, now_, [&](int to, const std::string& body) {
      bytes_ += body.size();
      if (ways_.Chance(0.01)) return;
      At(now_ + static_cast<Time>(ways_.Between(5, 20) * kMillisecond), [this, dispatcher, to, body] {
        holding_->HandleMessage(dispatcher, to, body, now_);
        Wake(to);
      });
    });
    Wake(dispatcher);
  });
}

void PoisonWorld::Arrive(int client, int dispatcher) {
  Client& it = clients_[static_cast<std::size_t>(client)];
  if (it.poison < 0 && now_ - it.born > kTimeout) return;
  ++it.tries;
  Try({.client = client, .dispatcher = dispatcher, .number = 1, .began = now_});
}

void PoisonWorld::Again(int client, Time after, int at) {
  const Client& it = clients_[static_cast<std::size_t>(client)];
  if (it.tries >= holding_->hand_ins() || now_ > end_) return;
  const Time wait = after + static_cast<Time>(ways_.Between(0.1, 0.5) * kSecond);
  At(now_ + wait, [this, client, at] { Arrive(client, at >= 0 ? at : AnyDispatcher()); });
}

void PoisonWorld::Try(const Attempt& attempt) {
  Client& client = clients_[static_cast<std::size_t>(attempt.client)];
  const Asked asked = holding_->Ask(attempt.dispatcher, client.job, now_);
  Wake(attempt.dispatcher);
  if (asked.what != Asked::What::kRun) {
    client.held = true;
    if (asked.what == Asked::What::kLater) Again(attempt.client, asked.after, asked.at);
    if (asked.what == Asked::What::kFinal && client.poison >= 0) Again(attempt.client, 5 * kSecond, -1);
    return;
  }
  holding_->Began(attempt.dispatcher, client.job, now_);
  int best = -1;
  for (int draw = 0; draw < 20 && (best < 0 || draw < 2); ++draw) {
    const int box = static_cast<int>(ways_.Below(boxes_.size()));
    const auto load = [&](int b) {
      const Box& it = boxes_[static_cast<std::size_t>(b)];
      return it.running.size() + it.waiting.size();
    };
    if (boxes_[static_cast<std::size_t>(box)].up && (best < 0 || load(box) < load(best))) best = box;
  }
  Attempt begun = attempt;
  begun.began = now_;
  if (best < 0) return Over(begun, {.name = ""}, Outcome::kNothing);
  Enter(best, begun);
}

void PoisonWorld::Enter(int box, const Attempt& attempt) {
  Box& it = boxes_[static_cast<std::size_t>(box)];
  if (it.hung || it.running.size() >= kSlots)
    it.waiting.push_back(attempt);
  else
    Run(box, attempt);
}

void PoisonWorld::Run(int box, const Attempt& attempt) {
  Box& it = boxes_[static_cast<std::size_t>(box)];
  it.running.push_back(attempt);
  const Client& client = clients_[static_cast<std::size_t>(attempt.client)];
  const Time span = static_cast<Time>(runs_.Lognormal(kRunMean, kRunSpread) * kSecond);
  const bool bad = (it.bad && runs_.Chance(kBadKills)) ||
                   (day_.fault == Fault::kClass && client.job_class == 0 && runs_.Chance(kClassKills));
  const bool fails = now_ >= store_from_ && now_ < store_to_ && runs_.Chance(kStoreFails);
  At(now_ + span, [this, box, life = it.life, attempt, poison = client.poison, bad, fails] {
    const Box& at = boxes_[static_cast<std::size_t>(box)];
    if (at.life != life || at.hung) return;
    if (poison < 0 && !bad) return Finish(box, life, attempt, fails ? Outcome::kFailed : Outcome::kSucceeded);
    if (poison >= 0) {
      const auto p = static_cast<std::size_t>(poison);
      ++kills_[p];
      if (first_kill_[p] == 0) first_kill_[p] = now_;
      if (attempt.began >= first_kill_[p] + kSecond) ++late_kills_[p];
      if (runs_.Chance(kHangs)) return Fell(box, Outcome::kHung);
    }
    Fell(box, Outcome::kDied);
  });
}

void PoisonWorld::Finish(int box, std::uint64_t life, const Attempt& attempt, Outcome outcome) {
  Box& it = boxes_[static_cast<std::size_t>(box)];
  std::erase_if(it.running, [&](const Attempt& a) { return a.client == attempt.client; });
  Over(attempt, {.name = it.name, .life = life, .zone = it.zone}, outcome);
  if (it.waiting.empty() || it.running.size() >= kSlots) return;
  const Attempt next = it.waiting.front();
  it.waiting.pop_front();
  Run(box, next);
}

void PoisonWorld::Fell(int box, Outcome outcome) {
  Box& it = boxes_[static_cast<std::size_t>(box)];
  if (!it.up) return;
  if (outcome == Outcome::kHung) {
    if (it.hung) return;
    it.hung = true;
    At(now_ + kHungFor, [this, box, life = it.life] {
      if (boxes_[static_cast<std::size_t>(box)].life == life) Fell(box, Outcome::kDied);
    });
    return;
  }
  const bool hung = it.hung;
  const Runner was{.name = it.name, .life = it.life, .zone = it.zone};
  const std::vector<Attempt> running = std::exchange(it.running, {});
  const std::deque<Attempt> waiting = std::exchange(it.waiting, {});
  it.up = it.hung = false, ++it.life;
  At(now_ + kBack, [this, box] { boxes_[static_cast<std::size_t>(box)].up = true; });
  for (const Attempt& a : running)
    At(now_ + kNotice, [this, a, was, hung] { Over(a, was, hung ? Outcome::kHung : Outcome::kDied); });
  for (const Attempt& a : waiting) At(now_ + kNotice, [this, a, was] { Over(a, was, Outcome::kNothing); });
}

void PoisonWorld::Over(const Attempt& attempt, const Runner& runner, Outcome outcome) {
  Client& client = clients_[static_cast<std::size_t>(attempt.client)];
  holding_->Ended(attempt.dispatcher, client.job, runner, outcome, now_);
  Wake(attempt.dispatcher);
  if (outcome == Outcome::kSucceeded) {
    client.served = now_ - client.born <= kInTime;
    return;
  }
  if (outcome != Outcome::kFailed && attempt.number < holding_->attempts() && now_ <= end_) {
    Attempt next = attempt;
    next.number += 1;
    return Try(next);
  }
  Again(attempt.client, kSecond, -1);
}

PoisonResult PoisonWorld::Play() {
  wakes_.resize(static_cast<std::size_t>(day_.dispatchers));
  MakeClients();
  MakeFaults();
  for (int i = 0; i < day_.dispatchers; ++i) At(kStart, [this, i] { Wake(i); });
  const Time last = end_ + 30 * kSecond;
  while (!events_.empty() && events_.top().at <= last) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.what();
  }
  PoisonResult result;
  std::set<Fingerprint> poison;
  for (const Client& client : clients_) {
    if (client.poison >= 0) poison.insert(client.job.fingerprint);
    if (client.poison >= 0) continue;
    result.worth += client.served ? 1.0 / day_.jobs : 0;
    result.innocents_held += client.held ? 1 : 0;
  }
  for (std::size_t p = 0; p < kills_.size(); ++p) {
    result.kills += static_cast<double>(kills_[p]) / day_.poisons;
    result.max_kills = std::max<double>(result.max_kills, kills_[p]);
    result.late_kills = std::max<double>(result.late_kills, late_kills_[p]);
  }
  for (const Fingerprint& job : holding_->Condemned(now_))
    ++(poison.contains(job) ? result.condemned : result.innocents_condemned);
  result.bytes =
      static_cast<double>(bytes_) / (static_cast<double>(last - kStart) / kSecond) / day_.dispatchers;
  return result;
}

}  // namespace

PoisonResult Play(const PoisonDay& day) { return PoisonWorld(day).Play(); }

}  // namespace lichenlug::lab
