#pragma once

#include "Common/Time/Instant.h"
#include "Core/Serving/EndpointDirectory.h"
#include "Core/Serving/EndpointRateLimits.h"

#include <map>
#include <optional>
#include <random>
#include <string>

namespace sff::serving {

/// What an answer says about the capacity of its endpoint.
struct CapacityReport {
  /// Rejections per second beyond which the endpoint fails; nothing if the
  /// endpoint does not name a limit.
  std::optional<double> m_MaxRejections;
  /// Requests that run or wait there, if the answer says so.
  std::optional<std::int64_t> m_Load;
  bool m_WasRejected = false; ///< The endpoint had no room for the request.
};

/// Keeps hosts from overloading endpoints that fail when they have to reject
/// too many requests per second. While such a limit is in force, a request is
/// sent only if there is a reason to expect room: this host's share of the
/// endpoint's slots is free, or reports show enough free slots, or the host's
/// share of the rejections that the endpoint endures is unused. Hosts do not
/// coordinate.
/// Thread safety: none.
class RejectionLimits {
public:
  explicit RejectionLimits(std::uint64_t Seed)
      : m_Random(Seed), m_Trials(Seed) {}

  /// Sets the number of hosts that share each endpoint. Precondition:
  /// \p Hosts > 0.
  void setHosts(std::size_t Hosts);

  /// Records an answer of \p Answered to a request sent at \p SentAt. An answer
  /// without a limit ends one only if it was asked for after the limit was
  /// named. Returns true if the endpoint's limit has changed.
  bool onAnswer(const Endpoint &Answered, const CapacityReport &Report,
                Instant SentAt, Instant Now);
  /// Records a request that is sent to the endpoint, and its end.
  void onSent(const Endpoint &Target, Instant Now);
  void onFinished(const EndpointId &Id);
  void forget(const EndpointId &Id);

  /// The rejections per second that the endpoint endures, if it or another
  /// endpoint of its service has named a limit: the endpoints of a service name
  /// it at the same time, and those that have not answered yet have it, too.
  std::optional<double> limitOf(const Endpoint &Candidate, Instant Now) const;
  /// Returns true if a request may be sent to the endpoint now.
  bool allows(const Endpoint &Candidate, Instant Now);
  std::size_t limitedEndpoints() const { return m_LimitedEndpoints; }

private:
  struct State {
    std::string m_Service;
    std::optional<double> m_MaxRejections;
    Instant m_NamedAt;
    /// Latest answer that named no limit; zero before the first.
    Instant m_WithdrawnAt;
    std::int64_t m_Running = 0; ///< Requests of this host.
    std::optional<std::int64_t> m_Load;
    Instant m_LoadReportedAt;
    std::int64_t m_SentSinceReport = 0;
    Instant m_PausedUntil; ///< After a rejection.
    /// Rounds this host's share of the slots up or down, independently for each
    /// host and endpoint.
    double m_Rounding = 0;
  };
  struct ServiceState {
    /// The latest limit that an endpoint has named, if any.
    std::optional<double> m_MaxRejections;
    Instant m_NamedAt;
    /// Moving average of the used part of the slots in all reports.
    double m_Utilization = 0;
    Instant m_ReportedAt;
    /// When a request may be sent to learn of the load, if there are no reports
    /// lately.
    Instant m_NextProbeAt;
    Duration m_ProbeInterval{0}; ///< Grows while probes are rejected.
  };

  State &stateOf(const Endpoint &Target);
  void setLimit(State &Current, std::optional<double> MaxRejections);
  void recordLoad(const Endpoint &Answered, const CapacityReport &Report,
                  Instant Now);
  void pause(State &Rejecting, Instant Now);
  /// Shortest interval between two probes of a service: all hosts together then
  /// cause no more rejections than its endpoints endure.
  Duration probeInterval(const std::string &Service,
                         double MaxRejections) const;
  /// Whether the endpoints endure so few rejections that a single one of each
  /// host makes them fail.
  bool isFragile(double MaxRejections) const;
  std::int64_t shareOfSlots(const State &Current, int Slots,
                            double MaxRejections) const;
  /// Whether reports of the endpoint, or of others of its service if it has
  /// sent none lately, show room.
  bool hasReportedRoom(const State &Current, const Registration &Entry,
                       double MaxRejections, Instant Now) const;

  std::size_t m_Hosts = 1;
  std::size_t m_LimitedEndpoints = 0;
  Instant m_LastNamedAt; ///< Latest answer of any endpoint that named a limit.
  std::mt19937_64 m_Random;
  std::map<EndpointId, State> m_Endpoints;
  std::map<std::string, ServiceState> m_Services;
  /// This host's share of requests that are sent without a reason to expect
  /// room, and may be rejected.
  EndpointRateLimits m_Trials;
};

} // namespace sff::serving
