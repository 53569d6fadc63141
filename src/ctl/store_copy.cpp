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
    if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("cannot create a temporary folder");
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
  if (!fs::is_directory(folder)) return Failure(folder + " is not a folder; give the folder of the store");
  try {
    const TemporaryFolder copy;
    fs::copy(folder, copy.path(), fs::copy_options::recursive);
    OpenResult result = Open(copy.path().string());
    if (result.opened && result.created) {
      return Failure(
          folder +
          " contains no readable store; give another folder, or let the dispatcher create a new one");
    }
    return result;
  } catch (const std::exception& error) {
    return Failure(folder + " cannot be copied (" + error.what() +
                   "); free disk space and stop the dispatcher");
  }
}

}  // namespace lichenlug::ctl
