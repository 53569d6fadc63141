#include "lab/system/soak.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "lab/system/sample.h"
#include "lab/system/wire_words.h"

namespace lichenlug::standins {
namespace {

using Json = nlohmann::json;

constexpr int kAccepted = 200, kConflict = 412;
constexpr Time kMinStep = 30 * kMillisecond, kMaxStep = 700 * kMillisecond;
constexpr Time kMaxDowntime = 2 * kSecond;
constexpr Time kShutdownSlack = 500 * kMillisecond;  // added to the grace period between SIGTERM and exit
constexpr Time kChangeRetryDelay = 100 * kMillisecond;
constexpr Time kChangeTimeout = 15 * kSecond;
constexpr int kMaxChangesInFlight = 4;
constexpr std::size_t kMinRunners = 2;
constexpr int kMaxStreamEvents = 60;

bool IsConclusive(int status) {
  return status == kAccepted || (status >= 400 && status < 500 && status != 408 && status != 429);
}

std::vector<ClientRequest> Requests() {
  std::vector<ClientRequest> requests;
  for (const int events : {2, 20, kMaxStreamEvents}) {
    for (const auto& [kind, path] : {std::pair{ClientKind::kPlain, sample::kPlainPath},
                                     {ClientKind::kStream, sample::kStreamPath},
                                     {ClientKind::kResumable, sample::kResumePath}}) {
      ClientRequest request;
      request.kind = kind;
      request.path = std::string(path) + "soak";
      request.model = events == 2 ? sample::kRareModel : sample::kBusyModel;
      request.key = sample::kKey;
      request.events = events;
      requests.push_back(std::move(request));
    }
  }
  return requests;
}

}  // namespace

Soak::Soak(const SoakPlan& plan) : plan_(plan), random_(plan.seed), system_(plan.system) {
  std::vector<std::string> addresses;
  for (std::size_t index = 0; index < system_.dispatcher_count(); ++index)
    if (FrontOf(index)) addresses.push_back(system_.dispatcher(index).front_address());
  fronts_ = std::make_unique<FrontDirectory>(std::move(addresses));
  nodes_.resize(system_.dispatcher_count());
  runners_left_ = system_.runner_count();
}

Soak::~Soak() = default;

Time Soak::DrawTime(Time min, Time max) {
  return min + static_cast<Time>(Draw(static_cast<std::uint64_t>(max - min + 1)));
}

void Soak::Require(bool holds, const std::string& rule) {
  if (!holds) report_.broken.push_back(rule);
}

SoakReport Soak::Play() {
  if (!system_.Found(plan_.timeout)) {
    Require(false, "the system was not founded and ready in time");
    return report_;
  }
  StartClients();
  const Time end = system_.loop().Now() + plan_.length;
  while (system_.loop().Now() < end) {
    system_.loop().RunFor(DrawTime(kMinStep, kMaxStep));
    UpdateNodes();
    Disturb();
  }
  RestoreAll();
  CheckFinalState();
  const auto& broken = system_.ledger().broken();
  report_.broken.insert(report_.broken.end(), broken.begin(), broken.end());
  return report_;
}

void Soak::StartClients() {
  for (int client = 0; client < plan_.clients; ++client) {
    clients_.push_back(std::make_unique<PersistentClient>(&system_.loop(), fronts_.get(), &system_.ledger(),
                                                          &report_.clients, Requests(), random_()));
    clients_.back()->Start();
  }
}

// ---- Disturbances --------------------------------------------------------------------------------------

void Soak::Disturb() {
  const std::uint64_t kind = Draw(100);
  const std::uint64_t repetitions = 1 + Draw(3);
  for (std::uint64_t repetition = 0; repetition < repetitions; ++repetition) {
    if (kind < 45) {
      ChangeConfiguration();
    } else if (kind < 90) {
      const auto index = PickRunning(/*spare_core=*/kind < 75);
      if (!index) return;
      if (kind < 60) Reload(*index);
      if (kind >= 60 && kind < 75) Terminate(*index);
      if (kind >= 75) Kill(*index);
    } else if (kind < 96) {
      DrainRunner();
    } else {
      CrashRunner();
    }
  }
}

std::optional<std::size_t> Soak::FrontOf(std::size_t index) {
  if (!system_.dispatcher(index).settings().serves_clients) return std::nullopt;
  std::size_t before = 0;
  for (std::size_t other = 0; other < index; ++other)
    before += system_.dispatcher(other).settings().serves_clients ? 1 : 0;
  return before;
}

std::size_t Soak::CountCoreDown() const {
  const auto core = static_cast<std::ptrdiff_t>(plan_.system.core);
  return static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.begin() + core, [](const Node& node) {
    return node.state != Node::State::kUp;
  }));
}

