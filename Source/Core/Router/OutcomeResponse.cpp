#include "Router/OutcomeResponse.h"

namespace sff::router {

using execution::Answered;
using execution::NotRun;
using execution::Outcome;
using execution::OutcomeUnknown;

namespace {

std::string_view titleOf(int Status) {
  switch (Status) {
  case 400:
    return "Bad Request";
  case 404:
    return "Not Found";
  case 409:
    return "Conflict";
  case 422:
    return "Unprocessable Content";
  case 429:
    return "Too Many Requests";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Error";
  }
}

http::Response makeProblemResponse(std::string_view Name,
                                   execution::Reason Cause,
                                   milliseconds RetryAfter,
                                   const std::string &Detail) {
  const int Status = execution::statusOf(Cause);
  nlohmann::json Extra = {{"outcome", Name},
                          {"reason", execution::toString(Cause)},
                          {"retry_after_ms", RetryAfter.count()}};
  http::Response Result = http::makeProblem(
      Status, titleOf(Status),
      Detail.empty() ? execution::toString(Cause) : Detail, std::move(Extra));
  if (RetryAfter.count() > 0) {
    // The header has whole seconds; rounding down would invite an early retry.
    const auto Seconds = std::chrono::ceil<std::chrono::seconds>(RetryAfter);
    Result.m_Headers.set("Retry-After", std::to_string(Seconds.count()));
  }
  return Result;
}

} // namespace

std::string_view nameOf(const Outcome &Value) {
  if (std::holds_alternative<Answered>(Value))
    return "answered";
  return std::holds_alternative<NotRun>(Value) ? "not_run" : "outcome_unknown";
}

std::string_view reasonOf(const Outcome &Value) {
  if (const auto *Refused = std::get_if<NotRun>(&Value))
    return execution::toString(Refused->reason());
  if (const auto *Unknown = std::get_if<OutcomeUnknown>(&Value))
    return execution::toString(Unknown->m_Reason);
  return "";
}

http::Response toResponse(const Outcome &Value, const RequestId &Request) {
  http::Response Result;
  if (const auto *Whole = std::get_if<Answered>(&Value)) {
    Result.m_Status = Whole->m_Status;
    if (!Whole->m_ContentType.empty())
      Result.m_Headers.set("Content-Type", Whole->m_ContentType);
    Result.m_Body = Whole->m_Body;
  } else if (const auto *Refused = std::get_if<NotRun>(&Value)) {
    Result = makeProblemResponse(nameOf(Value), Refused->reason(),
                                 Refused->retryAfter(), Refused->detail());
  } else {
    const auto &Unknown = std::get<OutcomeUnknown>(Value);
    Result = makeProblemResponse(nameOf(Value), Unknown.m_Reason,
                                 Unknown.m_RetryAfter, Unknown.m_Detail);
  }
  Result.m_Headers.set("X-Request-Id", Request.str());
  return Result;
}

} // namespace sff::router
