#include "dataplane/data_plane.h"

#include <glog/logging.h>

#include <atomic>
#include <mutex>
#include <thread>

#include "dataplane/client_connection.h"
#include "dataplane/configuration_log.h"
#include "dataplane/context.h"
#include "dataplane/exchange_table.h"
#include "dataplane/runner_pool.h"

namespace lichenlug::dataplane {
namespace {

constexpr int kReservedDescriptors = 500;  // reserved for files and for the other sockets of the process
constexpr std::size_t kClientMemoryDivisor = 4;  // one part in this many of the memory is for clients' bytes
constexpr std::size_t kMaxIdleConnections = 64, kMinIdleConnections = 2;  // idle connections per runner
constexpr Time kPublishInterval = 250 * kMillisecond;
constexpr double kRefuseStreamsFromFraction = 0.3;  // of the grace period
constexpr double kRefuseFromFraction = 0.6;
constexpr Time kDrainCheckInterval = 50 * kMillisecond;

std::size_t MaxConnections(int descriptors) {
  return static_cast<std::size_t>(std::max(16, descriptors - kReservedDescriptors)) / 2;
}

ConnectionListener::Limits ListenerLimits(const Settings& settings) {
  const std::size_t max_connections = MaxConnections(settings.descriptors);
  return {max_connections, ReceiveBufferBytes(settings.memory_bytes, max_connections)};
}

// Half of this dispatcher's share of the connections that a runner accepts, for the service with the lowest
// limit.
std::size_t MaxIdleConnections(const routing::Snapshot& snapshot) {
  int lowest_limit = 2 * static_cast<int>(kMaxIdleConnections) * std::max(1, snapshot.live_dispatchers);
  if (snapshot.configuration != nullptr)
    for (const auto& service : snapshot.configuration->services())
      if (service.connection_limit() > 0) lowest_limit = std::min(lowest_limit, service.connection_limit());
  return std::max<std::size_t>(kMinIdleConnections,
                               lowest_limit / (2 * std::max(1, snapshot.live_dispatchers)));
}

}  // namespace

class DataPlane::Impl {
 public:
  explicit Impl(Settings settings)
      : settings_(std::move(settings)),
        context_(io_, settings_.memory_bytes / kClientMemoryDivisor),
        runners_(io_, &context_.deadlines, MaxConnections(settings_.descriptors)),
        exchanges_(&context_, &runners_, settings_.seed),
        listener_(io_, &context_.deadlines, &context_.budget, ListenerLimits(settings_),
                  [this](asio::ip::tcp::socket socket) {
                    return std::make_unique<ClientConnection>(std::move(socket), &context_, &exchanges_);
                  }) {}

  ~Impl() {
    io_.stop();
    if (thread_.joinable()) thread_.join();
    LOG_IF(INFO, ServesClients()) << "stopped with " << exchanges_.size() << " requests in progress on "
                                  << listener_.connections() << " connections"
                                  << TextOfDrainTime(context_.Now());
  }

  bool Start(std::string* error) {
    if (!ServesClients()) return true;
    if (!listener_.Listen(settings_.listen_address, error)) return false;
    context_.configuration_deadline = context_.Now() + settings_.configuration_wait;
    listener_.Start();
    PublishRegularly();
    thread_ = std::thread([this] { io_.run(); });
    return true;
  }

  void Install(std::shared_ptr<const routing::Snapshot> snapshot) {
    if (!ServesClients()) return;
    asio::post(io_, [this, snapshot = std::move(snapshot)] { OnSnapshot(snapshot); });
  }

  void OnNewlyUnserved(std::function<void()> notify) {
    context_.on_newly_unserved = [this, notify = std::move(notify)] {
      Publish();
      notify();
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
      drain_started_at_ = context_.Now();
      LOG(INFO) << "draining with " << exchanges_.size() << " requests in progress on "
                << listener_.connections() << " connections";
      CheckDrained();
    });
  }

  void StopWhenIdle() { may_stop_ = true; }

