#include "lab/fleet/rig.h"

#include <algorithm>
#include <filesystem>

namespace lichenlug::lab {

using State = rookgw::ListedWorker::State;

namespace {

constexpr Time kLookEvery = 5 * kMillisecond;
constexpr Time kReadyPatience = 30 * kSecond;  // as on the platform

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
  clients_.reset(), discovery_.reset(), boxes_.reset(), tier_.reset();
}

void Rig::At(Time when, std::function<void()> what) { deadlines_.Add(when, std::move(what)); }

FleetResult Rig::Play() {
  // Faults are on the clock of the play, which begins when all are ready; until then none is active.
  std::vector<FleetFault> later = faults_;
  for (FleetFault& f : later) f.at = kNever / 2;
  links_ = std::make_unique<Links>(later, seed_);
  jobs_ = std::make_unique<Jobs>(site_, links_.get(), site_.dispatchers, folder_ + "/jobs.log");
  tier_ = std::make_unique<Tier>(io_, &deadlines_, links_.get(), jobs_.get(), fleet_, seed_, folder_, say_);
  boxes_ = std::make_unique<Boxes>(
      io_, &deadlines_, fleet_, seed_, jobs_.get(), links_.get(),
      [this](int b, int n) { return tier_->ForCallBacks(n, b); },
      [this](int b, const Poison& poison) { BoxFell(b, poison); });
  discovery_ = std::make_unique<Discovery>(io_, &deadlines_, site_, jobs_.get(), boxes_.get(),
                                           [this](int n, int b) { return tier_->ToBox(n, b); });
  tier_->Connect(*boxes_, discovery_.get());
  clients_ = std::make_unique<Clients>(
      io_, &deadlines_, fleet_, boxes_->Capacity(), seed_, jobs_.get(),
      [this](int n) { return tier_->ForClients(n); }, [this](int n) { return tier_->InFront(n); },
      [this](int n) { return tier_->Runs(n); });
  started_ = deadlines_.Now();
  tier_->StartAll(clients_->rate() / fleet_.day.load);
  Look();
  while (!over_ && tier_->crashes().empty()) io_.run_one_for(std::chrono::milliseconds(50));
  // What was not answered by now never will be.
  jobs_->checker().Finish(deadlines_.Now());
  result_.crashes = tier_->crashes();
  result_.clients = clients_->figures();
  result_.breaches = jobs_->checker().first(), result_.breach_count = jobs_->checker().count();
  result_.checks = jobs_->checker().checks(), result_.runs = boxes_->started;
  result_.attempts_turned_away = boxes_->turned_away, result_.toppled = boxes_->toppled;
  result_.probes = boxes_->probes, result_.lists = discovery_->lists;
  result_.watches = discovery_->watches;
  result_.call_backs = boxes_->call_backs(), result_.harm = jobs_->harm().OfPoison(fleet_);
  if (const PeerRelay* peers = tier_->peers()) {
    result_.datagrams = peers->passed();
    if (peers->too_long() > 0) result_.crashes.push_back("a datagram of more than 256 bytes was sent");
  }
  return result_;
}

void Rig::Stay() {
  boxes_->visitors = true;
  const Tcp::endpoint front = tier_->ForClients(0);
  const std::string at = front.address().to_string() + ":" + std::to_string(front.port());
  for (const ClassModel& c : site_.classes)
    say_("curl -s -X POST http://" + at + "/" + c.name +
         " -H \"X-Call-Id: 00000000$(openssl rand -hex 4)\" -H 'X-Budget: " +
         std::to_string(c.deadline / kSecond) + "' -H 'X-Caller: " +
         (site_.tenants.empty() ? "" : site_.tenants[0].name) + "' -H 'Idempotency-Key: 1' -d '{}'");
  asio::signal_set signals(io_, SIGINT, SIGTERM);
  bool asked = false;
  signals.async_wait([&asked](std::error_code, int) { asked = true; });
  while (!asked) io_.run_one_for(std::chrono::milliseconds(50));
}

void Rig::Look() {
  if (over_) return;
  const Time now = deadlines_.Now();
  tier_->Look();
  if (began_ == 0 && tier_->AllReady()) {
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
  } else if (began_ == 0 && now > started_ + kReadyPatience) {
    tier_->TellUnready();
  }
  const bool faults_over = began_ != 0 && std::ranges::all_of(faults_, [&](const FleetFault& f) {
                             return now > began_ + f.at + f.length;
                           });
  if (began_ != 0 && clients_->Done() && faults_over) over_ = true;
  At(now + kLookEvery, [this] { Look(); });
}

// ---- The time line ----

void Rig::Begin(const FleetFault& fault) {
  if (over_) return;
  const int i = fault.who.size() > 1 ? std::atoi(fault.who.c_str() + 1) : 0;
  std::string what = FleetFaultNames()[static_cast<int>(fault.kind)];
  what +=
      OfLink(fault.kind) ? " " + fault.from + (fault.one_way ? " to " : " and ") + fault.to : " " + fault.who;
  say_(fault.say.empty() ? what : fault.say);
  switch (fault.kind) {
    case FleetFaultKind::kKill:
      return tier_->Kill(i);
    case FleetFaultKind::kTerm:
      return tier_->Terminate(i);
    case FleetFaultKind::kPause:
      return tier_->Pause(i, fault.length);
    case FleetFaultKind::kHup:
      return tier_->MoveDiscovery(i);
    case FleetFaultKind::kBoxKill:
      boxes_->Kill(i);
      return discovery_->Changed(i, State::kGone, site_.discovery.notice);
    case FleetFaultKind::kBoxMute:
      boxes_->Mute(i);
      return discovery_->Changed(i, State::kGone, site_.discovery.notice_silent);
    case FleetFaultKind::kBoxDrain:
      boxes_->Drain(i);
      return discovery_->Changed(i, State::kDraining, 0);
    case FleetFaultKind::kListGhost:
      return boxes_->Kill(i);  // and the list goes on naming it as active
    case FleetFaultKind::kListAddress:
    case FleetFaultKind::kListZone:
    case FleetFaultKind::kListTwice:
      return discovery_->Distort(i, fault.kind, true);
    case FleetFaultKind::kDiscoveryDown:
      return discovery_->SetDown(true);
    case FleetFaultKind::kWatchSilent:
      return discovery_->Silence(i);
    case FleetFaultKind::kCallSwallowed:
      return discovery_->Swallow(i);
    case FleetFaultKind::kLateHeartbeat:
      return discovery_->SetLate(i, static_cast<Time>(fault.size * kSecond));
    default:
      return;  // a link's: the relays look for themselves
  }
}

void Rig::End(const FleetFault& fault) {
  if (over_) return;
  const int i = fault.who.size() > 1 ? std::atoi(fault.who.c_str() + 1) : 0;
  switch (fault.kind) {
    case FleetFaultKind::kKill:
    case FleetFaultKind::kTerm:
      return tier_->StartAgain(i);
    case FleetFaultKind::kPause:
      return tier_->Resume(i);
    case FleetFaultKind::kBoxKill:
    case FleetFaultKind::kBoxMute:
    case FleetFaultKind::kBoxDrain:
    case FleetFaultKind::kListGhost:
      return BoxBack(i);
    case FleetFaultKind::kListAddress:
    case FleetFaultKind::kListZone:
    case FleetFaultKind::kListTwice:
      return discovery_->Distort(i, fault.kind, false);
    case FleetFaultKind::kDiscoveryDown:
      return discovery_->SetDown(false);
    case FleetFaultKind::kLateHeartbeat:
      return discovery_->SetLate(i, 0);
    case FleetFaultKind::kHup:
    case FleetFaultKind::kWatchSilent:
    case FleetFaultKind::kCallSwallowed:
      return;  // at one moment
    default:
      return say_(FleetFaultNames()[static_cast<int>(fault.kind)] + " " + fault.from + ", " + fault.to +
                  " is over");
  }
}

void Rig::BoxBack(int b) {
  tier_->BoxIsBack(b);
  boxes_->Back(b);
  discovery_->Changed(b, State::kServing, site_.discovery.notice_start);
}

// A poisoned job has felled a box: its machine's agent sees a process die at once, and one that hangs later.
void Rig::BoxFell(int b, const Poison& poison) {
  say_(BoxName(b) + (poison.hangs ? " hangs on" : " dies of") + " a poisoned job");
  discovery_->Changed(b, State::kGone, poison.hangs ? site_.discovery.notice_silent : site_.discovery.notice);
  At(deadlines_.Now() + poison.back, [this, b] {
    const Box::Life life = boxes_->box(b).life;
    if (!over_ && (life == Box::Life::kDown || life == Box::Life::kSilent)) BoxBack(b);
  });
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
