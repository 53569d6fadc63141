#include "ctl/store_copy.h"

#include <stdlib.h>

#include <filesystem>
#include <future>
#include <stdexcept>
#include <utility>

namespace lichenlug::ctl {
namespace {

namespace fs = std::filesystem;
using OpenResult = storage::RecordStore::OpenResult;

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern = (fs::temp_directory_path() / "lichenlugctl-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no temporary folder can be made");
    path_ = pattern;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    fs::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const fs::path& path() const { return path_; }

 private:
  fs::path path_;
};

OpenResult Open(const std::string& folder) {
  storage::RecordStore store(folder, "");
  std::promise<OpenResult> opened;
  store.Open([&](OpenResult result) { opened.set_value(std::move(result)); });
  return opened.get_future().get();
}

OpenResult Failure(const std::string& error) {
  OpenResult result;
  result.error = error;
  return result;
}

}  // namespace

OpenResult ReadStoreCopy(const std::string& folder) {
  if (!fs::is_directory(folder)) return Failure(folder + " is no folder: give the store's");
  try {
    const TemporaryFolder copy;
    fs::copy(folder, copy.path(), fs::copy_options::recursive);
    OpenResult result = Open(copy.path().string());
    if (result.opened && result.created) {
      return Failure(folder +
                     " holds no store that can be read: give another, or let the dispatcher make a new one");
    }
    return result;
  } catch (const std::exception& error) {
    return Failure(folder + " can't be copied (" + error.what() + "): make room and stop the dispatcher");
  }
}

}  // namespace lichenlug::ctl
