#pragma once

#include "Host/HostState.h"

#include <map>
#include <set>

namespace sff::host {

/// Renews this host's membership in the groups whose holder may send orders to
/// the endpoints of an availability zone, and caches the holder of each zone. A
/// host joins the group of its own zone, and of each zone that has no holder.
/// Thread safety: use from the host's io_context only.
class OrderLeases {
public:
  /// \p Member is this host's own peer address.
  OrderLeases(HostState &State, std::string Member)
      : m_State(State), m_Member(std::move(Member)) {}

  void start();
  /// Leaves all groups, so that other hosts need not wait for the leases to
  /// expire.
  Task<void> release();

  /// The fencing token for an order that is sent now, or nothing when this host
  /// does not hold the lease.
  std::optional<serving::FencingToken> tokenForOrder(const ZoneId &Zone) const;
  /// Whether this host is the only holder of the lease. It may still have to
  /// wait before it sends orders.
  bool isHolder(const ZoneId &Zone) const;
  void onTokenRejected(const ZoneId &Zone, serving::FencingToken Token);

  /// The peer address of the holder, or nothing when it is not known. Queries
  /// the store at most once a second for each zone.
  Task<std::optional<std::string>> findHolder(ZoneId Zone);
  /// The same without a query to the store.
  std::optional<std::string> knownHolder(const ZoneId &Zone) const;
  /// Removes the cached holder, which did not respond or is no longer the
  /// holder.
  void invalidateHolder(const ZoneId &Zone);
  const std::string &member() const { return m_Member; }

private:
  /// Minimum interval between queries to the store for the holder of a zone.
  static constexpr milliseconds MinQueryInterval{1000};

  struct ZoneHolder {
    std::string m_Member;
    Instant m_QueriedAt;
    bool m_HadNoHolder = false; ///< The store's last response named no holder.
    serving::CallBackoff m_Backoff{MinQueryInterval};
    /// No query before this unless the store has come back.
    Instant m_NextQueryAt;
  };

  Task<void> renewPeriodically(ZoneId Zone);
  /// Sets when the store may be asked again for the holder of the zone.
  void onHolderQuery(const ZoneId &Zone, bool WasAnswered);
  /// Returns whether the store has answered.
  Task<bool> renew(ZoneId Zone);
  /// Waits until the next renewal, given whether the last one was answered.
  Task<void> waitToRenew(ZoneId Zone, bool WasAnswered,
                         serving::CallBackoff &Backoff);
  /// Leaves the group of the zone while this host reaches no endpoint.
  Task<void> withdraw(ZoneId Zone);
  void joinZone(const ZoneId &Zone);
  /// Gives up what the store may never have granted, as it says since its
  /// restore.
  void onStoreRestored();
  Duration leaseTerm() const;

  HostState &m_State;
  std::string m_Member;
  bool m_Released = false;
  std::map<ZoneId, serving::OrderLease> m_Leases;
  std::map<ZoneId, serving::FencingToken> m_Generations;
  std::map<ZoneId, ZoneHolder> m_Holders;
};

} // namespace sff::host
