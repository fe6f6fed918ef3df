#pragma once

#include "Core/Execution/Outcome.h"
#include "Core/Messages/RouterMessages.h"

#include <deque>
#include <map>

namespace sff::router {

/// Answers of the calls with an idempotency key that this router executes or
/// has executed. Bounded in number and bytes; the oldest finished answers are
/// dropped first. Thread safety: none.
class OutcomeStore {
public:
  OutcomeStore(std::size_t MaxAnswers, std::size_t MaxBytes)
      : m_MaxAnswers(MaxAnswers), m_MaxBytes(MaxBytes) {}

  /// The call with this key is about to be executed here.
  void onStarted(const std::string &KeyHash);
  /// The call's answer. An answer that is too large to keep is forgotten.
  void onAnswered(const std::string &KeyHash, const execution::Answered &Value);
  /// The call ended without a known answer, or was given up.
  void forget(const std::string &KeyHash);

  messages::FetchOutcomeReply find(const std::string &KeyHash) const;

private:
  void evict();

  std::size_t m_MaxAnswers;
  std::size_t m_MaxBytes;
  std::size_t m_Bytes = 0;
  std::map<std::string, messages::FetchOutcomeReply> m_Items;
  std::deque<std::string> m_Finished;
};

} // namespace sff::router
