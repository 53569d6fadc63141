#include "routing/decisions.h"

#include <algorithm>
#include <map>
#include <utility>

#include "routing/priority_scale.h"
#include "routing/request_flow.h"
#include "routing/service_state.h"

namespace lichenlug::routing {

class Decisions::Impl {
 public:
  Impl(Time now, std::uint64_t seed) : now_(now), flow_(now, seed) {}

  // Clamps the caller's time so that the state here never sees it go backwards.
  Time AdvanceTo(Time now) { return now_ = std::max(now_, now); }

  void Install(std::shared_ptr<const Snapshot> snapshot, std::vector<Decision>* decisions) {
    const bool configuration_changed = !snapshot_ || snapshot_->configuration != snapshot->configuration;
    const bool runners_changed = !snapshot_ || snapshot_->runners != snapshot->runners;
    snapshot_ = std::move(snapshot);
    flow_.SetBounds(snapshot_->bounds);
    flow_.SetRunnersKnown(snapshot_->runners_known);
    flow_.SetMechanisms(snapshot_->mechanisms);
    flow_.dispatchers().Set(now_, snapshot_->bounds.retry_window, snapshot_->live_dispatchers);
    for (auto& [name, service] : services_)
      if (service->scheduler) service->scheduler->SetLiveDispatchers(snapshot_->live_dispatchers);
    if (configuration_changed) Configure();
    if (configuration_changed || runners_changed) UpdateRunners(decisions);
    if (configuration_changed) DropUnused();
  }

  void Arrived(const Arrival& arrival, std::vector<Decision>* decisions) {
    const auto found = services_.find(arrival.service);
    const bool known = found != services_.end() && found->second->configured;
    if (known) ExpireWithheld(found->second.get(), decisions);  // no timer runs while there are no requests
    const int priority = arrival.late ? PriorityScale::kLate : priorities_.PriorityOf(arrival.precedence);
    flow_.Arrived(now_, arrival, priority, known ? found->second.get() : nullptr, decisions);
  }

  void Tick(std::vector<Decision>* decisions) {
    for (auto& [name, service] : services_) {
      ExpireWithheld(service.get(), decisions);
      flow_.ProcessHeldRequests(now_, service.get(), decisions);
      flow_.FireTimers(now_, service.get(), decisions);
    }
  }

  std::optional<Time> NextTimer() const {
    std::optional<Time> next;
    const auto consider = [&next](std::optional<Time> at) {
      if (at && (!next || *at < *next)) next = at;
    };
    for (const auto& [name, service] : services_) {
      const bool busy = !service->held.empty() || (service->scheduler && !service->scheduler->idle());
      if (busy) consider(service->runners.NextExpiry());
      consider(flow_.NextHoldExpiry(*service));
      if (service->scheduler) consider(service->scheduler->NextTimer());
    }
    return next;
  }

  RequestFlow& flow() { return flow_; }
  const RequestFlow& flow() const { return flow_; }

 private:
  void ExpireWithheld(ServiceState* service, std::vector<Decision>* decisions) {
    RunnerTable::Changes changes;
    service->runners.Expire(now_, &changes);
    flow_.ApplyRunnerChanges(now_, service, changes, decisions);
  }

  void Configure() {
    for (auto& [name, service] : services_) service->configured = false;
    if (!snapshot_->configuration) return;
    priorities_ = PriorityScale(*snapshot_->configuration);
    for (const messages::Service& service : snapshot_->configuration->services()) {
      auto& state = services_[service.name()];
      if (!state)
        state =
            std::make_unique<ServiceState>(service.name(), snapshot_->zone, snapshot_->bounds.retry_window);
      state->Configure(service);
    }
  }

  void UpdateRunners(std::vector<Decision>* decisions) {
    static const RunnerList kNoRunners;
    const RunnerList& records = snapshot_->runners ? *snapshot_->runners : kNoRunners;
    for (auto& [name, service] : services_) {
      RunnerTable::Changes changes;
      service->runners.Update(records, name, &changes);
      flow_.ApplyRunnerChanges(now_, service.get(), changes, decisions);
      flow_.ProcessHeldRequests(now_, service.get(), decisions);
    }
  }

  // A service that was removed from the configuration is kept until its last request has ended.
  void DropUnused() {
    std::erase_if(services_, [this](const auto& item) {
      return !item.second->configured && !flow_.HasRequestsOf(*item.second);
    });
  }

  Time now_;
  std::shared_ptr<const Snapshot> snapshot_;
  PriorityScale priorities_;
  std::map<std::string, std::unique_ptr<ServiceState>, std::less<>> services_;
  RequestFlow flow_;
};

Decisions::Decisions(Time now, std::uint64_t seed) : impl_(std::make_unique<Impl>(now, seed)) {}
Decisions::~Decisions() = default;

void Decisions::Install(Time now, std::shared_ptr<const Snapshot> snapshot,
                        std::vector<Decision>* decisions) {
  impl_->AdvanceTo(now);
  impl_->Install(std::move(snapshot), decisions);
}

void Decisions::Arrived(Time now, const Arrival& arrival, std::vector<Decision>* decisions) {
  impl_->AdvanceTo(now);
  impl_->Arrived(arrival, decisions);
}

void Decisions::FirstEvent(Time now, RequestNumber request, int attempt) {
  impl_->flow().FirstEvent(impl_->AdvanceTo(now), request, attempt);
}

void Decisions::AttemptEnded(Time now, RequestNumber request, int attempt, AttemptOutcome outcome, bool final,
                             std::vector<Decision>* decisions) {
  impl_->flow().AttemptEnded(impl_->AdvanceTo(now), request, attempt, outcome, final, decisions);
}

void Decisions::Gone(Time now, RequestNumber request, std::vector<Decision>* decisions) {
  impl_->flow().Gone(impl_->AdvanceTo(now), request, decisions);
}

bool Decisions::MayFailOver(Time now, RequestNumber request) const {
  return impl_->flow().MayFailOver(now, request);
}

void Decisions::Tick(Time now, std::vector<Decision>* decisions) {
  impl_->AdvanceTo(now);
  impl_->Tick(decisions);
}

std::optional<Time> Decisions::NextTimer() const { return impl_->NextTimer(); }

std::vector<Decisions::Demand> Decisions::RecentDemand(Time now) const {
  return impl_->flow().demand().Recent(now);
}

bool Decisions::TakeNewlyUnserved() { return impl_->flow().TakeNewlyUnserved(); }

}  // namespace lichenlug::routing
