// Reads a store from a copy of its folder. Opening a database replays its log and may move unreadable files
// aside, and an inspection must not modify the store itself.
#pragma once

#include <string>

#include "storage/record_store.h"

namespace lichenlug::ctl {

// If there is no readable store in the folder, the result is not opened and has an error.
storage::RecordStore::OpenResult ReadStoreCopy(const std::string& folder);

}  // namespace lichenlug::ctl
