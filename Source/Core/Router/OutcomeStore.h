#pragma once

#include "Core/Execution/Outcome.h"
#include "Core/Messages/RouterMessages.h"

#include <deque>
#include <map>

namespace sff::router {

/// Answers of calls with an idempotency key that this router executes or has
/// executed. Limited in number and total size; the oldest finished answers are
/// evicted first. Thread safety: none.
class OutcomeStore {
public:
  OutcomeStore(std::size_t MaxAnswers, std::size_t MaxBytes)
      : m_MaxAnswers(MaxAnswers), m_MaxBytes(MaxBytes) {}

  /// Records that the call is about to be executed here.
  void onStarted(const std::string &KeyHash);
  /// Stores the answer of the call. An answer above the size limit is not kept.
  void onAnswered(const std::string &KeyHash, const execution::Answered &Value);
  /// Removes a call that was voided or ended without a known answer.
  void remove(const std::string &KeyHash);

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
