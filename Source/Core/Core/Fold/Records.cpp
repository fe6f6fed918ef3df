#include "Core/Fold/Records.h"

#include "Common/Codec/Tagged.h"

namespace sff::fold {

nlohmann::json toJson(const Record &Value) {
  return codec::taggedToJson(Value);
}

boost::leaf::result<Record> fromJson(const nlohmann::json &Input) {
  return codec::taggedFromJson<Record>(Input);
}

const RecordId &idOf(const Record &Value) {
  return std::visit(
      [](const auto &Item) -> const RecordId & { return Item.m_Id; }, Value);
}

} // namespace sff::fold
