// The runners of one service as reported to the decision module: the models and adapters each one holds,
// without those that a runner turned out not to have. Reports changes only, so that the module's list is
// patched instead of being sent as a whole.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "cluster/runner_list.h"
#include "messages/generated/registry.pb.h"
#include "rookgw/brain.h"

namespace lichenlug::routing {

using Holding = std::uint64_t;  // hash of a model or of one of its adapters; 0: any runner will do

Holding HoldingOf(std::string_view model, std::string_view adapter);

class RunnerTable {
 public:
  using Changes = std::vector<rookgw::ListedWorker>;

  explicit RunnerTable(std::string own_zone) : own_zone_(std::move(own_zone)) {}

  // Replaces the records by those of `service` in the list of all current runners.
  void Update(const RunnerList& records, std::string_view service, Changes* changes);

  // The runner reported that it does not hold it: not used for it until a newer record or a short time later.
  void Withhold(Time now, const std::string& runner_id, Holding holding, Changes* changes);
  // The runner has rejected a request for something that it claims to hold: it is not used for it for a short
  // time, if another ready runner holds it. Returns whether an order for it must be under way, most likely an
  // unload: with so few open requests of this dispatcher the runner can't be full.
  bool RecordRejection(Time now, const std::string& runner_id, Holding holding, int live_dispatchers,
                       Changes* changes);
  void AddOpenAttempts(const std::string& runner_id, int change);  // attempts of this dispatcher
  // Another runner answers at its address: treated as gone until a newer record.
  void MarkGone(const std::string& runner_id, Changes* changes);
  void Expire(Time now, Changes* changes);  // ends expired withholdings
  std::optional<Time> NextExpiry() const;

  bool AnyReady(Holding holding) const;                // a ready runner holds it
  int ReadyHolders(Holding holding) const;             // the number of ready runners that hold it
  std::string AddressOf(const std::string& id) const;  // empty: not known
  Changes All() const;                                 // initial list for a new module

 private:
  struct Withheld {
    Holding holding = 0;
    Time until = 0;
    bool until_newer = true;  // a newer record ends it early
  };
  struct Runner {
    SharedRunnerRecord record;
    std::uint64_t listed_in_update = 0;  // the number of the last update that contained it
    bool gone = false;                   // until a record with a higher call count
    std::vector<Withheld> withheld;
    int open_attempts = 0;        // attempts of this dispatcher
    rookgw::ListedWorker listed;  // as last reported to the module
  };

  rookgw::ListedWorker Describe(const Runner& runner) const;
  static bool Lists(const messages::RunnerRecord& record, Holding holding);
  void WithholdFor(Runner* runner, const Withheld& withheld, Changes* changes);
  void Publish(Runner* runner, Changes* changes);
  void RemoveUnlisted(Changes* changes);  // those that the last update did not contain
  void UpdateHolderCount(const rookgw::ListedWorker& listed, int change);

  std::string own_zone_;
  std::uint64_t updates_ = 0;
  std::map<std::string, Runner> runners_;
  std::unordered_map<Holding, int> ready_holders_;
};

}  // namespace lichenlug::routing
