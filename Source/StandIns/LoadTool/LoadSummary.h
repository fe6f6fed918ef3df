#pragma once

#include "Common/Time/Instant.h"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sff::standin {

/// How one request ended.
struct RequestResult {
  int m_Status = 0; ///< 0 when no answer arrived.
  std::string m_Outcome;
  std::optional<Duration> m_FirstByte; ///< Set for whole answers only.
  Duration m_Total{};
};

/// Counts and times of a run. Thread safety: use from one thread.
class LoadSummary {
public:
  void add(const std::string &Class, const RequestResult &Result);
  /// Counts a request that the limit of requests in flight prevented.
  void addSkipped() { ++m_Skipped; }
  /// Counts a caller that came back at the stated retry time.
  void addReturn(bool Accepted);

  /// The summary; times are in milliseconds.
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
  std::int64_t m_Returned = 0;
  std::int64_t m_ReturnedAccepted = 0;
};

} // namespace sff::standin
