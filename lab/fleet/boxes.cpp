#include "lab/fleet/boxes.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace lichenlug::lab {

using rookgw::Outcome;

namespace {

constexpr int kMaxTries = 10;  // of one call-back
constexpr Time kTryAgain = 200 * kMillisecond;
constexpr Time kCallBackTimeout = kSecond;
constexpr double kOverloadSlack = 1.1;  // for chance, as the rule allows

// "…000000000000002a": the number at the end of a call id, in hex.
std::uint64_t NumberOf(const std::string& call_id) {
  return call_id.size() == 16 ? std::strtoull(call_id.substr(8).c_str(), nullptr, 16) : 0;
}

}  // namespace

Boxes::Boxes(asio::io_context& io, Deadlines* deadlines, const Site& site, std::uint64_t seed, Jobs* jobs,
             Links* links, Address call_back)
    : io_(io),
      deadlines_(deadlines),
      site_(site),
      jobs_(jobs),
      links_(links),
      call_back_(std::move(call_back)),
      random_(seed, 43),
      told_start_(site.dispatchers) {
  double shares = 0, upto = 0;
  for (const KindModel& kind : site.kinds) shares += kind.share;
  const int zones = static_cast<int>(site.zones.size());
  int kind = 0;
  for (int b = 0; b < site.boxes; ++b) {
    while (kind + 1 < static_cast<int>(site.kinds.size()) &&
           b >= std::round((upto + site.kinds[kind].share) / shares * site.boxes))
      upto += site.kinds[kind++].share;
    const KindModel& model = site.kinds[kind];
    const int cell = b / zones / site.cell_size * zones + b % zones;
    auto machine = std::make_unique<Machine>(
        Machine{Box(site, model, kind, b % zones, cell, random_.Lognormal(model.speed, model.speed_cv)),
                BoxName(b),
                nullptr,
                {},
                {},
                std::vector<CallBacks>(site.dispatchers),
                {},
                {}});
    machine->server =
        std::make_unique<HttpServer>(io, [this, b](const HttpServer::Connection& from,
                                                   const HttpMessage& message) { Asked(b, from, message); });
    machine->box.Start(deadlines->Now(), site.warm_start);
    machines_.push_back(std::move(machine));
  }
}

Boxes::~Boxes() { *alive_ = false; }

double Boxes::Capacity() const {
  double cores = 0;
  for (const auto& machine : machines_) cores += machine->box.Capacity();
  return cores;
}

void Boxes::Asked(int b, const HttpServer::Connection& from, const HttpMessage& message) {
  Machine& m = *machines_[b];
  if (message.method == "POST") return TakeJob(b, from, message);
  if (message.method == "DELETE" && message.target.starts_with("/jobs/")) {
    const auto held = m.by_call_id.find(message.target.substr(6));
    if (held != m.by_call_id.end()) {
      const std::uint64_t id = held->second;
      jobs_->Trace(deadlines_->Now(), m.attempts.at(id).job, "is given up at " + BoxName(b));
      std::vector<BoxNews> news;
      m.box.CallOff(deadlines_->Now(), id, &news);
      EndAttempt(b, id, Outcome::kCancelled);
      ++given_up;
      NewsCame(b, std::move(news));
    }
    return Reply(from, 200, "");
  }
  if (message.target == "/-/load" || message.target == "/-/healthy") {
    ++probes;
    const rookgw::LoadReport report = m.box.Report(deadlines_->Now(), &random_);
    const nlohmann::json load = {
        {"inflight", report.active.value_or(0)}, {"util", 0.5}, {"x0", report.free_slots.value_or(0)}};
    return Reply(from, 200, load.dump());
  }
  Reply(from, 404, "");
}

