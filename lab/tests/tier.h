// A tier of real job dispatchers as processes; their runners, discovery and clients are in this process.
#pragma once

#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unordered_set>

#include "lab/fleet/boxes.h"
#include "lab/fleet/discovery.h"
#include "lab/fleet/process.h"

namespace lichenlug::lab {

using Tcp = asio::ip::tcp;

struct TierSettings {
  int processes = 24, instances = 24, boxes = 4;
  Time poll_interval = 10 * kSecond, work = 20 * kMillisecond;
  double cold_share = 1, overload_factor = 4;
  Time overload_for = kSecond / 2, ramp = 0;
  bool slots_told = true;
  bool known = false;  // a saved list is in the configuration
  std::size_t sockets = 1024;
  std::size_t memory_mb = 0;        // limits.memory_mb; 0: not set
  std::size_t max_descriptors = 0;  // the system's limit for the process; 0: as this one's
};

// Dispatchers as processes; runners, discovery and clients in this one. No datagrams between dispatchers.
class Tier {
 public:
  explicit Tier(const TierSettings& settings)
      : answers(settings.processes),
        jobs_at(settings.boxes),
        set_(settings),
        folder_(std::filesystem::temp_directory_path() / ("crossings-" + std::to_string(getpid()))),
        dispatchers_(settings.processes) {
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    site_.dispatchers = set_.processes, site_.boxes = set_.boxes;
    KindModel kind;  // as fast when cold: what is counted is how many come
    kind.cores = 1, kind.queue_per_core = 1000, kind.thrash = 0, kind.cold_from = 1, kind.cold_for = 0;
    site_.kinds = {kind};
    ClassModel cls;
    cls.name = "publish", cls.work = set_.work, cls.spread = ClassModel::Spread::kFixed;
    site_.classes = {cls};
    jobs_ = std::make_unique<Jobs>(site_, &links_, set_.processes, (folder_ / "jobs.log").string());
    boxes = std::make_unique<Boxes>(io, &deadlines, site_, 1, jobs_.get(), &links_,
                                    [this](int, int n) { return address(n); });
    boxes->on_job = [this](int b) { jobs_at[b].push_back(Now()); };
    discovery = std::make_unique<Discovery>(io, &deadlines, site_, jobs_.get(), boxes.get(),
                                            [this](int, int b) { return boxes->address(b); });
    for (Dispatcher& d : dispatchers_) d.kept = std::make_unique<KeptAddress>(io);
  }

  ~Tier() {
    *alive_ = false;
    discovery.reset(), boxes.reset();
    for (Dispatcher& d : dispatchers_) d.process.Signal(SIGKILL);
    if (!testing::Test::HasFailure()) std::filesystem::remove_all(folder_);
  }

  Time Now() const { return deadlines.Now(); }
  int size() const { return set_.processes; }
  Tcp::endpoint address(int n) const { return dispatchers_[n].kept->address(); }
  Process& process(int n) { return dispatchers_[n].process; }
  Time ready_at(int n) const { return dispatchers_[n].ready_at; }

  void StartAll() {
    for (int n = 0; n < size(); ++n) Start(n);
  }

  void Start(int n) {
    Dispatcher& d = dispatchers_[n];
    d.ready_at = 0, ++d.starts;
    const std::string name = DispatcherName(n), config = (folder_ / (name + ".json")).string();
    WriteConfig(n, config);
    d.process.Start({LAB_DISPATCHER, "serve"}, {"BALANCER_CONFIG=" + config},
                    (folder_ / (name + ".log")).string(), set_.max_descriptors);
    AskReady(n, d.starts);
  }

  void Kill(int n) {
    process(n).Signal(SIGKILL);
    while (process(n).Running()) io.run_one_for(std::chrono::milliseconds(1));
  }

  template <typename What>
  bool Until(What what, Time timeout) {
    const Time by = Now() + timeout;
    while (!what() && Now() < by) io.run_one_for(std::chrono::milliseconds(10));
    return what();
  }
  void RunUntil(Time at) {
    Until([this, at] { return Now() >= at; }, at - Now());
  }

  int Ready() const {
    return static_cast<int>(
        std::ranges::count_if(dispatchers_, [](const auto& d) { return d.ready_at != 0; }));
  }
  bool AllRun() {
    return std::ranges::all_of(dispatchers_, [](Dispatcher& d) { return d.process.Running(); });
  }
  // All are up and have had the list from discovery.
  bool Settled() const { return Ready() == size() && std::ranges::count(discovery->listed_at, 0) == 0; }

