#pragma once

#include "StandIns/Engine/BatchScheduler.h"
#include "StandIns/Support/CompletionText.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <list>
#include <memory>
#include <string>

namespace sff::standin {

/// The properties of a request that its response reveals.
struct ResponseIdentity {
  CompletionKey m_Source;
  std::string m_AttemptId;
  std::size_t m_MaxTokens = 0;
};

/// One attempt of a completion request at this engine.
struct CompletionAttempt {
  ResponseIdentity m_Identity;
  /// Equal to m_Identity, unless a fault swapped two responses.
  ResponseIdentity m_ReportedIdentity;
  std::string m_RouterIncarnation; ///< Of the sending router.
  BatchScheduler::Priority m_Priority = BatchScheduler::Priority::Interactive;
  bool m_Chat = false;
  bool m_Stream = false;
  bool m_InBatch = false;
  bool m_Cancelled = false;
  std::int64_t m_KvCacheBytes = 0; ///< Reserved until the attempt ends.
  std::size_t m_StartToken = 0;    ///< Set for a resumed request.
  /// Including the tokens before m_StartToken.
  std::size_t m_GeneratedTokens = 0;
};

/// Attempts that are queued or running, and the most recently ended ones, which
/// can be resumed. Thread safety: use from one thread.
class RequestTable {
public:
  using AttemptPtr = std::shared_ptr<CompletionAttempt>;

  void add(AttemptPtr Started) { m_Active.push_back(std::move(Started)); }
  void finish(const AttemptPtr &Ended);
  /// Makes a request that ran at another engine resumable here.
  void addEnded(AttemptPtr Ended);

  /// Cancels all active attempts of a request. Returns their number.
  std::size_t cancel(const std::string &RequestId);
  /// The latest attempt of a request, preferring active ones; null if unknown.
  AttemptPtr find(const std::string &RequestId) const;

  nlohmann::json describe() const;

private:
  std::list<AttemptPtr> m_Active;
  std::deque<AttemptPtr> m_Ended;
};

} // namespace sff::standin
