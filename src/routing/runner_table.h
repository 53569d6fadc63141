// The runners of one service as the decision module is told of them: what each holds, less what was found not
// to be there after all. Says what has changed, so that the module's list is patched and never sent whole.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "messages/generated/registry.pb.h"
#include "rookgw/brain.h"

namespace lichenlug::routing {

using Holding = std::uint64_t;  // hash of a model or of one of its adapters; 0: anything will do

Holding HoldingOf(std::string_view model, std::string_view adapter);

class RunnerTable {
 public:
  using Changes = std::vector<rookgw::ListedWorker>;

  explicit RunnerTable(std::string own_zone) : own_zone_(std::move(own_zone)) {}

  // All runners of the service there are now.
  void Update(const std::vector<const messages::RunnerRecord*>& records, Changes* changes);

  // The runner says that it doesn't hold it: not asked again before a newer record, or for a moment.
  void Withhold(Time now, const std::string& runner_id, Holding holding, Changes* changes);
  // The runner has rejected a request for what it says it holds: it is not asked for it for a moment, if
  // another ready runner holds it. Says whether an order for it must be under way, most likely its unload:
  // with so few of this dispatcher's requests the runner can't be full.
  bool NoteRejected(Time now, const std::string& runner_id, Holding holding, int live_dispatchers,
                    Changes* changes);
  void CountOpen(const std::string& runner_id, int change);  // attempts of this dispatcher
  // Another runner answers at its address: gone until a newer record.
  void MarkGone(const std::string& runner_id, Changes* changes);
  void Expire(Time now, Changes* changes);  // gives back what was withheld for long enough
  std::optional<Time> NextExpiry() const;

  bool AnyReady(Holding holding) const;                // a ready runner holds it
  std::string AddressOf(const std::string& id) const;  // empty: not known
  Changes All() const;                                 // for a module that starts

 private:
  struct Withheld {
    Holding holding = 0;
    Time until = 0;
    bool until_newer = true;  // or a newer record before
  };
  struct Runner {
    messages::RunnerRecord record;
    bool gone = false;  // until a record with a higher call count
    std::vector<Withheld> withheld;
    int open = 0;                 // attempts of this dispatcher
    rookgw::ListedWorker listed;  // as last told
  };

  rookgw::ListedWorker Describe(const Runner& runner) const;
  static bool Lists(const messages::RunnerRecord& record, Holding holding);
  void WithholdFor(Runner* runner, const Withheld& withheld, Changes* changes);
  void Publish(Runner* runner, Changes* changes);
  void CountHolder(const rookgw::ListedWorker& listed, int change);

  std::string own_zone_;
  std::map<std::string, Runner> runners_;
  std::unordered_map<Holding, int> ready_holders_;
};

}  // namespace lichenlug::routing
