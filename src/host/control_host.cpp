#include "host/control_host.h"

#include <chrono>
#include <random>
#include <utility>

#include "host/memory_shares.h"

namespace lichenlug::host {

namespace {

Time WallClock() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since).count();
}

std::uint64_t RandomNumber() {
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32 | device();
}

}  // namespace

ControlHost::ControlHost(EventLoop* loop, const node::NodeSettings& settings,
                         dataplane::DataPlane* data_plane)
    : loop_(loop),
      settings_(settings),
      data_plane_(data_plane),
      wall_offset_(WallClock() - EventLoop::Now()),
      identity_{static_cast<std::uint64_t>(WallClock()), RandomNumber()},
      client_(loop_, settings_.name, settings_.platform_address),
      node_(this, settings_, identity_),
      http_server_(loop_),
      store_(loop_, settings_.store_folder) {
  data_plane_->OnNewlyUnserved([this] { loop_->Post([this] { node_.DemandHasChanged(); }); });
}

ControlHost::~ControlHost() { transport_.reset(); }

bool ControlHost::Start(std::string* error) {
  if (!Listen(error)) return false;
  loop_->OnIdle([this] { EndBatch(); });
  node_.Start();
  EndBatch();
  return true;
}

bool ControlHost::ListenHttp(std::string* error) {
  const MemoryShares shares = SharesOf(settings_);
  if (!settings_.ready_address.empty()) {
    const auto handle = [this](const node::ControlRequest&, const node::Respond& respond) {
      respond(node::PlainStatus(node_.is_ready() ? 200 : 503));
    };
    if (!http_server_.Listen(settings_.ready_address, shares.ready, handle, error)) return false;
  }
  if (!settings_.control_address.empty()) {
    const auto handle = [this](node::ControlRequest request, node::Respond respond) {
      node_.HandleControl(std::move(request), std::move(respond));
    };
    if (!http_server_.Listen(settings_.control_address, shares.control, handle, error)) return false;
  }
  return true;
}

bool ControlHost::Listen(std::string* error) {
  if (!ListenHttp(error)) return false;
  const MemoryShares shares = SharesOf(settings_);
  transport::Transport::Settings transport;
  transport.listen_address = settings_.internal_address;
  transport.sender_name = settings_.name;
  transport.sender_incarnation = identity_.incarnation;
  transport.max_unfinished_bytes = shares.unfinished_message_bytes;
  transport.max_incoming_connections = shares.internal_connections;
  transport_ = std::make_unique<transport::Transport>(
      loop_->base(), transport, [this](messages::Envelope envelope) { node_.Receive(std::move(envelope)); });
  if (!transport_->Listen(error)) return false;
  http_server_.Start();
  return true;
}

void ControlHost::EndBatch() {
  node_.Settle();
  loop_->SetTimer(node_.NextTimer(), [this] { node_.Tick(); });
}

void ControlHost::Send(const std::string& address, messages::Envelope envelope) {
  if (!transport_) return;
  envelope.set_sender_address(settings_.internal_address);
  transport_->Send(address, std::move(envelope));
}

void ControlHost::Forget(const std::string& address) {
  if (transport_) transport_->Forget(address);
}

void ControlHost::Call(const duties::HttpCall& call, CallDone done) { client_.Call(call, std::move(done)); }

void ControlHost::OpenStore(const std::string& new_replica_id,
                            std::function<void(node::StoreContents)> done) {
  store_.Open(new_replica_id, std::move(done));
}

void ControlHost::Write(std::string key, std::string value, std::function<void(bool written)> done) {
  store_.Write(std::move(key), std::move(value), std::move(done));
}

void ControlHost::Erase(std::string key) { store_.Erase(std::move(key)); }

void ControlHost::Install(std::shared_ptr<const routing::Snapshot> snapshot) {
  data_plane_->Install(std::move(snapshot));
}

}  // namespace lichenlug::host
