// Connects the control node of a process to its environment: event loop, internal transport, HTTP, disk and
// data plane. Forwards input to the node and carries out the node's requests; contains no decisions.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "dataplane/data_plane.h"
#include "host/event_loop.h"
#include "host/http_client.h"
#include "host/http_server.h"
#include "host/posted_store.h"
#include "node/control_node.h"
#include "node/node_host.h"
#include "node/node_settings.h"
#include "transport/transport.h"

namespace lichenlug::host {

class ControlHost : public node::NodeHost {
 public:
  // `loop` and `data_plane` outlive it.
  ControlHost(EventLoop* loop, const node::NodeSettings& settings, dataplane::DataPlane* data_plane);
  ~ControlHost() override;

  bool Start(std::string* error);  // `error`: one line that names the remedy
  void ReloadSettings(const node::NodeSettings& settings) { node_.ReloadSettings(settings); }
  void BeginDrain() { node_.BeginDrain(); }  // on SIGTERM; the loop stops when the drain is complete

  Time Now() const override { return EventLoop::Now(); }
  Time WallNow() const override { return Now() + wall_offset_; }
  void Post(std::function<void()> task) override { loop_->Post(std::move(task)); }
  void Send(const std::string& address, messages::Envelope envelope) override;
  void Forget(const std::string& address) override;
  void Call(const duties::HttpCall& call, CallDone done) override;
  void OpenStore(const std::string& new_replica_id, std::function<void(node::StoreContents)> done) override;
  void Write(std::string key, std::string value, std::function<void(bool written)> done) override;
  void Erase(std::string key) override;
  void Install(std::shared_ptr<const routing::Snapshot> snapshot) override;
  dataplane::Report TakeReport() override { return data_plane_->TakeReport(); }
  void DrainRequests() override { data_plane_->BeginDrain(); }
  void StopRequestsWhenIdle() override { data_plane_->StopWhenIdle(); }
  void StopRequestsNow() override { data_plane_->StopNow(); }
  bool RequestsAreStopped() override { return data_plane_->Stopped(); }
  void Exit() override { loop_->Stop(); }

 private:
  bool Listen(std::string* error);
  bool ListenHttp(std::string* error);
  void EndBatch();  // after each batch of events: settles the node and sets the timer

  EventLoop* loop_;
  node::NodeSettings settings_;
  dataplane::DataPlane* data_plane_;
  Time wall_offset_;  // Unix time minus the steady clock, at process start
  node::NodeIdentity identity_;
  HttpClient client_;
  node::ControlNode node_;
  HttpServer http_server_;
  std::unique_ptr<transport::Transport> transport_;
  PostedStore store_;  // last member: its thread ends before the objects that its callbacks use
};

}  // namespace lichenlug::host
