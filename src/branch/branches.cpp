#include "branch/branches.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "branch/load_report.h"

namespace lichenlug {
namespace {

using rookgw::Outcome;

constexpr Time kProbeTimeout = 500 * kMillisecond;  // a later response would report an outdated load
constexpr Time kGiveUpTimeout = kSecond;
// A surplus response has arrived by then and is detected.
constexpr Time kSecondAnswerAfter = 50 * kMillisecond;

// Whether this process or machine ran out of descriptors, buffers or ports, which is no fault of the runner.
bool LackedHere(std::error_code error) {
  const int code = error.value();
  return code == EMFILE || code == ENFILE || code == ENOBUFS || code == ENOMEM || code == EADDRNOTAVAIL;
}

std::string NameOf(const std::string& call_id, const std::string& runner) { return call_id + '\n' + runner; }

std::string Seconds(Time span) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(span) / kSecond);
  return text;
}

}  // namespace

Branches::Branches(asio::io_context& io, const BranchSettings& settings, const RouteSet* routes,
                   Deadlines* deadlines, TransactionTable* core)
    : io_(io),
      settings_(settings),
      routes_(routes),
      deadlines_(deadlines),
      core_(core),
      branches_(settings.max_open),
      links_(settings.max_links) {}

// ---- Operations called by the core ----

Handle Branches::Open(BranchRef ref, std::shared_ptr<const Job> job, const std::string& runner,
                      Time deadline) {
  // A runner gets at most one attempt of a request at a time.
  std::string name = NameOf(job->call_id, runner);
  Branch fresh;
  fresh.ref = ref, fresh.runner = runner, fresh.deadline = deadline;
  fresh.job = std::move(job);
  const Handle handle = by_name_.contains(name) ? Handle{} : branches_.Insert(std::move(fresh));
  if (!handle) {
    core_->BranchEnded(ref, Outcome::kVoid);
    return {};
  }
  Branch& branch = *branches_.Find(handle);
  by_name_.emplace(std::move(name), handle);
  branch.alarm = deadlines_->Add(deadline, [this, handle] { GiveUp(handle, Outcome::kTimeout); });
  Exchange exchange;
  exchange.kind = Exchange::Kind::kJob, exchange.branch = handle, exchange.deadline = deadline;
  Begin(runner, std::move(exchange));
  return branches_.Find(handle) != nullptr ? handle : Handle{};
}

void Branches::GiveUp(Handle branch) { GiveUp(branch, Outcome::kCancelled); }

void Branches::GiveUp(Handle handle, Outcome outcome) {
  Branch* branch = branches_.Find(handle);
  if (branch == nullptr || branch->stage == Stage::kGivingUp) return;
  deadlines_->Remove(&branch->alarm);
  const Link* link = branch->stage == Stage::kSent ? links_.Find(branch->link) : nullptr;
  if (branch->stage == Stage::kAccepted || (link != nullptr && link->connection->Written())) {
    // Once the runner may have accepted the job, only a DELETE cancels it, and the attempt counts as in
    // flight until the DELETE is answered. Before that, closing the connection is enough. The job may still
    // be unread in a connection that was established late, where a DELETE would not find it yet: so the
    // connection is closed first, and for a job on a new connection the DELETE is sent twice, because it can
    // overtake the close as well. If not even the 202 has arrived, the DELETE is given no more time than
    // connecting to a live runner may take.
    const Time timeout = link != nullptr ? settings_.connect_timeout : kGiveUpTimeout;
    branch->stage = Stage::kGivingUp;
    Exchange exchange;
    exchange.twice = link != nullptr && link->kept < 0;
    if (link != nullptr) DropLink(std::exchange(branch->link, {}));
    exchange.kind = Exchange::Kind::kGiveUp, exchange.branch = handle, exchange.outcome = outcome;
    exchange.deadline = deadlines_->Now() + timeout, exchange.call_id = branch->job->call_id;
    Begin(std::string(branch->runner), std::move(exchange));
    // If attempts may overlap, the next one doesn't wait for the runner's response.
    if (settings_.site.settings.second_copies) EndBranch(handle, outcome);
    return;
  }
  // Until the last byte is written, closing the connection cancels the job. A connection that is still being
  // established has sent nothing, so it is kept for later use.
  if (link != nullptr) DropLink(branch->link);
  EndBranch(handle, outcome);
}

