#pragma once

#include "Host/HostState.h"

#include <map>
#include <set>

namespace sff::host {

/// Keeps this host's membership in the groups that carry the right to order in
/// an availability zone, and knows who holds the right of each zone. A host is
/// a member for its own zone, and for a zone that no other host covers.
/// Thread safety: use from the host's io_context only.
class OrderRights {
public:
  /// \p Member is the address at which other hosts reach this one.
  OrderRights(HostState &State, std::string Member)
      : m_State(State), m_Member(std::move(Member)) {}

  void start();
  /// Gives all rights back, so that others need not wait for the lapse.
  Task<void> release();

  /// The token for an order that leaves now, or nothing.
  std::optional<serving::FencingToken> mayOrder(const ZoneId &Zone) const;
  void onFenced(const ZoneId &Zone, serving::FencingToken Token);

  /// The peer address of the holder, or nothing when it is not known. Asks
  /// the store at most once a second for each zone.
  Task<std::optional<std::string>> holderOf(ZoneId Zone);
  /// The holder did not answer or is no longer the holder.
  void forgetHolder(const ZoneId &Zone);
  const std::string &member() const { return m_Member; }

private:
  struct KnownHolder {
    std::string m_Member;
    Instant m_AskedAt;
    bool m_SeenEmpty = false; ///< The store named no holder when last asked.
  };

  Task<void> keep(ZoneId Zone);
  Task<void> renew(ZoneId Zone);
  void cover(const ZoneId &Zone);
  Duration term() const;

  HostState &m_State;
  std::string m_Member;
  bool m_Released = false;
  std::map<ZoneId, serving::OrderLease> m_Leases;
  std::map<ZoneId, serving::FencingToken> m_Generations;
  std::map<ZoneId, KnownHolder> m_Holders;
};

} // namespace sff::host
