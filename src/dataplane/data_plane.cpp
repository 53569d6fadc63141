#include "dataplane/data_plane.h"

#include <glog/logging.h>

#include <atomic>
#include <mutex>
#include <thread>

#include "dataplane/configuration_log.h"
#include "dataplane/context.h"
#include "dataplane/exchange_table.h"
#include "dataplane/listener.h"
#include "dataplane/runner_pool.h"

namespace lichenlug::dataplane {
namespace {

constexpr int kKeptDescriptors = 500;  // reserved for files and for the other sockets of the process
constexpr std::size_t kBodyShare = 4;  // one part in this many of the memory is for request bodies
constexpr std::size_t kMaxIdle = 64, kMinIdle = 2;  // idle connections per runner
constexpr Time kPublishInterval = 250 * kMillisecond;
constexpr double kRefuseStreamsFromPart = 0.3;  // of the grace period
constexpr double kRefuseFromPart = 0.6;
constexpr Time kDrainCheckInterval = 50 * kMillisecond;

std::size_t MaxConnections(int descriptors) {
  return static_cast<std::size_t>(std::max(16, descriptors - kKeptDescriptors)) / 2;
}

// Half of this dispatcher's share of the connections that a runner accepts, for the service with the lowest
// limit.
std::size_t MaxIdle(const routing::Snapshot& snapshot) {
  int least = 2 * static_cast<int>(kMaxIdle) * std::max(1, snapshot.live_dispatchers);
  if (snapshot.configuration != nullptr)
    for (const auto& service : snapshot.configuration->services())
      if (service.connection_limit() > 0) least = std::min(least, service.connection_limit());
  return std::max<std::size_t>(kMinIdle, least / (2 * std::max(1, snapshot.live_dispatchers)));
}

}  // namespace

class DataPlane::Impl {
 public:
  explicit Impl(Settings settings)
      : settings_(std::move(settings)),
        context_(io_),
        runners_(io_, &context_.deadlines, MaxConnections(settings_.descriptors)),
        exchanges_(&context_, &runners_, settings_.memory_bytes / kBodyShare, settings_.seed),
        listener_(&context_, &exchanges_, MaxConnections(settings_.descriptors)) {}

  ~Impl() {
    io_.stop();
    if (thread_.joinable()) thread_.join();
  }

  bool Start(std::string* error) {
    if (!ServesClients()) return true;
    if (!listener_.Listen(settings_.listen_address, error)) return false;
    context_.configuration_due = context_.Now() + settings_.configuration_wait;
    listener_.Start();
    PublishRegularly();
    thread_ = std::thread([this] { io_.run(); });
    return true;
  }

  void Install(std::shared_ptr<const routing::Snapshot> snapshot) {
    if (!ServesClients()) return;
    asio::post(io_, [this, snapshot = std::move(snapshot)] { Installed(snapshot); });
  }

  void OnNewlyUnserved(std::function<void()> tell) {
    context_.on_newly_unserved = [this, tell = std::move(tell)] {
      Publish();
      tell();
    };
  }

  Report TakeReport() {
    const std::lock_guard lock(mutex_);
    return report_;
  }

  void BeginDrain() {
    if (!ServesClients()) return;
    asio::post(io_, [this] {
      if (std::exchange(context_.draining, true)) return;
      drain_began_ = context_.Now();
      LOG(INFO) << "draining with " << exchanges_.size() << " requests in progress on "
                << listener_.connections() << " connections";
      LookForEnd();
    });
  }

  bool Drained() const { return !ServesClients() || drained_; }

 private:
  bool ServesClients() const { return !settings_.listen_address.empty(); }

  void Installed(const std::shared_ptr<const routing::Snapshot>& snapshot) {
    const bool first = context_.router == nullptr;
    const bool anew = context_.snapshot == nullptr || context_.snapshot->revision != snapshot->revision;
    const std::shared_ptr<const routing::Snapshot> before = std::exchange(context_.snapshot, snapshot);
    if (anew && snapshot->revision > 0 && snapshot->configuration != nullptr) {
      context_.router = std::make_shared<const routing::Router>(snapshot->configuration);
      LogInForce(before == nullptr ? nullptr : before->configuration.get(), *snapshot->configuration);
    }
    runners_.SetMaxIdle(MaxIdle(*snapshot));
    exchanges_.Install(snapshot);
    if (first && context_.router != nullptr) listener_.ConfigurationCame();
  }

  // The control plane's thread reads a copy, so it never waits for this thread.
  void Publish() {
    Report report;
    report.usage = context_.usage.counts();
    report.demand = exchanges_.Demand();
    report.requests = context_.counters.requests, report.served = context_.counters.served;
    report.refused = context_.counters.refused, report.failed = context_.counters.failed;
    report.suspected = context_.counters.suspected;
    report.cuts = context_.cuts.counts();
    report.connections = listener_.connections(), report.in_work = exchanges_.size();
    {
      const std::lock_guard lock(mutex_);
      report_ = std::move(report);
    }
  }

  void PublishRegularly() {
    Publish();
    context_.deadlines.Add(context_.Now() + kPublishInterval, [this] { PublishRegularly(); });
  }

  // New connections arrive until the platform has noticed the drain, so requests are still served. In the
  // second half of the grace period idle connections are closed, and the drain is complete once none is left.
  // Requests that could not be finished in time are refused, streams earlier because they may last for
  // seconds: every request that was read gets a response.
  void LookForEnd() {
    const Time since = context_.Now() - drain_began_;
    const bool late = since >= settings_.grace / 2;
    if (late) listener_.RetireIdle();
    const double part = static_cast<double>(since) / static_cast<double>(settings_.grace);
    context_.refusing_streams = part >= kRefuseStreamsFromPart;
    context_.refusing = part >= kRefuseFromPart;
    if (context_.refusing) exchanges_.EndUnsent();
    const bool nothing_waits = listener_.TakeWaiting();
    const bool nothing_owed = exchanges_.size() == 0 && listener_.connections() == 0;
    drained_ = late && nothing_waits && nothing_owed;
    context_.deadlines.Add(context_.Now() + kDrainCheckInterval, [this] { LookForEnd(); });
  }

  const Settings settings_;
  asio::io_context io_{1};
  Context context_;
  RunnerPool runners_;
  ExchangeTable exchanges_;
  Listener listener_;
  Time drain_began_ = 0;
  std::atomic<bool> drained_ = false;
  std::mutex mutex_;
  Report report_;
  std::thread thread_;
};

DataPlane::DataPlane(Settings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
DataPlane::~DataPlane() = default;

bool DataPlane::Start(std::string* error) { return impl_->Start(error); }
void DataPlane::Install(std::shared_ptr<const routing::Snapshot> snapshot) {
  impl_->Install(std::move(snapshot));
}
void DataPlane::OnNewlyUnserved(std::function<void()> tell) { impl_->OnNewlyUnserved(std::move(tell)); }
Report DataPlane::TakeReport() { return impl_->TakeReport(); }
void DataPlane::BeginDrain() { impl_->BeginDrain(); }
bool DataPlane::Drained() { return impl_->Drained(); }

}  // namespace lichenlug::dataplane
