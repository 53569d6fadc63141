#include "lab/control/callers.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace lichenlug::lab::control {

namespace {

using Json = nlohmann::json;

constexpr Time kCallTimeout = kSecond;
constexpr Time kRetryDelay = 150 * kMillisecond;  // after a 503 response, or none
constexpr Time kRunnerDrainTime = 1500 * kMillisecond;
constexpr const char* kConfigurationPath = "/-/timetable";
constexpr const char* kTagPrefix = "change-";

Json Route() {
  return {{"name", "plain"},    {"depot", "shop.example"}, {"lane_prefix", "/plain/"},
          {"carriage", "safe"}, {"deadline_ms", 12000},    {"target_ms", 300},
          {"precedence", 1},    {"line", "first"},         {"tries", 2}};
}

Json Sender(const std::string& name) { return {{"name", name}, {"stamps", {"stamp-of-" + name}}}; }

}  // namespace

std::string ConfigurationText(const Version& version, std::size_t min_bytes) {
  Json senders = Json::array();
  for (const std::string& tag : version.tags) senders.push_back(Sender(kTagPrefix + tag));
  const std::size_t padding_sender_bytes = Sender("padding-00000").dump().size() + 1;
  for (std::size_t i = 0; i * padding_sender_bytes < min_bytes; ++i)
    senders.push_back(Sender("padding-" + std::to_string(i)));
  const Json body = {
      {"edition", version.edition},
      {"routes", {Route()}},
      {"postal_lines", {{{"name", "first"}, {"checkup_path", "/checkup"}, {"conn_limit", 120}}}},
      {"parcel_limits",
       {{"header_bytes", 16384}, {"body_bytes", 4194304}, {"header_ms", 3000}, {"idle_ms", 15000}}},
      {"senders", std::move(senders)}};
  return body.dump();
}

std::optional<Version> ReadVersion(const std::string& text) {
  const Json body = Json::parse(text, nullptr, false);
  if (!body.is_object()) return std::nullopt;
  Version version;
  version.edition = body.value("edition", std::int64_t{0});
  for (const Json& sender : body.at("senders")) {
    const std::string name = sender.at("name");
    if (name.starts_with(kTagPrefix)) version.tags.push_back(name.substr(std::string(kTagPrefix).size()));
  }
  return version;
}

Operator::Operator(CallPort* port, EventQueue* events, HistoryChecker* history, InForceChecker* in_force,
                   Task task)
    : port_(port),
      events_(events),
      history_(history),
      in_force_(in_force),
      task_(std::move(task)),
      next_machine_(task_.first_machine) {}

bool Operator::FinishAtDeadline() {
  is_done_ = is_done_ || events_->now() >= task_.deadline;
  return is_done_;
}

void Operator::Read() {
  if (FinishAtDeadline()) return;
  const Time sent = events_->now();
  port_->Call(
      NextMachine(), {"GET", kConfigurationPath, "", ""}, kCallTimeout, [this, sent](const auto& response) {
        const bool is_answered = response && response->status == 200;
        const std::optional<Version> version = is_answered ? ReadVersion(response->body) : std::nullopt;
        if (!version) return events_->After(kRetryDelay, [this] { Read(); });
        ++reads_;
        history_->ReadAnswered(sent, events_->now(), *version);
        if (on_read_) on_read_(*version);
        if (task_.tag.empty()) {
          is_done_ = true;
          return;
        }
        task_.base = *version;
        Send();
      });
}

