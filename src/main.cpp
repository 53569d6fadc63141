// The dispatcher: parses the command line, connects the components and runs them.
#include <CLI/CLI.hpp>
#include <asio.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <string>

#include "base/deadlines.h"
#include "base/memory_release.h"
#include "branch/runner_client.h"
#include "core/request_table.h"
#include "fronts/http/http_front_end.h"
#include "operate/config.h"
#include "peers/holdings.h"
#include "peers/transport.h"
#include "routes/runner_registry.h"
#include "routes/watch.h"

namespace lichenlug {
namespace {

std::vector<rookgw::ListedWorker> ListedRunners(const RunnerListUpdate& update) {
  std::vector<rookgw::ListedWorker> runners;
  for (const RunnerEntry& entry : update.members) runners.push_back(entry.runner);
  return runners;
}

// Adapts the watch to the core's interface, so that `routes/` doesn't depend on the core.
class WatchAdapter : public DiscoveryPort {
 public:
  explicit WatchAdapter(Watch* watch) : watch_(watch) {}
  void RequestList() override { watch_->RequestList(); }

 private:
  Watch* watch_;
};

// Shares the use of runners with the other dispatchers and passes their reports to the core.
class PeerExchange : public PeerPort, public HoldingsObserver {
 public:
  PeerExchange(asio::io_context& io, const Config& config, Deadlines* deadlines, RequestTable* core)
      : deadlines_(deadlines),
        core_(core),
        holdings_(config.seed,
                  {config.peers.own_number, static_cast<int>(config.peers.peers.size()),
                   ReportedZone(config.site.settings)},
                  static_cast<int>(config.site.settings.classes.size()), this),
        transport_(io, config.peers, &holdings_, deadlines) {}

  void Start() { transport_.Start(); }
  void Hold(const std::string& runner, double slots) override {
    holdings_.Hold(runner, slots, deadlines_->Now());
    transport_.Changed();
  }
  void Failed(const std::string& runner, int cls) override {
    holdings_.Failed(runner, cls, deadlines_->Now());
    transport_.Changed();
  }
  void Held(const std::string& runner, int slots) override { core_->OnPeerHolding(runner, slots); }
  void Failing(const std::string& runner, int cls) override { core_->OnPeerFailing(runner, cls); }
  void Name(const RunnerListUpdate& update) {
    if (update.complete) holdings_.ForgetAll();
    for (const RunnerEntry& entry : update.members)
      if (entry.runner.state == rookgw::ListedWorker::State::kGone)
        holdings_.Forget(entry.runner.id);
      else
        holdings_.Name(entry.runner.id, entry.runner.zone);
  }

 private:
  // If cross-zone traffic has a cost, a dispatcher seldom uses the runners of other zones and doesn't need
  // reports on them.
  static int ReportedZone(const rookgw::Settings& settings) {
    return settings.fee_cross_zone > 0 && settings.my_zone != rookgw::kNone ? settings.my_zone : kNoZone;
  }