// Picks a running dispatcher; at most one of the core is down at a time, so that a majority of the disks
// remains.
std::optional<std::size_t> Soak::PickRunning(bool spare_core) {
  std::vector<std::size_t> up;
  const bool core_complete = CountCoreDown() == 0 && !(spare_core && Draw(2) == 0);
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    const bool in_core = index < static_cast<std::size_t>(plan_.system.core);
    const bool takes_signals = system_.dispatcher(index).TakesSignals();
    if (nodes_[index].state == Node::State::kUp && takes_signals && (!in_core || core_complete))
      up.push_back(index);
  }
  if (up.empty()) return std::nullopt;
  return up[Draw(up.size())];
}

// Clients keep their open connections until the process exits; connects that have already started still
// arrive.
void Soak::Terminate(std::size_t index) {
  const Time now = system_.loop().Now();
  system_.dispatcher(index).Terminate();
  if (Draw(3) == 0) system_.dispatcher(index).Terminate();
  nodes_[index] = {Node::State::kEnding, now + plan_.system.times.grace_s * kSecond + kShutdownSlack};
  if (const auto front = FrontOf(index)) fronts_->Close(*front);
  ++report_.terminated;
}

void Soak::Kill(std::size_t index) {
  const auto front = FrontOf(index);
  if (front) fronts_->MarkKilled(*front);
  Require(system_.dispatcher(index).Kill(plan_.timeout), "a killed process has exited");
  if (front) fronts_->MarkLost(*front, system_.loop().Now());
  nodes_[index] = {Node::State::kDown, system_.loop().Now() + DrawTime(0, kMaxDowntime)};
  ++report_.killed;
}

void Soak::Reload(std::size_t index) {
  Dispatcher& dispatcher = system_.dispatcher(index);
  Json settings = Json::parse(dispatcher.SettingsText(/*first_run=*/false));
  auto seeds = settings.at("seed_stations").get<std::vector<std::string>>();
  std::shuffle(seeds.begin(), seeds.end(), random_);
  settings["seed_stations"] = seeds;
  dispatcher.Reload(settings.dump());
  ++report_.reloaded;
}

// Adds routes and changes time-outs; the three routes that clients use stay.
void Soak::ChangeConfiguration() {
  if (changes_in_flight_ >= kMaxChangesInFlight) return;
  const auto pending = std::make_shared<PendingChange>();
  pending->edition = last_edition_ += 1 + static_cast<std::int64_t>(Draw(3));
  Json route = sample::Route("plain", sample::kPlainPath, "safe");
  if (Draw(2) == 0)
    route = sample::Route("extra-" + std::to_string(Draw(5)),
                          "/extra-" + std::to_string(pending->edition) + "/", "safe");
  route["deadline_ms"] = 15000 + static_cast<int>(Draw(5000));
  Json patch{{wire::kEdition, pending->edition}, {"upsert", {{"routes", {route}}}}};
  pending->change = {Change::Method::kPatch, newest_acknowledged_, patch.dump()};
  pending->deadline = system_.loop().Now() + kChangeTimeout;
  ++changes_in_flight_;
  ++report_.changes;
  SendChange(pending);
}

void Soak::SendChange(const std::shared_ptr<PendingChange>& pending) {
  const std::vector<std::string> addresses = system_.ControlAddresses();
  system_.the_operator().SendTo(addresses[Draw(addresses.size())], pending->change,
                                [this, pending, alive = std::weak_ptr(alive_)](const HttpMessage& answer) {
                                  if (!alive.expired()) OnChangeResponse(pending, answer);
                                });
}

