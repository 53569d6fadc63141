#include "branch/runner_client.h"

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
constexpr Time kCancelTimeout = kSecond;
// A surplus response has arrived by then and is detected.
constexpr Time kSurplusResponseDelay = 50 * kMillisecond;

// Whether this process or machine ran out of descriptors, buffers or ports, which is no fault of the runner.
bool IsLocalResourceError(std::error_code error) {
  const int code = error.value();
  return code == EMFILE || code == ENFILE || code == ENOBUFS || code == ENOMEM || code == EADDRNOTAVAIL;
}

std::string AttemptKey(const std::string& call_id, const std::string& runner) {
  return call_id + '\n' + runner;
}

std::string FormatSeconds(Time span) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(span) / kSecond);
  return text;
}

}  // namespace

RunnerClient::RunnerClient(asio::io_context& io, const RunnerClientSettings& settings,
                           const RunnerRegistry* registry, Deadlines* deadlines, RequestTable* core)
    : io_(io),
      settings_(settings),
      registry_(registry),
      deadlines_(deadlines),
      core_(core),
      attempts_(settings.max_attempts),
      links_(settings.max_links) {}

// ---- Operations called by the core ----

Handle RunnerClient::StartAttempt(AttemptRef ref, std::shared_ptr<const Job> job, const std::string& runner,
                                  Time deadline) {
  // A runner gets at most one attempt of a request at a time.
  std::string attempt_key = AttemptKey(job->call_id, runner);
  Attempt new_attempt;
  new_attempt.ref = ref, new_attempt.runner = runner, new_attempt.deadline = deadline;
  new_attempt.job = std::move(job);
  const Handle handle = by_key_.contains(attempt_key) ? Handle{} : attempts_.Insert(std::move(new_attempt));
  if (!handle) {
    core_->AttemptFinished(ref, Outcome::kVoid);
    return {};
  }
  Attempt& attempt = *attempts_.Find(handle);
  by_key_.emplace(std::move(attempt_key), handle);
  attempt.alarm = deadlines_->Add(deadline, [this, handle] { Cancel(handle, Outcome::kTimeout); });
  Exchange exchange;
  exchange.kind = Exchange::Kind::kJob, exchange.attempt = handle, exchange.deadline = deadline;
  StartExchange(runner, std::move(exchange));
  return attempts_.Find(handle) != nullptr ? handle : Handle{};
}

void RunnerClient::Cancel(Handle attempt) { Cancel(attempt, Outcome::kCancelled); }

void RunnerClient::Cancel(Handle handle, Outcome outcome) {
  Attempt* attempt = attempts_.Find(handle);
  if (attempt == nullptr || attempt->stage == Stage::kCancelling) return;
  deadlines_->Remove(&attempt->alarm);
  const Link* link = attempt->stage == Stage::kSent ? links_.Find(attempt->link) : nullptr;
  if (attempt->stage == Stage::kAccepted || (link != nullptr && link->connection->Written())) {
    // Once the runner may have accepted the job, only a DELETE cancels it, and the attempt counts as in
    // flight until the DELETE is answered. Before that, closing the connection is enough. The job may still
    // be unread in a connection that was established late, where a DELETE would not find it yet: so the
    // connection is closed first, and for a job on a new connection the DELETE is sent twice, because it can
    // overtake the close as well. If not even the 202 has arrived, the DELETE is given no more time than
    // connecting to a live runner may take.
    const Time timeout = link != nullptr ? settings_.connect_timeout : kCancelTimeout;
    attempt->stage = Stage::kCancelling;
    Exchange exchange;
    exchange.repeat = link != nullptr && link->idle_before < 0;
    if (link != nullptr) DropLink(std::exchange(attempt->link, {}));
    exchange.kind = Exchange::Kind::kCancel, exchange.attempt = handle, exchange.outcome = outcome;
    exchange.deadline = deadlines_->Now() + timeout, exchange.call_id = attempt->job->call_id;
    StartExchange(std::string(attempt->runner), std::move(exchange));
    // If attempts may overlap, the next one doesn't wait for the runner's response.
    if (settings_.site.settings.second_copies) EndAttempt(handle, outcome);
    return;
  }
  // Until the last byte is written, closing the connection cancels the job. A connection that is still being
  // established has sent nothing, so it is kept for later use.
  if (link != nullptr) DropLink(attempt->link);
  EndAttempt(handle, outcome);
}

