// A disk that temporarily rejects writes, at startup or while the founding group is stored: the replica must
// eventually vote anyway, in this run of the process and in the next one.
#include "node/register_service.h"

#include <sys/resource.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "host/event_loop.h"
#include "host/posted_store.h"

namespace lichenlug::node {
namespace {

namespace fs = std::filesystem;
using host::EventLoop;

constexpr Time kRound = 20 * kMillisecond;
constexpr Time kMaxRunTime = 5 * kSecond;
constexpr Time kOutage = 500 * kMillisecond;

class Folder {
 public:
  Folder() {
    std::string pattern = (fs::temp_directory_path() / "register_service_test.XXXXXX").string();
    path_ = ::mkdtemp(pattern.data());
  }
  ~Folder() { fs::remove_all(path_); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  const fs::path& path() const { return path_; }

 private:
  fs::path path_;
};

// While an instance exists, no file of this process can grow, as on a full disk.
class FullDisk {
 public:
  FullDisk() : handler_(std::signal(SIGXFSZ, SIG_IGN)) {
    ::getrlimit(RLIMIT_FSIZE, &before_);
    rlimit none = before_;
    none.rlim_cur = 0;
    ::setrlimit(RLIMIT_FSIZE, &none);
  }
  ~FullDisk() {
    ::setrlimit(RLIMIT_FSIZE, &before_);
    std::signal(SIGXFSZ, handler_);
  }
  FullDisk(const FullDisk&) = delete;
  FullDisk& operator=(const FullDisk&) = delete;

 private:
  void (*handler_)(int);
  rlimit before_{};
};

NodeSettings SettingsWith(const fs::path& store_folder, bool first_run) {
  NodeSettings settings;
  settings.name = "front-1";
  settings.internal_address = "10.0.0.1:7660";
  settings.seed_addresses = {"10.0.0.1:7660", "10.0.0.2:7660", "10.0.0.3:7660"};
  settings.store_folder = store_folder.string();
  settings.first_run = first_run;
  return settings;
}

messages::Founding FirstFounding() {
  return consensus::FirstStartFounding({"10.0.0.1:7660", "10.0.0.2:7660", "10.0.0.3:7660"});
}

// One run of a process: the event loop, the disk and the service that uses them. There are no peers.
class ProcessRun : NodeHost {
 public:
  ProcessRun(const fs::path& store_folder, bool first_run)
      : service_(this, SettingsWith(store_folder, first_run), {1, std::random_device()()}),
        store_(&loop_, store_folder.string()) {
    service_.OpenStore([this](const std::string& replica_id) { started_as_ = replica_id; });
  }

  RegisterService& service() { return service_; }
  const std::string& started_as() const { return started_as_; }

  void DoAfter(Time span, std::function<void()> step) { steps_.emplace_back(span, std::move(step)); }

  // Call once per instance: runs until the replica has started and all steps are done, or until kMaxRunTime.
  void Run() {
    const Time begin = EventLoop::Now();
    loop_.OnIdle([this, begin] {
      const Time now = EventLoop::Now();
      service_.Tick(now);
      while (!steps_.empty() && now >= begin + steps_.front().first) {
        steps_.front().second();
        steps_.erase(steps_.begin());
      }
      const bool done = steps_.empty() && !started_as_.empty();
      if (done || now >= begin + kMaxRunTime) return loop_.Stop();
      loop_.SetTimer(now + kRound, [] {});
    });
    loop_.SetTimer(begin + kRound, [] {});
    loop_.Run();
  }

 private:
  Time Now() const override { return EventLoop::Now(); }
  Time WallNow() const override { return Now(); }
  void Post(std::function<void()> task) override { loop_.Post(std::move(task)); }
  void Send(const std::string&, messages::Envelope) override {}
  void Forget(const std::string&) override {}
  void Call(const duties::HttpCall&, CallDone) override {}
  void OpenStore(const std::string& new_replica_id, std::function<void(StoreContents)> done) override {
    store_.Open(new_replica_id, std::move(done));
  }
  void Write(std::string key, std::string value, std::function<void(bool)> done) override {
    store_.Write(std::move(key), std::move(value), std::move(done));
  }
  void Erase(std::string key) override { store_.Erase(std::move(key)); }
  void Install(std::shared_ptr<const routing::Snapshot>) override {}
  dataplane::Report TakeReport() override { return {}; }
  void DrainRequests() override {}
  void StopRequestsWhenIdle() override {}
  void StopRequestsNow() override {}
  bool RequestsAreStopped() override { return true; }
  void Exit() override {}

  EventLoop loop_;
  std::string started_as_;
  std::vector<std::pair<Time, std::function<void()>>> steps_;  // ordered by time
  RegisterService service_;
  host::PostedStore
      store_;  // last member: its thread must end before the members that its callbacks use are destroyed
};

}  // namespace

TEST_CASE("a store that can't be opened at the start is opened later") {
  const Folder folder;
  const fs::path store = folder.path() / "store";
  ProcessRun process(store, true);
  process.DoAfter(kOutage, [&] { fs::create_directory(store); });  // the first attempt has failed
  process.Run();
  CHECK(process.started_as() == "founder:10.0.0.1:7660");
}

TEST_CASE("a founding group whose write failed is written again") {
  const Folder folder;
  {
    ProcessRun process(folder.path(), false);  // not the first start: the group comes from a peer
    std::optional<FullDisk> full;
    process.DoAfter(kOutage, [&] {
      REQUIRE_FALSE(process.service().KnowsFounding());
      full.emplace();
      process.service().LearnFounding(FirstFounding(), false);
    });
    process.DoAfter(2 * kOutage, [&] { full.reset(); });
    process.DoAfter(5 * kOutage, [] {});
    process.Run();
    REQUIRE_FALSE(process.started_as().empty());
  }
  ProcessRun next(folder.path(), false);
  next.Run();
  CHECK(next.service().KnowsFounding());
  CHECK_FALSE(next.started_as().empty());
}

}  // namespace lichenlug::node
