#include "fronts/http/http_front_end.h"

#include <algorithm>
#include <cstdio>
#include <tuple>
#include <utility>
#include <vector>

#include "base/memory_release.h"
#include "base/receive_buffer.h"
#include "fronts/http/request_parser.h"

namespace lichenlug {
namespace {

// For the first request to be complete, and for the rest of a later one. A client that sends nothing, or half
// a request, must get an error or a close within 3 s of connecting.
constexpr Time kReadTimeout = 2500 * kMillisecond;
constexpr Time kSlowReadAge = kSecond;       // after this, an incomplete request is evicted earlier
constexpr Time kIdleTimeout = 90 * kSecond;  // between requests
constexpr Time kWriteTimeout = 3 * kSecond;  // for a client to read its response
constexpr Time kFinishTimeout = kSecond;     // for a client to close its side
constexpr Time kAcceptPause = 20 * kMillisecond;
constexpr std::size_t kEvictionMargin = 8;  // eviction starts this many connections below the limit
// After SIGTERM; new connections keep arriving for 0.2 to 0.4 s.
constexpr Time kNewConnectionTime = 450 * kMillisecond;
// SIGKILL follows SIGTERM after at least kKillAfter plus the longest deadline, of which 3 s at most count.
constexpr Time kKillAfter = 700 * kMillisecond, kMaxCountedDeadline = 3 * kSecond;
constexpr Time kLastAnswerMargin = 200 * kMillisecond;      // before SIGKILL
constexpr Time kLastJobTime = kSecond;                      // time that the last accepted job has
constexpr Time kMinNewConnectionTime = 120 * kMillisecond;  // after SIGTERM, at least
// Client connections that are kept idle while draining.
constexpr std::size_t kMaxIdleReserve = 4, kConnectionsPerReserved = 5;
constexpr Time kDrainCheckInterval = 20 * kMillisecond;

}  // namespace

HttpFrontEnd::HttpFrontEnd(asio::io_context& io, const HttpFrontEndSettings& settings,
                           std::function<bool()> has_list, Deadlines* deadlines, RequestTable* core,
                           CallbackPort* callbacks)
    : io_(io),
      settings_(settings),
      has_list_(std::move(has_list)),
      deadlines_(deadlines),
      core_(core),
      callbacks_(callbacks),
      acceptor_(io, settings.listen, /*reuse_addr=*/true),
      budget_(settings.max_held_bytes),
      clients_(settings.max_connections) {
  BoundReceiveBuffers(acceptor_.native_handle(), settings.receive_buffer_bytes);
  acceptor_.non_blocking(true);
}

void HttpFrontEnd::Start() { Accept(); }

// ---- Connections ----

void HttpFrontEnd::Accept() {
  // Only waits for readability, like HttpConnection: with an asynchronous accept, a connection whose handler
  // is still pending would be missed when the program ends.
  acceptor_.async_wait(asio::ip::tcp::acceptor::wait_read, [this](std::error_code error) {
    if (error) return;
    AcceptBacklog();
    // At the limit a new connection waits in the backlog: accepting and closing it would lose its request.
    // The usual reason for an error is that no descriptor is left; accepting is then retried after a pause,
    // instead of at once or not at all.
    if (backlog_empty_) return Accept();
    deadlines_->Add(deadlines_->Now() + kAcceptPause, [this] { Accept(); });
  });
}

// Accepts the connections in the backlog, as far as the limit allows.
void HttpFrontEnd::AcceptBacklog() {
  backlog_empty_ = false;
  while (!backlog_empty_ && EvictToFit(settings_.max_connections)) {
    std::error_code error;
    asio::ip::tcp::socket socket = acceptor_.accept(error);
    backlog_empty_ = error == asio::error::would_block;
    if (!error) Accepted(std::move(socket));
    if (error && !backlog_empty_ && error != asio::error::connection_aborted)
      return void(EvictToFit(clients_.size()));  // usually no descriptor is left
  }
}

void HttpFrontEnd::Accepted(asio::ip::tcp::socket socket) {
  Client new_client;
  new_client.connection = std::make_shared<HttpConnection>(std::move(socket), HttpConnection::Side::kServer);
  const Handle handle = clients_.Insert(std::move(new_client));
  HttpConnection::Events events;
  events.on_begin = [this, handle] { OnRequestStart(handle); };
  events.on_message = [this, handle](HttpMessage message) { OnRequest(handle, std::move(message)); };
  events.on_end = [this, handle](HttpConnection::End end) { OnConnectionEnd(handle, end); };
  events.on_input = [this, handle] { UpdateAccount(handle); };
  Client& client = *clients_.Find(handle);
  client.connection->SetEvents(std::move(events));
  client.account = std::make_unique<ByteAccount>(&budget_, [this, handle] { Evict(handle); });
  client.connected = client.since = deadlines_->Now();
  client.alarm =
      deadlines_->Add(client.connected + kReadTimeout, [this, handle] { CloseUnlessUnread(handle); });
  client.connection->Start();
}

void HttpFrontEnd::UpdateAccount(Handle handle) {
  Client* client = clients_.Find(handle);
  if (client == nullptr) return;
  const bool evictable = client->stage == Stage::kReading || client->stage == Stage::kAnswering;
  client->account->Set(client->connection->held() + client->job_bytes, evictable, deadlines_->Now());
}

// The bytes of all connections have reached their limit. An incomplete job has not run.
void HttpFrontEnd::Evict(Handle handle) {
  const Client* client = clients_.Find(handle);
  client->connection->DropInput();
  if (client->stage == Stage::kReading)
    Reply(handle, 503, "too many bytes of requests are held\n", {}, /*close=*/true);
  else  // later, as its account is in use
    asio::post(io_, [this, handle] { DropClient(handle); });
}

// Connections with a lower rank are evicted first; -1: never. Clients that open hundreds of connections
// without using them must not cause the eviction of regular clients. A connection that is closed between two
// requests loses nothing.
int HttpFrontEnd::EvictionRank(const Client& client) const {
  switch (client.stage) {
    case Stage::kIdle:
      // The first request on a new connection may be on its way, so it is not evicted before idle ones.
      return client.useful || deadlines_->Now() - client.since < kSlowReadAge ? 3 : 1;
    case Stage::kReading:
      return deadlines_->Now() - client.since >= kSlowReadAge ? 2 : 4;
    default:
      return -1;
  }
}

// Returns whether there is room for one more connection. Some are closed gracefully before the limit is
// reached, so that at the limit there are connections whose clients have had time to close their side; those
// are dropped.
bool HttpFrontEnd::EvictToFit(std::size_t limit) {
  if (clients_.size() + kEvictionMargin < limit) return true;
  std::vector<std::tuple<int, Time, Handle>> clients;
  Handle oldest;
  Time oldest_since = deadlines_->Now() - kAcceptPause;
  std::size_t finishing = 0;
  clients_.ForEach([&](Handle handle, Client& client) {
    if (const int rank = EvictionRank(client); rank >= 0) clients.emplace_back(rank, client.since, handle);
    if (client.stage != Stage::kFinishing) return;
    ++finishing;
    if (client.since <= oldest_since) oldest = handle, oldest_since = client.since;
  });
  std::sort(clients.begin(), clients.end(), [](const auto& a, const auto& b) {
    return std::tie(std::get<0>(a), std::get<1>(a)) < std::tie(std::get<0>(b), std::get<1>(b));
  });
  for (const auto& [rank, since, handle] : clients)
    if (finishing < kEvictionMargin && CloseUnlessUnread(handle)) ++finishing;
  if (clients_.size() >= limit && oldest) DropClient(oldest);
  return clients_.size() < limit;
}

void HttpFrontEnd::MarkIdle(Handle handle) {
  Client& client = *clients_.Find(handle);
  client.stage = Stage::kIdle;
  client.since = deadlines_->Now();
  client.request = {};
  deadlines_->Move(&client.alarm, client.since + kIdleTimeout, [this, handle] { CloseUnlessUnread(handle); });
}

// Closes a connection without an unanswered request. Returns false and keeps it if it has unread bytes.
bool HttpFrontEnd::CloseUnlessUnread(Handle handle) {
  if (clients_.Find(handle)->connection->HasUnread()) return false;
  return FinishClient(handle), true;
}

void HttpFrontEnd::FinishClient(Handle handle) {
  Client& client = *clients_.Find(handle);
  client.stage = Stage::kFinishing;
  client.since = deadlines_->Now();
  deadlines_->Move(&client.alarm, client.since + kFinishTimeout, [this, handle] { DropClient(handle); });
  client.connection->Finish([this, handle] { DropClient(handle); });
}

void HttpFrontEnd::DropClient(Handle handle) {
  Client* client = clients_.Find(handle);
  if (client == nullptr) return;
  deadlines_->Remove(&client->alarm);
  client->connection->Close();
  active_ids_.erase(client->call_id);
  clients_.Erase(handle);
  // Later, as the connection's buffers are freed with its last operation.
  if (budget_.HasDrained()) asio::post(io_, ReturnFreeMemory);
}

// ---- Requests ----

void HttpFrontEnd::OnRequestStart(Handle handle) {
  Client* client = clients_.Find(handle);
  if (client == nullptr) return;
  client->stage = Stage::kReading;
  // The time for the first request counts from the connection's start, so that sending one byte doesn't
  // extend it.
  client->since = client->had_request ? deadlines_->Now() : client->connected;
  deadlines_->Move(&client->alarm, client->since + kReadTimeout, [this, handle] {
    Reply(handle, 408, "the rest of the request did not come\n", {}, /*close=*/true);
  });
}

void HttpFrontEnd::OnRequest(Handle handle, HttpMessage message) {
  Client& client = *clients_.Find(handle);
  client.stage = Stage::kWaiting;
  client.had_request = true;
  client.close_after = !message.keep_alive;
  deadlines_->Remove(&client.alarm);
  const std::string_view path = PathOf(message.target);
  if (path == "/-/ready") {
    const bool ready = !draining_ && has_list_();
    return Reply(handle, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
  }
  if (path == "/callback") {
    if (message.method != "POST") return Reply(handle, 405, "POST expected\n", {{"Allow", "POST"}});
    const bool valid = callbacks_->HandleCallback(message.body);
    client.useful = client.useful || valid;
    return valid ? Reply(handle, 200) : Reply(handle, 400, "not a call-back\n");
  }
  const auto cls = settings_.site.classes.find(std::string(FirstSegment(message.target)));
  if (cls == settings_.site.classes.end()) return Reply(handle, 404, "no such class\n");
  if (message.method != "POST") return Reply(handle, 405, "POST expected\n", {{"Allow", "POST"}});
  Submit(handle, std::move(message), cls->second);
}

void HttpFrontEnd::Submit(Handle handle, HttpMessage message, int cls) {
  last_request_ = deadlines_->Now();
  rookgw::RequestArrived arrived;
  auto job = std::make_shared<Job>();
  if (const char* fault = ParseJobRequest(message, settings_.site, cls, last_request_, &arrived, job.get()))
    return Reply(handle, 400, std::string(fault) + "\n");
  clients_.Find(handle)->job_bytes = message.body.size() + MemoryOfHeaders(message);
  job->body = std::move(message.body);
  clients_.Find(handle)->submitted_job = true;
  // Nothing of the job has run, so a 503 refusal is harmless; the last descriptors are kept for callbacks.
  // The limit is on unanswered jobs: connections without one are evicted when room is needed.
  if (core_->unanswered() >= settings_.max_unanswered)
    return Reply(handle, 503, "too many connections\n", {}, /*close=*/true);
  if (!HasIdleReserve()) return Reply(handle, 503, "draining\n");
  if (!active_ids_.insert(job->call_id).second) return Reply(handle, 409, "this id is being served\n");
  Client* submitted = clients_.Find(handle);
  submitted->call_id = job->call_id, submitted->useful = true;
  const Handle request = core_->Begin(std::move(arrived), std::move(job), this, handle);
  Client* client = clients_.Find(handle);
  if (!request) return Reply(handle, 503, "too many requests\n");
  if (client != nullptr && client->stage == Stage::kWaiting) client->request = request;
}

void HttpFrontEnd::OnConnectionEnd(Handle handle, HttpConnection::End end) {
  Client* client = clients_.Find(handle);
  if (client == nullptr) return;
  if (end == HttpConnection::End::kMalformed) return Reply(handle, 400, "malformed request\n", {}, true);
  if (end == HttpConnection::End::kTooLarge) return Reply(handle, 413, "64 KiB at most\n", {}, true);
  const Handle request = client->request;
  DropClient(handle);
  core_->ClientDisconnected(request);
}

// ---- Answers ----

void HttpFrontEnd::Answer(Handle handle, const FinalAnswer& answer) {
  Client* client = clients_.Find(handle);
  if (client == nullptr) return;
  client->request = {};
  switch (answer.kind) {
    case FinalAnswer::Kind::kServed:
      return Reply(handle, 200, answer.result);
    case FinalAnswer::Kind::kRefused: {
      if (answer.retry_at == 0) return Reply(handle, 503, "busy\n");
      char seconds[32];
      const Time span = std::max<Time>(0, answer.retry_at - deadlines_->Now());
      std::snprintf(seconds, sizeof seconds, "%.3f", static_cast<double>(span) / kSecond);
      return Reply(handle, 503, "busy\n", {{"Retry-After", seconds}});
    }
    case FinalAnswer::Kind::kFailed:
      return Reply(handle, 502, "failed\n");
    case FinalAnswer::Kind::kDeadlineExceeded:
      return Reply(handle, 504, "too late\n");
  }
}

bool HttpFrontEnd::IsDisconnected(Handle handle) {
  const Client* client = clients_.Find(handle);
  return client == nullptr || client->connection->PeerEnded();
}

void HttpFrontEnd::Reply(Handle handle, int status, std::string_view body,
                         std::vector<std::pair<std::string, std::string>> headers, bool close) {
  Client& client = *clients_.Find(handle);
  close = close || client.close_after || (draining_ && deadlines_->Now() >= accepting_until_);
  client.stage = Stage::kAnswering;
  client.job_bytes = 0;
  active_ids_.erase(client.call_id);
  client.call_id.clear();
  // A client that doesn't read its response must not hold its connection forever.
  deadlines_->Move(&client.alarm, deadlines_->Now() + kWriteTimeout, [this, handle] { DropClient(handle); });
  client.connection->Write(FormatResponse(status, headers, body, !close),
                           [this, handle, close](std::error_code e) {
                             if (clients_.Find(handle) != nullptr) OnReplySent(handle, close, e);
                           });
  UpdateAccount(handle);
}

void HttpFrontEnd::OnReplySent(Handle handle, bool close, std::error_code error) {
  Client& client = *clients_.Find(handle);
  if (error) return DropClient(handle);
  if (!close && !client.connection->overflowed()) {
    MarkIdle(handle);
    return client.connection->Next();
  }
  FinishClient(handle);
}

// ---- Shutdown ----

void HttpFrontEnd::Drain(std::function<void()> done) {
  if (std::exchange(draining_, true)) return;
  on_drained_ = std::move(done);
  drain_started_ = deadlines_->Now();
  Time longest = 0;
  for (const auto& cls : settings_.site.settings.classes) longest = std::max(longest, cls.deadline);
  const Time last_answer =
      drain_started_ + std::min(longest, kMaxCountedDeadline) + kKillAfter - kLastAnswerMargin;
  accepting_until_ = std::max(drain_started_ + kNewConnectionTime, last_answer - kLastJobTime);
  core_->SetNewRequestDeadline(last_answer);
  CheckDrained();
}

// A client whose connections are all busy opens a new one. While the program drains, new connections fail,
// and clients then consider it dead and stop using their other connections to it, although it still serves;
// if the other dispatchers restart as well, all of the client's requests fail. So some connections are kept
// idle: a job on one of the last is refused at once.
bool HttpFrontEnd::HasIdleReserve() {
  if (!draining_ || deadlines_->Now() - drain_started_ < kMinNewConnectionTime)
    return true;  // clients can still open more connections
  std::size_t with_jobs = 0, idle = 0;
  clients_.ForEach([&](Handle, Client& client) {
    with_jobs += client.submitted_job;
    idle += client.submitted_job && client.stage == Stage::kIdle;
  });
  return idle >= std::min(kMaxIdleReserve, with_jobs / kConnectionsPerReserved);
}

// Clients use their connections for as long as they stay open. Closing them as soon as no new connections
// arrive would leave clients without any dispatcher if the others restart at the same time. So they are kept
// open for as long as there is time to complete what arrives on them; then the idle ones are closed, except
// those with unread bytes.
void HttpFrontEnd::CheckDrained() {
  const Time now = deadlines_->Now();
  if (now >= accepting_until_)
    clients_.ForEach([this](Handle handle, Client& client) {
      if (client.stage == Stage::kIdle) CloseUnlessUnread(handle);
    });
  if (now - drain_started_ >= kNewConnectionTime && core_->unanswered() == 0 && clients_.size() == 0) {
    AcceptBacklog();  // connections in the backlog are established and must get a response
    if (backlog_empty_ && clients_.size() == 0) {
      acceptor_.close();
      return on_drained_();
    }
  }
  deadlines_->Add(deadlines_->Now() + kDrainCheckInterval, [this] { CheckDrained(); });
}

}  // namespace lichenlug
