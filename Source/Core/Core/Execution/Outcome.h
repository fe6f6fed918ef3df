#pragma once

#include "Common/Time/Instant.h"

#include <string>
#include <string_view>
#include <variant>

namespace sff::execution {

/// The reason why a request was not answered. Each reason maps to one HTTP
/// status.
enum class Reason {
  UnknownEntry,
  Malformed,
  DeadlineExpired,
  DeadlineUnreachable,
  QueueFull,
  TeamLimit,
  NoReplica,
  LogUnavailable,
  ShuttingDown,
  KeyConflict,
  KeyInProgress,
  Quarantined,
  EndpointLost,
};

/// Returns the stable wire name of a reason, for example "queue_full".
std::string_view toString(Reason Value);
/// Returns the HTTP status of a rejection with reason \p Value.
int statusOf(Reason Value);

/// Tracks whether a dispatch attempt may have been sent. Thread safety: none;
/// belongs to one request.
class DispatchGuard {
public:
  /// Call before the first byte may be sent. This cannot be undone.
  void markSent() { m_Sent = true; }
  bool mayHaveBeenSent() const { return m_Sent; }

private:
  bool m_Sent = false;
};

/// The request was definitely not sent to any endpoint.
class NotRun {
public:
  /// Precondition: \p Guard is not marked as sent. Otherwise the process
  /// aborts, because the result would be false.
  NotRun(const DispatchGuard &Guard, Reason Why, milliseconds RetryAfter,
         std::string Detail);

  Reason reason() const { return m_Reason; }
  milliseconds retryAfter() const { return m_RetryAfter; }
  const std::string &detail() const { return m_Detail; }

private:
  Reason m_Reason;
  milliseconds m_RetryAfter;
  std::string m_Detail;
};

/// The request may have been executed. The caller has to find out before it
/// repeats a non-idempotent call.
struct OutcomeUnknown {
  Reason m_Reason = Reason::EndpointLost;
  milliseconds m_RetryAfter{0};
  std::string m_Detail;
};

/// A complete answer from an endpoint.
struct Answered {
  int m_Status = 200;
  std::string m_ContentType;
  std::string m_Body;
};

/// The result that a caller receives; there are no other cases.
using Outcome = std::variant<Answered, NotRun, OutcomeUnknown>;

} // namespace sff::execution
