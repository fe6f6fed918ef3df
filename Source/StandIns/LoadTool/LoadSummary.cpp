#include "StandIns/LoadTool/LoadSummary.h"

#include <algorithm>

namespace sff::standin {

namespace {

double toMillis(Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

nlohmann::json percentiles(std::vector<double> Values) {
  if (Values.empty())
    return nullptr;
  std::ranges::sort(Values);
  const auto At = [&Values](double Share) {
    const auto Last = static_cast<double>(Values.size() - 1);
    return Values[static_cast<std::size_t>(Share * Last)];
  };
  return {{"p50", At(0.5)},
          {"p95", At(0.95)},
          {"p99", At(0.99)},
          {"max", Values.back()}};
}

} // namespace

void LoadSummary::Group::add(const RequestResult &Result) {
  ++m_Requests;
  ++m_ByStatus[std::to_string(Result.m_Status)];
  ++m_ByOutcome[Result.m_Outcome];
  if (!Result.m_FirstByte)
    return;
  m_FirstByte.push_back(toMillis(*Result.m_FirstByte));
  m_Total.push_back(toMillis(Result.m_Total));
}

nlohmann::json LoadSummary::Group::report() const {
  return {{"requests", m_Requests},
          {"by_status", m_ByStatus},
          {"by_outcome", m_ByOutcome},
          {"first_byte_ms", percentiles(m_FirstByte)},
          {"total_ms", percentiles(m_Total)}};
}

void LoadSummary::add(const std::string &Class, const RequestResult &Result) {
  m_All.add(Result);
  m_ByClass[Class].add(Result);
}

void LoadSummary::addRetry(bool Accepted) {
  ++m_Retries;
  if (Accepted)
    ++m_AcceptedRetries;
}

nlohmann::json LoadSummary::report(Duration Elapsed) const {
  const double Seconds = std::chrono::duration<double>(Elapsed).count();
  nlohmann::json Result = m_All.report();
  Result["seconds"] = Seconds;
  Result["requests_per_second"] =
      static_cast<double>(m_All.m_Requests) / Seconds;
  Result["skipped"] = m_Skipped;
  Result["returned"] = m_Retries;
  Result["returned_accepted"] = m_AcceptedRetries;
  for (const auto &[Name, Item] : m_ByClass)
    Result["by_class"][Name] = Item.report();
  return Result;
}

} // namespace sff::standin
