#include "lab/fleet/discovery.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace lichenlug::lab {

using State = rookgw::ListedWorker::State;

namespace {

constexpr Time kEmptyLineInterval = 2 * kSecond;

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

std::string Text(const asio::ip::tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

}  // namespace

Discovery::Discovery(asio::io_context& io, Deadlines* deadlines, const Site& site, Jobs* jobs, Boxes* boxes,
                     Address reached)
    : calls_to_lose(site.dispatchers),
      listed_at(site.dispatchers),
      deadlines_(deadlines),
      site_(site),
      jobs_(jobs),
      boxes_(boxes),
      reached_(std::move(reached)),
      watchers_(site.dispatchers),
      told_(boxes->size()) {
  for (int b = 0; b < boxes->size(); ++b)
    told_[b].since = boxes->box(b).since, told_[b].name = boxes->name(b);
  for (int n = 0; n < site.dispatchers; ++n)
    servers_.push_back(
        std::make_unique<HttpServer>(io, [this, n](const HttpServer::Connection& from,
                                                   const HttpMessage& message) { Asked(n, from, message); }));
  KeepAlive();
}

Discovery::~Discovery() { *alive_ = false; }

nlohmann::json Discovery::Member(int n, int b) const {
  static constexpr const char* kPhases[] = {"active", "leaving", "left"};
  const Box& box = boxes_->box(b);
  return {{"id", told_[b].name},
          {"host_port", Text(reached_(n, b))},
          {"locality", site_.zones[box.zone]},
          {"flavor", site_.kinds[box.kind_index].name},
          {"cell", box.cell},
          {"phase", kPhases[static_cast<int>(told_[b].state)]},
          {"size", 1.0},
          {"up_since_ms", told_[b].since / kMillisecond}};
}

std::string Discovery::List(int n) const {
  nlohmann::json members = nlohmann::json::array();
  for (int b = 0; b < boxes_->size(); ++b)
    if (told_[b].state != State::kGone) members.push_back(Member(n, b));
  return nlohmann::json{{"revision", revision_}, {"complete", true}, {"members", members}}.dump();
}

void Discovery::Told(int n, int b) {
  const Time now = deadlines_->Now();
  // Over a faulty link it may not have come; that a box may be used again binds nobody.
  if (told_[b].state == State::kServing) jobs_->checker().Told(now, n, b, State::kServing);
  if (!jobs_->links().ClearSince(now - kSecond, now, "d", DispatcherName(n))) return;
  jobs_->checker().Told(now, n, b, told_[b].state);
  if (told_[b].state == State::kServing && told_[b].since != 0) boxes_->ToldStart(n, b, told_[b].since);
}

void Discovery::Asked(int n, const HttpServer::Connection& from, const HttpMessage& message) {
  if (down_) return Reply(from, 503, "");
  if (!message.target.starts_with("/api/targets")) return Reply(from, 404, "");
  if (calls_to_lose[n] > 0) return void(--calls_to_lose[n]);
  const bool watch = message.target.find("watch=1") != std::string::npos;
  if (call_takes == 0) return Answer({n, from, watch});
  const Time by = deadlines_->Now() + call_timeout;
  calls_.push_back({n, from, watch, by});
  deadlines_->Add(by, [this, alive = alive_] {
    while (*alive && !calls_.empty() && calls_.front().by <= deadlines_->Now()) {
      Reply(calls_.front().from, 503, "");
      calls_.pop_front();
    }
  });
  Serve();
}

void Discovery::Serve() {
  if (serving_ || calls_.empty()) return;
  serving_ = true;
  deadlines_->Add(deadlines_->Now() + call_takes, [this, alive = alive_, call = calls_.front()] {
    if (!*alive) return;
    serving_ = false;
    Answer(call);
    Serve();
  });
  calls_.pop_front();
}

void Discovery::Answer(const Call& call) {
  const auto& [n, from, watch, by] = call;
  ++lists;
  listed_at[n] = deadlines_->Now();
  if (!watch) {
    Reply(from, 200, List(n));
  } else {
    ++watches;
    auto watcher = std::make_shared<Watcher>();
    watcher->connection = from;
    watcher->due = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(List(n) + "\n");
    watchers_[n].push_back(watcher);
    Flush(watcher);
  }
  for (int b = 0; b < boxes_->size(); ++b) Told(n, b);
}

void Discovery::Changed(int b, State state, Time notice) {
  const Entry entry{state, boxes_->box(b).since, boxes_->name(b)};
  deadlines_->Add(deadlines_->Now() + notice, [this, alive = alive_, b, entry] {
    if (*alive) Publish(b, entry);
  });
}

void Discovery::Publish(int b, const Entry& entry) {
  told_[b] = entry;
  ++revision_;
  if (down_) return;
  for (int n = 0; n < static_cast<int>(watchers_.size()); ++n) {
    if (watchers_[n].empty()) continue;
    Line(n, nlohmann::json{{"revision", revision_}, {"complete", false}, {"members", {Member(n, b)}}}.dump() +
                "\n");
    Told(n, b);
  }
}

void Discovery::Replaced(int b) {
  const Entry old = std::exchange(told_[b], {State::kServing, boxes_->box(b).since, boxes_->name(b)});
  ++revision_;
  if (down_) return;
  for (int n = 0; n < static_cast<int>(watchers_.size()); ++n) {
    if (watchers_[n].empty()) continue;
    nlohmann::json left = Member(n, b);
    left["id"] = old.name, left["phase"] = "left";
    Line(n, nlohmann::json{{"revision", revision_}, {"complete", false}, {"members", {left, Member(n, b)}}}
                    .dump() +
                "\n");
    Told(n, b);
  }
}

void Discovery::Line(int n, const std::string& line) {
  for (const auto& watcher : watchers_[n]) {
    watcher->due += Chunk(line);
    Flush(watcher);
  }
}

void Discovery::Flush(const std::shared_ptr<Watcher>& watcher) {
  if (watcher->writing || watcher->due.empty()) return;
  watcher->writing = true;
  watcher->connection->Write(std::exchange(watcher->due, {}),
                             [this, alive = alive_, watcher](std::error_code error) {
                               if (!*alive) return;
                               watcher->writing = false;
                               if (!error) return Flush(watcher);
                               for (auto& of_one : watchers_) std::erase(of_one, watcher);
                             });
}

void Discovery::KeepAlive() {
  for (int n = 0; n < static_cast<int>(watchers_.size()); ++n) Line(n, "\n");
  deadlines_->Add(deadlines_->Now() + kEmptyLineInterval, [this, alive = alive_] {
    if (*alive) KeepAlive();
  });
}

void Discovery::SetDown(bool down) {
  down_ = down;
  if (down) EndWatches();
}

void Discovery::SetListening(bool listening) {
  for (const auto& server : servers_) listening ? server->Up() : server->Down();
  if (!listening) calls_.clear(), EndWatches();
}

void Discovery::EndWatches() {
  for (auto& of_one : watchers_) {
    for (const auto& watcher : of_one) watcher->connection->Close();
    of_one.clear();
  }
}

}  // namespace lichenlug::lab
