#pragma once

#include "Common/Identity/Ids.h"
#include "Core/Serving/DemandRates.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace sff::serving {

/// Collects the signs of one host that a model has too few replicas: sends to
/// endpoints with more work than slots, and rejections for want of room.
/// Decides when the host reports them earlier than in its regular report.
/// Thread safety: none.
class PressureSigns {
public:
  /// Minimum interval between reports that are sent early.
  static constexpr milliseconds MinInterval{500};

  /// Returns true if a report has become due by it.
  bool onSign(std::string_view Model, Instant Now);
  /// Called for each request. The first one after a quiet time makes a report
  /// due, because the holders know nothing of the demand then.
  /// Returns true in that case.
  bool onRequest(Instant Now);
  /// When an early report is due, or nothing while there is none. \p Hosts
  /// bounds the rate of all reports to one holder.
  std::optional<Instant> reportDue(std::size_t Hosts) const;
  /// Removes and returns the number of signs by model. Called for each report.
  std::map<std::string, double> take(Instant Now);

private:
  std::map<std::string, double, std::less<>> m_Signs;
  std::optional<Instant> m_FirstSignAt;
  std::optional<Instant> m_DemandBegunAt; ///< Not reported since.
  std::optional<Instant> m_LastRequestAt;
  std::optional<Instant> m_LastReportAt;
};

/// What one report says of the models that lack replicas at a host.
struct PressureReport {
  HostId m_Host;
  std::map<std::string, double> m_Signs;    ///< By model.
  std::map<std::string, double> m_Requests; ///< By model.
  Duration m_Interval{0}; ///< The time that both cover; zero if not known.
};

/// The models that lack replicas, by the reports of all hosts.
/// Thread safety: none.
class DemandPressure {
public:
  DemandPressure();

  void onReport(const PressureReport &Report, Instant Now);
  /// Returns true if the model lacks replicas now.
  bool isUnderPressure(std::string_view Model, Instant Now) const;
  /// Returns true if the model must keep its replicas: it lacks some, or did a
  /// short time ago.
  bool mustKeepReplicas(std::string_view Model, Instant Now) const;
  /// Requests per second of the model at the hosts that have lately reported
  /// pressure. Known sooner than an average over the reports of all hosts.
  double rate(std::string_view Model, Instant Now) const;

private:
  struct HostRate {
    double m_PerSecond = 0;
    Instant m_ReportedAt;
  };

  DemandRates m_SignRates;
  std::map<std::string, std::map<HostId, HostRate>, std::less<>> m_HostRates;
  std::map<std::string, Instant, std::less<>> m_LastPressureAt;
};

/// Whether a holder knows which models are in demand. It does not when demand
/// begins after a quiet time, until enough hosts have reported.
/// Thread safety: none.
class DemandKnowledge {
public:
  /// Longest time for which the demand counts as unknown. Bounds how long a
  /// load waits that needs an eviction.
  static constexpr milliseconds MaxUnknownTime{700};

  /// Called when a model is demanded.
  void onDemand(Instant Now);
  /// Called for a usage report that names requests.
  void onReport(const HostId &Host, Instant Now);
  /// \p Hosts is the number of hosts that report to this holder.
  bool isKnown(std::size_t Hosts, Instant Now) const;

private:
  std::optional<Instant> m_BegunAt;
  std::optional<Instant> m_LastDemandAt;
  std::set<HostId> m_Reporting; ///< Since m_BegunAt.
};

} // namespace sff::serving
