// A small dispatcher for tests of the rig: sentinel MODE. It serves as the protocol says, and breaks one rule
// on purpose:
//   good       none
//   forgets    every tenth job gets no answer (rule 1)
//   invents    every tenth job is served with what no box made for it (rule 1)
//   doubles    sends each job to two boxes (rule 2)
//   ignores    goes on sending to boxes that drain (rule 3)
//   crowds     sends all jobs to the box that started last (rule 4)
//   crashes    ends with code 3 after fifty jobs
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "lab/fleet/http_server.h"

namespace lichenlug::lab {
namespace {

using Json = nlohmann::json;
using asio::ip::tcp;

tcp::endpoint Endpoint(const std::string& text) {
  const std::size_t colon = text.find(':');
  return {asio::ip::make_address(text.substr(0, colon)),
          static_cast<unsigned short>(std::stoi(text.substr(colon + 1)))};
}

class Sentinel {
 public:
  Sentinel(asio::io_context& io, std::string mode) : io_(io), mode_(std::move(mode)), acceptor_(io) {
    Json config;
    std::ifstream(std::getenv("BALANCER_CONFIG")) >> config;
    Take(config["known"]);
    const tcp::endpoint listen = Endpoint(config["listen"]);
    acceptor_ = tcp::acceptor(io, listen);
    Accept();
    Watch(Endpoint(config["discovery"]));
  }

 private:
  struct Box {
    std::string phase;
    tcp::endpoint address;
    std::int64_t since = 0;
  };
  using Connection = HttpServer::Connection;

  void Take(const Json& list) {
    for (const Json& m : list["members"]) {
      Box& box = boxes_[m["id"]];
      if (mode_ == "ignores" && box.phase == "active") continue;
      box = {m["phase"], Endpoint(m["host_port"]), m["up_since_ms"]};
    }
  }

  void Watch(const tcp::endpoint& discovery) {
    watch_ = std::make_shared<HttpConnection>(tcp::socket(io_), HttpConnection::Side::kClient);
    HttpConnection::Events events;
    events.on_body_chunk = [this](std::string_view bytes) {
      line_ += bytes;
      for (std::size_t end; (end = line_.find('\n')) != std::string::npos; line_.erase(0, end + 1))
        if (end > 0) Take(Json::parse(line_.substr(0, end)));
    };
    watch_->SetEvents(std::move(events));
    watch_->Connect(discovery, [this](std::error_code error) {
      if (error) return;
      watch_->Start();
      watch_->Write(FormatRequest("GET", "/api/targets?watch=1&from=1", "d", {}, ""), [](std::error_code) {});
    });
  }

  void Accept() {
    acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
      if (!error) {
        auto connection = std::make_shared<HttpConnection>(std::move(socket), HttpConnection::Side::kServer);
        HttpConnection::Events events;
        const std::weak_ptr<HttpConnection> weak = connection;
        events.on_message = [this, weak](const HttpMessage& message) {
          if (const Connection alive = weak.lock()) Asked(alive, message), alive->Next();
        };
        events.on_end = [weak](HttpConnection::End) {
          if (const Connection alive = weak.lock()) alive->Close();
        };
        connection->SetEvents(std::move(events));
        connection->Start();
      }
      Accept();
    });
  }

  void Asked(const Connection& from, const HttpMessage& message) {
    if (message.target == "/-/ready") return Reply(from, 200, "");
    if (message.target == "/callback") {
      Reply(from, 200, "");
      return CalledBack(Json::parse(message.body));
    }
    const std::string id = *message.Header("x-call-id");
    ++jobs_;
    if (mode_ == "crashes" && jobs_ == 50) std::_Exit(3);
    if (mode_ == "invents" && jobs_ % 10 == 0) return Reply(from, 200, "made up");
    callers_[id] = from;
    if (mode_ == "forgets" && jobs_ % 10 == 0) callers_.erase(id);
    Send(id, message, Choose());
    if (mode_ == "doubles") Send(id, message, Choose());
  }

  const Box* Choose() {
    const Box* newest = nullptr;
    std::vector<const Box*> active;
    for (const auto& [id, box] : boxes_) {
      if (box.phase != "active") continue;
      active.push_back(&box);
      if (newest == nullptr || box.since > newest->since) newest = &box;
    }
    if (mode_ == "crowds" && newest != nullptr && newest->since > 0) return newest;
    return active.empty() ? nullptr : active[++turn_ % active.size()];
  }

  void Send(const std::string& id, const HttpMessage& job, const Box* box) {
    if (box == nullptr) return Answer(id, 503, "");
    auto link = std::make_shared<HttpConnection>(tcp::socket(io_), HttpConnection::Side::kClient);
    HttpConnection::Events events;
    events.on_message = [this, id, link](const HttpMessage& answer) {
      if (answer.status != 202) Answer(id, 500, "");
      link->Close();
    };
    events.on_end = [this, id, link](HttpConnection::End) {
      Answer(id, 500, "");
      link->Close();
    };
    link->SetEvents(std::move(events));
    std::vector<std::pair<std::string, std::string>> headers = {{"X-Call-Id", id}, {"X-Budget", "2"}};
    if (const std::string* key = job.Header("idempotency-key")) headers.emplace_back("Idempotency-Key", *key);
    link->Connect(box->address,
                  [this, id, link,
                   bytes = FormatRequest("POST", job.target, "b", headers, job.body)](std::error_code error) {
                    if (error) return Answer(id, 500, "");
                    link->Start();
                    link->Write(bytes, [](std::error_code) {});
                  });
  }

  void CalledBack(const Json& word) {
    if (word["state"] == "done") return Answer(word["id"], 200, word["result"]);
    if (word["state"] == "lost" || word["state"] == "returned" || word["state"] == "failed")
      Answer(word["id"], 500, "");
  }

  void Answer(const std::string& id, int status, const std::string& body) {
    const auto caller = callers_.find(id);
    if (caller == callers_.end()) return;
    Reply(caller->second, status, body);
    callers_.erase(caller);
  }

  asio::io_context& io_;
  const std::string mode_;
  tcp::acceptor acceptor_;
  Connection watch_;
  std::string line_;
  std::map<std::string, Box> boxes_;
  std::map<std::string, Connection> callers_;
  int jobs_ = 0;
  std::size_t turn_ = 0;
};

}  // namespace
}  // namespace lichenlug::lab

int main(int argc, char** argv) {
  asio::io_context io;
  lichenlug::lab::Sentinel sentinel(io, argc > 1 ? argv[1] : "good");
  asio::signal_set signals(io, SIGTERM);
  signals.async_wait([](std::error_code, int) { std::_Exit(0); });
  io.run();
}
