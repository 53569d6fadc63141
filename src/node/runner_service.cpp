#include "node/runner_service.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "node/component_settings.h"
#include "registry/end_records.h"

namespace lichenlug::node {

RunnerService::RunnerService(NodeHost* host, const NodeSettings& settings, const NodeIdentity& identity,
                             RegisterService* registers, RunnersChanged runners_changed)
    : host_(host),
      registry_(RegistrySettingsFor(settings, identity.seed)),
      api_(host, settings.internal_address, &registry_, registers,
           [this](registry::RegistryOutput output) { Execute(std::move(output)); }),
      runners_changed_(std::move(runners_changed)),
      runners_(std::make_shared<RunnerList>()) {}

void RunnerService::RestoreEnds(RegisterService::StoreRecords* records) {
  const registry::StoredEnds stored = registry::ExtractEnds(records, host_->WallNow());
  if (!stored.ends.empty())
    LOG(INFO) << "runners: " << stored.ends.size() << " announced ends are known from the store";
  for (const std::string& key : stored.unreadable_keys)
    LOG(ERROR) << "store: the record " << key << " can't be read and is ignored";
  registry::RegistryOutput output;
  registry_.StoreOpened(host_->Now(), stored.ends, &output);
  Execute(std::move(output));
}

void RunnerService::Receive(const std::string& from_address, const messages::RegistryMessage& message) {
  const Time now = host_->Now();
  registry::RegistryOutput output;
  registry_.Receive(now, from_address, message, &output);
  Execute(std::move(output));
  api_.CheckEnds(now);
}

void RunnerService::HandleCall(const std::string& runner_id, const ControlRequest& request, Respond respond) {
  api_.Handle(runner_id, request, std::move(respond));
}

void RunnerService::SetMembers(Time now, const std::vector<Member>& others) {
  registry::RegistryOutput output;
  registry_.SetMembers(now, others, &output);
  Execute(std::move(output));
}

void RunnerService::Tick(Time now) {
  const auto due = [now](const std::optional<Time>& timer) { return timer && *timer <= now; };
  if (due(registry_.NextTimer())) {
    registry::RegistryOutput output;
    registry_.Tick(now, &output);
    Execute(std::move(output));
  }
  if (due(api_.NextTimer())) api_.CheckEnds(now);
}

std::optional<Time> RunnerService::NextTimer() const {
  const std::optional<Time> registry = registry_.NextTimer(), api = api_.NextTimer();
  if (!registry || !api) return registry ? registry : api;
  return std::min(*registry, *api);
}

void RunnerService::Execute(registry::RegistryOutput output) {
  for (auto& send : output.sends) {
    messages::Envelope envelope;
    *envelope.mutable_registry() = std::move(send.message);
    host_->Send(send.address, std::move(envelope));
  }
  for (registry::EndWrite& write : output.writes) Execute(std::move(write));
  if (!output.changed) return;
  runners_ = std::make_shared<const RunnerList>(registry_.Runners());
  runners_changed_(runners_);
}

void RunnerService::Execute(registry::EndWrite write) {
  const std::string key = registry::EndKey(write.runner_id);
  if (!write.record) return host_->Erase(key);
  const std::string value = registry::EndValue(*write.record, host_->WallNow());
  host_->Write(key, value, [this, token = write.token](bool written) {
    const Time now = host_->Now();
    registry::RegistryOutput output;
    registry_.WriteDone(now, token, written, &output);
    Execute(std::move(output));
    api_.CheckEnds(now);
  });
}

}  // namespace lichenlug::node
