#pragma once

#include "Core/Serving/RelayTargets.h"
#include "Host/HostState.h"

#include <memory>
#include <set>
#include <span>
#include <string>

namespace sff::host {

/// Prefix of the paths at which a host takes requests from hosts that are cut
/// off from the endpoints. The rest is the target of the caller's request.
constexpr std::string_view RelayPrefix = "/v1/relay";
/// Header of an answer by which a host declines to take a request. The request
/// has not run, and another host may take it.
constexpr std::string_view RelayDeclinedHeader = "Relay-Declined";
/// Value of the header of a host that may take other requests.
constexpr std::string_view RelayDeclinedForRoute = "route";
/// Header that a host adds to its own answers to requests that other hosts have
/// passed on, with one of the values below. An answer with neither this header
/// nor the seal of an endpoint comes from a process that is no host, or from an
/// older one, and proves nothing.
constexpr std::string_view RelayOutcomeHeader = "Relay-Outcome";
constexpr std::string_view RelayOutcomeNotRun = "not-run";
constexpr std::string_view RelayOutcomeUnknown = "unknown";

/// Header by which a host names the endpoint whose answer it passes back to the
/// host that has passed the request on.
constexpr std::string_view RelayEndpointHeader = "Relay-Endpoint";

/// Path at which a host that works answers at once. Older hosts answer with
/// status 400, which shows as much.
constexpr std::string_view AlivePath = "/v1/alive";

/// A request on its way to another host, which counts as running there until
/// the object is destroyed.
struct RelayedCall {
  HostId m_Host;
  std::shared_ptr<void> m_Running;
  /// A failed connection unless the host's address is valid.
  http::OpenResult m_Result = http::TransportFailure();
};

/// Passes requests on to other hosts while this host is cut off from all
/// endpoints. A host never passes on what another host has passed on to it.
/// Thread safety: use from the host's io_context only.
class PeerRelay {
public:
  /// Longer than a host under load needs for an answer that takes no work.
  static constexpr milliseconds AliveTimeout{300};

  /// \p Member is this host's own peer address.
  PeerRelay(HostState &State, std::string Member);

  /// Records the peer addresses of hosts that are known to run.
  void onNamed(std::span<const HostId> Hosts);
  /// Returns a host that takes requests, as far as is known, and is not in
  /// \p Tried.
  std::optional<HostId> choose(const std::set<HostId> &Tried) {
    return m_Targets.choose(Tried, now());
  }
  /// Sends \p Message, which is addressed to an endpoint's service, to another
  /// host and waits for the head of the answer.
  Task<RelayedCall> open(HostId Host, http::Request Message,
                         http::ClientOptions Options);
  /// Returns whether the host itself answers within AliveTimeout, however long
  /// the requests take that it works on.
  Task<bool> isAlive(HostId Host);
  /// Called when the host has declined a request or did not answer.
  void onFailed(const HostId &Host) { m_Targets.onFailed(Host, now()); }

private:
  std::string m_Member;
  http::Client m_Peers;
  serving::RelayTargets m_Targets;
};

} // namespace sff::host
