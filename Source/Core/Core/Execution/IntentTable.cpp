#include "Core/Execution/IntentTable.h"

#include "Common/Codec/Tagged.h"

namespace sff::execution {

nlohmann::json toJson(const IntentRecord &Value) {
  return codec::taggedToJson(Value);
}

boost::leaf::result<IntentRecord> intentFromJson(const nlohmann::json &Input) {
  return codec::taggedFromJson<IntentRecord>(Input);
}

void IntentTable::apply(Offset Position, const IntentRecord &Value) {
  apply(Position, std::span(&Value, 1));
}

void IntentTable::apply(Offset Position, std::span<const IntentRecord> Batch) {
  if (!advanceTo(Position))
    return;
  for (const IntentRecord &Value : Batch)
    std::visit([&](const auto &Record) { applyRecord(Position, Record); },
               Value);
}

void IntentTable::skip(Offset Position) { advanceTo(Position); }

bool IntentTable::advanceTo(Offset Position) {
  if (Position <= m_Applied)
    return false;
  m_Applied = Position;
  while (!m_KeysByAge.empty() &&
         Position - m_KeysByAge.front().first > m_Retention) {
    m_Keys.erase(m_KeysByAge.front().second);
    m_KeysByAge.pop_front();
  }
  return true;
}

IntentTable::KeyState &IntentTable::findOrAddKey(Offset Position,
                                                 const std::string &KeyHash) {
  const auto [It, IsNew] = m_Keys.try_emplace(KeyHash);
  if (IsNew)
    m_KeysByAge.emplace_back(Position, KeyHash);
  return It->second;
}

void IntentTable::applyRecord(Offset Position, const Intent &Value) {
  KeyState &State = findOrAddKey(Position, Value.m_KeyHash);
  const auto Verdict = State.m_Valid ? AttemptState::Lost : AttemptState::Valid;
  // A known attempt is either a duplicate, or was voided before its intent was
  // appended.
  if (!State.m_Attempts.emplace(Value.m_Attempt, Verdict).second)
    return;
  if (Verdict == AttemptState::Valid)
    State.m_Valid = ValidIntent{Position, Value, false};
}

void IntentTable::applyRecord(Offset Position, const IntentVoid &Value) {
  KeyState &State = findOrAddKey(Position, Value.m_KeyHash);
  const auto [It, IsNew] =
      State.m_Attempts.emplace(Value.m_Attempt, AttemptState::Voided);
  // An attempt that was executed can no longer be voided.
  if (IsNew || It->second != AttemptState::Valid || State.m_Valid->m_Done)
    return;
  It->second = AttemptState::Voided;
  State.m_Valid.reset();
}

void IntentTable::applyRecord(Offset, const IntentDone &Value) {
  const auto It = m_Keys.find(Value.m_KeyHash);
  if (It == m_Keys.end() || !It->second.m_Valid)
    return;
  ValidIntent &Valid = *It->second.m_Valid;
  if (Valid.m_Intent.m_Attempt == Value.m_Attempt)
    Valid.m_Done = true;
}

std::optional<ValidIntent> IntentTable::find(const std::string &KeyHash) const {
  const auto It = m_Keys.find(KeyHash);
  return It == m_Keys.end() ? std::nullopt : It->second.m_Valid;
}

AttemptState IntentTable::stateOf(const std::string &KeyHash,
                                  const AttemptId &Attempt) const {
  const auto It = m_Keys.find(KeyHash);
  if (It == m_Keys.end())
    return AttemptState::Pending;
  const auto Found = It->second.m_Attempts.find(Attempt);
  return Found == It->second.m_Attempts.end() ? AttemptState::Pending
                                              : Found->second;
}

} // namespace sff::execution