void Branches::Probe(const std::string& runner) {
  Exchange exchange;
  exchange.kind = Exchange::Kind::kProbe;
  exchange.deadline = deadlines_->Now() + kProbeTimeout;
  Begin(runner, std::move(exchange));
}

// ---- Connections ----

void Branches::Begin(const std::string& runner, Exchange exchange) {
  exchange.began = deadlines_->Now();
  const Route* route = routes_->Find(runner);
  if (route == nullptr || route->host.empty()) return Failed(exchange, runner, Outcome::kConnectFailed);
  Handle handle = IdleLink(*route, exchange.kind);
  if (handle) {
    Link& kept = *links_.Find(handle);
    kept.exchange = std::move(exchange), kept.kept = deadlines_->Now() - kept.idle_since;
    return Transmit(handle);
  }
  if (links_.full() && !EvictIdleLink()) return Failed(exchange, runner, Outcome::kVoid);
  Link fresh;
  fresh.connection =
      std::make_shared<HttpConnection>(asio::ip::tcp::socket(io_), HttpConnection::Side::kClient);
  fresh.runner = runner, fresh.host = route->host, fresh.address = route->address;
  fresh.exchange = std::move(exchange);
  handle = links_.Insert(std::move(fresh));
  Link& link = *links_.Find(handle);
  const Time due = deadlines_->Now() + settings_.connect_timeout;
  link.alarm = deadlines_->Add(due, [this, handle] { Broke(handle); });
  link.connection->Connect(link.address, [this, handle, due](std::error_code error) {
    Link* connected = links_.Find(handle);
    if (connected == nullptr) return;
    if (error) return Broke(handle, LackedHere(error) ? Outcome::kVoid : Outcome::kConnectFailed);
    // The process was delayed and handles this before the timer: the decision to send is only valid until
    // `due`.
    if (deadlines_->Now() >= due) return Broke(handle);
    connected->up = true;
    HttpConnection::Events events;
    events.on_message = [this, handle](HttpMessage answer) { Answered(handle, answer); };
    events.on_end = [this, handle](HttpConnection::End end) {
      end == HttpConnection::End::kClosed ? Broke(handle) : Spoilt(handle);
    };
    connected->connection->SetEvents(std::move(events));
    connected->connection->Start();
    Transmit(handle);
  });
}

// Returns the most recently used connection that has been idle for kSecondAnswerAfter. HTTP/1.1 responses
// don't identify their request, so a late surplus response would be taken for the response to the next
// request and could report a running job as never run. After the delay such a response is detected as unread
// bytes and the connection is dropped. A DELETE needs no delay: its outcome is the same whatever the
// response.
//
// A connection that is not reliable enough for a job is closed, so that its replacement doesn't add to the
// connections that runners hold.
Handle Branches::IdleLink(const Route& route, Exchange::Kind kind) {
  std::vector<Handle>& idle = idle_[route.runner.id];
  const Time now = deadlines_->Now();
  for (std::size_t at = idle.size(); at-- > 0;) {
    const Handle handle = idle[at];
    const Link& link = *links_.Find(handle);
    const Time age = now - link.idle_since;
    if (age < kSecondAnswerAfter && kind != Exchange::Kind::kGiveUp) continue;
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(at));
    const bool usable = link.address == route.address && !link.connection->HasUnread();
    const bool unfit = usable && kind == Exchange::Kind::kJob && kept_links_.Unfit(age, now);
    if (usable && !unfit) return handle;
    DropLink(handle);
    if (unfit) return {};
  }
  return {};
}

