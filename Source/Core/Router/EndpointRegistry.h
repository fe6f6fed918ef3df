#pragma once

#include "Core/Routing/EndpointPicker.h"
#include "Core/Routing/PrefixIndex.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace sff::router {

/// Per-endpoint data that this router collects from its own traffic: load,
/// cached prefixes, failed probes, and reservations for requests that are
/// suspected of crashing endpoints.
/// Thread safety: none.
class EndpointRegistry {
public:
  void onDispatched(const EndpointId &Endpoint, std::string_view Prompt,
                    Instant Now);
  void onFinished(const EndpointId &Endpoint, Instant Now);

  /// Excludes an endpoint that failed a probe from new work until \p Until.
  void onDown(const EndpointId &Endpoint, Instant Until);
  bool isDown(const EndpointId &Endpoint, Instant Now) const;
  /// Time from which the endpoint gets work again; in the past if it is not
  /// down.
  Instant downUntil(const EndpointId &Endpoint) const;

  /// Number of this router's requests that run at the endpoint.
  std::int64_t running(const EndpointId &Endpoint) const;

  /// Reserves the endpoint for a request that is suspected of crashing
  /// endpoints; other requests are not placed there.
  void reserve(const EndpointId &Endpoint, const RequestId &Request);
  void unreserve(const EndpointId &Endpoint);
  /// True if the endpoint is reserved for another request.
  bool isReservedFromOthers(const EndpointId &Endpoint,
                            const RequestId &Request) const;

  /// Number of tokens of \p Prompt that are probably cached at the endpoint,
  /// estimated from its cache events and from this router's recent requests.
  std::int64_t prefixTokens(const EndpointId &Endpoint,
                            std::string_view Prompt) const;
  double load(const EndpointId &Endpoint, Instant Now) const {
    return m_Load.estimate(Endpoint, Now);
  }

  routing::LoadEstimator &loadView() { return m_Load; }
  routing::PrefixIndex &prefixIndex() { return m_Prefixes; }
  /// Endpoints that have run a request of this router since \p Since.
  std::vector<EndpointId> usedSince(Instant Since) const;

private:
  struct EndpointState {
    std::int64_t m_Running = 0;
    Instant m_LastUse;
    Instant m_DownUntil;
    RequestId m_ReservedFor;
  };

  void recordPrefixes(const EndpointId &Endpoint, std::string_view Prompt);

  std::map<EndpointId, EndpointState> m_Endpoints;
  routing::LoadEstimator m_Load;
  routing::PrefixIndex m_Prefixes;
  std::unordered_map<std::uint64_t, EndpointId> m_OwnPrefixes;
  std::deque<std::uint64_t> m_OwnPrefixOrder;
};

} // namespace sff::router