// Retries the same call, byte for byte, until it is answered.
void Operator::Send() {
  if (FinishAtDeadline()) return;
  Version version = *task_.base;
  ++version.edition;
  version.tags.push_back(task_.tag);
  node::ControlRequest request{"PUT", kConfigurationPath, std::to_string(task_.base->edition),
                               ConfigurationText(version, task_.configuration_bytes)};
  port_->Call(NextMachine(), std::move(request), kCallTimeout,
              [this, edition = version.edition](const auto& response) {
                if (response && response->status == 200) {
                  history_->Acknowledged(events_->now(), task_.tag, task_.base->edition, edition);
                  in_force_->Acknowledged(events_->now(), edition);
                  is_done_ = true;
                } else if (response && response->status == 412) {
                  is_done_ = true;  // another change on this base was accepted
                } else {
                  events_->After(kRetryDelay, [this] { Send(); });
                }
              });
}

Runner::Runner(CallPort* port, EventQueue* events, DrainChecker* drains, std::size_t number,
               Time heartbeat_interval)
    : port_(port),
      events_(events),
      drains_(drains),
      id_("runner-" + std::to_string(number)),
      address_("10.1.0." + std::to_string(number + 1) + ":9000"),
      heartbeat_interval_(heartbeat_interval),
      home_(number) {}

void Runner::Start() { Heartbeat(); }

void Runner::Drain() {
  if (state_ != State::kReady) return;
  state_ = State::kDraining;
  Heartbeat();
}

void Runner::Leave() {
  if (state_ != State::kReady) return;
  state_ = State::kEnding;
  Heartbeat();
}

node::ControlRequest Runner::MakeRequest() {
  const std::string path = "/-/runners/" + id_;
  if (state_ == State::kEnding) return {"DELETE", path, "", ""};
  const Json body = {{"line", "first"},
                     {"address", address_},
                     {"zone", "zone-1"},
                     {"edition", "1.0"},
                     {"berths", 8},
                     {"cold_ms", 0},
                     {"condition", state_ == State::kReady ? "ready" : "draining"},
                     {"call_count", ++call_count_}};
  node::ControlRequest heartbeat{"PUT", path, "", body.dump()};
  if (state_ == State::kReady) last_ready_heartbeat_ = heartbeat;
  return heartbeat;
}

void Runner::Heartbeat() {
  if (state_ == State::kStopped || call_in_flight_) return;
  call_in_flight_ = true;
  const State reported = state_;
  port_->Call(home_ % port_->machines(), MakeRequest(), kCallTimeout, [this, reported](const auto& response) {
    call_in_flight_ = false;
    if (state_ == State::kStopped) return;
    const bool is_accepted = response && response->status == 200;
    if (!is_accepted) {
      ++home_;
      return ScheduleHeartbeat(50 * kMillisecond);
    }
    if (reported == State::kReady) {
      const Json answer = Json::parse(response->body, nullptr, false);
      const std::string report_to = answer.is_object() ? answer.value("report_to", "") : "";
      const MachineIndex target = port_->FindByControlAddress(report_to);
      if (target < port_->machines()) home_ = target;
    } else {
      Acknowledged(reported);
    }
    ScheduleHeartbeat(reported == state_ ? heartbeat_interval_ : 0);
  });
}

void Runner::Acknowledged(State reported) {
  drains_->Acknowledged(events_->now(), id_);
  if (repeat_delay_ && last_ready_heartbeat_) {
    events_->After(*repeat_delay_, [this] { RepeatHeartbeat(); });
    repeat_delay_.reset();
  }
  if (reported == State::kEnding) {
    state_ = State::kStopped;
  } else if (!end_scheduled_) {
    end_scheduled_ = true;
    events_->After(kRunnerDrainTime, [this] {
      if (state_ == State::kDraining) state_ = State::kEnding;
    });
  }
}

void Runner::RepeatHeartbeat() {
  port_->Call(home_ % port_->machines(), *last_ready_heartbeat_, kCallTimeout, [this](const auto& response) {
    if (response && response->status == 200) return;
    ++home_;
    events_->After(kRetryDelay, [this] { RepeatHeartbeat(); });
  });
}

void Runner::ScheduleHeartbeat(Time span) {
  events_->After(span, [this] { Heartbeat(); });
}

}  // namespace lichenlug::lab::control
