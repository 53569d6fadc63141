// The demand observed by each dispatcher, from its latest report. Not persistent: it is lost with the
// process, and reported again within a second.
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
  // Returns whether the reporting dispatcher can't serve the requests for some model. Ignores reports older
  // than the stored one, and reports of new dispatchers once the maximum is reached.
  bool Merge(Time now, const messages::DemandReport& report);

  // Returns the recent reports and removes expired ones.
  std::vector<messages::DemandReport> Recent(Time now);

 private:
  struct StoredReport {
    messages::DemandReport report;
    Time received_at = 0;
  };

  std::map<std::string, StoredReport> reports_;  // by dispatcher
};

}  // namespace lichenlug::duties
