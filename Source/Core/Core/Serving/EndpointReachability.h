#pragma once

#include "Core/Serving/EndpointDirectory.h"

#include <functional>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <vector>

namespace sff::serving {

/// What the health checks of a round have shown of this host's links.
enum class CheckResult {
  Answered, ///< An endpoint has answered, whatever it said.
  Silent,   ///< Nothing came from any endpoint within the time limit.
  /// No answer, but a connection was refused or lost, which a silent link does
  /// not do.
  Unclear,
};

/// Tells the loss of this host's own links from the loss of endpoints. A host
/// is isolated when new connections to endpoints of all availability zones
/// fail, or when they succeed but bring no answer; one that has lost the path
/// to some endpoints only is not. Decides when to probe and what a round of
/// probes means; the caller connects and sends health checks. Thread safety:
/// none.
class EndpointReachability {
public:
  /// Selects endpoints.
  using Filter = std::function<bool(const Endpoint &)>;

  /// Unanswered requests are a reason for a round of probes after this time
  /// without data from any endpoint.
  static constexpr milliseconds SilenceBeforeProbe{500};
  /// Shortest time from the end of a round without a failure to the next one.
  static constexpr milliseconds ProbeInterval{300};
  /// Endpoints that one round connects to, if there are as many.
  static constexpr std::size_t ProbesPerRound = 4;
  /// Further endpoints that a round connects to if the first ones all fail, so
  /// that a host that still reaches some of them finds one.
  static constexpr std::size_t MaxFurtherProbes = 12;
  /// A host that knows fewer endpoints cannot tell its own loss from theirs.
  static constexpr std::size_t MinProbes = 2;
  /// Fewer failed connections to other endpoints than this do not show that
  /// this host has lost paths: a request that crashes endpoints may have
  /// crashed two others shortly before, after which it is rejected.
  static constexpr std::size_t MinLostPaths = 3;
  /// Unanswered requests are a reason for a round of health checks after this
  /// time without data from any endpoint, though connections succeed. Longer
  /// than most pauses of sound endpoints, because health checks are priced.
  static constexpr milliseconds SilenceBeforeChecks{1000};
  /// Requests must be unanswered at this many endpoints: the silence of one is
  /// its own.
  static constexpr std::size_t MinUnansweredEndpoints = 2;
  /// Endpoints that a round of health checks asks first. Fewer than
  /// ProbesPerRound, because health checks are priced.
  static constexpr std::size_t ChecksPerRound = 2;

  void onRequestSent(const EndpointId &Id, Instant Now);
  /// Records data from an endpoint on any connection, which ends an isolation
  /// by silence. Returns whether isIsolated() has changed.
  bool onData(Instant Now);
  /// Records that a connection was lost or could not be established.
  void onConnectionFailed() { m_IsSuspicious = true; }

  /// Whether a round of probes is due.
  bool needsProbes(Instant Now) const;
  /// The endpoints to connect to, from as many availability zones as possible.
  std::vector<EndpointId> chooseProbes(const EndpointDirectory &Endpoints,
                                       std::mt19937_64 &Random) const;
  /// The endpoints to connect to if none of \p Tried could be reached. Empty
  /// while the host is isolated, which is known then.
  std::vector<EndpointId>
  chooseFurtherProbes(const EndpointDirectory &Endpoints,
                      std::span<const EndpointId> Tried,
                      std::mt19937_64 &Random) const;
  /// Records the end of a round. Returns whether isIsolated() has changed.
  bool onRoundEnded(std::size_t Probes, bool AnyConnected, Instant Now);

  /// Returns whether the loss of paths by this host explains that an endpoint
  /// cannot be connected to: of \p Tried other endpoints, \p Failed could not
  /// be connected to either. Endpoints that crash together are fewer than half.
  static bool hasLostPaths(std::size_t Tried, std::size_t Failed) {
    return Failed >= MinLostPaths && Failed * 2 >= Tried;
  }

  /// Whether a round of health checks is due.
  bool needsChecks(Instant Now) const;
  /// The endpoints to send health checks to, from as many availability zones as
  /// possible, of those that \p HasCheck selects.
  std::vector<EndpointId> chooseChecks(const EndpointDirectory &Endpoints,
                                       const Filter &HasCheck,
                                       std::mt19937_64 &Random) const;
  /// The endpoints to send health checks to if none of \p Tried has answered.
  /// Empty while the host is isolated.
  std::vector<EndpointId>
  chooseFurtherChecks(const EndpointDirectory &Endpoints,
                      const Filter &HasCheck, std::span<const EndpointId> Tried,
                      std::mt19937_64 &Random) const;
  /// Records the end of a round of health checks. Returns whether isIsolated()
  /// has changed.
  bool onChecksEnded(std::size_t Checks, CheckResult Result, Instant Now);

  bool isIsolated() const { return m_IsolatedSince.has_value(); }
  /// The host is isolated because connections bring no answer. Only an answer
  /// ends this; a connection says nothing.
  bool isSilent() const { return m_IsSilent; }
  /// Since when the host is isolated.
  std::optional<Instant> isolatedSince() const { return m_IsolatedSince; }
  /// When an endpoint was last heard from, on any connection.
  std::optional<Instant> lastHeardAt() const { return m_LastHeardAt; }

private:
  /// Requests have been unanswered for long enough at enough endpoints.
  bool isUnanswered(Instant Now) const;

  std::optional<Instant> m_LastHeardAt;
  /// The first request since then.
  std::optional<Instant> m_UnansweredSince;
  /// The first request since the latest data; connections do not count.
  std::optional<Instant> m_NoDataSince;
  /// The endpoints that requests have been sent to since then.
  std::set<EndpointId> m_UnansweredEndpoints;
  std::optional<Instant> m_LastRoundAt;
  std::optional<Instant> m_LastChecksAt;
  std::optional<Instant> m_IsolatedSince;
  bool m_IsSilent = false; ///< The reason why the host is isolated.
  bool m_IsSuspicious = false;
};

} // namespace sff::serving
