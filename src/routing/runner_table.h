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
  };
  struct Runner {
    messages::RunnerRecord record;
    bool gone = false;  // until a record with a higher call count
    std::vector<Withheld> withheld;
    rookgw::ListedWorker listed;  // as last told
  };

  rookgw::ListedWorker Describe(const Runner& runner) const;
  void Publish(Runner* runner, Changes* changes);
  void CountHolder(const rookgw::ListedWorker& listed, int change);

  std::string own_zone_;
  std::map<std::string, Runner> runners_;
  std::unordered_map<Holding, int> ready_holders_;
};

}  // namespace lichenlug::routing
