#include "lab/fleet/rig.h"

#include <signal.h>
#include <sys/wait.h>

#include <cmath>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace lichenlug::lab {

using rookgw::Effect;
using State = rookgw::ListedWorker::State;

namespace {

constexpr Time kCheckInterval = 5 * kMillisecond;
constexpr Time kReadyTimeout = 30 * kSecond;  // as on the platform
constexpr Time kTermTimeout = 9 * kSecond;    // then a process that was asked to end is killed

std::string Text(const auto& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

// A port for datagrams that is free now. Two sockets cannot share it, so nobody holds it until the process
// does; the system's choice does not come round again soon.
Udp::endpoint FreePeerAddress(asio::io_context& io) {
  return Udp::socket(io, Udp::endpoint(asio::ip::address_v4::loopback(), 0)).local_endpoint();
}

nlohmann::json SettingsOf(const Site& site, int ordinal, double job_rate, bool peers) {
  static constexpr const char* kEffects[] = {"retryable", "dedup", "fragile"};
  static constexpr const char* kScopes[] = {"all", "zone", "cell"};
  nlohmann::json classes = nlohmann::json::array(), tenants = nlohmann::json::array(),
                 kinds = nlohmann::json::array(), stretch = nlohmann::json::array(),
                 priority = nlohmann::json::array();
  double cold_share = 1;
  Time ramp = 0;
  for (const KindModel& k : site.kinds) {
    kinds.push_back(k.name);
    cold_share = std::min(cold_share, k.cold_from), ramp = std::max(ramp, k.cold_for);
  }
  for (const ClassModel& c : site.classes) {
    classes.push_back({{"Name", c.name},
                       {"Aim", c.aim},
                       {"Deadline", c.deadline},
                       {"Effect", kEffects[static_cast<int>(c.effect)]},
                       {"KeyScope", kScopes[static_cast<int>(c.scope)]},
                       {"LateValue", c.late_worth},
                       {"Window", c.window},
                       {"Worth", c.worth}});
    stretch.push_back(c.stretch), priority.push_back(c.priority);
  }
  for (const TenantModel& t : site.tenants)
    tenants.push_back({{"Name", t.name}, {"Portion", t.share}, {"QuotaPerS", QuotaPerS(site, t, job_rate)}});
  return {{"Dcs", site.zones},
          {"HostTypes", kinds},
          {"MyZone", site.zones[ordinal % site.zones.size()]},
          {"Instances", site.dispatchers},
          {"Ordinal", ordinal},
          {"Tick", site.tick},
          {"Discovery", "on_request"},
          {"OverShareWorth", site.over_share_worth},
          {"Fees", {{"CrossZone", site.zones.size() > 1 ? site.fee_cross_zone : 0.0}}},
          {"Limits",
           {{"Cancelling", site.cancelling},
            {"ConnectTimeout", site.net.connect_timeout},
            {"IdleClose", site.net.idle_close},
            {"MaxOpen", 20000},
            {"MaxRetryAfter", site.max_retry_after},
            {"MayTell", peers},
            {"MostTries", site.max_attempts},
            {"Probes", site.probes},
            {"RetryAfter", site.retry_after}}},
          {"Guarantees",
           {{"AskEvery", 10 * kSecond},
            {"ColdShare", cold_share},
            {"DrainGrace", site.drain_grace},
            {"OverloadFactor", site.overload_factor},
            {"OverloadFor", site.overload_for},
            {"RampTime", ramp}}},
          {"Report", {{"Fields", {"active", "cpu", "x0"}}, {"How", "probe"}}},
          {"RequestClasses", classes},
          {"Specifics",
           {{"ReportX0", "free slots"},
            {"TellsStart", site.reports_starts},
            {"ClassStretch", stretch},
            {"ClassPriority", priority}}},
          {"Tenants", tenants}};
}

}  // namespace

Rig::Rig(const FleetFile& fleet, std::uint64_t seed, const std::string& folder, Say say)
    : fleet_(fleet),
      site_(fleet.day.site),
      seed_(seed),
      folder_(folder),
      say_(std::move(say)),
      faults_(FaultsOf(fleet, seed)) {
  std::filesystem::create_directories(folder_);
}

Rig::~Rig() {
  over_ = true;
  for (Dispatcher& d : dispatchers_) d.process.Signal(SIGTERM);
  clients_.reset(), discovery_.reset(), boxes_.reset(), peers_.reset();
}

void Rig::At(Time when, std::function<void()> what) { deadlines_.Add(when, std::move(what)); }

FleetResult Rig::Play() {
  const int count = site_.dispatchers;
  // Faults are on the clock of the play, which begins when all are ready; until then none is active.
  std::vector<FleetFault> later = faults_;
  for (FleetFault& f : later) f.at = kNever / 2;
  links_ = std::make_unique<Links>(later, seed_);
  jobs_ = std::make_unique<Jobs>(site_, links_.get(), count, folder_ + "/jobs.log");
  dispatchers_.resize(count);
  boxes_ = std::make_unique<Boxes>(io_, &deadlines_, site_, seed_, jobs_.get(), links_.get(),
                                   [this](int b, int n) { return dispatchers_[n].call_backs[b]->address(); });
  discovery_ =
      std::make_unique<Discovery>(io_, &deadlines_, site_, jobs_.get(), boxes_.get(),
                                  [this](int n, int b) { return dispatchers_[n].boxes[b]->address(); });
  clients_ = std::make_unique<Clients>(
      io_, &deadlines_, fleet_.day, boxes_->Capacity(), seed_, jobs_.get(),
      [this](int n) { return dispatchers_[n].clients->address(); },
      [this](int n) {
        const Dispatcher& d = dispatchers_[n];
        return d.ready && (d.front_notices == 0 || deadlines_.Now() < d.front_notices);
      },
      [this](int n) { return dispatchers_[n].wanted && !dispatchers_[n].ending; });
  std::vector<Udp::endpoint> peer_addresses;
  for (int n = 0; n < count; ++n) {
    Dispatcher& d = dispatchers_[n];
    const std::string name = DispatcherName(n);
    d.kept = std::make_unique<KeptAddress>(io_);
    d.listen = d.kept->address(), d.peer_listen = FreePeerAddress(io_);
    peer_addresses.push_back(d.peer_listen);
    d.clients = std::make_unique<TcpRelay>(io_, &deadlines_, links_.get(), "c", name, d.listen);
    d.discovery =
        std::make_unique<TcpRelay>(io_, &deadlines_, links_.get(), name, "d", discovery_->address(n));
    for (int b = 0; b < boxes_->size(); ++b) {
      d.boxes.push_back(
          std::make_unique<TcpRelay>(io_, &deadlines_, links_.get(), name, BoxName(b), boxes_->address(b)));
      d.call_backs.push_back(
          std::make_unique<TcpRelay>(io_, &deadlines_, links_.get(), BoxName(b), name, d.listen));
    }
  }
  if (fleet_.peers) peers_ = std::make_unique<PeerRelay>(io_, &deadlines_, links_.get(), peer_addresses);
  started_ = deadlines_.Now();
  for (int n = 0; n < count; ++n) Start(n);
  Look();
  while (began_ == 0 && result_.crashes.empty()) io_.run_one_for(std::chrono::milliseconds(50));
  while (!over_ && result_.crashes.empty()) io_.run_one_for(std::chrono::milliseconds(50));
  // What was not answered by now never will be.
  jobs_->checker().Finish(deadlines_.Now());
  result_.clients = clients_->figures();
  result_.breaches = jobs_->checker().first(), result_.breach_count = jobs_->checker().count();
  result_.checks = jobs_->checker().checks(), result_.runs = boxes_->started;
  result_.attempts_turned_away = boxes_->turned_away, result_.toppled = boxes_->toppled;
  result_.probes = boxes_->probes, result_.lists = discovery_->lists;
  if (peers_ != nullptr) {
    result_.datagrams = peers_->passed();
    if (peers_->too_long() > 0) result_.crashes.push_back("a datagram of more than 256 bytes was sent");
  }
  return result_;
}

void Rig::Stay() {
  boxes_->visitors = true;
  for (const ClassModel& c : site_.classes)
    say_("curl -s -X POST http://" + Text(dispatchers_[0].clients->address()) + "/" + c.name +
         " -H \"X-Call-Id: 00000000$(openssl rand -hex 4)\" -H 'X-Budget: " +
         std::to_string(c.deadline / kSecond) + "' -H 'X-Caller: " +
         (site_.tenants.empty() ? "" : site_.tenants[0].name) + "' -H 'Idempotency-Key: 1' -d '{}'");
  asio::signal_set signals(io_, SIGINT, SIGTERM);
  bool asked = false;
  signals.async_wait([&asked](std::error_code, int) { asked = true; });
  while (!asked) io_.run_one_for(std::chrono::milliseconds(50));
}

// ---- Processes ----

void Rig::WriteConfig(int n) {
  Dispatcher& d = dispatchers_[n];
  d.config = folder_ + "/" + DispatcherName(n) + ".json";
  nlohmann::json peers = nlohmann::json::array();
  if (peers_ != nullptr)
    for (int i = 0; i < site_.dispatchers; ++i) peers.push_back(Text(peers_->address(i)));
  char seed[24];
  std::snprintf(seed, sizeof seed, "%016llx",
                static_cast<unsigned long long>(seed_ * 1000003 + n * 1009 + d.starts));
  nlohmann::json config = {
      {"name", DispatcherName(n)},
      {"listen", Text(d.listen)},
      {"discovery", Text(d.discovery->address())},
      {"seed", seed},
      {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
      {"known", nlohmann::json::parse(discovery_->List(n))},
      {"settings", SettingsOf(site_, n, clients_->rate() / fleet_.day.load, peers_ != nullptr)}};
  if (peers_ != nullptr)
    config["peer_listen"] = Text(d.peer_listen), config["peers"] = peers,
    config["peers_all"] = Text(peers_->all());
  std::ofstream(d.config) << config.dump(1) << "\n";
}

void Rig::Start(int n) {
  Dispatcher& d = dispatchers_[n];
  d.log = folder_ + "/" + DispatcherName(n) + ".log";
  d.wanted = true, d.ending = false, d.ready = false;
  WriteConfig(n);
  ++d.starts;
  const auto& words = fleet_.programs[n % fleet_.programs.size()];
  d.process.Start(words,
                  {"BALANCER_NAME=" + DispatcherName(n), "BALANCER_LISTEN=" + Text(d.listen),
                   "BALANCER_DISCOVERY=" + Text(d.discovery->address()), "BALANCER_CONFIG=" + d.config},
                  d.log);
  AskReady(n);
}

// Not through a relay: the rig's own question, as the front's is on its machine.
void Rig::AskReady(int n) {
  Dispatcher& d = dispatchers_[n];
  if (over_ || d.ready || !d.wanted) return;
  const auto again = [this, n] { At(deadlines_.Now() + 20 * kMillisecond, [this, n] { AskReady(n); }); };
  d.asking = std::make_shared<HttpConnection>(Tcp::socket(io_), HttpConnection::Side::kClient);
  const auto asking = d.asking;
  HttpConnection::Events events;
  events.on_message = [this, n, again](const HttpMessage& answer) {
    Dispatcher& asked = dispatchers_[n];
    asked.asking->Close();
    if (answer.status != 200) return again();
    asked.ready = true, asked.front_notices = 0;
    if (began_ != 0) say_(DispatcherName(n) + " is ready again");
  };
  events.on_end = [this, n, again](HttpConnection::End) {
    dispatchers_[n].asking->Close();
    again();
  };
  asking->SetEvents(std::move(events));
  asking->Connect(d.listen, [asking, again](std::error_code error) {
    if (error) return asking->Close(), again();
    asking->Start();
    asking->Write(FormatRequest("GET", "/-/ready", "rig", {}, ""), [](std::error_code) {});
  });
}

bool Rig::AllReady() const { return std::ranges::all_of(dispatchers_, &Dispatcher::ready); }

void Rig::Died(int n) {
  Dispatcher& d = dispatchers_[n];
  d.wanted = false;
  d.front_notices = deadlines_.Now() + (d.ending ? 0 : site_.clients.front_notice);
  if (d.ending) d.ready = false;
  jobs_->DispatcherDied(n);
}

void Rig::Look() {
  if (over_) return;
  const Time now = deadlines_.Now();
  for (int n = 0; n < site_.dispatchers; ++n) {
    Dispatcher& d = dispatchers_[n];
    if (d.process.pid() <= 0 || d.process.Running()) continue;
    const int status = d.process.status();
    if (!d.wanted) continue;  // it was killed
    const bool orderly = d.ending && WIFEXITED(status) && WEXITSTATUS(status) == 0;
    if (!orderly)
      result_.crashes.push_back(DispatcherName(n) +
                                (WIFSIGNALED(status) ? " died of signal " + std::to_string(WTERMSIG(status))
                                                     : " ended with " + std::to_string(WEXITSTATUS(status))) +
                                "; see " + d.log);
    Died(n);
  }
  for (Dispatcher& d : dispatchers_) {
    d.clients->Watch(), d.discovery->Watch();
    for (const auto& relay : d.boxes) relay->Watch();
    for (const auto& relay : d.call_backs) relay->Watch();
  }
  if (began_ == 0 && AllReady()) {
    began_ = now + 100 * kMillisecond;
    std::vector<FleetFault> dated = faults_;
    for (FleetFault& f : dated) f.at += began_;
    links_->Set(dated);
    for (const FleetFault& f : dated) {
      At(f.at, [this, f] { Begin(f); });
      if (f.length > 0) At(f.at + f.length, [this, f] { End(f); });
    }
    clients_->Start(began_);
    At(began_ + kSecond, [this] { Report(); });
  } else if (began_ == 0 && now > started_ + kReadyTimeout) {
    for (int n = 0; n < site_.dispatchers; ++n)
      if (!dispatchers_[n].ready)
        result_.crashes.push_back(DispatcherName(n) + " was not ready within 30 s; see " +
                                  dispatchers_[n].log);
  }
  const bool faults_over = began_ != 0 && std::ranges::all_of(faults_, [&](const FleetFault& f) {
                             return now > began_ + f.at + f.length;
                           });
  if (began_ != 0 && clients_->Done() && faults_over) over_ = true;
  At(now + kCheckInterval, [this] { Look(); });
}

// ---- The time line ----

void Rig::Begin(const FleetFault& fault) {
  if (over_) return;
  const int i = fault.who.size() > 1 ? std::atoi(fault.who.c_str() + 1) : 0;
  std::string what = FleetFaultNames()[static_cast<int>(fault.kind)];
  what +=
      OfLink(fault.kind) ? " " + fault.from + (fault.one_way ? " to " : " and ") + fault.to : " " + fault.who;
  say_(fault.say.empty() ? what : fault.say);
  Process* process =
      OfLink(fault.kind) || fault.kind > FleetFaultKind::kPause ? nullptr : &dispatchers_[i].process;
  switch (fault.kind) {
    case FleetFaultKind::kKill:
      if (!process->Running() || !dispatchers_[i].wanted) return;
      Died(i);
      return process->Signal(SIGKILL);
    case FleetFaultKind::kTerm:
      if (!process->Running() || !dispatchers_[i].wanted) return;
      dispatchers_[i].ending = true;
      dispatchers_[i].front_notices = deadlines_.Now() + 300 * kMillisecond;
      At(deadlines_.Now() + kTermTimeout, [this, i, start = dispatchers_[i].starts] {
        Dispatcher& d = dispatchers_[i];
        if (!d.ending || d.starts != start || !d.process.Running()) return;
        result_.crashes.push_back(DispatcherName(i) + " had not ended 9 s after SIGTERM");
        d.process.Signal(SIGKILL);
      });
      return process->Signal(SIGTERM);
    case FleetFaultKind::kPause:
      jobs_->checker().Paused(deadlines_.Now(), i, deadlines_.Now() + fault.length);
      return process->Signal(SIGSTOP);
    case FleetFaultKind::kBoxKill:
      boxes_->Kill(i);
      return discovery_->Changed(i, State::kGone, site_.discovery.notice);
    case FleetFaultKind::kBoxMute:
      boxes_->Mute(i);
      return discovery_->Changed(i, State::kGone, site_.discovery.notice_silent);
    case FleetFaultKind::kBoxDrain:
      boxes_->Drain(i);
      return discovery_->Changed(i, State::kDraining, 0);
    case FleetFaultKind::kDiscoveryDown:
      return discovery_->SetDown(true);
    default:
      return;  // a link's: the relays look for themselves
  }
}

void Rig::End(const FleetFault& fault) {
  if (over_) return;
  const int i = fault.who.size() > 1 ? std::atoi(fault.who.c_str() + 1) : 0;
  switch (fault.kind) {
    case FleetFaultKind::kKill:
    case FleetFaultKind::kTerm: {
      Dispatcher& d = dispatchers_[i];
      if (d.process.Running())  // it still ends what it owes
        return At(deadlines_.Now() + 50 * kMillisecond, [this, fault] { End(fault); });
      if (d.ending && d.wanted) Died(i);
      if (d.wanted && d.ready) return;
      say_(DispatcherName(i) + " starts again");
      return Start(i);
    }
    case FleetFaultKind::kPause:
      return dispatchers_[i].process.Signal(SIGCONT);
    case FleetFaultKind::kBoxKill:
    case FleetFaultKind::kBoxMute:
    case FleetFaultKind::kBoxDrain:
      for (Dispatcher& d : dispatchers_) d.boxes[i]->Reset(), d.call_backs[i]->Reset();
      boxes_->Back(i);
      return discovery_->Changed(i, State::kServing, site_.discovery.notice_start);
    case FleetFaultKind::kDiscoveryDown:
      return discovery_->SetDown(false);
    default:
      return say_(FleetFaultNames()[static_cast<int>(fault.kind)] + " " + fault.from + ", " + fault.to +
                  " is over");
  }
}

void Rig::Report() {
  if (over_) return;
  const ClientFigures f = clients_->TakeRecent();
  char line[160];
  std::snprintf(line, sizeof line,
                "%llu jobs handed in; %llu served, %llu of them in time; %llu refused, %llu failed, %llu "
                "lost their way",
                static_cast<unsigned long long>(f.handed_in), static_cast<unsigned long long>(f.served),
                static_cast<unsigned long long>(f.in_time), static_cast<unsigned long long>(f.refused),
                static_cast<unsigned long long>(f.failed), static_cast<unsigned long long>(f.unreached));
  say_(line);
  At(deadlines_.Now() + kSecond, [this] { Report(); });
}

}  // namespace lichenlug::lab
