// A disk that refuses writes for a while, at the start or when the founding group is kept: the replica comes
// to vote all the same, in this life of the process and in the next one.
#include "controlplane/register_service.h"

#include <sys/resource.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <string>
#include <thread>

namespace lichenlug::controlplane {
namespace {

namespace fs = std::filesystem;

constexpr Time kRound = 20 * kMillisecond;
constexpr Time kLongEnough = 5 * kSecond;
constexpr Time kRefusing = 500 * kMillisecond;

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

// While it lives no file of this process can grow, as on a full disk.
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

messages::ReplicaGroup FoundingGroup() {
  messages::ReplicaGroup group;
  for (const char* address : {"10.0.0.1:7660", "10.0.0.2:7660", "10.0.0.3:7660"}) {
    messages::ReplicaIdentity* member = group.add_members();
    member->set_replica_id(std::string("founder:") + address);
    member->set_address(address);
  }
  return group;
}

// One life of a process: the loop and the service on it.
class Life {
 public:
  Life(const fs::path& store_folder, bool first_run)
      : service_(&loop_, SettingsWith(store_folder, first_run), 1, 1,
                 [](const std::string&, messages::Envelope) {}) {
    service_.OpenStore([this](const std::string& replica_id) { started_as_ = replica_id; });
  }

  RegisterService& service() { return service_; }
  const std::string& started_as() const { return started_as_; }

  void RunFor(Time span) {
    const Time end = EventLoop::Now() + span;
    loop_.OnIdle([&] {
      const Time now = EventLoop::Now();
      service_.Tick(now);
      if (now >= end || (stop_when_started_ && !started_as_.empty())) return loop_.Stop();
      loop_.SetTimer(now + kRound, [] {});
    });
    loop_.SetTimer(EventLoop::Now() + kRound, [] {});
    loop_.Run();
  }
  void RunUntilStarted() {
    stop_when_started_ = true;
    RunFor(kLongEnough);
  }

 private:
  EventLoop loop_;
  std::string started_as_;
  bool stop_when_started_ = false;
  RegisterService service_;
};

}  // namespace

TEST_CASE("a store that can't be opened at the start is opened later") {
  const Folder folder;
  const fs::path store = folder.path() / "store";
  Life life(store, true);
  // The folder comes only after the first attempt has failed.
  std::thread later([&] {
    std::this_thread::sleep_for(std::chrono::microseconds(kRefusing));
    fs::create_directory(store);
  });
  life.RunUntilStarted();
  later.join();
  CHECK(life.started_as() == "founder:10.0.0.1:7660");
}

TEST_CASE("a founding group whose write was refused is written again") {
  const Folder folder;
  {
    Life life(folder.path(), false);
    life.RunFor(kRefusing);                         // the store is open
    REQUIRE_FALSE(life.service().KnowsFounding());  // of a later start: the group comes from a peer
    {
      const FullDisk full;
      life.service().LearnFounding(FoundingGroup());
      life.RunFor(kRefusing);
    }
    life.RunFor(4 * kRefusing);
    REQUIRE_FALSE(life.started_as().empty());
  }
  Life next(folder.path(), false);
  next.RunUntilStarted();
  CHECK(next.service().KnowsFounding());
  CHECK_FALSE(next.started_as().empty());
}

}  // namespace lichenlug::controlplane
