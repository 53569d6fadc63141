#include <glog/logging.h>
#include <google/protobuf/util/json_util.h>

#include <iostream>
#include <optional>

#include "configuration/configuration.h"
#include "consensus/register_node.h"
#include "ctl/commands.h"
#include "ctl/store_copy.h"
#include "registry/end_records.h"

namespace lichenlug::ctl {
namespace {

using consensus::RegisterNode;

RegisterNode NodeOf(const std::string& replica_id) {
  consensus::RegisterNodeSettings settings;
  settings.proposer = settings.self_name = "lichenlugctl";
  settings.replica_id = replica_id;
  return RegisterNode(settings);
}

std::optional<storage::RecordStore::OpenResult> OpenStoreCopy(const std::string& folder) {
  auto result = ReadStoreCopy(folder);
  if (result.opened) return result;
  LOG(ERROR) << result.error;
  return std::nullopt;
}

void PrintRegister(const std::string& name, const messages::RegisterValue& value) {
  std::cout << "register " << name << ": " << value.payload().size() << " bytes, group version "
            << value.group().version() << " of";
  for (const auto& member : value.group().members()) std::cout << ' ' << member.name();
  if (name == configuration::kRegisterName) {
    const auto state = configuration::ReadState(value.payload());
    if (state) std::cout << ", edition " << state->edition() << ", revision " << state->revision();
  }
  std::cout << '\n';
}

}  // namespace

ExitCode VerifyStore(const std::string& folder) {
  auto store = OpenStoreCopy(folder);
  if (!store) return kFailed;
  std::cout << "store " << store->replica_id << ", " << store->records.size() << " records\n";
  for (const auto& [key, value] : store->records)
    std::cout << "record " << key << ": " << value.size() << " bytes\n";
  const registry::StoredEnds ends = registry::ExtractEnds(&store->records, /*wall_now=*/0);
  RegisterNode node = NodeOf(store->replica_id);
  if (!node.Restore(store->records) || !ends.unreadable_keys.empty()) {
    LOG(ERROR) << folder << ": a record cannot be read; start the dispatcher without this store";
    return kFailed;
  }
  std::cout << "announced ends of " << ends.ends.size() << " runners\n";
  for (const std::string& name : node.RegisterNames()) {
    if (const auto value = node.LocalValue(name)) PrintRegister(name, *value);
  }
  std::cout << "all records can be read\n";
  return kSuccess;
}

ExitCode ExportStore(const std::string& folder) {
  const auto store = OpenStoreCopy(folder);
  if (!store) return kFailed;
  RegisterNode node = NodeOf(store->replica_id);
  if (!node.Restore(store->records)) {
    LOG(ERROR) << folder << ": a record cannot be read; run lichenlugctl store verify";
    return kFailed;
  }
  for (const std::string& name : node.RegisterNames()) {
    const auto value = node.LocalValue(name);
    std::string text;
    if (!value || !google::protobuf::util::MessageToJsonString(*value, &text).ok()) continue;
    const auto state =
        name == configuration::kRegisterName ? configuration::ReadState(value->payload()) : std::nullopt;
    std::cout << "{\"register\":\"" << name << "\",\"value\":" << text;
    if (state) std::cout << ",\"configuration\":" << state->json();
    std::cout << "}\n";
  }
  return kSuccess;
}

}  // namespace lichenlug::ctl
