#include "Core/Relay/BatchRecord.h"

namespace sff::relay {

namespace {

constexpr const char *BatchType = "batch";

} // namespace

Offset toItemOffset(OffsetRule Rule, Offset LogOffset) {
  return Rule == OffsetRule::Batched ? LogOffset * BatchPositions : LogOffset;
}

Offset toLogOffset(OffsetRule Rule, Offset ItemOffset) {
  return Rule == OffsetRule::Batched ? ItemOffset / BatchPositions : ItemOffset;
}

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

void expand(OffsetRule Rule, Offset LogOffset, nlohmann::json Data,
            std::vector<messages::RecordAt> &Out) {
  Offset Position = toItemOffset(Rule, LogOffset);
  const bool Split = Rule == OffsetRule::Batched && isBatch(Data) &&
                     !Data["items"].empty() &&
                     Data["items"].size() <= BatchPositions;
  if (!Split) {
    Out.push_back({Position, std::move(Data)});
    return;
  }
  for (nlohmann::json &Item : Data["items"])
    Out.push_back({Position++, std::move(Item)});
}

} // namespace sff::relay
