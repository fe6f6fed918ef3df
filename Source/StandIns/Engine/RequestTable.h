#pragma once

#include "StandIns/Engine/Batch.h"
#include "StandIns/Support/AnswerText.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <list>
#include <memory>
#include <string>

namespace sff::standin {

/// What an answer shows of its request.
struct AnswerIdentity {
  AnswerSource m_Source;
  std::string m_AttemptId;
  std::size_t m_MaxTokens = 0;
};

/// One attempt of a request at this engine.
struct Generation {
  AnswerIdentity m_Own;
  /// The same as m_Own, unless a fault swapped two answers.
  AnswerIdentity m_Shown;
  std::string m_Router; ///< Incarnation of the router that sent it.
  Batch::Priority m_Priority = Batch::Priority::Interactive;
  bool m_Chat = false;
  bool m_Stream = false;
  bool m_InBatch = false;
  bool m_Cancelled = false;
  std::int64_t m_Bytes = 0; ///< Attention memory, held until the end.
  std::size_t m_FirstToken = 0;
  std::size_t m_TokensDone = 0;
};

/// Attempts that wait or run, and the most recent that ended, which can be
/// resumed. Thread safety: use from one thread.
class RequestTable {
public:
  using Item = std::shared_ptr<Generation>;

  void add(Item Started) { m_Active.push_back(std::move(Started)); }
  void end(const Item &Ended);
  /// Makes a request resumable that ran elsewhere.
  void remember(Item Ended);

  /// Marks all attempts of a request; returns how many there were.
  std::size_t cancel(const std::string &RequestId);
  /// The newest attempt of a request, active or ended; null if unknown.
  Item find(const std::string &RequestId) const;

  nlohmann::json describe() const;

private:
  std::list<Item> m_Active;
  std::deque<Item> m_Ended;
};

} // namespace sff::standin
