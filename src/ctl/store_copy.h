// A store read from a copy of its folder: opening a database replays its log and may set aside what can't be
// read, neither of which a look from outside should do to the store itself.
#pragma once

#include <string>

#include "storage/record_store.h"

namespace lichenlug::ctl {

// Not opened, with an error, where there is no store or it can't be read as one.
storage::RecordStore::OpenResult ReadStoreCopy(const std::string& folder);

}  // namespace lichenlug::ctl
