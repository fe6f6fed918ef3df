#pragma once

#include "Common/Time/Instant.h"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sff::standin {

/// Result of one request.
struct RequestResult {
  int m_Status = 0; ///< 0 if no response arrived.
  std::string m_Outcome;
  std::optional<Duration> m_FirstByte; ///< Set for complete responses only.
  Duration m_Total{};
};

/// Request counts and latencies of a run. Thread safety: use from one thread.
class LoadSummary {
public:
  void add(const std::string &Class, const RequestResult &Result);
  /// Counts a request that was not sent because of the in-flight limit.
  void addSkipped() { ++m_Skipped; }
  /// Counts a rejected request that was retried at the stated time.
  void addRetry(bool Accepted);

  /// The summary as JSON; latencies are in milliseconds.
  nlohmann::json report(Duration Elapsed) const;

private:
  struct Group {
    std::int64_t m_Requests = 0;
    std::map<std::string, std::int64_t> m_ByStatus;
    std::map<std::string, std::int64_t> m_ByOutcome;
    std::vector<double> m_FirstByte;
    std::vector<double> m_Total;

    void add(const RequestResult &Result);
    nlohmann::json report() const;
  };

  Group m_All;
  std::map<std::string, Group> m_ByClass;
  std::int64_t m_Skipped = 0;
  std::int64_t m_Retries = 0;
  std::int64_t m_AcceptedRetries = 0;
};

} // namespace sff::standin
