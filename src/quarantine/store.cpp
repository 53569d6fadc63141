#include "quarantine/store.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>

namespace lichenlug {
namespace {

constexpr std::size_t kMaxFileBytes = 64u << 20;

std::string SnapshotPath(const std::string& folder) { return folder + "/quarantine.snapshot"; }

// Closes the file descriptor on destruction.
struct Descriptor {
  int number;
  ~Descriptor() {
    if (number >= 0) ::close(number);
  }
};

StoreError Failed(const char* step, const std::string& path) {
  return {std::error_code(errno, std::system_category()), step, path};
}

}  // namespace

std::string StoreError::Line() const {
  std::string line = "quarantine: " + step + " " + path + ": " + cause.message() + "; ";
  if (cause == std::errc::no_space_on_device)
    return line + "free some space; tickets are kept in memory meanwhile";
  if (cause == std::errc::permission_denied || cause == std::errc::read_only_file_system)
    return line + "grant the program's user write access";
  if (cause == std::errc::no_such_file_or_directory || cause == std::errc::not_a_directory)
    return line + "create the folder or configure another one";
  return line + "check the disk; tickets are kept in memory and by the other dispatchers meanwhile";
}

std::optional<StoreError> SaveFile(const std::string& folder, const std::string& bytes) {
  const std::string path = SnapshotPath(folder), temporary = path + ".new";
  {
    const Descriptor file{::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600)};
    if (file.number < 0) return Failed("open", temporary);
    for (std::size_t done = 0; done < bytes.size();) {
      const ssize_t wrote = ::write(file.number, bytes.data() + done, bytes.size() - done);
      if (wrote < 0 && errno == EINTR) continue;
      if (wrote < 0) return Failed("write", temporary);
      done += static_cast<std::size_t>(wrote);
    }
    if (::fsync(file.number) != 0) return Failed("sync", temporary);
  }
  if (std::rename(temporary.c_str(), path.c_str()) != 0) return Failed("rename to", path);
  const Descriptor directory{::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)};
  if (directory.number < 0) return Failed("open", folder);
  if (::fsync(directory.number) != 0) return Failed("sync", folder);
  return std::nullopt;
}

StoredBytes LoadFile(const std::string& folder) {
  const std::string path = SnapshotPath(folder);
  const Descriptor file{::open(path.c_str(), O_RDONLY | O_CLOEXEC)};
  if (file.number < 0) {
    struct stat is {};
    const bool first_start = errno == ENOENT && ::stat(folder.c_str(), &is) == 0 && S_ISDIR(is.st_mode);
    if (first_start) return {};
    errno = errno == 0 ? ENOENT : errno;
    return {{}, Failed("open", path)};
  }
  StoredBytes read;
  std::array<char, 65536> buffer;
  while (read.bytes.size() <= kMaxFileBytes) {
    const ssize_t got = ::read(file.number, buffer.data(), buffer.size());
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) return {{}, Failed("read", path)};
    if (got == 0) return read;
    read.bytes.append(buffer.data(), static_cast<std::size_t>(got));
  }
  return {{}, StoreError{std::make_error_code(std::errc::file_too_large), "read", path}};
}

}  // namespace lichenlug
