// Parsing of request heads, and the heads sent to runners.
#include "dataplane/request.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "dataplane/response.h"
#include "dataplane/usage_counter.h"

namespace lichenlug::dataplane {
namespace {

HttpMessage MakeMessage(std::vector<std::pair<std::string, std::string>> extra_headers) {
  HttpMessage message;
  message.method = "POST";
  message.target = "/p/x";
  message.headers = {{"Host", "h.example"}, {"Lichenlug-Try-Id", "a1"}};
  message.headers.insert(message.headers.end(), extra_headers.begin(), extra_headers.end());
  return message;
}

Request ParseValid(std::vector<std::pair<std::string, std::string>> extra_headers) {
  auto parsed = ParseRequest(MakeMessage(std::move(extra_headers)));
  REQUIRE(std::holds_alternative<Request>(parsed));
  return std::get<Request>(std::move(parsed));
}

std::vector<std::string> Lines(std::string text) {
  std::vector<std::string> lines;
  for (std::size_t end = 0; (end = text.find("\r\n")) != std::string::npos; text.erase(0, end + 2))
    lines.push_back(text.substr(0, end));
  return lines;
}

}  // namespace

TEST_CASE("The headers of a request are parsed") {
  const Request request = ParseValid({{"lichenlug-model", "m1/a2"},
                                      {"Lichenlug-Token-Count", "1460,80"},
                                      {"Lichenlug-Prompt-Prefix", "5c1e:800, 91bd:410,e440:250"},
                                      {"Lichenlug-Deadline-Ms", "12000"},
                                      {"Last-Event-Id", "12"},
                                      {"Authorization", "Bearer k"}});
  CHECK(request.host == "h.example");
  CHECK(request.attempt_id == "a1");
  CHECK(request.model == "m1");
  CHECK(request.adapter == "a2");
  CHECK(request.prompt_tokens == 1460);
  CHECK(request.output_tokens == 80);
  CHECK(request.prompt_parts == std::vector<std::string>{"5c1e", "91bd", "e440"});
  CHECK(request.timeout == 12 * kSecond);
  CHECK(request.last_event_id == "12");
  CHECK(request.authorization == "Bearer k");
}

TEST_CASE("Invalid hints are ignored") {
  const Request request = ParseValid(
      {{"Lichenlug-Model", ""}, {"Lichenlug-Token-Count", "x,-1"}, {"Lichenlug-Prompt-Prefix", ",:5,,a"}});
  CHECK(request.model.empty());
  CHECK(request.adapter.empty());
  CHECK(request.prompt_tokens == 0);
  CHECK(request.output_tokens == 0);
  CHECK(request.prompt_parts == std::vector<std::string>{"a"});
  CHECK_FALSE(request.timeout);
}

TEST_CASE("Targets that are not a path are refused") {
  HttpMessage head = MakeMessage({});
  head.target = GENERATE("", "*", "x", "http://h/x", "/a b", "/a#b", "/a\x7f");
  CHECK(std::get<RequestError>(ParseRequest(head)).status == 400);
}

TEST_CASE(
    "The head for a runner holds the client's headers without hop-by-hop headers, and the added headers") {
  Request request = ParseValid({{"Connection", "close , x-hop"},
                                {"X-Hop", "1"},
                                {"Proxy-Any", "1"},
                                {"X-Kept", "1"},
                                {"Last-Event-Id", "3"},
                                {"Authorization", "Bearer k"},
                                {"LICHENLUG-SENDER", "forged"}});
  request.message.has_length = true;
  AttemptHeaders added_headers;
  added_headers.runner_id = "r1", added_headers.tenant = "t1",
  added_headers.time_left = 1500 * kMillisecond + 999, added_headers.priority = 2;
  CHECK(Lines(FormatRequestHead(request, added_headers)) ==
        std::vector<std::string>{"POST /p/x HTTP/1.1", "Host: h.example", "Lichenlug-Try-Id: a1", "X-Kept: 1",
                                 "Last-Event-Id: 3", "Lichenlug-Deadline-Ms: 1500",
                                 "Lichenlug-Expect-Runner: r1", "Lichenlug-Sender: t1", "Priority: 2",
                                 "Content-Length: 0", ""});
  added_headers.last_event_id = "9";
  const std::string again = FormatRequestHead(request, added_headers);
  CHECK(again.find("Last-Event-Id: 9\r\n") != std::string::npos);
  CHECK(again.find("Last-Event-Id: 3\r\n") == std::string::npos);
}

TEST_CASE("A Connection header cannot remove required headers") {
  const Request request = ParseValid({{"Connection", "host, lichenlug-try-id"}});
  const std::string head = FormatRequestHead(request, {});
  CHECK(head.find("Host: h.example\r\n") != std::string::npos);
  CHECK(head.find("Lichenlug-Try-Id: a1\r\n") != std::string::npos);
}

TEST_CASE("For any client head, one request is forwarded with each added header exactly once") {
  std::mt19937 random(3);
  const std::vector<std::string> names = {"Connection",     "TE",
                                          "Host",           "Lichenlug-Try-Id",
                                          "Priority",       "X",
                                          "Expect",         "Lichenlug-Sender",
                                          "Content-Length", "Transfer-Encoding",
                                          "Last-Event-Id"};
  const std::vector<std::string> values = {"", "a1", "close", "x, y", "chunked", "0", "X", "host"};
  for (int round = 0; round < 5000; ++round) {
    HttpMessage message;
    message.method = "GET";
    message.target = std::string("/") + std::to_string(round);
    for (std::size_t i = random() % 8; i > 0; --i) {
      std::string name = names[random() % names.size()];
      for (char& c : name)
        if (random() % 3 == 0) c = static_cast<char>(std::toupper(c));
      message.headers.emplace_back(name, values[random() % values.size()]);
    }
    const auto parsed = ParseRequest(message);
    const auto* request = std::get_if<Request>(&parsed);
    if (request == nullptr) continue;
    AttemptHeaders added_headers;
    added_headers.runner_id = "r1", added_headers.tenant = "t1";
    const auto lines = Lines(FormatRequestHead(*request, added_headers));
    const auto count = [&lines](const std::string& name) {
      return std::count_if(lines.begin(), lines.end(), [&name](const std::string& line) {
        return SameName(std::string_view(line).substr(0, name.size()), name);
      });
    };
    REQUIRE(std::count(lines.begin(), lines.end(), "") == 1);
    for (const char* once : {"Host: ", "Lichenlug-Try-Id: ", "Lichenlug-Sender: ", "Priority: ",
                             "Lichenlug-Expect-Runner: ", "Lichenlug-Deadline-Ms: "})
      REQUIRE(count(once) == 1);
    for (const char* never : {"Connection: ", "TE: ", "Transfer-Encoding: ", "Expect: ", "Content-Length: "})
      REQUIRE(count(never) == 0);
  }
}

TEST_CASE("A response head is forwarded without the runner's hop-by-hop headers") {
  HttpMessage head;
  head.status = 200;
  head.headers = {
      {"Connection", "close"},         {"Keep-Alive", "timeout=1"}, {"Transfer-Encoding", "chunked"},
      {"Lichenlug-Runner-Stamp", "s"}, {"Versions", "4"},           {"Content-Length", "9"}};
  CHECK(Lines(FormatResponseHead(head, Framing::kLength, 5, {false, 2500 * kMillisecond})) ==
        std::vector<std::string>{"HTTP/1.1 200 OK", "Lichenlug-Runner-Stamp: s", "Versions: 4",
                                 "Keep-Alive: timeout=2", "Content-Length: 5", ""});
  CHECK(Lines(FormatResponseHead(head, Framing::kChunked, 0, {true, 0})).back().empty());
}

TEST_CASE("Responses of the data plane state Retry-After in fractional seconds") {
  CHECK(Lines(FormatLocalResponse(503, "why", 250 * kMillisecond, {})) ==
        std::vector<std::string>{"HTTP/1.1 503 Service Unavailable", "Content-Type: text/plain",
                                 "Retry-After: 0.250", "Content-Length: 4", ""});
}

TEST_CASE("Usage is counted by window of Unix time, and old windows are dropped") {
  UsageCounter usage;
  usage.Count(14 * kSecond, 5 * kSecond, "t1");
  usage.Count(15 * kSecond - 1, 5 * kSecond, "t1");
  usage.Count(15 * kSecond, 5 * kSecond, "t2");
  usage.Count(15 * kSecond, 5 * kSecond, "");
  const UsageCounter::Counts expected = {{2, {{"t1", 2}}}, {3, {{"t2", 1}}}};
  CHECK(usage.counts() == expected);
  for (int window = 4; window < 100; ++window) usage.Count(window * 5 * kSecond, 5 * kSecond, "t1");
  CHECK(usage.counts().size() == UsageCounter::kMaxWindows);
  CHECK(usage.counts().rbegin()->first == 99);
}

}  // namespace lichenlug::dataplane