void RunnerClient::Probe(const std::string& runner) {
  Exchange exchange;
  exchange.kind = Exchange::Kind::kProbe;
  exchange.deadline = deadlines_->Now() + kProbeTimeout;
  StartExchange(runner, std::move(exchange));
}

// ---- Connections ----

void RunnerClient::StartExchange(const std::string& runner, Exchange exchange) {
  exchange.started = deadlines_->Now();
  const RunnerEntry* entry = registry_->Find(runner);
  if (entry == nullptr || entry->host.empty())
    return OnExchangeFailed(exchange, runner, Outcome::kConnectFailed);
  Handle handle = IdleLink(*entry, exchange.kind);
  if (handle) {
    Link& reused = *links_.Find(handle);
    reused.exchange = std::move(exchange), reused.idle_before = deadlines_->Now() - reused.idle_since;
    return Transmit(handle);
  }
  if (links_.full() && !EvictIdleLink()) return OnExchangeFailed(exchange, runner, Outcome::kVoid);
  Link new_link;
  new_link.connection =
      std::make_shared<HttpConnection>(asio::ip::tcp::socket(io_), HttpConnection::Side::kClient);
  new_link.runner = runner, new_link.host = entry->host, new_link.address = entry->address;
  new_link.exchange = std::move(exchange);
  handle = links_.Insert(std::move(new_link));
  Link& link = *links_.Find(handle);
  const Time due = deadlines_->Now() + settings_.connect_timeout;
  link.alarm = deadlines_->Add(due, [this, handle] { OnConnectionFailure(handle); });
  link.connection->Connect(link.address, [this, handle, due](std::error_code error) {
    Link* connected = links_.Find(handle);
    if (connected == nullptr) return;
    if (error)
      return OnConnectionFailure(handle,
                                 IsLocalResourceError(error) ? Outcome::kVoid : Outcome::kConnectFailed);
    // The process was delayed and handles this before the timer: the decision to send is only valid until
    // `due`.
    if (deadlines_->Now() >= due) return OnConnectionFailure(handle);
    connected->established = true;
    HttpConnection::Events events;
    events.on_message = [this, handle](HttpMessage answer) { OnResponse(handle, answer); };
    events.on_end = [this, handle](HttpConnection::End end) {
      end == HttpConnection::End::kClosed ? OnConnectionFailure(handle) : OnMalformedResponse(handle);
    };
    connected->connection->SetEvents(std::move(events));
    connected->connection->Start();
    Transmit(handle);
  });
}

// Returns the most recently used connection that has been idle for kSurplusResponseDelay. HTTP/1.1 responses
// don't identify their request, so a late surplus response would be taken for the response to the next
// request and could report a running job as never run. After the delay such a response is detected as unread
// bytes and the connection is dropped. A DELETE needs no delay: its outcome is the same whatever the
// response.
//
// A connection that is not reliable enough for a job is closed, so that its replacement doesn't add to the
// connections that runners hold.
Handle RunnerClient::IdleLink(const RunnerEntry& entry, Exchange::Kind kind) {
  std::vector<Handle>& idle = idle_[entry.runner.id];
  const Time now = deadlines_->Now();
  for (std::size_t at = idle.size(); at-- > 0;) {
    const Handle handle = idle[at];
    const Link& link = *links_.Find(handle);
    const Time age = now - link.idle_since;
    if (age < kSurplusResponseDelay && kind != Exchange::Kind::kCancel) continue;
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(at));
    const bool usable = link.address == entry.address && !link.connection->HasUnread();
    const bool unreliable = usable && kind == Exchange::Kind::kJob && reliability_.Unreliable(age, now);
    if (usable && !unreliable) return handle;
    DropLink(handle);
    if (unreliable) return {};
  }
  return {};
}

