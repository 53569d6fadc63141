// RecordStore on a real folder: acknowledged records survive reopening, and damage is reported, not thrown.
#include "storage/record_store.h"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <future>
#include <map>

namespace lichenlug::storage {
namespace {

namespace fs = std::filesystem;

class Folder {
 public:
  Folder() {
    std::string pattern = (fs::temp_directory_path() / "record_store_test.XXXXXX").string();
    path_ = ::mkdtemp(pattern.data());
  }
  ~Folder() { fs::remove_all(path_); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  std::string path() const { return path_.string(); }
  fs::path database() const { return path_ / "records"; }

  std::vector<fs::path> Files(const std::string& extension) const {
    std::vector<fs::path> files;
    for (const auto& entry : fs::directory_iterator(database())) {
      if (entry.path().extension() == extension) files.push_back(entry.path());
    }
    return files;
  }

 private:
  fs::path path_;
};

RecordStore::OpenResult Open(RecordStore* store) {
  std::promise<RecordStore::OpenResult> promise;
  store->Open([&](RecordStore::OpenResult result) { promise.set_value(std::move(result)); });
  return promise.get_future().get();
}

bool Write(RecordStore* store, const std::string& key, const std::string& value) {
  std::promise<bool> promise;
  store->Write(key, value, [&](bool written) { promise.set_value(written); });
  return promise.get_future().get();
}

std::map<std::string, std::string> Records(const RecordStore::OpenResult& result) {
  return {result.records.begin(), result.records.end()};
}

// Opens and closes a store.
RecordStore::OpenResult OpenOnce(const Folder& folder, const std::string& new_replica_id) {
  RecordStore store(folder.path(), new_replica_id);
  return Open(&store);
}

TEST_CASE("a new store gets the given identity and keeps it") {
  Folder folder;
  const auto first = OpenOnce(folder, "founder:a");
  CHECK(first.opened);
  CHECK(first.created);
  CHECK(first.replica_id == "founder:a");
  CHECK(first.records.empty());
  const auto second = OpenOnce(folder, "other");
  CHECK(second.opened);
  CHECK_FALSE(second.created);
  CHECK(second.replica_id == "founder:a");
}

TEST_CASE("acknowledged records survive reopening") {
  Folder folder;
  {
    RecordStore store(folder.path(), "a");
    REQUIRE(Open(&store).opened);
    CHECK(Write(&store, "promise/x", "1"));
    CHECK(Write(&store, "identity", "a record, not the identity"));
    CHECK(Write(&store, "promise/x", "2"));
    CHECK(Write(&store, "", std::string("\0\xff", 2)));
  }
  const auto reopened = OpenOnce(folder, "b");
  CHECK(reopened.replica_id == "a");
  CHECK(Records(reopened) == std::map<std::string, std::string>{{"promise/x", "2"},
                                                                {"identity", "a record, not the identity"},
                                                                {"", std::string("\0\xff", 2)}});
}

TEST_CASE("an erased record is gone after reopening, and one that was written again is there") {
  Folder folder;
  {
    RecordStore store(folder.path(), "a");
    REQUIRE(Open(&store).opened);
    CHECK(Write(&store, "erased", "1"));
    CHECK(Write(&store, "written again", "1"));
    store.Erase("erased");
    store.Erase("written again");
    store.Erase("never written");
    CHECK(Write(&store, "written again", "2"));
  }
  CHECK(Records(OpenOnce(folder, "b")) == std::map<std::string, std::string>{{"written again", "2"}});
}

TEST_CASE("large values that are overwritten repeatedly stay readable and use bounded disk space") {
  Folder folder;
  {
    RecordStore store(folder.path(), "a");
    REQUIRE(Open(&store).opened);
    for (int i = 0; i < 100; ++i) {
      REQUIRE(Write(&store, "accepted/configuration", std::string(200'000, static_cast<char>('a' + i % 26))));
    }
  }
  std::uintmax_t bytes = 0;
  for (const auto& entry : fs::directory_iterator(folder.database())) bytes += entry.file_size();
  CHECK(bytes < 16u << 20);
  CHECK(Records(OpenOnce(folder, "b")).at("accepted/configuration") == std::string(200'000, 'v'));
}

TEST_CASE("callbacks of queued writes run in the order of the calls, and the last value wins") {
  Folder folder;
  std::vector<int> order;
  {
    RecordStore store(folder.path(), "a");
    REQUIRE(Open(&store).opened);
    for (int i = 0; i < 500; ++i) {
      store.Write("key", std::to_string(i), [&order, i](bool written) { order.push_back(written ? i : -1); });
    }
  }
  REQUIRE(order.size() == 500);
  CHECK(std::is_sorted(order.begin(), order.end()));
  CHECK(order.front() == 0);
  CHECK(Records(OpenOnce(folder, "b")).at("key") == "499");
}

TEST_CASE("writes queued behind a busy disk share a sync, and none is lost") {
  Folder folder;
  {
    RecordStore store(folder.path(), "a");
    REQUIRE(Open(&store).opened);
    std::promise<void> busy, resume;
    auto resumed = resume.get_future().share();
    store.Write("first", "1", [&busy, resumed](bool) {
      busy.set_value();
      resumed.wait();
    });
    busy.get_future().wait();
    std::atomic<int> written = 0;
    for (int i = 0; i < 200; ++i) {
      store.Write("key" + std::to_string(i), "v", [&written](bool ok) { written += ok; });
    }
    resume.set_value();
    REQUIRE(Write(&store, "last", "1"));
    CHECK(written == 200);
  }
  CHECK(OpenOnce(folder, "b").records.size() == 202);
}

TEST_CASE("an emptied folder becomes a new store with the new identity") {
  Folder folder;
  OpenOnce(folder, "a");
  fs::remove_all(folder.database());
  const auto reopened = OpenOnce(folder, "b");
  CHECK(reopened.created);
  CHECK(reopened.replica_id == "b");
}

TEST_CASE("a torn log tail loses no acknowledged record") {
  Folder folder;
  {
    RecordStore store(folder.path(), "a");
    REQUIRE(Open(&store).opened);
    REQUIRE(Write(&store, "kept", "1"));
  }
  const auto logs = folder.Files(".log");
  REQUIRE(logs.size() == 1);
  const auto synced = fs::file_size(logs.front());
  std::ofstream(logs.front(), std::ios::app | std::ios::binary) << std::string(40, '\x07');
  CHECK(fs::file_size(logs.front()) == synced + 40);
  const auto reopened = OpenOnce(folder, "b");
  CHECK(reopened.opened);
  CHECK(reopened.replica_id == "a");
  CHECK(Records(reopened).at("kept") == "1");
}

TEST_CASE("an unreadable store is moved aside and replaced by one with another identity") {
  Folder folder;
  {
    RecordStore store(folder.path(), "founder:a");
    REQUIRE(Open(&store).opened);
    REQUIRE(Write(&store, "kept", "1"));
  }
  OpenOnce(folder, "");  // moves the log into a table
  SECTION("manifest missing") {
    for (const auto& entry : fs::directory_iterator(folder.database())) {
      if (entry.path().filename().string().starts_with("MANIFEST")) fs::remove(entry.path());
    }
  }
  SECTION("CURRENT damaged") { std::ofstream(folder.database() / "CURRENT") << "nothing"; }
  SECTION("CURRENT missing") { fs::remove(folder.database() / "CURRENT"); }
  SECTION("tables missing") {
    REQUIRE_FALSE(folder.Files(".ldb").empty());
    for (const auto& file : folder.Files(".ldb")) fs::remove(file);
  }
  SECTION("a table damaged") {
    REQUIRE_FALSE(folder.Files(".ldb").empty());
    std::fstream table(folder.Files(".ldb").front(), std::ios::in | std::ios::out | std::ios::binary);
    table.seekp(3);
    table << "damaged";
  }
  const auto reopened = OpenOnce(folder, "founder:a");
  CHECK(reopened.opened);
  CHECK(reopened.created);
  CHECK(reopened.replica_id != "founder:a");  // an identity of the founding group must not be reused
  CHECK(reopened.replica_id.starts_with("founder:a+"));
  CHECK(reopened.records.empty());
  CHECK(OpenOnce(folder, "c").replica_id == reopened.replica_id);
}

TEST_CASE("an unusable folder is reported with the remedy") {
  Folder folder;
  std::ofstream(folder.database()) << "a file where the folder should be";
  const auto result = OpenOnce(folder, "a");
  CHECK_FALSE(result.opened);
  CHECK(result.error.find("make its folder writable") != std::string::npos);
  CHECK(result.error.find('\n') == std::string::npos);

  RecordStore store(folder.path(), "a");
  CHECK_FALSE(Open(&store).opened);
  CHECK_FALSE(Write(&store, "key", "value"));
  fs::remove(folder.database());
  CHECK(Open(&store).opened);  // the remedy was applied
  CHECK(Write(&store, "key", "value"));
}

TEST_CASE("a write before Open fails") {
  Folder folder;
  RecordStore store(folder.path(), "a");
  CHECK_FALSE(Write(&store, "key", "value"));
}

TEST_CASE("writes fail after the store's folder was removed under a running process") {
  Folder folder;
  RecordStore store(folder.path(), "a");
  REQUIRE(Open(&store).opened);
  REQUIRE(Write(&store, "key", "value"));
  fs::remove_all(folder.database());
  std::ofstream(folder.database()) << "in the way";  // no new file can be created
  // LevelDB keeps writing to its open log until the log is full; then it needs a new file.
  bool written = true;
  for (int i = 0; i < 100 && written; ++i) written = Write(&store, "key", std::string(100'000, 'x'));
  CHECK_FALSE(written);
  CHECK_FALSE(Write(&store, "key", "value"));
}

}  // namespace
}  // namespace lichenlug::storage
