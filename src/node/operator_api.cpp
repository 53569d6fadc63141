#include "node/operator_api.h"

#include <glog/logging.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace lichenlug::node {

namespace {

// Callers try another dispatcher after 1 s without a response, so an operation times out just before that.
constexpr Time kOperationTimeout = 900 * kMillisecond;

enum Reason { kAlreadyAccepted = 1, kConflict, kInvalid, kRead };

ControlResponse ErrorResponse(int status, const std::string& line) {
  ControlResponse response;
  response.status = status;
  response.body =
      nlohmann::json{{"error", line}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (status == 503) response.headers.emplace_back("Retry-After", "0.2");
  return response;
}

ControlResponse Acknowledgement(std::int64_t edition) {
  ControlResponse response;
  response.body = nlohmann::json{{"edition", edition}}.dump();
  return response;
}

// The version in If-Match, with or without quotes; nullopt if it can't be parsed.
std::optional<std::int64_t> ReadIfMatch(std::string text) {
  std::erase(text, '"');
  std::int64_t version = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
  if (error != std::errc() || end != text.data() + text.size() || version < 0) return std::nullopt;
  return version;
}

// One call whose register operation is in flight.
struct PendingChange {
  configuration::ChangeRequest request;
  configuration::ChangeResult judgement;  // for the last value that the request was checked against
};

consensus::Change Apply(PendingChange* pending, const std::string& payload) {
  pending->judgement = configuration::Judge(payload, pending->request);
  switch (pending->judgement.verdict) {
    case configuration::Verdict::kTake:
      return consensus::NewPayload{pending->judgement.new_payload};
    case configuration::Verdict::kAlreadyAccepted:
      return consensus::KeepPayload{kAlreadyAccepted};
    case configuration::Verdict::kConflict:
      return consensus::KeepPayload{kConflict};
    default:
      return consensus::KeepPayload{kInvalid};
  }
}

ControlResponse KeptResponse(const PendingChange& pending, int reason) {
  const auto& judgement = pending.judgement;
  if (reason == kAlreadyAccepted) return Acknowledgement(judgement.current_edition);
  if (reason == kConflict)
    return ErrorResponse(412, "If-Match: the edition in place is " +
                                  std::to_string(judgement.current_edition) +
                                  "; read it and make the change on top of it");
  return ErrorResponse(400, judgement.problem ? judgement.problem->Line() : "the configuration is invalid");
}

}  // namespace

OperatorApi::OperatorApi(NodeHost* host, RegisterService* registers, Learned learned,
                         IsDurableIn is_durable_in)
    : host_(host),
      registers_(registers),
      learned_(std::move(learned)),
      is_durable_in_(std::move(is_durable_in)) {}

void OperatorApi::Change(configuration::ChangeRequest::Method method, const ControlRequest& request,
                         Respond respond) {
  const auto if_match = ReadIfMatch(request.if_match);
  if (!if_match)
    return respond(
        ErrorResponse(400, "If-Match: give the edition that the change builds on, 0 for the first"));
  auto pending = std::make_shared<PendingChange>();
  pending->request = {method, *if_match, request.body};
  if (const auto problem = configuration::ValidateRequest(pending->request))
    return respond(ErrorResponse(400, problem->Line()));
  registers_->Submit(
      std::string(configuration::kRegisterName),
      [pending](const std::string& payload) { return Apply(pending.get(), payload); },
      host_->Now() + kOperationTimeout,
      [this, pending, respond = std::move(respond)](const consensus::Completion& completion) {
        const bool chosen = completion.outcome == consensus::Outcome::kChosen;
        if (!chosen && completion.outcome != consensus::Outcome::kKept)
          return respond(ErrorResponse(503, "no majority of replicas answers; send the same call again"));
        const auto state = configuration::ReadState(completion.payload);
        if (state) learned_(*state, chosen);
        const bool acknowledges = chosen || completion.reason == kAlreadyAccepted;
        if (acknowledges && !is_durable_in_(completion.group))
          return respond(ErrorResponse(503, "taken, but not yet on enough disks; send the same call again"));
        if (!chosen) return respond(KeptResponse(*pending, completion.reason));
        LOG(INFO) << "configuration: edition " << state->edition() << " taken, revision " << state->revision()
                  << ", group " << completion.group.version() << " of " << completion.group.members_size();
        respond(Acknowledgement(state->edition()));
      });
}

void OperatorApi::Get(Respond respond) {
  registers_->Submit(
      std::string(configuration::kRegisterName),
      [](const std::string&) { return consensus::KeepPayload{kRead}; }, host_->Now() + kOperationTimeout,
      [this, respond = std::move(respond)](const consensus::Completion& completion) {
        if (completion.outcome != consensus::Outcome::kKept)
          return respond(ErrorResponse(503, "no majority of replicas answers; ask again"));
        const auto state = configuration::ReadState(completion.payload);
        if (!state)
          return respond(ErrorResponse(404, "no configuration has been taken yet; send the first one"));
        learned_(*state, false);
        ControlResponse response;
        response.body = state->json();
        respond(std::move(response));
      });
}

}  // namespace lichenlug::node
