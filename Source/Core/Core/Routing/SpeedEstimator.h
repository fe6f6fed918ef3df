#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sff::routing {

/// The part of a request that its time to first byte depends on, apart from the
/// speed of the endpoint.
struct WorkSize {
  /// Requests of one kind take equally long where all else is equal. The number
  /// of kinds must be bounded.
  std::string m_Kind;
  double m_Work = 1;       ///< Relative to the least work of the kind.
  double m_LoadFactor = 1; ///< Relative to an endpoint without load.
};

/// Estimates how long work takes at each endpoint, relative to the usual time,
/// from what the endpoints report and from the times of their answers to this
/// host. Reports that the answers contradict are corrected by them. Endpoints
/// that report nothing count as usual. Thread safety: none.
class SpeedEstimator {
public:
  /// Applies a report that work takes \p Slowness times the usual time.
  void onReport(const EndpointId &Endpoint, double Slowness, Instant Now);
  /// Records the time to first byte of an answer.
  void onAnswer(const EndpointId &Endpoint, const WorkSize &Size,
                Duration FirstByte, Instant Now);
  void forget(const EndpointId &Endpoint) { m_Entries.erase(Endpoint); }

  /// Returns whether the endpoint reports how long work takes.
  bool hasReports(const EndpointId &Endpoint) const;
  /// Returns how long work takes, 1 meaning as usual.
  double slowness(const EndpointId &Endpoint, Instant Now) const;
  /// Returns the time since the latest report, if there is one.
  std::optional<Duration> reportAge(const EndpointId &Endpoint,
                                    Instant Now) const;
  /// Returns the expected time to first byte, if the host has seen answers of
  /// this kind.
  std::optional<Duration> expectedFirstByte(const EndpointId &Endpoint,
                                            const WorkSize &Size,
                                            Instant Now) const;

private:
  struct Entry {
    double m_Latest = 1;
    double m_Mean = 1;
    std::optional<Instant> m_ReportedAt;
    /// Logarithm of the time that answers took, relative to the reports.
    double m_LogError = 0;
    int m_Answers = 0;
    Instant m_AnsweredAt;
  };
  struct Reference {
    double m_LogSeconds = 0; ///< At usual speed, without load, least work.
    int m_Answers = 0;
  };

  double reported(const Entry &State, Instant Now) const;
  /// The factor by which the answers of the endpoint differ from its reports.
  double correction(const Entry &State, Instant Now) const;

  std::map<EndpointId, Entry> m_Entries;
  std::map<std::string, Reference, std::less<>> m_References;
};

} // namespace sff::routing