void Soak::OnChangeResponse(const std::shared_ptr<PendingChange>& pending, const HttpMessage& answer) {
  if (!IsConclusive(answer.status) && system_.loop().Now() < pending->deadline) {
    const auto timer = std::make_shared<asio::steady_timer>(system_.loop().io());
    timer->expires_after(std::chrono::microseconds(kChangeRetryDelay));
    return timer->async_wait([this, pending, timer, alive = std::weak_ptr(alive_)](std::error_code) {
      if (!alive.expired()) SendChange(pending);
    });
  }
  --changes_in_flight_;
  Require(answer.status == kAccepted || answer.status == kConflict,
          "edition " + std::to_string(pending->edition) +
              " got no conclusive response in time, or was refused: " + std::to_string(answer.status) + " " +
              answer.body);
  if (answer.status != kAccepted) return;
  ++report_.acknowledged;
  newest_acknowledged_ = std::max(newest_acknowledged_, pending->edition);
}

void Soak::DrainRunner() {
  if (runners_left_ <= kMinRunners) return;
  const auto up = PickRunning(/*spare_core=*/false);
  if (up) system_.runner(--runners_left_).Drain(system_.dispatcher(*up).control_address());
  if (up) ++report_.runners_drained;
}

void Soak::CrashRunner() {
  if (runners_left_ <= kMinRunners) return;
  Runner& runner = system_.runner(--runners_left_);
  system_.ledger().RecordRunnerCrash(runner.settings().id);
  runner.Crash();
  ++report_.runners_crashed;
}

// ---- Checks --------------------------------------------------------------------------------------------

void Soak::UpdateNodes() {
  const Time now = system_.loop().Now();
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    Node& node = nodes_[index];
    Dispatcher& dispatcher = system_.dispatcher(index);
    if (node.state == Node::State::kUp) {
      if (dispatcher.Running()) continue;
      Require(false, dispatcher.name() + " exited unexpectedly: " + dispatcher.LastEnd());
      node = {Node::State::kDown, now};
    }
    if (node.state == Node::State::kEnding) {
      if (dispatcher.Running() && now < node.due) continue;
      if (dispatcher.Running()) {
        Require(false, dispatcher.name() + " has not exited within its grace period");
      } else {
        Require(dispatcher.EndedWell(),
                dispatcher.name() + " was terminated and ended with " + dispatcher.LastEnd());
      }
      if (dispatcher.Running()) Kill(index);
      node = {Node::State::kDown, now + DrawTime(0, kMaxDowntime)};
    }
    if (node.state != Node::State::kDown || now < node.due) continue;
    dispatcher.Start();
    if (const auto front = FrontOf(index)) fronts_->Open(*front);
    node = {};
  }
}

void Soak::RestoreAll() {
  const auto all_up = [this] {
    UpdateNodes();
    return std::all_of(nodes_.begin(), nodes_.end(),
                       [](const Node& node) { return node.state == Node::State::kUp; });
  };
  Require(system_.loop().RunUntil(all_up, plan_.timeout), "all dispatchers are restarted");
  Require(system_.WaitReady(plan_.timeout), "all dispatchers are ready again in time");
  const std::uint64_t served = report_.clients.served;
  Require(system_.loop().RunUntil([&] { return report_.clients.served > served + clients_.size(); },
                                  plan_.timeout),
          "requests are served again after all dispatchers are back");
  for (const auto& client : clients_) client->Stop();
  const auto all_idle = [this] {
    return changes_in_flight_ == 0 &&
           std::all_of(clients_.begin(), clients_.end(), [](const auto& client) { return client->IsIdle(); });
  };
  Require(system_.loop().RunUntil(all_idle, plan_.timeout), "all requests and changes in flight have ended");
}

void Soak::CheckFinalState() {
  const Json read = system_.the_operator().Read(plan_.timeout);
  const std::int64_t edition = read.is_object() ? read.value(wire::kEdition, std::int64_t{0}) : 0;
  Require(edition >= newest_acknowledged_, "edition " + std::to_string(newest_acknowledged_) +
                                               " was acknowledged and " + std::to_string(edition) +
                                               " is read back");
  Require(system_.WaitEdition(newest_acknowledged_, plan_.timeout),
          "the newest acknowledged edition is in force everywhere");
  for (std::size_t index = 0; index < nodes_.size(); ++index)
    Require(system_.dispatcher(index).Running(), system_.dispatcher(index).name() + " runs at the end");
}

}  // namespace lichenlug::standins