void Boxes::TakeJob(int b, const HttpServer::Connection& from, const HttpMessage& message) {
  Machine& m = *machines_[b];
  const Time now = deadlines_->Now();
  const std::string* call_id = message.Header("x-call-id");
  Jobs::Job* job = call_id != nullptr ? jobs_->Find(NumberOf(*call_id)) : nullptr;
  for (int c = 0;
       visitors && job == nullptr && call_id != nullptr && c < static_cast<int>(site_.classes.size()); ++c)
    if (message.target == "/" + site_.classes[c].name) job = jobs_->Visit(NumberOf(*call_id), c);
  if (job == nullptr) return Reply(from, call_id == nullptr ? 404 : 400, "");
  if (on_job) on_job(b);
  Attempt attempt;
  attempt.job = job->spec.number, attempt.dispatcher = job->dispatcher, attempt.call_id = *call_id,
  attempt.number = jobs_->Came(now, job, b, m.box.zone, m.box.cell);
  if (m.by_call_id.contains(*call_id)) return Reply(from, 400, "");  // one attempt of a request at a time
  if (PushedOver(b, *job)) {
    jobs_->AttemptOver(now, attempt.job, attempt.number, Outcome::kReset);
    return from->Close();
  }
  const std::uint64_t id = next_attempt_++;
  const BoxJob offer{id,
                     job->spec.slots,
                     job->spec.work,
                     job->spec.key,
                     site_.classes[job->spec.cls].priority,
                     site_.keys.setup > 0};
  std::vector<BoxNews> news;
  if (!m.box.Offer(now, offer, &news)) {
    ++turned_away;
    jobs_->AttemptOver(now, attempt.job, attempt.number, Outcome::kFull);
    Reply(from, 503, "", {{"X-Rejected", "1"}});
  } else {
    m.by_call_id[*call_id] = id;
    m.attempts.emplace(id, std::move(attempt));
    Reply(from, 202, "");
  }
  NewsCame(b, std::move(news));
}

void Boxes::NewsCame(int b, std::vector<BoxNews> news) {
  Machine& m = *machines_[b];
  const Time now = deadlines_->Now();
  for (const BoxNews& item : news) {
    const auto held = m.attempts.find(item.id);
    if (held == m.attempts.end()) continue;
    const Attempt attempt = held->second;
    Jobs::Job* job = jobs_->Find(attempt.job);
    nlohmann::json word = {{"id", attempt.call_id}, {"from", m.name}};
    switch (item.kind) {
      case BoxNews::Kind::kFetch:
        deadlines_->Add(now + site_.keys.setup, [this, alive = alive_, b, id = item.id] {
          if (!*alive) return;
          std::vector<BoxNews> more;
          machines_[b]->box.Fetched(deadlines_->Now(), id, &more);
          NewsCame(b, std::move(more));
        });
        continue;
      case BoxNews::Kind::kStarted:
        ++started;
        jobs_->Ran(now, *job, b, m.box.zone, m.box.cell);
        if (!site_.reports_starts) continue;
        word["state"] = "started";
        break;
      case BoxNews::Kind::kEnded:
        word["state"] = "done",
        word["result"] = job->results.emplace_back(attempt.call_id + " by " + BoxName(b));
        EndAttempt(b, item.id, Outcome::kServed);
        break;
      case BoxNews::Kind::kFailed:
        word["state"] = "failed";
        EndAttempt(b, item.id, Outcome::kError);
        break;
      case BoxNews::Kind::kReturned:
        word["state"] = "returned";
        EndAttempt(b, item.id, Outcome::kFull);
        break;
      case BoxNews::Kind::kBroken:
        EndAttempt(b, item.id, Outcome::kReset);
        if (m.box.life == Box::Life::kSilent) continue;
        word["state"] = "lost";
        break;
    }
    Tell(b, attempt.dispatcher, word.dump());
  }
  Arm(b);
}

void Boxes::EndAttempt(int b, std::uint64_t id, Outcome outcome) {
  Machine& m = *machines_[b];
  const auto held = m.attempts.find(id);
  if (held == m.attempts.end()) return;
  jobs_->AttemptOver(deadlines_->Now(), held->second.job, held->second.number, outcome);
  m.by_call_id.erase(held->second.call_id);
  m.attempts.erase(held);
}

void Boxes::Arm(int b) {
  Machine& m = *machines_[b];
  const Time next = m.box.NextAt();
  deadlines_->Remove(&m.alarm);
  if (next >= kNever) return;
  m.alarm = deadlines_->Add(std::max(next, deadlines_->Now() + 100), [this, alive = alive_, b] {
    if (!*alive) return;
    machines_[b]->alarm = {};
    std::vector<BoxNews> news;
    machines_[b]->box.Advance(deadlines_->Now(), &news);
    NewsCame(b, std::move(news));
  });
}

