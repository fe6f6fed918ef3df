#include "Host/OrderLeases.h"

namespace sff::host {

namespace {

constexpr auto LogCategory = log::Category::Ownership;

/// More than one renewal per lease term, so that one lost renewal does not end
/// the lease.
constexpr int RenewalsPerTerm = 3;
/// A holder whose renewals get no answer may give orders for a term after the
/// last attempt, so it must not wait for longer.
constexpr double MaxHolderDelay = 0.7;
/// Hosts with a lower CPU share join the group of their zone only when it has
/// no holder.
constexpr double MinHolderCpuShare = 0.2;

} // namespace

Duration OrderLeases::leaseTerm() const {
  return m_State.m_Settings.get(LeaseSetting);
}

void OrderLeases::onStoreRestored() {
  for (auto &[Zone, Lease] : m_Leases) {
    if (Lease.holds())
      log::info(LogCategory, "orders.withdrawn",
                {{"zone", Zone}, {"cause", "store_restored"}});
    Lease.onReleased();
  }
  m_Holders.clear();
}

void OrderLeases::start() {
  m_State.m_Platform.m_Store->onRestored([this] { onStoreRestored(); });
  m_State.m_Links.onChange([this] {
    if (!m_State.m_Links.isIsolated() || m_Released)
      return;
    for (const auto &[Zone, Lease] : m_Leases)
      m_State.spawn("withdraw_orders", withdraw(Zone));
  });
  // A host with a small CPU share leaves the lease to other hosts of the zone.
  // If there are none, findHolder() finds no holder and joins the group then.
  if (m_State.m_Settings.get(CpuShareSetting) >= MinHolderCpuShare)
    joinZone(m_State.m_Zone);
}

void OrderLeases::joinZone(const ZoneId &Zone) {
  const bool Fences = m_State.m_Settings.get(FencingSetting);
  if (!m_Leases.try_emplace(Zone, leaseTerm(), Fences).second)
    return;
  log::info(LogCategory, "orders.member", {{"zone", Zone}});
  m_State.spawn("keep_rights", renewPeriodically(Zone));
}

Task<void> OrderLeases::renewPeriodically(ZoneId Zone) {
  serving::CallBackoff Backoff(leaseTerm() / RenewalsPerTerm);
  while (!m_Released) {
    bool IsAnswered = true;
    // A holder that reaches no endpoint can carry out no order.
    if (m_State.m_Links.isIsolated())
      co_await withdraw(Zone);
    else
      IsAnswered = co_await renew(Zone);
    co_await waitToRenew(Zone, IsAnswered, Backoff);
  }
}

Task<void> OrderLeases::waitToRenew(ZoneId Zone, bool WasAnswered,
                                    serving::CallBackoff &Backoff) {
  if (WasAnswered) {
    Backoff.onAnswer();
    co_await sleepFor(leaseTerm() / RenewalsPerTerm);
    co_return;
  }
  Duration Delay = m_State.m_StoreStatus.delay(Backoff);
  if (m_Leases.at(Zone).holds())
    Delay =
        std::min(Delay, fromSeconds(MaxHolderDelay * toSeconds(leaseTerm())));
  co_await m_State.m_StoreStatus.waitForReturn(Delay);
}

Task<bool> OrderLeases::renew(ZoneId Zone) {
  const Instant SentAt = bootTime();
  const auto Answer = co_await m_State.m_Platform.m_Store->join(
      Zone, m_Member, toMilliseconds(leaseTerm()), m_Generations[Zone]);
  m_State.m_Metrics.onStoreCall("join", Answer.has_value());
  serving::OrderLease &Lease = m_Leases.at(Zone);
  if (m_Released || m_State.m_Links.isIsolated())
    co_return true;
  if (!Answer) {
    Lease.onStoreUnreachable(SentAt);
    co_return false;
  }
  const bool Held = Lease.holds();
  Lease.onRenewed({SentAt, Answer->m_Generation, Answer->m_IsHolder},
                  bootTime());
  if (Held != Answer->m_IsHolder)
    log::info(LogCategory,
              Answer->m_IsHolder ? "orders.acquired" : "orders.lost",
              {{"zone", Zone}, {"token", Answer->m_Generation}});
  // A new generation means that the holder may have changed.
  if (m_Generations[Zone] != Answer->m_Generation)
    invalidateHolder(Zone);
  m_Generations[Zone] = Answer->m_Generation;
  co_return true;
}

Task<void> OrderLeases::withdraw(ZoneId Zone) {
  serving::OrderLease &Lease = m_Leases.at(Zone);
  if (Lease.holds())
    log::info(LogCategory, "orders.withdrawn", {{"zone", Zone}});
  Lease.onReleased();
  invalidateHolder(Zone);
  co_await m_State.m_Platform.m_Store->leave(Zone, m_Member);
}

Task<void> OrderLeases::release() {
  m_Released = true;
  for (auto &[Zone, Lease] : m_Leases) {
    Lease.onReleased();
    co_await m_State.m_Platform.m_Store->leave(Zone, m_Member);
  }
}

std::optional<serving::FencingToken>
OrderLeases::tokenForOrder(const ZoneId &Zone) const {
  const auto Found = m_Leases.find(Zone);
  if (Found == m_Leases.end())
    return std::nullopt;
  return Found->second.tokenForOrder(bootTime());
}

void OrderLeases::onTokenRejected(const ZoneId &Zone,
                                  serving::FencingToken Token) {
  const auto Found = m_Leases.find(Zone);
  if (Found == m_Leases.end())
    return;
  Found->second.onTokenRejected(Token);
  log::warning(LogCategory, "orders.fenced",
               {{"zone", Zone}, {"token", Token}});
}

std::optional<std::string> OrderLeases::knownHolder(const ZoneId &Zone) const {
  if (const auto Found = m_Leases.find(Zone);
      Found != m_Leases.end() && Found->second.holds())
    return m_Member;
  const auto Found = m_Holders.find(Zone);
  if (Found == m_Holders.end() || Found->second.m_Member.empty())
    return std::nullopt;
  return Found->second.m_Member;
}

void OrderLeases::onHolderQuery(const ZoneId &Zone, bool WasAnswered) {
  // The entry may have been removed during the query.
  ZoneHolder &Queried = m_Holders[Zone];
  if (WasAnswered) {
    Queried.m_Backoff.onAnswer();
    Queried.m_NextQueryAt = Instant();
    return;
  }
  Queried.m_NextQueryAt =
      now() + m_State.m_StoreStatus.delay(Queried.m_Backoff);
}

Task<std::optional<std::string>> OrderLeases::findHolder(ZoneId Zone) {
  if (auto Known = knownHolder(Zone))
    co_return Known;
  ZoneHolder &Holder = m_Holders[Zone];
  const bool HasReturned =
      m_State.m_StoreStatus.regainedAt() > Holder.m_QueriedAt;
  if (!HasReturned && (now() - Holder.m_QueriedAt < MinQueryInterval ||
                       now() < Holder.m_NextQueryAt))
    co_return std::nullopt;
  Holder.m_QueriedAt = now();
  const auto Answer = co_await m_State.m_Platform.m_Store->findHolder(Zone);
  m_State.m_Metrics.onStoreCall("holder", Answer.has_value());
  onHolderQuery(Zone, Answer.has_value());
  if (!Answer)
    co_return std::nullopt;
  if (Answer->empty()) {
    // The members may still be starting, so join only when the store names no
    // holder twice in a row.
    if (std::exchange(m_Holders[Zone].m_HadNoHolder, true))
      joinZone(Zone);
    co_return std::nullopt;
  }
  m_Holders[Zone].m_Member = *Answer;
  m_Holders[Zone].m_HadNoHolder = false;
  log::info(LogCategory, "orders.holder",
            {{"zone", Zone}, {"holder", *Answer}});
  co_return *Answer;
}

bool OrderLeases::isHolder(const ZoneId &Zone) const {
  const auto Found = m_Leases.find(Zone);
  return Found != m_Leases.end() && Found->second.holdsAlone(bootTime());
}

void OrderLeases::invalidateHolder(const ZoneId &Zone) {
  if (const auto Found = m_Holders.find(Zone); Found != m_Holders.end())
    Found->second.m_Member.clear();
}

} // namespace sff::host
