#include "lab/fleet/tier.h"

#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>

#include "lab/fleet/fleet_settings.h"

namespace lichenlug::lab {
namespace {

constexpr Time kTermPatience = 9 * kSecond;  // then a process that was asked to end is killed
constexpr Time kOldDiscovery = kSecond;      // the old address is served for so long after SIGHUP

std::string Text(const auto& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

// A port for datagrams that is free now. Two sockets cannot share it, so nobody holds it until the process
// does; the system's choice does not come round again soon.
Udp::endpoint FreePeerAddress(asio::io_context& io) {
  return Udp::socket(io, Udp::endpoint(asio::ip::address_v4::loopback(), 0)).local_endpoint();
}

}  // namespace

Tier::Tier(asio::io_context& io, Deadlines* deadlines, Links* links, Jobs* jobs, const FleetFile& fleet,
           std::uint64_t seed, std::string folder, Say say)
    : io_(io),
      deadlines_(deadlines),
      links_(links),
      jobs_(jobs),
      fleet_(fleet),
      site_(fleet.day.site),
      seed_(seed),
      folder_(std::move(folder)),
      say_(std::move(say)),
      dispatchers_(site_.dispatchers) {
  std::vector<Udp::endpoint> peer_addresses;
  for (Dispatcher& d : dispatchers_) {
    d.kept = std::make_unique<KeptAddress>(io_);
    d.listen = d.kept->address(), d.peer_listen = FreePeerAddress(io_);
    peer_addresses.push_back(d.peer_listen);
  }
  if (fleet_.peers) peers_ = std::make_unique<PeerRelay>(io_, deadlines_, links_, peer_addresses);
}

Tier::~Tier() {
  *alive_ = false;
  for (Dispatcher& d : dispatchers_) d.process.Signal(SIGTERM);
}

void Tier::Connect(const Boxes& boxes, const Discovery* discovery) {
  discovery_ = discovery;
  for (int n = 0; n < site_.dispatchers; ++n) {
    Dispatcher& d = dispatchers_[n];
    const std::string name = DispatcherName(n);
    d.clients = std::make_unique<TcpRelay>(io_, deadlines_, links_, "c", name, d.listen);
    LayDiscovery(n);
    for (int b = 0; b < boxes.size(); ++b) {
      const std::string box = BoxName(b);
      d.boxes.push_back(std::make_unique<TcpRelay>(io_, deadlines_, links_, name, box, boxes.address(b)));
      d.call_backs.push_back(std::make_unique<TcpRelay>(io_, deadlines_, links_, box, name, d.listen));
    }
  }
}

void Tier::LayDiscovery(int n) {
  dispatchers_[n].discovery.push_back(
      std::make_unique<TcpRelay>(io_, deadlines_, links_, DispatcherName(n), "d", discovery_->address(n)));
}

void Tier::StartAll(double job_rate) {
  job_rate_ = job_rate;
  for (int n = 0; n < site_.dispatchers; ++n) Start(n);
}

void Tier::WriteConfig(int n) {
  Dispatcher& d = dispatchers_[n];
  d.config = folder_ + "/" + DispatcherName(n) + ".json";
  nlohmann::json peers = nlohmann::json::array();
  if (peers_ != nullptr)
    for (int i = 0; i < site_.dispatchers; ++i) peers.push_back(Text(peers_->address(i)));
  char seed[24];
  std::snprintf(seed, sizeof seed, "%016llx",
                static_cast<unsigned long long>(seed_ * 1000003 + n * 1009 + d.starts));
  nlohmann::json config = {{"name", DispatcherName(n)},
                           {"listen", Text(d.listen)},
                           {"discovery", Text(d.discovery.back()->address())},
                           {"seed", seed},
                           {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
                           {"known", nlohmann::json::parse(discovery_->List(n))},
                           {"settings", SettingsOf(fleet_, n, job_rate_)}};
  if (peers_ != nullptr)
    config["peer_listen"] = Text(d.peer_listen), config["peers"] = peers,
    config["peers_all"] = Text(peers_->all());
  std::ofstream(d.config) << config.dump(1) << "\n";
}

void Tier::Start(int n) {
  Dispatcher& d = dispatchers_[n];
  d.log = folder_ + "/" + DispatcherName(n) + ".log";
  d.wanted = true, d.ending = false, d.ready = false;
  WriteConfig(n);
  ++d.starts;
  const auto& words = fleet_.programs[n % fleet_.programs.size()];
  d.process.Start(
      words,
      {"BALANCER_NAME=" + DispatcherName(n), "BALANCER_LISTEN=" + Text(d.listen),
       "BALANCER_DISCOVERY=" + Text(d.discovery.back()->address()), "BALANCER_CONFIG=" + d.config},
      d.log);
  AskReady(n);
}

// Not through a relay: the rig's own question, as the front's is on its machine.
void Tier::AskReady(int n) {
  Dispatcher& d = dispatchers_[n];
  if (d.ready || !d.wanted) return;
  const auto again = [this, alive = alive_, n] {
    deadlines_->Add(deadlines_->Now() + 20 * kMillisecond, [this, alive, n] {
      if (*alive) AskReady(n);
    });
  };
  d.asking = std::make_shared<HttpConnection>(Tcp::socket(io_), HttpConnection::Side::kClient);
  const auto asking = d.asking;
  HttpConnection::Events events;
  events.on_message = [this, alive = alive_, n, again](const HttpMessage& answer) {
    if (!*alive) return;
    Dispatcher& asked = dispatchers_[n];
    asked.asking->Close();
    if (answer.status != 200) return again();
    asked.ready = true, asked.front_notices = 0;
    if (began_) say_(DispatcherName(n) + " is ready again");
  };
  events.on_end = [this, alive = alive_, n, again](HttpConnection::End) {
    if (*alive) dispatchers_[n].asking->Close(), again();
  };
  asking->SetEvents(std::move(events));
  asking->Connect(d.listen, [alive = alive_, asking, again](std::error_code error) {
    if (!*alive) return;
    if (error) return asking->Close(), again();
    asking->Start();
    asking->Write(FormatRequest("GET", "/-/ready", "rig", {}, ""), [](std::error_code) {});
  });
}

bool Tier::AllReady() const { return std::ranges::all_of(dispatchers_, &Dispatcher::ready); }

void Tier::TellUnready() {
  for (int n = 0; n < site_.dispatchers; ++n)
    if (!dispatchers_[n].ready)
      crashes_.push_back(DispatcherName(n) + " was not ready within 30 s; see " + dispatchers_[n].log);
}

bool Tier::InFront(int n) const {
  const Dispatcher& d = dispatchers_[n];
  return d.ready && (d.front_notices == 0 || deadlines_->Now() < d.front_notices);
}

void Tier::Died(int n) {
  Dispatcher& d = dispatchers_[n];
  d.wanted = false;
  d.front_notices = deadlines_->Now() + (d.ending ? 0 : site_.clients.front_notice);
  if (d.ending) d.ready = false;
  jobs_->DispatcherDied(n);
}

void Tier::Look() {
  began_ = began_ || AllReady();
  for (int n = 0; n < site_.dispatchers; ++n) {
    Dispatcher& d = dispatchers_[n];
    d.clients->Watch();
    for (const auto* relays : {&d.discovery, &d.boxes, &d.call_backs})
      for (const auto& relay : *relays) relay->Watch();
    if (d.process.pid() <= 0 || d.process.Running()) continue;
    const int status = d.process.status();
    if (!d.wanted) continue;  // it was killed
    const bool orderly = d.ending && WIFEXITED(status) && WEXITSTATUS(status) == 0;
    if (!orderly)
      crashes_.push_back(DispatcherName(n) +
                         (WIFSIGNALED(status) ? " died of signal " + std::to_string(WTERMSIG(status))
                                              : " ended with " + std::to_string(WEXITSTATUS(status))) +
                         "; see " + d.log);
    Died(n);
  }
}

// ---- Faults ----

void Tier::Kill(int n) {
  Dispatcher& d = dispatchers_[n];
  if (!d.process.Running() || !d.wanted) return;
  Died(n);
  d.process.Signal(SIGKILL);
}

void Tier::Terminate(int n) {
  Dispatcher& d = dispatchers_[n];
  if (!d.process.Running() || !d.wanted) return;
  d.ending = true;
  d.front_notices = deadlines_->Now() + 300 * kMillisecond;
  deadlines_->Add(deadlines_->Now() + kTermPatience, [this, alive = alive_, n, start = d.starts] {
    if (!*alive) return;
    Dispatcher& late = dispatchers_[n];
    if (!late.ending || late.starts != start || !late.process.Running()) return;
    crashes_.push_back(DispatcherName(n) + " had not ended 9 s after SIGTERM");
    late.process.Signal(SIGKILL);
  });
  d.process.Signal(SIGTERM);
}

void Tier::Pause(int n, Time length) {
  jobs_->checker().Paused(deadlines_->Now(), n, deadlines_->Now() + length);
  dispatchers_[n].process.Signal(SIGSTOP);
}

void Tier::Resume(int n) { dispatchers_[n].process.Signal(SIGCONT); }

void Tier::MoveDiscovery(int n) {
  Dispatcher& d = dispatchers_[n];
  if (!d.process.Running() || !d.ready || d.ending) return;
  LayDiscovery(n);
  WriteConfig(n);
  d.process.Signal(SIGHUP);
  TcpRelay* old = d.discovery[d.discovery.size() - 2].get();
  deadlines_->Add(deadlines_->Now() + kOldDiscovery, [alive = alive_, old] {
    if (*alive) old->Close();
  });
}

void Tier::StartAgain(int n) {
  Dispatcher& d = dispatchers_[n];
  if (d.process.Running())  // it still ends what it owes
    return void(deadlines_->Add(deadlines_->Now() + 50 * kMillisecond, [this, alive = alive_, n] {
      if (*alive) StartAgain(n);
    }));
  if (d.ending && d.wanted) Died(n);
  if (d.wanted && d.ready) return;
  say_(DispatcherName(n) + " starts again");
  Start(n);
}

void Tier::BoxIsBack(int b) {
  for (Dispatcher& d : dispatchers_) d.boxes[b]->Reset(), d.call_backs[b]->Reset();
}

}  // namespace lichenlug::lab
