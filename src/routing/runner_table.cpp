#include "routing/runner_table.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "routing/zones.h"

namespace lichenlug::routing {
namespace {

using rookgw::ListedWorker;

constexpr Time kMissingWithholdTime = 1500 * kMillisecond;
constexpr Time kRejectedWithholdTime = 2 * kSecond;  // an unload first waits for the runs that use the model
constexpr Time kFullWithholdTime = 400 * kMillisecond;
constexpr double kColdSlotFraction = 0.6;  // of the slots are used while a runner is cold

ListedWorker::State StateOf(const messages::RunnerRecord& record, bool gone) {
  if (gone) return ListedWorker::State::kGone;
  if (record.state() == messages::RUNNER_READY) return ListedWorker::State::kServing;
  return record.state() == messages::RUNNER_DRAINING ? ListedWorker::State::kDraining
                                                     : ListedWorker::State::kGone;
}

// Records are merged by call count and state, so two records that agree in these are the same.
bool SameRecord(const messages::RunnerRecord& a, const messages::RunnerRecord& b) {
  return a.call_count() == b.call_count() && a.state() == b.state();
}

bool SameListing(const ListedWorker& a, const ListedWorker& b) {
  return a.state == b.state && a.zone == b.zone && a.weight == b.weight && a.slots == b.slots &&
         a.holds == b.holds;
}

}  // namespace

Holding HoldingOf(std::string_view model, std::string_view adapter) {
  if (model.empty()) return 0;
  std::string name(model);
  if (!adapter.empty()) name.append("/").append(adapter);
  return std::max<Holding>(HashText(name), 1);
}

// Both the list and the table are ordered by id, so a record that did not change is usually the next one.
void RunnerTable::Update(const RunnerList& records, std::string_view service, Changes* changes) {
  ++updates_;
  std::size_t listed = 0;
  const auto mark_listed = [&](Runner* runner) {
    if (std::exchange(runner->listed_in_update, updates_) != updates_) ++listed;
  };
  auto next = runners_.begin();
  for (const SharedRunnerRecord& record : records) {
    if (next != runners_.end() && next->second.record == record) {
      mark_listed(&next->second);
      ++next;
      continue;
    }
    if (record->service() != service) continue;
    auto [found, inserted] = runners_.try_emplace(record->runner_id());
    next = std::next(found);
    Runner& runner = found->second;
    mark_listed(&runner);
    if (inserted) {
      runner.listed.id = record->runner_id();
      runner.listed.state = ListedWorker::State::kGone;
    }
    if (!inserted && (record == runner.record || SameRecord(*record, *runner.record))) continue;
    if (!inserted && record->call_count() > runner.record->call_count()) {
      runner.gone = false;
      std::erase_if(runner.withheld,
                    [&](const Withheld& item) { return item.until_newer || !Lists(*record, item.holding); });
    }
    runner.record = record;
    Publish(&runner, changes);
  }
  if (listed != runners_.size()) RemoveUnlisted(changes);
}

void RunnerTable::RemoveUnlisted(Changes* changes) {
  for (auto it = runners_.begin(); it != runners_.end();) {
    if (it->second.listed_in_update == updates_) {
      ++it;
      continue;
    }
    it->second.gone = true;
    Publish(&it->second, changes);
    it = runners_.erase(it);
  }
}

void RunnerTable::Withhold(Time now, const std::string& runner_id, Holding holding, Changes* changes) {
  const auto found = runners_.find(runner_id);
  if (found == runners_.end() || holding == 0) return;
  WithholdFor(&found->second, {holding, now + kMissingWithholdTime}, changes);
}

bool RunnerTable::RecordRejection(Time now, const std::string& runner_id, Holding holding,
                                  int live_dispatchers, Changes* changes) {
  const auto found = runners_.find(runner_id);
  if (found == runners_.end() || holding == 0) return false;
  Runner& runner = found->second;
  const bool may_be_full = runner.open_attempts * std::max(1, live_dispatchers) >= runner.record->slots();
  const bool listed = std::ranges::binary_search(runner.listed.holds, holding);
  const bool other_holders = listed && ReadyHolders(holding) > 1;
  if (other_holders)
    WithholdFor(
        &runner,
        {holding, now + (may_be_full ? kFullWithholdTime : kRejectedWithholdTime), /*until_newer=*/false},
        changes);
  return other_holders && !may_be_full;
}

void RunnerTable::AddOpenAttempts(const std::string& runner_id, int change) {
  const auto found = runners_.find(runner_id);
  if (found != runners_.end())
    found->second.open_attempts = std::max(0, found->second.open_attempts + change);
}

void RunnerTable::WithholdFor(Runner* runner, const Withheld& withheld, Changes* changes) {
  std::erase_if(runner->withheld, [&](const Withheld& item) { return item.holding == withheld.holding; });
  runner->withheld.push_back(withheld);
  Publish(runner, changes);
}

void RunnerTable::MarkGone(const std::string& runner_id, Changes* changes) {
  const auto found = runners_.find(runner_id);
  if (found == runners_.end()) return;
  found->second.gone = true;
  Publish(&found->second, changes);
}

void RunnerTable::Expire(Time now, Changes* changes) {
  for (auto& [id, runner] : runners_) {
    const auto expired =
        std::erase_if(runner.withheld, [&](const Withheld& item) { return item.until <= now; });
    if (expired > 0) Publish(&runner, changes);
  }
}

std::optional<Time> RunnerTable::NextExpiry() const {
  std::optional<Time> next;
  for (const auto& [id, runner] : runners_)
    for (const Withheld& item : runner.withheld) next = std::min(next.value_or(item.until), item.until);
  return next;
}

bool RunnerTable::AnyReady(Holding holding) const { return ready_holders_.contains(holding); }

int RunnerTable::ReadyHolders(Holding holding) const {
  const auto found = ready_holders_.find(holding);
  return found == ready_holders_.end() ? 0 : found->second;
}

std::string RunnerTable::AddressOf(const std::string& id) const {
  const auto found = runners_.find(id);
  return found == runners_.end() ? std::string() : found->second.record->address();
}

RunnerTable::Changes RunnerTable::All() const {
  Changes all;
  for (const auto& [id, runner] : runners_) all.push_back(runner.listed);
  return all;
}

ListedWorker RunnerTable::Describe(const Runner& runner) const {
  const messages::RunnerRecord& record = *runner.record;
  ListedWorker listed;
  listed.id = runner.listed.id;
  listed.state = StateOf(record, runner.gone);
  listed.zone = record.zone() == own_zone_ ? kOwnZone : kOtherZones;
  listed.weight = std::max(1, record.slots());
  listed.slots = std::max(0, record.slots()) * (record.cold_ms() > 0 ? kColdSlotFraction : 1);
  for (const messages::HeldModel& model : record.models()) {
    listed.holds.push_back(HoldingOf(model.name(), {}));
    for (const std::string& adapter : model.adapters())
      listed.holds.push_back(HoldingOf(model.name(), adapter));
  }
  for (const Withheld& item : runner.withheld) std::erase(listed.holds, item.holding);
  std::ranges::sort(listed.holds);
  return listed;
}

bool RunnerTable::Lists(const messages::RunnerRecord& record, Holding holding) {
  return std::ranges::any_of(record.models(), [holding](const messages::HeldModel& model) {
    return HoldingOf(model.name(), {}) == holding ||
           std::ranges::any_of(model.adapters(), [&](const std::string& adapter) {
             return HoldingOf(model.name(), adapter) == holding;
           });
  });
}

void RunnerTable::Publish(Runner* runner, Changes* changes) {
  ListedWorker listed = Describe(*runner);
  if (SameListing(listed, runner->listed)) return;
  UpdateHolderCount(runner->listed, -1);
  UpdateHolderCount(listed, +1);
  runner->listed = std::move(listed);
  changes->push_back(runner->listed);
}

void RunnerTable::UpdateHolderCount(const ListedWorker& listed, int change) {
  if (listed.state != ListedWorker::State::kServing) return;
  const auto count = [&](Holding holding) {
    if ((ready_holders_[holding] += change) == 0) ready_holders_.erase(holding);
  };
  count(0);
  for (Holding holding : listed.holds) count(holding);
}

}  // namespace lichenlug::routing
