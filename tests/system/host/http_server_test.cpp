// The HTTP server of the control interfaces, with callers that behave and callers that don't.
#include "host/http_server.h"

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "../transport/loop_thread.h"
#include "../transport/raw_socket.h"

namespace lichenlug::host {
namespace {

using asio::ip::tcp;
using transport::LoopThread;

constexpr std::size_t kKiB = 1024;
constexpr HttpServer::Limits kLimits{.max_body_bytes = 64 * kKiB,
                                     .max_connections = 8,
                                     .max_held_bytes = 256 * kKiB,
                                     .receive_buffer_bytes = 32 * kKiB};

// A server whose responses tell the request.
class Server {
 public:
  Server() : address_(transport::FreeAddress()) {
    std::string error;
    bool listens = false;
    loop_.Run([&] {
      server_ = std::make_unique<HttpServer>(&loop_.loop());
      listens = server_->Listen(address_, kLimits, Echo, &error);
      server_->Start();
    });
    INFO(error);
    REQUIRE(listens);
  }
  ~Server() { Stop(); }

  void Stop() {
    loop_.Run([this] { server_.reset(); });
  }
  LoopThread& loop() { return loop_; }
  const std::string& address() const { return address_; }

 private:
  static void Echo(const node::ControlRequest& request, const node::Respond& respond) {
    node::ControlResponse response;
    response.body = request.method + " " + request.path + " " + request.if_match + " " +
                    std::to_string(request.body.size());
    respond(std::move(response));
  }

  std::string address_;
  LoopThread loop_;
  std::unique_ptr<HttpServer> server_;
};

class Caller {
 public:
  explicit Caller(const Server& server) {
    const std::string& address = server.address();
    socket_.connect({asio::ip::address_v4::loopback(),
                     static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)))});
  }

  void Send(const std::string& bytes) {
    std::error_code ignored;  // the server may close while it is sent
    asio::write(socket_, asio::buffer(bytes), ignored);
  }
  // Reads until the text has come or the server has closed the connection.
  std::string ReadUntil(const std::string& text) {
    std::string received;
    std::error_code error;
    std::array<char, 4096> buffer{};
    while (!error && received.find(text) == std::string::npos) {
      const std::size_t size = socket_.read_some(asio::buffer(buffer), error);
      received.append(buffer.data(), size);
    }
    return received;
  }

 private:
  asio::io_context io_;
  tcp::socket socket_{io_};
};

std::string Put(const std::string& framing) {
  return "PUT /a?b HTTP/1.1\r\nHost: x\r\nIf-Match: 3\r\n" + framing;
}

std::string LongBody(std::size_t size) {
  return Put("Content-Length: " + std::to_string(size) + "\r\n\r\n") + std::string(size, 'x');
}

bool Answers(const Server& server) {
  Caller caller(server);
  caller.Send("GET /ok HTTP/1.1\r\nHost: x\r\n\r\n");
  return caller.ReadUntil("GET /ok  0").find("200 OK") != std::string::npos;
}

TEST_CASE("requests on one connection are answered in turn, whatever their framing") {
  Server server;
  Caller caller(server);
  caller.Send(Put("Content-Length: 2\r\n\r\nab") +
              Put("Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"));
  CHECK(caller.ReadUntil("PUT /a 3 1").find("PUT /a 3 2") != std::string::npos);
  caller.Send("DELETE http://x/a/b HTTP/1.1\r\nConnection: close\r\n\r\n");
  const std::string last = caller.ReadUntil("\r\n\r\nDELETE /a/b  0");
  CHECK(last.find("Connection: close") != std::string::npos);
}

TEST_CASE("a caller that asks is told to send its body") {
  Server server;
  Caller caller(server);
  caller.Send(Put("Expect: 100-continue\r\nContent-Length: 1\r\n\r\n"));
  CHECK(caller.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 100 "));
  caller.Send("x");
  CHECK(caller.ReadUntil("PUT /a 3 1").find("200 OK") != std::string::npos);
}

TEST_CASE("requests that are not allowed get a response before the connection is closed") {
  Server server;
  const auto status = [&server](const std::string& request) {
    Caller caller(server);
    caller.Send(request);
    return caller.ReadUntil("\r\n\r\n").substr(9, 3);
  };
  CHECK(status("nonsense\r\n\r\n") == "400");
  CHECK(status("OPTIONS /a HTTP/1.1\r\n\r\n") == "501");
  CHECK(status("GET /" + std::string(20 * kKiB, 'a') + " HTTP/1.1\r\n\r\n") == "431");
  CHECK(status(LongBody(65 * kKiB)) == "413");
  const std::string chunk = "8000\r\n" + std::string(32 * kKiB, 'x') + "\r\n";
  CHECK(status(Put("Transfer-Encoding: chunked\r\n\r\n") + chunk + chunk + chunk) == "413");
  CHECK(Answers(server));
}

TEST_CASE("callers whose bodies do not end make room for others") {
  Server server;
  std::vector<std::unique_ptr<Caller>> stalled;
  for (int i = 0; i < 6; ++i) {
    stalled.push_back(std::make_unique<Caller>(server));
    std::string request = LongBody(60 * kKiB);
    request.pop_back();
    stalled.back()->Send(request);
  }
  Caller caller(server);
  caller.Send(LongBody(60 * kKiB));
  CHECK(caller.ReadUntil("\r\n\r\nPUT /a 3 61440").find("200 OK") != std::string::npos);
}

TEST_CASE("callers that say nothing or stop within a request make room for new ones") {
  Server server;
  std::vector<std::unique_ptr<Caller>> callers;
  for (int i = 0; i < 20; ++i) {
    callers.push_back(std::make_unique<Caller>(server));
    if (i % 2 == 0) callers.back()->Send("PUT /a HTTP/1.1\r\nContent-Length: 10\r\n\r\n");
  }
  CHECK(Answers(server));
}

TEST_CASE("a response that was given before the server's end is sent") {
  Server server;
  std::vector<std::unique_ptr<Caller>> callers;
  for (int i = 0; i < 4; ++i) callers.push_back(std::make_unique<Caller>(server));
  for (const auto& caller : callers) caller->Send("GET /ok HTTP/1.1\r\n\r\n");
  for (const auto& caller : callers)
    CHECK(caller->ReadUntil("GET /ok  0").find("200 OK") != std::string::npos);
  server.Stop();
  for (const auto& caller : callers) CHECK(caller->ReadUntil("never").empty());
}

TEST_CASE("an address that is in use is reported with the remedy") {
  Server server;
  std::string error;
  server.loop().Run([&] {
    HttpServer second(&server.loop().loop());
    CHECK_FALSE(second.Listen(server.address(), kLimits, nullptr, &error));
  });
  CHECK(error.find("check that no other process uses it") != std::string::npos);
}

}  // namespace
}  // namespace lichenlug::host