  // Each dispatcher gets a job at once and one more each `every`, the dispatchers in turn.
  void Load(Time every) {
    loaded_ = true;
    for (int n = 0; n < size(); ++n) LoadAt(n, Now() + every * n / size(), every);
  }

  void Rest() { loaded_ = false; }
  void Send(int n) { SendJob(n, /*stay=*/true, /*fresh=*/false); }
  void SendOnNewConnection(int n) { SendJob(n, /*stay=*/true, /*fresh=*/true); }
  // A client that leaves when its job has begun somewhere.
  void SendAndLeave(int n) { SendJob(n, /*stay=*/false, /*fresh=*/true); }

  asio::io_context io;
  Clock clock;
  Deadlines deadlines{io, clock};
  std::unique_ptr<Boxes> boxes;
  std::unique_ptr<Discovery> discovery;
  struct Answers {
    int served = 0, refused = 0, failed = 0, broken = 0;
  };
  std::vector<Answers> answers;            // by dispatcher
  std::vector<std::vector<Time>> jobs_at;  // by box: when jobs came

 private:
  struct Dispatcher {
    Process process;
    std::unique_ptr<KeptAddress> kept;
    HttpServer::Connection asking;
    std::vector<HttpServer::Connection> idle;
    int starts = 0;
    Time ready_at = 0;
  };

  struct Call {
    int n = 0;
    std::string request;
    HttpServer::Connection connection;
    bool stay = true;                                 // until it is answered
    bool fresh = false;                               // on a new connection
    bool kept = false, begun = false, ended = false;  // its connection
  };
  using Handle = std::shared_ptr<Call>;

  static std::string Text(const Tcp::endpoint& at) {
    return at.address().to_string() + ":" + std::to_string(at.port());
  }

  void WriteConfig(int n, const std::string& path) const {
    const int ordinal = n * set_.instances / set_.processes;
    nlohmann::json report = {{"Fields", {"active", "x0"}}, {"How", "probe"}};
    if (!set_.slots_told) report = {{"How", "none"}};
    const nlohmann::json settings = {
        {"Dcs", site_.zones},
        {"HostTypes", {"box"}},
        {"MyZone", site_.zones[0]},
        {"Instances", set_.instances},
        {"Ordinal", ordinal},
        {"Discovery", "on_request"},
        {"Limits",
         {{"Cancelling", true},
          {"ConnectTimeout", 200 * kMillisecond},
          {"IdleClose", 5 * kSecond},
          {"MaxOpen", 20000},
          {"MostTries", 5},
          {"Probes", set_.slots_told},
          {"RetryAfter", true}}},
        {"Guarantees",
         {{"AskEvery", set_.poll_interval},
          {"ColdShare", set_.cold_share},
          {"DrainGrace", 500 * kMillisecond},
          {"OverloadFactor", set_.overload_factor},
          {"OverloadFor", set_.overload_for},
          {"RampTime", set_.ramp}}},
        {"Report", report},
        {"RequestClasses",
         {{{"Name", "publish"},
           {"Aim", 500 * kMillisecond},
           {"Deadline", kDeadline},
           {"Effect", "retryable"},
           {"Window", 10 * kSecond},
           {"Worth", 1.0}}}},
        {"Specifics", {{"ReportX0", "free slots"}, {"TellsStart", true}, {"ClassStretch", {2.0}}}},
        {"Tenants", nlohmann::json::array()}};
    nlohmann::json config = {{"name", DispatcherName(n)},
                             {"listen", Text(address(n))},
                             {"discovery", Text(discovery->address(n))},
                             {"seed", std::to_string(1000 + n * 10 + dispatchers_[n].starts)},
                             {"limits", {{"sockets", set_.sockets}}},
                             {"settings", settings}};
    if (set_.memory_mb > 0) config["limits"]["memory_mb"] = set_.memory_mb;
    if (set_.known) config["known"] = nlohmann::json::parse(discovery->List(n));
    std::ofstream(path) << config.dump(1) << "\n";
  }

  void AskReady(int n, int start) {
    Dispatcher& d = dispatchers_[n];
    const auto again = [this, n, start] {
      deadlines.Add(Now() + 20 * kMillisecond, [this, alive = alive_, n, start] {
        if (*alive && dispatchers_[n].starts == start) AskReady(n, start);
      });
    };
    const auto asking = d.asking =
        std::make_shared<HttpConnection>(Tcp::socket(io), HttpConnection::Side::kClient);
    HttpConnection::Events events;
    events.on_message = [this, n, start, again](const HttpMessage& answer) {
      Dispatcher& asked = dispatchers_[n];
      if (asked.starts != start) return;
      asked.asking->Close();
      if (answer.status != 200) return again();
      asked.ready_at = Now();
    };
    events.on_end = [again](HttpConnection::End) { again(); };
    asking->SetEvents(std::move(events));
    asking->Connect(address(n), [asking, again](std::error_code error) {
      if (error) return asking->Close(), again();
      asking->Start();
      asking->Write(FormatRequest("GET", "/-/ready", "tier", {}, ""), [](std::error_code) {});
    });
  }

