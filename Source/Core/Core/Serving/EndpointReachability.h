#pragma once

#include "Core/Serving/EndpointDirectory.h"

#include <optional>
#include <random>
#include <span>
#include <vector>

namespace sff::serving {

/// Tells the loss of this host's own links from the loss of endpoints. A host
/// is isolated when new connections to endpoints of all availability zones
/// fail; one that has lost the path to some endpoints only is not. Decides when
/// to probe and what a round of probes means; the caller connects. Thread
/// safety: none.
class EndpointReachability {
public:
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

  void onRequestSent(Instant Now);
  /// Records data from an endpoint on any connection.
  void onData(Instant Now);
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

  bool isIsolated() const { return m_IsolatedSince.has_value(); }
  /// Since when the host is isolated.
  std::optional<Instant> isolatedSince() const { return m_IsolatedSince; }
  /// When an endpoint was last heard from, on any connection.
  std::optional<Instant> lastHeardAt() const { return m_LastHeardAt; }

private:
  std::optional<Instant> m_LastHeardAt;
  /// The first request since then.
  std::optional<Instant> m_UnansweredSince;
  std::optional<Instant> m_LastRoundAt;
  std::optional<Instant> m_IsolatedSince;
  bool m_IsSuspicious = false;
};

} // namespace sff::serving
