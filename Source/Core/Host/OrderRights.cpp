#include "Host/OrderRights.h"

namespace sff::host {

namespace {

constexpr auto Part = log::Category::Ownership;

/// Renewals within one term, so that one lost renewal does not end the lease.
constexpr int RenewalsPerTerm = 3;
/// The store is asked for a zone's holder at most this often.
constexpr milliseconds HolderAskPeriod{1000};
/// Processor share below which a host gives orders only for lack of others.
constexpr double LeastHolderShare = 0.2;

} // namespace

Duration OrderRights::term() const {
  return m_State.m_Settings.get(LeaseSetting);
}

void OrderRights::start() {
  // Another host of the zone is the better holder; where there is none, the
  // first demand finds no holder and this host steps in.
  if (m_State.m_Settings.get(CpuShareSetting) >= LeastHolderShare)
    cover(m_State.m_Zone);
}

void OrderRights::cover(const ZoneId &Zone) {
  const bool Fences = m_State.m_Settings.get(FencingSetting);
  if (!m_Leases.try_emplace(Zone, term(), Fences).second)
    return;
  log::info(Part, "orders.member", {{"zone", Zone}});
  m_State.spawn("keep_rights", keep(Zone));
}

Task<void> OrderRights::keep(ZoneId Zone) {
  while (!m_Released) {
    co_await renew(Zone);
    co_await sleepFor(term() / RenewalsPerTerm);
  }
}

Task<void> OrderRights::renew(ZoneId Zone) {
  const Instant SentAt = bootTime();
  const auto Answer = co_await m_State.m_Platform.m_Store->join(
      Zone, m_Member, toMilliseconds(term()), m_Generations[Zone]);
  m_State.m_Metrics.onStoreCall("join", Answer.has_value());
  serving::OrderLease &Lease = m_Leases.at(Zone);
  if (m_Released)
    co_return;
  if (!Answer) {
    Lease.onStoreUnreachable(SentAt);
    co_return;
  }
  const bool Held = Lease.holds();
  Lease.onRenewed({SentAt, Answer->m_Generation, Answer->m_Holds}, bootTime());
  if (Held != Answer->m_Holds)
    log::info(Part, Answer->m_Holds ? "orders.acquired" : "orders.lost",
              {{"zone", Zone}, {"token", Answer->m_Generation}});
  // Who holds the right may have changed with the members.
  if (m_Generations[Zone] != Answer->m_Generation)
    forgetHolder(Zone);
  m_Generations[Zone] = Answer->m_Generation;
}

Task<void> OrderRights::release() {
  m_Released = true;
  for (auto &[Zone, Lease] : m_Leases) {
    Lease.onReleased();
    co_await m_State.m_Platform.m_Store->leave(Zone, m_Member);
  }
}

std::optional<serving::FencingToken>
OrderRights::mayOrder(const ZoneId &Zone) const {
  const auto Found = m_Leases.find(Zone);
  if (Found == m_Leases.end())
    return std::nullopt;
  return Found->second.mayOrder(bootTime());
}

void OrderRights::onFenced(const ZoneId &Zone, serving::FencingToken Token) {
  const auto Found = m_Leases.find(Zone);
  if (Found == m_Leases.end())
    return;
  Found->second.onFenced(Token);
  log::warning(Part, "orders.fenced", {{"zone", Zone}, {"token", Token}});
}

Task<std::optional<std::string>> OrderRights::holderOf(ZoneId Zone) {
  if (const auto Found = m_Leases.find(Zone);
      Found != m_Leases.end() && Found->second.holds())
    co_return m_Member;
  KnownHolder Known = m_Holders[Zone];
  if (!Known.m_Member.empty())
    co_return Known.m_Member;
  if (now() - Known.m_AskedAt < HolderAskPeriod)
    co_return std::nullopt;
  m_Holders[Zone].m_AskedAt = now();
  const auto Answer = co_await m_State.m_Platform.m_Store->holderOf(Zone);
  m_State.m_Metrics.onStoreCall("holder", Answer.has_value());
  if (!Answer)
    co_return std::nullopt;
  if (Answer->empty()) {
    // The members may only just be starting; twice empty means none.
    if (std::exchange(m_Holders[Zone].m_SeenEmpty, true))
      cover(Zone);
    co_return std::nullopt;
  }
  m_Holders[Zone].m_Member = *Answer;
  m_Holders[Zone].m_SeenEmpty = false;
  log::info(Part, "orders.holder", {{"zone", Zone}, {"holder", *Answer}});
  co_return *Answer;
}

void OrderRights::forgetHolder(const ZoneId &Zone) {
  if (const auto Found = m_Holders.find(Zone); Found != m_Holders.end())
    Found->second.m_Member.clear();
}

} // namespace sff::host