  void LoadAt(int n, Time at, Time every) {
    deadlines.Add(at, [this, alive = alive_, n, at, every] {
      if (!*alive || !loaded_) return;
      if (ready_at(n) != 0) Send(n);
      LoadAt(n, at + every, every);
    });
  }

  void SendJob(int n, bool stay, bool fresh) {
    char id[17], budget[16];
    std::snprintf(id, sizeof id, "%08x%08x", static_cast<unsigned>(getpid()), ++last_job_);
    std::snprintf(budget, sizeof budget, "%.3f", static_cast<double>(kDeadline) / kSecond);
    jobs_->Visit(last_job_, 0)->dispatcher = n;
    auto call = std::make_shared<Call>();
    call->n = n, call->stay = stay, call->fresh = fresh;
    call->request =
        FormatRequest("POST", "/publish", "tier",
                      {{"X-Call-Id", id}, {"X-Budget", budget}, {"Cookie", std::string("obj=") + id}}, "{}");
    open_.insert(call);
    Send(call);
  }

  void Send(const Handle& call) {
    auto& idle = dispatchers_[call->n].idle;
    call->kept = !call->fresh && !idle.empty(), call->begun = false;
    if (call->kept) {
      call->connection = idle.back();
      idle.pop_back();
    } else {
      call->connection = std::make_shared<HttpConnection>(Tcp::socket(io), HttpConnection::Side::kClient);
    }
    HttpConnection::Events events;
    events.on_begin = [weak = std::weak_ptr(call)] {
      if (const Handle begun = weak.lock()) begun->begun = true;
    };
    events.on_message = [this, weak = std::weak_ptr(call)](const HttpMessage& answer) {
      if (const Handle answered = weak.lock()) Answered(answered, answer);
    };
    events.on_end = [this, weak = std::weak_ptr(call)](HttpConnection::End) {
      if (const Handle broken = weak.lock()) Broke(broken);
    };
    call->connection->SetEvents(std::move(events));
    if (call->kept) return call->connection->Next(), Write(call);
    call->connection->Connect(address(call->n), [this, call](std::error_code error) {
      if (error) return call->connection->Close(), Broke(call);
      call->connection->Start();
      Write(call);
    });
  }

  void Write(const Handle& call) {
    call->connection->Write(call->request, [](std::error_code) {});
    if (call->stay) return;
    deadlines.Add(Now() + set_.work / 2, [this, alive = alive_, call] {
      if (!*alive) return;
      call->connection->Close();
      open_.erase(call);
    });
  }

  void Answered(const Handle& call, const HttpMessage& answer) {
    Answers& a = answers[call->n];
    ++(answer.status == 200 ? a.served : answer.status == 503 ? a.refused : a.failed);
    open_.erase(call);
    if (!answer.keep_alive) return call->connection->Close();
    // Later: this is still one of its present events.
    asio::post(io, [this, alive = alive_, call] {
      if (*alive && !call->ended) Keep(call->n, call->connection);
    });
  }

  void Broke(const Handle& call) {
    call->ended = true;
    if (!open_.contains(call)) return;
    // Closed between requests, as the request came: once more on a new connection.
    if (call->kept && !call->begun) return call->ended = false, call->fresh = true, Send(call);
    if (call->stay) ++answers[call->n].broken;
    open_.erase(call);
  }

  void Keep(int n, const HttpServer::Connection& connection) {
    HttpConnection::Events events;
    events.on_end = [this, n, weak = std::weak_ptr(connection)](HttpConnection::End) {
      std::erase(dispatchers_[n].idle, weak.lock());
    };
    connection->SetEvents(std::move(events));
    dispatchers_[n].idle.push_back(connection);
  }

  static constexpr Time kDeadline = 4 * kSecond;

  const TierSettings set_;
  const std::filesystem::path folder_;
  Site site_;
  Links links_{{}, 1};
  std::unique_ptr<Jobs> jobs_;
  std::vector<Dispatcher> dispatchers_;
  bool loaded_ = false;
  std::unordered_set<Handle> open_;
  unsigned last_job_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lichenlug::lab