  Deadlines* deadlines_;
  RequestTable* core_;
  Holdings holdings_;
  PeerTransport transport_;
};

const char* Environment(const char* name) { return std::getenv(name); }

// SIGHUP: only discovery's address can change while the program runs; other changes take effect at the next
// start. An invalid file changes nothing.
void Reload(const Config& config, Watch* watch) {
  try {
    const Config reloaded = RereadConfig(Environment, config);
    if (reloaded.listen != config.listen || reloaded.name != config.name)
      std::cerr << config.name << " applies changes of name and listen only at the next start" << std::endl;
    watch->MoveTo(reloaded.discovery);
    std::cerr << config.name << " has read its configuration again" << std::endl;
  } catch (const std::exception& e) {
    std::cerr << config.name << " could not reload its configuration: " << e.what() << std::endl;
  }
}

// Returns the port for peer reports, or null if there are no peers or their socket can't be opened.
PeerPort* StartPeers(const Config& config, PeerExchange* peers) {
  if (!config.peers.on()) return nullptr;
  try {
    peers->Start();
    return peers;
  } catch (const std::system_error& e) {
    std::cerr << config.name << " runs without peers: peer_listen: " << e.what() << std::endl;
    return nullptr;
  }
}

void Serve() {
  using Form = rookgw::ListChanged::Form;
  MapLargeBlocksSeparately();
  std::signal(SIGPIPE, SIG_IGN);  // a closed peer is reported as an error of the write
  asio::io_context io(1);
  // Installed before the configuration is read: an unhandled signal would end the program at once, even with
  // unanswered requests, and a SIGHUP during the first read has to cause a reload.
  asio::signal_set reload(io, SIGHUP), terminate(io, SIGTERM, SIGINT);
  const Config config = ReadConfig(Environment);
  const Clock clock;
  Deadlines deadlines(io, clock);
  RunnerRegistry registry;
  const HttpFrontEndSettings front_end_settings{config.listen,
                                                config.max_client_connections(),
                                                config.max_serving_connections(),
                                                config.max_client_bytes(),
                                                config.client_receive_buffer(),
                                                config.site};
  const RunnerClientSettings runner_client_settings{config.site.max_open, config.max_runner_connections(),
                                                    config.site.settings.connect_timeout,
                                                    config.site.idle_close, config.site};
  RequestTable core(config.site.settings, config.seed, config.site.max_open, &deadlines);
  PeerExchange peers(io, config, &deadlines, &core);
  Watch watch(io, config.discovery, config.site, config.seed, &registry, &deadlines,
              [&core, &peers](const RunnerListUpdate* update) {
                if (update == nullptr) return core.RunnersChanged(Form::kFailed, 0, {});
                core.RunnersChanged(update->complete ? Form::kWhole : Form::kPatch, update->revision,
                                    ListedRunners(*update));
                peers.Name(*update);
              });
  WatchAdapter discovery(&watch);
  RunnerClient runner_client(io, runner_client_settings, &registry, &deadlines, &core);
  HttpFrontEnd front_end(
      io, front_end_settings, [&registry] { return !registry.empty(); }, &deadlines, &core, &runner_client);

  registry.Apply(config.known);
  core.Start(&runner_client, &discovery, StartPeers(config, &peers));
  core.RunnersChanged(Form::kStaleCopy, config.known.revision, ListedRunners(config.known));
  peers.Name(config.known);
  watch.RequestList();  // also with pushed lists: over sockets, updates only arrive on a watch
  front_end.Start();
  std::cerr << config.name << " serves at " << front_end.address() << std::endl;

  terminate.async_wait([&](std::error_code error, int) {
    if (error) return;
    front_end.Drain([&io] { io.stop(); });
    std::cerr << config.name << " drains" << std::endl;
  });
  const std::function<void()> await_reload = [&] {
    reload.async_wait([&](std::error_code error, int) {
      if (error) return;
      Reload(config, &watch);
      await_reload();
    });
  };
  await_reload();
  io.run();
}

}  // namespace
}  // namespace lichenlug

int main(int argc, char** argv) {
  CLI::App app("lichenlug: a dispatcher that spreads jobs across runners");
  app.require_subcommand(1);
  CLI::App* serve = app.add_subcommand(
      "serve", "Run the dispatcher with the configuration file that BALANCER_CONFIG names");
  CLI::App* version = app.add_subcommand("version", "Print the version");
  CLI::App* check = app.add_subcommand("check-config", "Validate the configuration and exit");
  try {
    app.parse(argc, argv);
    if (*version) std::cout << "lichenlug " LICHENLUG_VERSION "\n";
    if (*check)
      std::cout << "the configuration of " << lichenlug::ReadConfig(lichenlug::Environment).name
                << " is valid\n";
    if (*serve) lichenlug::Serve();
    return 0;
  } catch (const CLI::ParseError& e) {
    if (e.get_exit_code() == 0) return app.exit(e);  // --help
    std::cerr << "lichenlug: " << e.what() << "\n";
    return 2;
  } catch (const std::exception& e) {
    std::cerr << "lichenlug: " << e.what() << "\n";
    return 1;
  }
}
