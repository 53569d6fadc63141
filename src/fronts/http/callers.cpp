#include "fronts/http/callers.h"

#include <algorithm>
#include <cstdio>
#include <tuple>
#include <utility>
#include <vector>

#include "fronts/http/request_parser.h"

namespace lichenlug {
namespace {

// For the first request to be complete, and for the rest of a later one. A client that sends nothing, or half
// a request, must get an error or a close within 3 s of connecting.
constexpr Time kReadTimeout = 2500 * kMillisecond;
constexpr Time kSlowRead = kSecond;          // after this, an incomplete request is evicted earlier
constexpr Time kIdleTimeout = 90 * kSecond;  // between requests
constexpr Time kWriteTimeout = 3 * kSecond;  // for a client to read its response
constexpr Time kFinishTimeout = kSecond;     // for a client to close its side
constexpr Time kAcceptPause = 20 * kMillisecond;
constexpr std::size_t kRoom = 8;  // eviction starts this many connections below the limit
// After SIGTERM; new connections keep arriving for 0.2 to 0.4 s.
constexpr Time kNewConnections = 450 * kMillisecond;
// SIGKILL follows SIGTERM after at least kKillAfter plus the longest deadline, of which 3 s at most count.
constexpr Time kKillAfter = 700 * kMillisecond, kMaxCounted = 3 * kSecond;
constexpr Time kLastAnswer = 200 * kMillisecond;  // before SIGKILL
constexpr Time kLastJob = kSecond;                // time that the last accepted job has
constexpr Time kNewComeFor = 120 * kMillisecond;  // after SIGTERM, at least
// Client connections that are kept idle while draining.
constexpr std::size_t kSpareLegs = 4, kLegsPerSpare = 5;
constexpr Time kCheckInterval = 20 * kMillisecond;

}  // namespace

Callers::Callers(asio::io_context& io, const CallerSettings& settings, std::function<bool()> has_list,
                 Deadlines* deadlines, TransactionTable* core, CallBackPort* branches)
    : io_(io),
      settings_(settings),
      has_list_(std::move(has_list)),
      deadlines_(deadlines),
      core_(core),
      branches_(branches),
      acceptor_(io, settings.listen, /*reuse_addr=*/true),
      legs_(settings.max_legs) {
  acceptor_.non_blocking(true);
}

void Callers::Start() { Accept(); }

// ---- Connections ----

void Callers::Accept() {
  // Only waits for readability, like HttpConnection: with an asynchronous accept, a connection whose handler
  // is still pending would be missed when the program ends.
  acceptor_.async_wait(asio::ip::tcp::acceptor::wait_read, [this](std::error_code error) {
    if (error) return;
    TakeWaiting();
    // At the limit a new connection waits in the backlog: accepting and closing it would lose its request.
    // The usual reason for an error is that no descriptor is left; accepting is then retried after a pause,
    // instead of at once or not at all.
    if (backlog_empty_) return Accept();
    deadlines_->Add(deadlines_->Now() + kAcceptPause, [this] { Accept(); });
  });
}

// Accepts the connections in the backlog, as far as the limit allows.
void Callers::TakeWaiting() {
  backlog_empty_ = false;
  while (!backlog_empty_ && MakeRoom(settings_.max_legs)) {
    std::error_code error;
    asio::ip::tcp::socket socket = acceptor_.accept(error);
    backlog_empty_ = error == asio::error::would_block;
    if (!error) Accepted(std::move(socket));
    if (error && !backlog_empty_ && error != asio::error::connection_aborted)
      return void(MakeRoom(legs_.size()));  // usually no descriptor is left
  }
}

void Callers::Accepted(asio::ip::tcp::socket socket) {
  Leg fresh;
  fresh.connection = std::make_shared<HttpConnection>(std::move(socket), HttpConnection::Side::kServer);
  const Handle handle = legs_.Insert(std::move(fresh));
  HttpConnection::Events events;
  events.on_begin = [this, handle] { Began(handle); };
  events.on_message = [this, handle](HttpMessage message) { Arrived(handle, std::move(message)); };
  events.on_end = [this, handle](HttpConnection::End end) { Ended(handle, end); };
  Leg& leg = *legs_.Find(handle);
  leg.connection->SetEvents(std::move(events));
  leg.connected = leg.since = deadlines_->Now();
  leg.alarm = deadlines_->Add(leg.connected + kReadTimeout, [this, handle] { Retire(handle); });
  leg.connection->Start();
}

// Connections with a lower rank are evicted first; -1: never. Clients that open hundreds of connections
// without using them must not cause the eviction of regular clients. A connection that is closed between two
// requests loses nothing.
int Callers::EvictionRank(const Leg& leg) const {
  switch (leg.stage) {
    case Stage::kIdle:
      // The first request on a new connection may be on its way, so it is not evicted before idle ones.
      return leg.carried || deadlines_->Now() - leg.since < kSlowRead ? 3 : 1;
    case Stage::kReading:
      return deadlines_->Now() - leg.since >= kSlowRead ? 2 : 4;
    default:
      return -1;
  }
}

// Returns whether there is room for one more connection. Some are closed gracefully before the limit is
// reached, so that at the limit there are connections whose clients have had time to close their side; those
// are dropped.
bool Callers::MakeRoom(std::size_t most) {
  if (legs_.size() + kRoom < most) return true;
  std::vector<std::tuple<int, Time, Handle>> legs;
  Handle oldest;
  Time oldest_since = deadlines_->Now() - kAcceptPause;
  std::size_t finishing = 0;
  legs_.ForEach([&](Handle handle, Leg& leg) {
    if (const int rank = EvictionRank(leg); rank >= 0) legs.emplace_back(rank, leg.since, handle);
    if (leg.stage != Stage::kFinishing) return;
    ++finishing;
    if (leg.since <= oldest_since) oldest = handle, oldest_since = leg.since;
  });
  std::sort(legs.begin(), legs.end(), [](const auto& a, const auto& b) {
    return std::tie(std::get<0>(a), std::get<1>(a)) < std::tie(std::get<0>(b), std::get<1>(b));
  });
  for (const auto& [rank, since, handle] : legs)
    if (finishing < kRoom && Retire(handle)) ++finishing;
  if (legs_.size() >= most && oldest) DropLeg(oldest);
  return legs_.size() < most;
}

void Callers::Idle(Handle handle) {
  Leg& leg = *legs_.Find(handle);
  leg.stage = Stage::kIdle;
  leg.since = deadlines_->Now();
  leg.transaction = {};
  deadlines_->Move(&leg.alarm, leg.since + kIdleTimeout, [this, handle] { Retire(handle); });
}

// Closes a connection without an unanswered request. Returns false and keeps it if it has unread bytes.
bool Callers::Retire(Handle handle) {
  if (legs_.Find(handle)->connection->HasUnread()) return false;
  return FinishLeg(handle), true;
}

void Callers::FinishLeg(Handle handle) {
  Leg& leg = *legs_.Find(handle);
  leg.stage = Stage::kFinishing;
  leg.since = deadlines_->Now();
  deadlines_->Move(&leg.alarm, leg.since + kFinishTimeout, [this, handle] { DropLeg(handle); });
  leg.connection->Finish([this, handle] { DropLeg(handle); });
}

void Callers::DropLeg(Handle handle) {
  Leg* leg = legs_.Find(handle);
  if (leg == nullptr) return;
  deadlines_->Remove(&leg->alarm);
  leg->connection->Close();
  open_ids_.erase(leg->call_id);
  legs_.Erase(handle);
}

// ---- Requests ----

void Callers::Began(Handle handle) {
  Leg* leg = legs_.Find(handle);
  if (leg == nullptr) return;
  leg->stage = Stage::kReading;
  // The time for the first request counts from the connection's start, so that sending one byte doesn't
  // extend it.
  leg->since = leg->asked ? deadlines_->Now() : leg->connected;
  deadlines_->Move(&leg->alarm, leg->since + kReadTimeout, [this, handle] {
    Reply(handle, 408, "the rest of the request did not come\n", {}, /*close=*/true);
  });
}

void Callers::Arrived(Handle handle, HttpMessage message) {
  Leg& leg = *legs_.Find(handle);
  leg.stage = Stage::kWaiting;
  leg.asked = true;
  leg.close_after = !message.keep_alive;
  deadlines_->Remove(&leg.alarm);
  const std::string_view path = PathOf(message.target);
  if (path == "/-/ready") {
    const bool ready = !draining_ && has_list_();
    return Reply(handle, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
  }
  if (path == "/callback") {
    if (message.method != "POST") return Reply(handle, 405, "POST expected\n", {{"Allow", "POST"}});
    const bool good = branches_->CallBack(message.body);
    leg.carried = leg.carried || good;
    return good ? Reply(handle, 200) : Reply(handle, 400, "not a call-back\n");
  }
  const auto cls = settings_.site.classes.find(std::string(FirstPart(message.target)));
  if (cls == settings_.site.classes.end()) return Reply(handle, 404, "no such class\n");
  if (message.method != "POST") return Reply(handle, 405, "POST expected\n", {{"Allow", "POST"}});
  Submit(handle, std::move(message), cls->second);
}

void Callers::Submit(Handle handle, HttpMessage message, int cls) {
  last_request_ = deadlines_->Now();
  rookgw::RequestArrived arrived;
  auto job = std::make_shared<Job>();
  if (const char* fault = ParseJobRequest(message, settings_.site, cls, last_request_, &arrived, job.get()))
    return Reply(handle, 400, std::string(fault) + "\n");
  job->body = std::move(message.body);
  legs_.Find(handle)->of_client = true;
  // Nothing of the job has run, so a 503 refusal is harmless; the last descriptors are kept for callbacks.
  // The limit is on unanswered jobs: connections without one are evicted when room is needed.
  if (core_->owed() >= settings_.max_serving)
    return Reply(handle, 503, "too many connections\n", {}, /*close=*/true);
  if (!HasSpareLegs()) return Reply(handle, 503, "draining\n");
  if (!open_ids_.insert(job->call_id).second) return Reply(handle, 409, "this id is being served\n");
  Leg* submitted = legs_.Find(handle);
  submitted->call_id = job->call_id, submitted->carried = true;
  const Handle transaction = core_->Begin(std::move(arrived), std::move(job), this, handle);
  Leg* leg = legs_.Find(handle);
  if (!transaction) return Reply(handle, 503, "too many requests\n");
  if (leg != nullptr && leg->stage == Stage::kWaiting) leg->transaction = transaction;
}

void Callers::Ended(Handle handle, HttpConnection::End end) {
  Leg* leg = legs_.Find(handle);
  if (leg == nullptr) return;
  if (end == HttpConnection::End::kMalformed) return Reply(handle, 400, "malformed request\n", {}, true);
  if (end == HttpConnection::End::kTooLarge) return Reply(handle, 413, "64 KiB at most\n", {}, true);
  const Handle transaction = leg->transaction;
  DropLeg(handle);
  core_->CallerGone(transaction);
}

// ---- Answers ----

void Callers::Answer(Handle handle, const FinalAnswer& answer) {
  Leg* leg = legs_.Find(handle);
  if (leg == nullptr) return;
  leg->transaction = {};
  switch (answer.kind) {
    case FinalAnswer::Kind::kServed:
      return Reply(handle, 200, answer.result);
    case FinalAnswer::Kind::kBusy: {
      if (answer.come_back == 0) return Reply(handle, 503, "busy\n");
      char seconds[32];
      const Time span = std::max<Time>(0, answer.come_back - deadlines_->Now());
      std::snprintf(seconds, sizeof seconds, "%.3f", static_cast<double>(span) / kSecond);
      return Reply(handle, 503, "busy\n", {{"Retry-After", seconds}});
    }
    case FinalAnswer::Kind::kFailed:
      return Reply(handle, 502, "failed\n");
    case FinalAnswer::Kind::kTooLate:
      return Reply(handle, 504, "too late\n");
  }
}

bool Callers::Gone(Handle handle) {
  const Leg* leg = legs_.Find(handle);
  return leg == nullptr || leg->connection->PeerEnded();
}

void Callers::Reply(Handle handle, int status, std::string_view body,
                    std::vector<std::pair<std::string, std::string>> headers, bool close) {
  Leg& leg = *legs_.Find(handle);
  close = close || leg.close_after || (draining_ && deadlines_->Now() >= taking_until_);
  leg.stage = Stage::kAnswering;
  open_ids_.erase(leg.call_id);
  leg.call_id.clear();
  // A client that doesn't read its response must not hold its connection forever.
  deadlines_->Move(&leg.alarm, deadlines_->Now() + kWriteTimeout, [this, handle] { DropLeg(handle); });
  leg.connection->Write(FormatResponse(status, headers, body, !close),
                        [this, handle, close](std::error_code e) {
                          if (legs_.Find(handle) != nullptr) Replied(handle, close, e);
                        });
}

void Callers::Replied(Handle handle, bool close, std::error_code error) {
  Leg& leg = *legs_.Find(handle);
  if (error) return DropLeg(handle);
  if (!close && !leg.connection->overflowed()) {
    Idle(handle);
    return leg.connection->Next();
  }
  FinishLeg(handle);
}

// ---- Shutdown ----

void Callers::Drain(std::function<void()> done) {
  if (std::exchange(draining_, true)) return;
  drained_ = std::move(done);
  drain_began_ = deadlines_->Now();
  Time longest = 0;
  for (const auto& cls : settings_.site.settings.classes) longest = std::max(longest, cls.deadline);
  const Time last_answer = drain_began_ + std::min(longest, kMaxCounted) + kKillAfter - kLastAnswer;
  taking_until_ = std::max(drain_began_ + kNewConnections, last_answer - kLastJob);
  core_->EndNewBy(last_answer);
  LookForEnd();
}

// A client whose connections are all busy opens a new one. While the program drains, new connections fail,
// and clients then consider it dead and stop using their other connections to it, although it still serves;
// if the other dispatchers restart as well, all of the client's requests fail. So some connections are kept
// idle: a job on one of the last is refused at once.
bool Callers::HasSpareLegs() {
  if (!draining_ || deadlines_->Now() - drain_began_ < kNewComeFor)
    return true;  // clients can still open more connections
  std::size_t of_clients = 0, idle = 0;
  legs_.ForEach([&](Handle, Leg& leg) {
    of_clients += leg.of_client;
    idle += leg.of_client && leg.stage == Stage::kIdle;
  });
  return idle >= std::min(kSpareLegs, of_clients / kLegsPerSpare);
}

// Clients use their connections for as long as they stay open. Closing them as soon as no new connections
// arrive would leave clients without any dispatcher if the others restart at the same time. So they are kept
// open for as long as there is time to complete what arrives on them; then the idle ones are closed, except
// those with unread bytes.
void Callers::LookForEnd() {
  const Time now = deadlines_->Now();
  if (now >= taking_until_)
    legs_.ForEach([this](Handle handle, Leg& leg) {
      if (leg.stage == Stage::kIdle) Retire(handle);
    });
  if (now - drain_began_ >= kNewConnections && core_->owed() == 0 && legs_.size() == 0) {
    TakeWaiting();  // connections in the backlog are established and must get a response
    if (backlog_empty_ && legs_.size() == 0) {
      acceptor_.close();
      return drained_();
    }
  }
  deadlines_->Add(deadlines_->Now() + kCheckInterval, [this] { LookForEnd(); });
}

}  // namespace lichenlug