  void StopNow() {
    if (!ServesClients()) return;
    asio::post(io_, [this] {
      if (listener_.closed()) return;
      CloseListener();
      exchanges_.EndAllAtShutdown();
    });
  }

  bool Stopped() const { return !ServesClients() || stopped_; }

 private:
  bool ServesClients() const { return !settings_.listen_address.empty(); }

  void OnSnapshot(const std::shared_ptr<const routing::Snapshot>& snapshot) {
    const bool first = context_.router == nullptr;
    const bool is_new_revision =
        context_.snapshot == nullptr || context_.snapshot->revision != snapshot->revision;
    const std::shared_ptr<const routing::Snapshot> before = std::exchange(context_.snapshot, snapshot);
    if (is_new_revision && snapshot->revision > 0 && snapshot->configuration != nullptr) {
      context_.router = std::make_shared<const routing::Router>(snapshot->configuration);
      LogConfigurationChange(before == nullptr ? nullptr : before->configuration.get(),
                             *snapshot->configuration);
    }
    runners_.SetMaxIdlePerRunner(MaxIdleConnections(*snapshot));
    exchanges_.Install(snapshot);
    if (!first || context_.router == nullptr) return;
    listener_.ForEach(
        [](ServedConnection* connection) { static_cast<ClientConnection*>(connection)->OnConfiguration(); });
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
  // second half of the grace period idle connections are closed, and the data plane may stop once none is
  // left. Requests that could not be finished in time are refused, streams earlier because they may last for
  // seconds: every request that was read gets a response.
  void CheckDrained() {
    const Time elapsed = context_.Now() - drain_started_at_;
    const bool in_second_half = elapsed >= settings_.grace / 2;
    if (in_second_half) listener_.CloseIdle();
    const double fraction = static_cast<double>(elapsed) / static_cast<double>(settings_.grace);
    context_.refusing_streams = fraction >= kRefuseStreamsFromFraction;
    context_.refusing_requests = fraction >= kRefuseFromFraction;
    if (context_.refusing_requests) exchanges_.RefuseUnsent();
    if (in_second_half && may_stop_ && !listener_.closed() && IsIdle()) CloseListener();
    if (listener_.closed() && IsIdle()) {
      Publish();
      stopped_ = true;
      return;
    }
    context_.deadlines.Add(context_.Now() + kDrainCheckInterval, [this] { CheckDrained(); });
  }

  // To be followed by CloseListener() in the same step: a connection that came between this finding and the
  // exit of the process would be closed with its request.
  bool IsIdle() {
    const bool backlog_empty = listener_.closed() || listener_.AcceptWaiting();
    return backlog_empty && exchanges_.size() == 0 && listener_.connections() == 0;
  }

  void CloseListener() {
    listener_.Close();
    LOG(INFO) << "no longer accepting connections, " << exchanges_.size() << " requests in progress"
              << TextOfDrainTime(context_.Now());
  }

  // For the log; empty unless the data plane is draining.
  std::string TextOfDrainTime(Time now) const {
    if (!context_.draining) return "";
    return ", " + std::to_string((now - drain_started_at_) / kMillisecond) + " ms after the drain began";
  }

  const Settings settings_;
  asio::io_context io_{1};
  Context context_;
  RunnerPool runners_;
  ExchangeTable exchanges_;
  ConnectionListener listener_;
  Time drain_started_at_ = 0;
  std::atomic<bool> may_stop_ = false, stopped_ = false;
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
void DataPlane::OnNewlyUnserved(std::function<void()> notify) { impl_->OnNewlyUnserved(std::move(notify)); }
Report DataPlane::TakeReport() { return impl_->TakeReport(); }
void DataPlane::BeginDrain() { impl_->BeginDrain(); }
void DataPlane::StopWhenIdle() { impl_->StopWhenIdle(); }
void DataPlane::StopNow() { impl_->StopNow(); }
bool DataPlane::Stopped() { return impl_->Stopped(); }

}  // namespace lichenlug::dataplane
