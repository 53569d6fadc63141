// What the dispatchers have told of the demand they see, each by its newest report. Not a duty's state: it is
// lost with the process, and told anew within a second.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "messages/generated/duties.pb.h"

namespace lichenlug::duties {

class DemandReports {
 public:
  // Returns whether some model's requests can not be served at its teller. An older report than the one held
  // is left out; so is a further dispatcher beyond the bound.
  bool Merge(Time now, const messages::DemandReport& report);

  // Of the dispatchers heard of late; the others are forgotten.
  std::vector<messages::DemandReport> Recent(Time now);

 private:
  struct Held {
    messages::DemandReport report;
    Time heard_at = 0;
  };

  std::map<std::string, Held> reports_;  // by dispatcher
};

}  // namespace lichenlug::duties