// Sends the request. Connecting takes time, so the preconditions of a job are checked once more.
void Branches::Transmit(Handle handle) {
  Link& link = *links_.Find(handle);
  Exchange& exchange = link.exchange;
  const Time now = deadlines_->Now();
  std::string bytes;
  if (exchange.kind == Exchange::Kind::kJob) {
    Branch* branch = branches_.Find(exchange.branch);
    if (branch == nullptr || now >= branch->deadline || !routes_->Serving(link.runner) ||
        !core_->Wanted(branch->ref.transaction)) {
      // The attempt has ended, its deadline has passed, its runner drains, or the client no longer waits.
      const Handle unsent = exchange.branch;
      Rest(handle);
      return EndBranch(unsent, Outcome::kVoid);
    }
    branch->stage = Stage::kSent, branch->link = handle;
    const Job& job = *branch->job;
    std::vector<std::pair<std::string, std::string>> headers = {
        {"X-Call-Id", job.call_id}, {"X-Budget", Seconds(branch->deadline - now)}};
    if (!job.idempotency_key.empty()) headers.emplace_back("Idempotency-Key", job.idempotency_key);
    if (!job.content_type.empty()) headers.emplace_back("Content-Type", job.content_type);
    bytes = FormatRequest("POST", job.target, link.host, headers, job.body);
  } else if (exchange.kind == Exchange::Kind::kGiveUp) {
    bytes = FormatRequest("DELETE", "/jobs/" + exchange.call_id, link.host, {}, "");
  } else if (exchange.kind == Exchange::Kind::kProbe) {
    bytes = FormatRequest("GET", "/-/load", link.host, {}, "");
  } else {
    return Rest(handle);
  }
  deadlines_->Move(&link.alarm, exchange.deadline, [this, handle] {
    const Link* late = links_.Find(handle);
    const Handle job = late->exchange.kind == Exchange::Kind::kJob ? late->exchange.branch : Handle{};
    // The attempt's own timer sets the outcome of a job, and cancelling an attempt drops its connection; this
    // frees the connection of a job whose attempt has already ended.
    if (job) GiveUp(job, Outcome::kTimeout);
    if (links_.Find(handle) != nullptr && branches_.Find(job) == nullptr) Broke(handle);
  });
  link.connection->Next();
  link.connection->Write(std::move(bytes), [this, handle](std::error_code error) {
    if (error) Broke(handle);
  });
}

void Branches::Answered(Handle handle, const HttpMessage& answer) {
  Link* link = links_.Find(handle);
  const Exchange exchange = std::exchange(link->exchange, {});
  const std::string runner = link->runner;
  kept_links_.Note(link->kept, false, deadlines_->Now());
  const bool reusable =
      answer.keep_alive && link->connection->Written() && exchange.kind != Exchange::Kind::kNone;
  if (reusable)
    Rest(handle);
  else
    DropLink(handle);
  switch (exchange.kind) {
    case Exchange::Kind::kJob:
      return JobAnswered(exchange.branch, answer);
    case Exchange::Kind::kGiveUp:
      if (exchange.twice && branches_.Find(exchange.branch) != nullptr) {
        Exchange second = exchange;
        second.twice = false;
        return Begin(runner, std::move(second));
      }
      return EndBranch(exchange.branch, exchange.outcome);
    case Exchange::Kind::kProbe:
      return core_->ProbeEnded(
          runner, answer.status == 200, deadlines_->Now() - exchange.began,
          ParseLoadReport(nlohmann::json::parse(answer.body, nullptr, false), settings_.site));
    case Exchange::Kind::kNone:
      return;
  }
}

// Handles a failed connection. If the last byte of a job was not written, the job never ran; otherwise it may
// have run, and must not count as a failure to connect.
void Branches::Broke(Handle handle, Outcome unwritten) {
  Link* link = links_.Find(handle);
  if (link == nullptr) return;
  const Exchange exchange = std::exchange(link->exchange, {});
  const Outcome outcome = link->up && link->connection->Written() ? Outcome::kReset : unwritten;
  const std::string runner = link->runner;
  if (link->up && exchange.kind != Exchange::Kind::kNone)
    kept_links_.Note(link->kept, true, deadlines_->Now());
  DropLink(handle);
  Failed(exchange, runner, outcome);
}

// The response is malformed and may have been a 202: closing the connection ends the exchange, but only a
// DELETE cancels the job.
void Branches::Spoilt(Handle handle) {
  const Link* link = links_.Find(handle);
  if (link == nullptr) return;
  const bool job = link->exchange.kind == Exchange::Kind::kJob && link->connection->Written();
  if (job) GiveUp(link->exchange.branch, Outcome::kReset);
  Broke(handle);
}

void Branches::Failed(const Exchange& exchange, const std::string& runner, Outcome outcome) {
  switch (exchange.kind) {
    case Exchange::Kind::kJob:
      return EndBranch(exchange.branch, outcome);
    case Exchange::Kind::kGiveUp:
      return EndBranch(exchange.branch, exchange.outcome);
    case Exchange::Kind::kProbe:
      return core_->ProbeEnded(runner, false, deadlines_->Now() - exchange.began, {});
    case Exchange::Kind::kNone:
      return;
  }
}

