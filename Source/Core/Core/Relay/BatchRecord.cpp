#include "Core/Relay/BatchRecord.h"

namespace sff::relay {

namespace {

constexpr const char *BatchType = "batch";

} // namespace

nlohmann::json makeBatch(std::vector<nlohmann::json> Items) {
  nlohmann::json Result = nlohmann::json::object();
  Result["type"] = BatchType;
  Result["items"] = nlohmann::json(std::move(Items));
  return Result;
}

bool isBatch(const nlohmann::json &Data) {
  if (!Data.is_object())
    return false;
  const auto Type = Data.find("type");
  const auto Items = Data.find("items");
  return Type != Data.end() && *Type == BatchType && Items != Data.end() &&
         Items->is_array();
}

std::vector<messages::StreamRecord>
expandBatches(std::vector<messages::StreamRecord> Records) {
  std::vector<messages::StreamRecord> Result;
  for (messages::StreamRecord &Record : Records) {
    const bool Split = isBatch(Record.m_Data) &&
                       !Record.m_Data["items"].empty() &&
                       Record.m_Data["items"].size() <= MaxBatchItems;
    if (!Split) {
      Result.push_back(std::move(Record));
      continue;
    }
    for (nlohmann::json &Item : Record.m_Data["items"])
      Result.push_back({Record.m_Offset, std::move(Item)});
  }
  return Result;
}

} // namespace sff::relay
