#include "lab/system/operator.h"

#include <utility>

#include "lab/system/wire_words.h"

namespace lichenlug::standins {

namespace {

using Json = nlohmann::json;

constexpr Time kInitialBackoff = 50 * kMillisecond, kMaxBackoff = 400 * kMillisecond;

// Whether the call has to be retried: its effect is unknown or the dispatcher is overloaded.
bool IsInconclusive(int status) { return status == 0 || status >= 500 || status == 408 || status == 429; }

HttpCall ToCall(const Change& change) {
  HttpCall call;
  call.method = change.method == Change::Method::kPut ? "PUT" : "PATCH";
  call.path = wire::kConfigurationPath;
  call.headers = {{wire::kContentType, wire::kJsonType}, {wire::kIfMatch, std::to_string(change.if_match)}};
  call.body = change.body;
  return call;
}

}  // namespace

Operator::Operator(Loop* loop, std::vector<std::string> control_addresses)
    : loop_(loop), addresses_(std::move(control_addresses)) {}

void Operator::SendTo(const std::string& address, const Change& change,
                      std::function<void(HttpMessage)> done) {
  Call(loop_->io(), address, ToCall(change), std::move(done));
}

HttpMessage Operator::SendTo(const std::string& address, const Change& change) {
  return CallAndWait(loop_, address, ToCall(change));
}

HttpMessage Operator::Send(const Change& change, Time timeout) {
  const Time deadline = loop_->Now() + timeout;
  HttpMessage answer;
  for (Time backoff = kInitialBackoff; loop_->Now() < deadline;
       backoff = std::min(2 * backoff, kMaxBackoff)) {
    answer = SendTo(addresses_[next_index_++ % addresses_.size()], change);
    if (!IsInconclusive(answer.status)) break;
    loop_->RunFor(backoff);
  }
  return answer;
}

Json Operator::ReadFrom(const std::string& address) {
  HttpCall call;
  call.path = wire::kConfigurationPath;
  const HttpMessage answer = CallAndWait(loop_, address, call);
  return answer.status == 200 ? Json::parse(answer.body, nullptr, false) : Json();
}

Json Operator::Read(Time timeout) {
  const Time deadline = loop_->Now() + timeout;
  while (loop_->Now() < deadline) {
    const Json configuration = ReadFrom(addresses_[next_index_++ % addresses_.size()]);
    if (configuration.is_object()) return configuration;
    loop_->RunFor(kInitialBackoff);
  }
  return {};
}

}  // namespace lichenlug::standins
