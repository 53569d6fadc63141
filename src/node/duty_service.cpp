#include "node/duty_service.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "duties/ownership_changes.h"

namespace lichenlug::node {

namespace {

constexpr Time kActInterval = 250 * kMillisecond;
constexpr Time kMinCallTimeout = kMillisecond;

duties::OwnershipSettings OwnershipSettingsFor(const std::string& register_name, const NodeSettings& settings,
                                               const NodeIdentity& identity) {
  duties::OwnershipSettings ownership_settings;
  ownership_settings.register_name = register_name;
  ownership_settings.self_name = settings.name;
  ownership_settings.self_incarnation = identity.incarnation;
  ownership_settings.lease = settings.bounds.lease;
  ownership_settings.seed = identity.seed;
  return ownership_settings;
}

}  // namespace

DutyService::DutyService(NodeHost* host, const NodeSettings& settings, const NodeIdentity& identity,
                         RegisterService* registers)
    : host_(host),
      settings_(settings),
      identity_(identity),
      registers_(registers),
      usage_({settings.bounds.report_window, settings.bounds.usage_late}),
      placements_(settings, identity.seed) {}

DutyService::~DutyService() = default;

duties::Ownership& DutyService::OwnershipOf(const std::string& register_name) {
  auto& ownership = ownerships_[register_name];
  if (!ownership) {
    auto ownership_settings = OwnershipSettingsFor(register_name, settings_, identity_);
    ownership_settings.recent_loads = [this, register_name](Time now) {
      return placements_.RecentLoads(now, register_name, OwnershipOf(register_name).epoch(), resigned_);
    };
    ownership = std::make_unique<duties::Ownership>(std::move(ownership_settings));
  }
  return *ownership;
}

bool DutyService::IsWanted(const std::string& register_name) const {
  if (resigned_ || !configuration_) return false;
  if (register_name == UsageRegister()) return settings_.duty_usage;
  for (const messages::Service& service : configuration_->services()) {
    if (service.has_engine() && ShardRegister(service.name()) == register_name) return true;
  }
  return false;
}

void DutyService::SetMembers(Time now, std::vector<Member> live) {
  live_ = std::move(live);
  HandOverUsage();
  for (const std::string& name : AllDutyRegisters()) {
    if (IsWanted(name) || ownerships_.count(name) > 0)
      OwnershipOf(name).SetMembers(now, live_, IsWanted(name));
  }
}

void DutyService::HandOverUsage() {
  const std::vector<std::string> stores = usage_handover_.NewStores(live_, settings_.name);
  if (stores.empty()) return;
  for (messages::UsageReport& report : duties::ReportsOfEndedProcesses(usage_.Reports(), live_)) {
    messages::Envelope envelope;
    *envelope.mutable_duties()->mutable_usage() = std::move(report);
    for (const std::string& address : stores) host_->Send(address, envelope);
  }
}

void DutyService::SetConfiguration(std::shared_ptr<const messages::Configuration> configuration) {
  configuration_ = std::move(configuration);
}

void DutyService::SetRunners(std::shared_ptr<const RunnerList> runners) { runners_ = std::move(runners); }

void DutyService::SendToStores(const messages::DutiesMessage& message) {
  for (const Member& member : live_) {
    if (member.replica_id.empty() || member.name == settings_.name) continue;
    messages::Envelope envelope;
    *envelope.mutable_duties() = message;
    host_->Send(member.address, std::move(envelope));
  }
}

void DutyService::Report(Time now, Time wall_now, const dataplane::Report& report) {
  messages::DutiesMessage usage;
  usage.mutable_usage()->set_name(settings_.name);
  usage.mutable_usage()->set_incarnation(identity_.incarnation);
  for (const auto& [window, counts] : report.usage) {
    messages::WindowCount* count = usage.mutable_usage()->add_windows();
    count->set_window(window);
    for (const auto& [tenant, number] : counts) {
      messages::TenantCount* tenant_count = count->add_counts();
      tenant_count->set_tenant(tenant);
      tenant_count->set_count(number);
    }
  }
  usage_.Merge(wall_now, usage.usage());
  messages::Envelope envelope;
  *envelope.mutable_duties() = std::move(usage);
  const bool has_store = !settings_.store_folder.empty();
  for (const std::string& address : duties::UsageReceivers(live_, settings_.name, has_store))
    host_->Send(address, envelope);

  messages::DutiesMessage demand;
  demand.mutable_demand()->set_name(settings_.name);
  demand.mutable_demand()->set_incarnation(identity_.incarnation);
  demand.mutable_demand()->set_number(++demand_number_);
  for (const routing::Decisions::Demand& item : report.demand) {
    messages::ModelDemand* model = demand.mutable_demand()->add_models();
    model->set_service(item.service);
    model->set_model(item.model);
    model->set_adapter(item.adapter);
    model->set_arrivals_per_s(item.arrivals_per_s);
    model->set_running(item.running);
    model->set_unserved(item.unserved);
  }
  MergeDemand(now, demand.demand());
  SendToStores(demand);
}

void DutyService::Receive(Time wall_now, const messages::DutiesMessage& message) {
  if (message.has_usage()) usage_.Merge(wall_now, message.usage());
  if (message.has_demand()) MergeDemand(host_->Now(), message.demand());
}

void DutyService::MergeDemand(Time now, const messages::DemandReport& report) {
  const bool lacks_runners = demand_.Merge(now, report);
  if (lacks_runners) next_act_ = std::min(next_act_, now);
}

void DutyService::Execute(const std::string& register_name, duties::OwnershipOutput output) {
  for (duties::RegisterOperation& operation : output.operations) {
    registers_->Submit(operation.register_name, std::move(operation.change), operation.deadline,
                       [this, register_name, tag = operation.tag](const consensus::Completion& completion) {
                         const bool is_answered = completion.outcome == consensus::Outcome::kChosen ||
                                                  completion.outcome == consensus::Outcome::kKept;
                         LOG_IF_EVERY_N(WARNING, !is_answered, 10)
                             << register_name << ": no majority of its replicas answered in time";
                         duties::OwnershipOutput next;
                         OwnershipOf(register_name).Completed(host_->Now(), tag, completion, &next);
                         Execute(register_name, std::move(next));
                       });
  }
  if (!output.changed) return;
  const duties::Ownership& ownership = OwnershipOf(register_name);
  LOG(INFO) << register_name << ": owner " << ownership.state().owner() << ", epoch "
            << ownership.state().epoch() << (ownership.Holds(host_->Now()) ? ", held here" : "");
}

void DutyService::OnAcceptRequest(Time now, const std::string& register_name, const std::string& payload) {
  const auto ownership = ownerships_.find(register_name);
  if (ownership == ownerships_.end()) return;
  if (const auto state = duties::ReadState(payload)) ownership->second->Accepting(now, *state);
}

void DutyService::Tick(Time now, Time wall_now) {
  for (auto& [name, ownership] : ownerships_) {
    duties::OwnershipOutput output;
    ownership->Tick(now, &output);
    Execute(name, std::move(output));
  }
  if (now < next_act_) return;
  next_act_ = now + kActInterval;
  if (resigned_) return;
  ActOnUsage(now, wall_now);
  ActOnPlacement(now);
  LogPlacementNotices();
  ScheduleActBy(placements_.NextTimer());
}

std::optional<Time> DutyService::NextTimer() const {
  Time next = next_act_;
  for (const auto& [name, ownership] : ownerships_) {
    if (const auto timer = ownership->NextTimer()) next = std::min(next, *timer);
  }
  return next;
}

void DutyService::ActOnUsage(Time now, Time wall_now) {
  const auto found = ownerships_.find(UsageRegister());
  if (found == ownerships_.end() || !found->second->Holds(now)) return;
  duties::UsageDuty::Output output;
  usage_.Act(now, wall_now, found->second->epoch(), found->second->state(), &output);
  ExecuteUsage(std::move(output));
}

// The call times out before another dispatcher can become owner and act in place of this one.
void DutyService::CallAsOwner(const std::string& register_name, duties::HttpCall call,
                              NodeHost::CallDone done) {
  if (const std::optional<Time> end = OwnershipOf(register_name).CallDeadline()) {
    const Time left = std::max(*end - host_->Now(), kMinCallTimeout);
    call.timeout = std::min(call.timeout, left);
  }
  host_->Call(call, std::move(done));
}

void DutyService::ExecuteUsage(duties::UsageDuty::Output output) {
  for (const messages::WindowCount& tally : output.choose) {
    duties::OwnershipOutput chosen;
    OwnershipOf(UsageRegister()).ChooseTally(host_->Now(), tally, &chosen);
    Execute(UsageRegister(), std::move(chosen));
  }
  for (const duties::HttpCall& call : output.calls) {
    CallAsOwner(UsageRegister(), call, [this, tag = call.tag](const duties::HttpResult& result) {
      duties::UsageDuty::Output next;
      usage_.Completed(host_->Now(), tag, result, &next);
      ExecuteUsage(std::move(next));
    });
  }
}

void DutyService::ActOnPlacement(Time now) {
  if (!configuration_ || !runners_) return;
  ServicePlacements::Facts facts;
  facts.configuration = configuration_.get();
  facts.runners = runners_.get();
  facts.ownership_of = [this](const std::string& service) {
    const auto found = ownerships_.find(ShardRegister(service));
    return found != ownerships_.end() ? found->second.get() : nullptr;
  };
  facts.demand = [this, now] { return demand_.Recent(now); };
  for (ServicePlacements::Call& call : placements_.Act(now, facts)) {
    const auto done = [this, service = call.service, tag = call.call.tag](const duties::HttpResult& result) {
      placements_.Completed(host_->Now(), service, tag, result);
      ScheduleActBy(placements_.NextTimer());
    };
    CallAsOwner(ShardRegister(call.service), std::move(call.call), done);
  }
}

void DutyService::LogPlacementNotices() {
  for (const std::string& notice : placements_.TakeNotices()) LOG(INFO) << "placement: " << notice;
}

void DutyService::ScheduleActBy(std::optional<Time> time) {
  if (time) next_act_ = std::min(next_act_, *time);
}

void DutyService::Resign(Time now) {
  resigned_ = true;
  for (auto& [name, ownership] : ownerships_) {
    duties::OwnershipOutput output;
    ownership->Resign(now, &output);
    Execute(name, std::move(output));
  }
}

std::vector<DutyService::OwnershipStatus> DutyService::OwnershipStatuses(Time now) const {
  std::vector<OwnershipStatus> ownership_statuses;
  for (const auto& [name, ownership] : ownerships_)
    ownership_statuses.push_back(
        {name, ownership->state().owner(), ownership->state().epoch(), ownership->Holds(now)});
  return ownership_statuses;
}

}  // namespace lichenlug::node
