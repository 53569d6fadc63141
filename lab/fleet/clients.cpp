#include "lab/fleet/clients.h"

#include <algorithm>
#include <cstdio>

namespace lichenlug::lab {
namespace {

constexpr std::size_t kMaxIdle = 50;    // connections kept to one dispatcher
constexpr Time kTimeout = 4 * kSecond;  // past the deadline and all slack: then no answer comes any more

std::string Hex(std::uint64_t number, int digits) {
  char text[24];
  std::snprintf(text, sizeof text, "%0*llx", digits, static_cast<unsigned long long>(number));
  return text;
}

}  // namespace

Clients::Clients(asio::io_context& io, Deadlines* deadlines, const Day& day, double capacity,
                 std::uint64_t seed, Jobs* jobs, Address reached, Is in_front, Is runs)
    : io_(io),
      deadlines_(deadlines),
      day_(day),
      jobs_(jobs),
      reached_(std::move(reached)),
      in_front_(std::move(in_front)),
      runs_(std::move(runs)),
      workload_(day, capacity, seed),
      random_(seed, 44),
      play_(Hex((seed * 0x9e3779b97f4a7c15ULL) >> 32, 8)),
      idle_(day.site.dispatchers) {}

Clients::~Clients() { *alive_ = false; }

void Clients::Start(Time now) {
  began_ = now;
  Next();
}

void Clients::Next() {
  JobSpec spec;
  if (!workload_.Next(&spec)) return void(no_more_ = true);
  deadlines_->Add(began_ + spec.at, [this, alive = alive_, spec] {
    if (!*alive) return;
    HandIn(spec);
    Next();
  });
}

void Clients::HandIn(const JobSpec& spec) {
  const ClassModel& cls = day_.site.classes[spec.cls];
  Count(&ClientFigures::handed_in);
  figures_.worth += cls.worth, recent_.worth += cls.worth;
  std::vector<int> up;
  for (int n = 0; n < day_.site.dispatchers; ++n)
    if (in_front_(n)) up.push_back(n);
  if (up.empty()) return Count(&ClientFigures::unreached);
  auto call = std::make_shared<Call>();
  call->spec = spec, call->dispatcher = up[random_.Below(up.size())];
  call->due = began_ + spec.at, call->answer_by = call->due + cls.deadline;
  ++open_;
  jobs_->HandedIn(deadlines_->Now(), spec, call->dispatcher, call->answer_by);
  call->alarm =
      deadlines_->Add(call->answer_by + day_.site.answer_slack + kTimeout, [this, alive = alive_, call] {
        if (!*alive || call->over) return;
        call->alarm = {};
        // It was owed an answer: the checker finds that none came, unless the link was at fault.
        const bool clear =
            jobs_->links().ClearSince(call->due, deadlines_->Now(), "c", DispatcherName(call->dispatcher));
        if (!clear) return End(call, Checker::Answer::kClientGone);
        Count(&ClientFigures::failed);
        Lost(call);
      });
  Send(call);
}

void Clients::Send(const Handle& call) {
  auto& idle = idle_[call->dispatcher];
  // Weak: the call's alarm holds it, until it is over; it holds its connection.
  HttpConnection::Events events;
  events.on_begin = [weak = std::weak_ptr(call)] {
    if (const Handle begun = weak.lock()) begun->begun = true;
  };
  events.on_message = [this, alive = alive_, weak = std::weak_ptr(call)](const HttpMessage& answer) {
    if (const Handle answered = weak.lock(); *alive && answered != nullptr) Answered(answered, answer);
  };
  events.on_end = [this, alive = alive_, weak = std::weak_ptr(call)](HttpConnection::End) {
    if (const Handle broken = weak.lock(); *alive && broken != nullptr) Broke(broken);
  };
  const auto write = [this, call] {
    const ClassModel& cls = day_.site.classes[call->spec.cls];
    const std::string id = play_ + Hex(call->spec.number, 8);
    char budget[32];
    std::snprintf(budget, sizeof budget, "%.3f",
                  static_cast<double>(call->answer_by - deadlines_->Now()) / kSecond);
    std::vector<std::pair<std::string, std::string>> headers = {{"X-Call-Id", id}, {"X-Budget", budget}};
    if (call->spec.tenant >= 0) headers.emplace_back("X-Caller", day_.site.tenants[call->spec.tenant].name);
    headers.emplace_back("Cookie", "obj=" + Hex(call->spec.key, 16));
    headers.emplace_back("X-Call-Info", "slots=" + std::to_string(static_cast<int>(call->spec.slots)));
    if (cls.effect == rookgw::Effect::kKeyed) headers.emplace_back("Idempotency-Key", id + id);
    call->connection->Write(FormatRequest("POST", "/" + cls.name, "rig", headers, "{}"),
                            [](std::error_code) {});
  };
  call->kept = !idle.empty(), call->begun = false;
  if (call->kept) {
    call->connection = idle.back();
    idle.pop_back();
    call->connection->SetEvents(std::move(events));
    call->connection->Next();
    return write();
  }
  call->connection =
      std::make_shared<HttpConnection>(asio::ip::tcp::socket(io_), HttpConnection::Side::kClient);
  call->connection->SetEvents(std::move(events));
  call->connection->Connect(reached_(call->dispatcher),
                            [this, alive = alive_, call, write](std::error_code error) {
                              if (!*alive || call->over) return;
                              if (error) return Broke(call);
                              call->connection->Start();
                              write();
                            });
}

void Clients::Answered(const Handle& call, const HttpMessage& answer) {
  if (call->over) return;
  if (answer.status == 200) {
    const Jobs::Job* job = jobs_->Find(call->spec.number);
    if (std::ranges::find(job->results, answer.body) ==
        job->results.end()) {  // what no box made for it is no answer: the checker finds none
      jobs_->Trace(deadlines_->Now(), call->spec.number, "is served with what no box made for it");
      Count(&ClientFigures::failed);
      return Lost(call);
    }
    const ClassModel& cls = day_.site.classes[call->spec.cls];
    const Time took = deadlines_->Now() - call->due;
    Count(&ClientFigures::served);
    figures_.latency.push_back(took);
    // In time: within the aim and so many times its own work, at speed 1.
    if (static_cast<double>(took) <= static_cast<double>(cls.aim) + cls.stretch * call->spec.work) {
      Count(&ClientFigures::in_time);
      figures_.worth_in_time += cls.worth, recent_.worth_in_time += cls.worth;
    }
    const auto connection = call->connection;
    End(call, Checker::Answer::kServed);
    auto& idle = idle_[call->dispatcher];
    if (!answer.keep_alive || idle.size() >= kMaxIdle) return connection->Close();
    // Later: this is still one of its present events.
    asio::post(io_, [this, alive = alive_, n = call->dispatcher, connection] {
      if (*alive) Keep(n, connection);
    });
    return;
  }
  const bool refused = answer.status == 429 || answer.status == 503;
  Count(refused ? &ClientFigures::refused : &ClientFigures::failed);
  const auto connection = call->connection;
  End(call, refused ? Checker::Answer::kRefused : Checker::Answer::kFailed);
  connection->Close();
}

void Clients::Keep(int n, const HttpServer::Connection& connection) {
  HttpConnection::Events events;
  events.on_end = [this, alive = alive_, n, weak = std::weak_ptr(connection)](HttpConnection::End) {
    const auto ended = weak.lock();
    if (!*alive || ended == nullptr) return;
    std::erase(idle_[n], ended);
    ended->Close();
  };
  connection->SetEvents(std::move(events));
  idle_[n].push_back(connection);
}

// The connection ended with no answer.
void Clients::Broke(const Handle& call) {
  if (call->over) return;
  call->connection->Close();
  const Time now = deadlines_->Now();
  const bool clear = jobs_->links().ClearSince(call->due, now, "c", DispatcherName(call->dispatcher));
  // Closed between requests, as the request came: once more on a new connection.
  if (clear && call->kept && !call->begun) return Send(call);
  const Jobs::Job* job = jobs_->Find(call->spec.number);
  const bool died = !runs_(call->dispatcher) || job->life != jobs_->LifeOf(call->dispatcher);
  Count(&ClientFigures::unreached);
  // Not the dispatcher's fault where it died or the link did; else it owed an answer, and the checker finds
  // none.
  if (!clear || died) return End(call, Checker::Answer::kClientGone);
  Lost(call);
}

void Clients::Lost(const Handle& call) {
  call->over = true, --open_;
  deadlines_->Remove(&call->alarm);
  if (call->connection != nullptr) call->connection->Close();
}

void Clients::End(const Handle& call, Checker::Answer answer) {
  if (std::exchange(call->over, true)) return;
  --open_;
  deadlines_->Remove(&call->alarm);
  if (answer == Checker::Answer::kClientGone && call->connection != nullptr) call->connection->Close();
  jobs_->Answered(deadlines_->Now(), call->spec.number, answer);
}

}  // namespace lichenlug::lab
