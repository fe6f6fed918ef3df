#pragma once

#include "Core/Routing/EndpointPicker.h"
#include "Core/Routing/PrefixIndex.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace sff::router {

/// What this router knows of each endpoint from its own work: load, cached
/// prefixes, failed probes, and whether a suspect request runs there alone.
/// Thread safety: none.
class EndpointRegistry {
public:
  void onDispatched(const EndpointId &Endpoint, std::string_view Prompt,
                    Instant Now);
  void onFinished(const EndpointId &Endpoint, Instant Now);

  /// The endpoint failed a probe and gets no work until \p Until.
  void onDown(const EndpointId &Endpoint, Instant Until);
  bool isDown(const EndpointId &Endpoint, Instant Now) const;
  /// When the endpoint gets work again; in the past if it is not down.
  Instant downUntil(const EndpointId &Endpoint) const;

  /// Own requests that run at the endpoint.
  std::int64_t running(const EndpointId &Endpoint) const;

  /// Keeps the endpoint free of other work for a suspect request.
  void reserve(const EndpointId &Endpoint, const RequestId &Request);
  void unreserve(const EndpointId &Endpoint);
  /// True when another request has reserved the endpoint.
  bool isReservedFromOthers(const EndpointId &Endpoint,
                            const RequestId &Request) const;

  /// Tokens of \p Prompt that are probably cached at the endpoint, from cache
  /// events and from this router's own recent requests.
  std::int64_t prefixTokens(const EndpointId &Endpoint,
                            std::string_view Prompt) const;
  double load(const EndpointId &Endpoint, Instant Now) const {
    return m_Load.estimate(Endpoint, Now);
  }

  routing::LoadView &loadView() { return m_Load; }
  routing::PrefixIndex &prefixIndex() { return m_Prefixes; }
  /// Endpoints with work since \p Since.
  std::vector<EndpointId> usedSince(Instant Since) const;

private:
  struct Entry {
    std::int64_t m_Running = 0;
    Instant m_LastUse;
    Instant m_DownUntil;
    RequestId m_ReservedFor;
  };

  void remember(const EndpointId &Endpoint, std::string_view Prompt);

  std::map<EndpointId, Entry> m_Entries;
  routing::LoadView m_Load;
  routing::PrefixIndex m_Prefixes;
  std::unordered_map<std::uint64_t, EndpointId> m_OwnPrefixes;
  std::deque<std::uint64_t> m_OwnOrder;
};

} // namespace sff::router
