#include "Core/Execution/Outcome.h"

#include <cstdlib>

namespace sff::execution {

std::string_view toString(Reason Value) {
  switch (Value) {
  case Reason::UnknownEntry:
    return "unknown_entry";
  case Reason::Malformed:
    return "malformed";
  case Reason::DeadlineExpired:
    return "deadline_expired";
  case Reason::DeadlineUnreachable:
    return "deadline_unreachable";
  case Reason::QueueFull:
    return "queue_full";
  case Reason::TeamLimit:
    return "team_limit";
  case Reason::NoReplica:
    return "no_replica";
  case Reason::LogUnavailable:
    return "log_unavailable";
  case Reason::ShuttingDown:
    return "shutting_down";
  case Reason::KeyConflict:
    return "key_conflict";
  case Reason::KeyInProgress:
    return "key_in_progress";
  case Reason::Quarantined:
    return "quarantined";
  case Reason::EndpointLost:
    return "endpoint_lost";
  }
  return "";
}

int statusOf(Reason Value) {
  switch (Value) {
  case Reason::UnknownEntry:
    return 404;
  case Reason::Malformed:
    return 400;
  case Reason::DeadlineExpired:
  case Reason::DeadlineUnreachable:
    return 504;
  case Reason::QueueFull:
  case Reason::TeamLimit:
    return 429;
  case Reason::NoReplica:
  case Reason::LogUnavailable:
  case Reason::ShuttingDown:
    return 503;
  case Reason::KeyConflict:
  case Reason::Quarantined:
    return 422;
  case Reason::KeyInProgress:
    return 409;
  case Reason::EndpointLost:
    return 502;
  }
  return 500;
}

NotRun::NotRun(const DispatchGuard &Guard, Reason Why, milliseconds RetryAfter,
               std::string Detail)
    : m_Reason(Why), m_RetryAfter(RetryAfter), m_Detail(std::move(Detail)) {
  if (Guard.mayHaveBeenSent())
    std::abort();
}

} // namespace sff::execution