// Sends the request. Connecting takes time, so the preconditions of a job are checked once more.
void RunnerClient::Transmit(Handle handle) {
  Link& link = *links_.Find(handle);
  Exchange& exchange = link.exchange;
  const Time now = deadlines_->Now();
  std::string bytes;
  if (exchange.kind == Exchange::Kind::kJob) {
    Attempt* attempt = attempts_.Find(exchange.attempt);
    if (attempt == nullptr || now >= attempt->deadline || !registry_->IsServing(link.runner) ||
        !core_->IsWanted(attempt->ref.request)) {
      // The attempt has ended, its deadline has passed, its runner drains, or the client no longer waits.
      const Handle unsent = exchange.attempt;
      MarkIdle(handle);
      return EndAttempt(unsent, Outcome::kVoid);
    }
    attempt->stage = Stage::kSent, attempt->link = handle;
    const Job& job = *attempt->job;
    std::vector<std::pair<std::string, std::string>> headers = {
        {"X-Call-Id", job.call_id}, {"X-Budget", FormatSeconds(attempt->deadline - now)}};
    if (!job.idempotency_key.empty()) headers.emplace_back("Idempotency-Key", job.idempotency_key);
    if (!job.content_type.empty()) headers.emplace_back("Content-Type", job.content_type);
    bytes = FormatRequest("POST", job.target, link.host, headers, job.body);
  } else if (exchange.kind == Exchange::Kind::kCancel) {
    bytes = FormatRequest("DELETE", "/jobs/" + exchange.call_id, link.host, {}, "");
  } else if (exchange.kind == Exchange::Kind::kProbe) {
    bytes = FormatRequest("GET", "/-/load", link.host, {}, "");
  } else {
    return MarkIdle(handle);
  }
  deadlines_->Move(&link.alarm, exchange.deadline, [this, handle] {
    const Link* late = links_.Find(handle);
    const Handle job = late->exchange.kind == Exchange::Kind::kJob ? late->exchange.attempt : Handle{};
    // The attempt's own timer sets the outcome of a job, and cancelling an attempt drops its connection; this
    // frees the connection of a job whose attempt has already ended.
    if (job) Cancel(job, Outcome::kTimeout);
    if (links_.Find(handle) != nullptr && attempts_.Find(job) == nullptr) OnConnectionFailure(handle);
  });
  link.connection->Next();
  link.connection->Write(std::move(bytes), [this, handle](std::error_code error) {
    if (error) OnConnectionFailure(handle);
  });
}

void RunnerClient::OnResponse(Handle handle, const HttpMessage& answer) {
  Link* link = links_.Find(handle);
  const Exchange exchange = std::exchange(link->exchange, {});
  const std::string runner = link->runner;
  reliability_.Record(link->idle_before, false, deadlines_->Now());
  const bool reusable =
      answer.keep_alive && link->connection->Written() && exchange.kind != Exchange::Kind::kNone;
  if (reusable)
    MarkIdle(handle);
  else
    DropLink(handle);
  switch (exchange.kind) {
    case Exchange::Kind::kJob:
      return OnJobResponse(exchange.attempt, answer);
    case Exchange::Kind::kCancel:
      if (exchange.repeat && attempts_.Find(exchange.attempt) != nullptr) {
        Exchange second = exchange;
        second.repeat = false;
        return StartExchange(runner, std::move(second));
      }
      return EndAttempt(exchange.attempt, exchange.outcome);
    case Exchange::Kind::kProbe:
      return core_->ProbeEnded(
          runner, answer.status == 200, deadlines_->Now() - exchange.started,
          ParseLoadReport(nlohmann::json::parse(answer.body, nullptr, false), settings_.site));
    case Exchange::Kind::kNone:
      return;
  }
}

// Handles a failed connection. If the last byte of a job was not written, the job never ran; otherwise it may
// have run, and must not count as a failure to connect.
void RunnerClient::OnConnectionFailure(Handle handle, Outcome outcome_if_unwritten) {
  Link* link = links_.Find(handle);
  if (link == nullptr) return;
  const Exchange exchange = std::exchange(link->exchange, {});
  const Outcome outcome =
      link->established && link->connection->Written() ? Outcome::kReset : outcome_if_unwritten;
  const std::string runner = link->runner;
  if (link->established && exchange.kind != Exchange::Kind::kNone)
    reliability_.Record(link->idle_before, true, deadlines_->Now());
  DropLink(handle);
  OnExchangeFailed(exchange, runner, outcome);
}

// The response is malformed and may have been a 202: closing the connection ends the exchange, but only a
// DELETE cancels the job.
void RunnerClient::OnMalformedResponse(Handle handle) {
  const Link* link = links_.Find(handle);
  if (link == nullptr) return;
  const bool job = link->exchange.kind == Exchange::Kind::kJob && link->connection->Written();
  if (job) Cancel(link->exchange.attempt, Outcome::kReset);
  OnConnectionFailure(handle);
}

