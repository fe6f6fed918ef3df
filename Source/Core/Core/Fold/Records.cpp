#include "Core/Fold/Records.h"

#include "Common/Codec/Tagged.h"

namespace sff::fold {

nlohmann::json toJson(const Record &Value) {
  nlohmann::json Result = codec::taggedToJson(Value);
  // Omits empty strings, since absent ones are decoded as empty. This keeps
  // lease renewals short: they are by far the most frequent record, and all but
  // the first leave four strings empty.
  for (auto It = Result.begin(); It != Result.end();)
    It = It->is_string() && It->get_ref<const std::string &>().empty()
             ? Result.erase(It)
             : std::next(It);
  return Result;
}

boost::leaf::result<Record> fromJson(const nlohmann::json &Input) {
  return codec::taggedFromJson<Record>(Input);
}

const RecordId &idOf(const Record &Value) {
  return std::visit(
      [](const auto &Item) -> const RecordId & { return Item.m_Id; }, Value);
}

} // namespace sff::fold