// Marks the connection as idle. The runner closes connections that are idle for IdleClose, and a request that
// crosses that close is lost as a reset; so this side closes them well before.
void Branches::Rest(Handle handle) {
  Link* link = links_.Find(handle);
  link->exchange = {};
  link->idle_since = deadlines_->Now();
  idle_[link->runner].push_back(handle);
  deadlines_->Move(&link->alarm, deadlines_->Now() + settings_.idle_close * 4 / 5,
                   [this, handle] { DropLink(handle); });
}

void Branches::DropLink(Handle handle) {
  Link* link = links_.Find(handle);
  if (link == nullptr) return;
  deadlines_->Remove(&link->alarm);
  link->connection->Close();
  const auto idle = idle_.find(link->runner);
  if (idle != idle_.end() && std::erase(idle->second, handle) > 0 && idle->second.empty()) idle_.erase(idle);
  links_.Erase(handle);
}

bool Branches::EvictIdleLink() {
  for (const auto& [runner, idle] : idle_)
    if (!idle.empty()) return DropLink(Handle(idle.front())), true;
  return false;
}

// ---- End of an attempt ----

void Branches::JobAnswered(Handle handle, const HttpMessage& answer) {
  Branch* branch = branches_.Find(handle);
  if (branch == nullptr) return;  // the callback arrived before the response
  if (answer.status == 202) {
    branch->link = {};
    branch->stage = Stage::kAccepted;
    return core_->BranchNote(branch->ref, rookgw::AttemptUpdate::Kind::kAccepted, 0);
  }
  rookgw::LoadReport report;
  if (const std::string* load = answer.Header("x-load-report"))
    report = ParseLoadReport(nlohmann::json::parse(*load, nullptr, false), settings_.site);
  const std::string* rejected = answer.Header("x-rejected");
  const bool unseen =
      (answer.status == 503 || answer.status == 504) && rejected != nullptr && *rejected == "1";
  // A client error is not the runner's fault. Like a cancelled job it may have run, and it says nothing about
  // the runner.
  const bool clients = answer.status >= 400 && answer.status < 500 && answer.status != 429;
  EndBranch(handle, unseen ? Outcome::kFull : clients ? Outcome::kCancelled : Outcome::kError, report);
}

bool Branches::CallBack(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  const auto text = [&json](const char* key) -> const std::string* {
    const auto it = json.find(key);
    return it != json.end() && it->is_string() ? it->get_ptr<const std::string*>() : nullptr;
  };
  if (!json.is_object()) return false;
  const std::string *id = text("id"), *from = text("from"), *state = text("state"), *result = text("result");
  if (id == nullptr || from == nullptr || state == nullptr) return false;
  Outcome outcome = Outcome::kServed;
  const bool note = *state == "started" || *state == "running";
  if (*state == "failed" || (*state == "done" && result == nullptr))
    outcome = Outcome::kError;  // done without a result: there is nothing to return to the client
  else if (*state == "returned")
    outcome = Outcome::kFull;
  else if (*state == "lost")
    outcome = Outcome::kReset;
  else if (*state != "done" && !note)
    return false;

  // The ID and the runner must both match: a late callback of an earlier attempt must not end the current
  // one.
  const auto held = by_name_.find(NameOf(*id, *from));
  if (held == by_name_.end()) return true;
  const Handle handle = held->second;
  const Branch& branch = *branches_.Find(handle);
  if (note) {
    const auto share = json.find("share");
    core_->BranchNote(
        branch.ref,
        *state == "started" ? rookgw::AttemptUpdate::Kind::kStarted : rookgw::AttemptUpdate::Kind::kProgress,
        share != json.end() && share->is_number() ? share->get<double>() : 0);
    return true;
  }
  const auto load = json.find("load");
  EndBranch(handle, outcome,
            load != json.end() ? ParseLoadReport(*load, settings_.site) : rookgw::LoadReport{},
            outcome == Outcome::kServed ? *result : std::string());
  return true;
}

void Branches::EndBranch(Handle handle, Outcome outcome, const rookgw::LoadReport& report,
                         std::string result) {
  Branch* branch = branches_.Find(handle);
  if (branch == nullptr) return;
  const BranchRef ref = branch->ref;
  deadlines_->Remove(&branch->alarm);
  by_name_.erase(NameOf(branch->job->call_id, branch->runner));
  branches_.Erase(handle);
  core_->BranchEnded(ref, outcome, report, std::move(result));
}

}  // namespace lichenlug