void RunnerClient::OnExchangeFailed(const Exchange& exchange, const std::string& runner, Outcome outcome) {
  switch (exchange.kind) {
    case Exchange::Kind::kJob:
      return EndAttempt(exchange.attempt, outcome);
    case Exchange::Kind::kCancel:
      return EndAttempt(exchange.attempt, exchange.outcome);
    case Exchange::Kind::kProbe:
      return core_->ProbeEnded(runner, false, deadlines_->Now() - exchange.started, {});
    case Exchange::Kind::kNone:
      return;
  }
}

// Marks the connection as idle. The runner closes connections that are idle for IdleClose, and a request that
// crosses that close is lost as a reset; so this side closes them well before.
void RunnerClient::MarkIdle(Handle handle) {
  Link* link = links_.Find(handle);
  link->exchange = {};
  link->idle_since = deadlines_->Now();
  idle_[link->runner].push_back(handle);
  deadlines_->Move(&link->alarm, deadlines_->Now() + settings_.idle_close * 4 / 5,
                   [this, handle] { DropLink(handle); });
}

void RunnerClient::DropLink(Handle handle) {
  Link* link = links_.Find(handle);
  if (link == nullptr) return;
  deadlines_->Remove(&link->alarm);
  link->connection->Close();
  const auto idle = idle_.find(link->runner);
  if (idle != idle_.end() && std::erase(idle->second, handle) > 0 && idle->second.empty()) idle_.erase(idle);
  links_.Erase(handle);
}

bool RunnerClient::EvictIdleLink() {
  for (const auto& [runner, idle] : idle_)
    if (!idle.empty()) return DropLink(Handle(idle.front())), true;
  return false;
}

// ---- End of an attempt ----

void RunnerClient::OnJobResponse(Handle handle, const HttpMessage& answer) {
  Attempt* attempt = attempts_.Find(handle);
  if (attempt == nullptr) return;  // the callback arrived before the response
  if (answer.status == 202) {
    attempt->link = {};
    attempt->stage = Stage::kAccepted;
    return core_->AttemptProgress(attempt->ref, rookgw::AttemptUpdate::Kind::kAccepted, 0);
  }
  rookgw::LoadReport report;
  if (const std::string* load = answer.Header("x-load-report"))
    report = ParseLoadReport(nlohmann::json::parse(*load, nullptr, false), settings_.site);
  const std::string* rejected = answer.Header("x-rejected");
  const bool not_started =
      (answer.status == 503 || answer.status == 504) && rejected != nullptr && *rejected == "1";
  // A client error is not the runner's fault. Like a cancelled job it may have run, and it says nothing about
  // the runner.
  const bool client_error = answer.status >= 400 && answer.status < 500 && answer.status != 429;
  EndAttempt(handle,
             not_started    ? Outcome::kFull
             : client_error ? Outcome::kCancelled
                            : Outcome::kError,
             report);
}

bool RunnerClient::HandleCallback(const std::string& body) {
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
  const auto found = by_key_.find(AttemptKey(*id, *from));
  if (found == by_key_.end()) return true;
  const Handle handle = found->second;
  const Attempt& attempt = *attempts_.Find(handle);
  if (note) {
    const auto share = json.find("share");
    core_->AttemptProgress(
        attempt.ref,
        *state == "started" ? rookgw::AttemptUpdate::Kind::kStarted : rookgw::AttemptUpdate::Kind::kProgress,
        share != json.end() && share->is_number() ? share->get<double>() : 0);
    return true;
  }
  const auto load = json.find("load");
  EndAttempt(handle, outcome,
             load != json.end() ? ParseLoadReport(*load, settings_.site) : rookgw::LoadReport{},
             outcome == Outcome::kServed ? *result : std::string());
  return true;
}

void RunnerClient::EndAttempt(Handle handle, Outcome outcome, const rookgw::LoadReport& report,
                              std::string result) {
  Attempt* attempt = attempts_.Find(handle);
  if (attempt == nullptr) return;
  const AttemptRef ref = attempt->ref;
  deadlines_->Remove(&attempt->alarm);
  by_key_.erase(AttemptKey(attempt->job->call_id, attempt->runner));
  attempts_.Erase(handle);
  core_->AttemptFinished(ref, outcome, report, std::move(result));
}

}  // namespace lichenlug