// A cold box that gets more than its multiple of what it can do now, over the rule's span, falls and stays
// down.
bool Boxes::PushedOver(int b, const Jobs::Job& job) {
  Machine& m = *machines_[b];
  const Time now = deadlines_->Now();
  if (!m.box.Cold(now)) return m.cold_work.clear(), false;
  const auto known = told_start_[job.dispatcher].find(b);
  const bool told = known != told_start_[job.dispatcher].end() && known->second == m.box.since;
  m.cold_work.push_back({now, job.spec.work * job.spec.slots, told});
  while (!m.cold_work.empty() && m.cold_work.front().at <= now - site_.overload_for) m.cold_work.pop_front();
  double sum = 0, by_told = 0, mean = 0;
  for (const ColdWork& w : m.cold_work) sum += w.work, by_told += w.told ? w.work : 0;
  for (const ClassModel& c : site_.classes) mean = std::max(mean, static_cast<double>(c.work));
  const double most = site_.overload_factor * m.box.Pace(now) * static_cast<double>(site_.overload_for);
  if (sum <= kOverloadSlack * most + 2 * mean) return false;
  jobs_->checker().Toppled(now, b, by_told / sum);
  ++toppled;
  Kill(b);
  return true;
}

void Boxes::Stop(int b, Box::Life life) {
  std::vector<BoxNews> news;
  machines_[b]->box.Stop(deadlines_->Now(), life, &news);
  NewsCame(b, std::move(news));
  machines_[b]->server->Down();
}

void Boxes::Kill(int b) { Stop(b, Box::Life::kDown); }

void Boxes::Mute(int b) {
  links_->Vanish(BoxName(b), deadlines_->Now());
  Stop(b, Box::Life::kSilent);
}

void Boxes::Drain(int b) {
  std::vector<BoxNews> news;
  machines_[b]->box.Drain(deadlines_->Now(), &news);
  NewsCame(b, std::move(news));
}

void Boxes::Back(int b) {
  Stop(b, Box::Life::kDown);
  links_->Return(BoxName(b), deadlines_->Now());
  machines_[b]->box.Start(deadlines_->Now(), false);
  machines_[b]->cold_work.clear();
  machines_[b]->server->Up();
  Arm(b);
}

void Boxes::Replace(int b) {
  machines_[b]->name += "'";
  Back(b);
}

// ---- Call-backs ----

void Boxes::Tell(int b, int n, std::string what) {
  CallBacks& calls = machines_[b]->call_backs[n];
  calls.due.emplace_back(std::move(what), 0);
  if (!calls.busy) TellNext(b, n);
}

void Boxes::TellNext(int b, int n) {
  CallBacks& calls = machines_[b]->call_backs[n];
  calls.busy = !calls.due.empty();
  if (!calls.busy) return;
  const auto send = [this, alive = alive_, b, n] {
    CallBacks& now = machines_[b]->call_backs[n];
    const auto connection = now.connection;
    connection->Write(FormatRequest("POST", "/callback", "dispatcher", {}, now.due.front().first),
                      [](std::error_code) {});
    deadlines_->Add(deadlines_->Now() + kCallBackTimeout,
                    [this, alive, b, n, connection, tried = now.due.front()] {
                      if (!*alive) return;
                      CallBacks& late = machines_[b]->call_backs[n];
                      if (late.connection == connection && !late.due.empty() && late.due.front() == tried)
                        TellFailed(b, n);
                    });
  };
  if (calls.connection != nullptr) {
    calls.connection->Next();
    return send();
  }
  const auto fresh = calls.connection =
      std::make_shared<HttpConnection>(asio::ip::tcp::socket(io_), HttpConnection::Side::kClient);
  HttpConnection::Events events;
  events.on_message = [this, alive = alive_, b, n](const HttpMessage& answer) {
    if (!*alive) return;
    CallBacks& told = machines_[b]->call_backs[n];
    if (answer.status != 200 && answer.status != 204) return TellFailed(b, n);
    told.due.pop_front();
    if (!answer.keep_alive) told.connection->Close(), told.connection = nullptr;
    TellNext(b, n);
  };
  events.on_end = [this, alive = alive_, b, n](HttpConnection::End) {
    if (*alive) TellFailed(b, n);
  };
  fresh->SetEvents(std::move(events));
  fresh->Connect(call_back_(b, n), [this, alive = alive_, b, n, fresh, send](std::error_code error) {
    if (!*alive || machines_[b]->call_backs[n].connection != fresh) return;
    if (error) return TellFailed(b, n);
    fresh->Start();
    send();
  });
}

void Boxes::TellFailed(int b, int n) {
  CallBacks& calls = machines_[b]->call_backs[n];
  if (calls.connection != nullptr) calls.connection->Close();
  calls.connection = nullptr;
  if (calls.due.empty()) return void(calls.busy = false);
  if (++calls.due.front().second >= kMaxTries) calls.due.pop_front(), ++call_backs_lost;
  calls.busy = true;
  deadlines_->Add(deadlines_->Now() + kTryAgain, [this, alive = alive_, b, n] {
    if (*alive) TellNext(b, n);
  });
}

}  // namespace lichenlug::lab
