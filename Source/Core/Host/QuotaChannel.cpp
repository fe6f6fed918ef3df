#include "Host/QuotaChannel.h"

#include "Host/PeerCall.h"

#include <utility>

namespace sff::host {

namespace {

/// Longest wait of a request for a lessor. Several times the delay of a call
/// between zones.
constexpr milliseconds AskTimeout{150};
/// Time without requests to a lessor that gave no answer.
constexpr milliseconds SilencePause{500};

/// Shortest time between two looks for another holder. Each may be a call to
/// the store.
constexpr milliseconds LookupInterval{3000};

} // namespace

QuotaChannel::QuotaChannel(HostState &State, OrderLeases &Leases, ZoneId Zone,
                           quota::QuotaScope Scope, Duration Window,
                           Handler HandleLocally)
    : m_State(State), m_Leases(Leases), m_Zone(std::move(Zone)), m_Scope(Scope),
      m_Window(Window), m_HandleLocally(std::move(HandleLocally)),
      m_Peers(State.m_Context.get_executor()) {}

quota::TenantAllowance &QuotaChannel::allowance(const std::string &Tenant) {
  // Numbers of requests go on when an allowance is created anew.
  const std::int64_t LastNumber =
      toMilliseconds(bootTime().time_since_epoch()).count();
  return m_Allowances.try_emplace(Tenant, Tenant, m_Window, LastNumber)
      .first->second;
}

Task<bool> QuotaChannel::take(std::string Tenant, double Cost) {
  allowance(Tenant).recordDemand(Cost, bootTime());
  if (allowance(Tenant).tryTake(Cost, bootTime()))
    co_return true;
  if (!allowance(Tenant).mayAsk(bootTime()) || bootTime() < m_SilentUntil)
    co_return false;
  co_await awaitGrant(Tenant, Cost);
  co_return allowance(Tenant).tryTake(Cost, bootTime());
}

Task<void> QuotaChannel::awaitGrant(const std::string &Tenant, double Cost) {
  m_Needed[Tenant] += Cost;
  if (!std::exchange(m_IsAsking, true))
    m_State.spawn("ask_quota", ask());
  // A report that is under way does not include this request.
  const std::int64_t Report = m_Reports + 1;
  const Instant Until = now() + AskTimeout;
  while (m_AnsweredReports < Report && now() < Until)
    co_await m_Answered.wait(Until - now());
}

void QuotaChannel::refund(const std::string &Tenant, double Cost,
                          Instant TakenAt) {
  if (const auto Found = m_Allowances.find(Tenant); Found != m_Allowances.end())
    Found->second.refund(Cost, TakenAt, bootTime());
}

Task<void> QuotaChannel::ask() {
  while (!m_Needed.empty()) {
    co_await exchange();
    if (bootTime() >= m_SilentUntil || m_Needed.empty())
      continue;
    // Requests that came meanwhile get no report of their own.
    m_Needed.clear();
    m_AnsweredReports = ++m_Reports;
    m_Answered.notifyAll();
  }
  m_IsAsking = false;
}

Task<void> QuotaChannel::report() {
  std::erase_if(m_Allowances, [](const auto &Entry) {
    return !Entry.second.isActive(bootTime());
  });
  if (m_Allowances.empty() || m_IsAsking)
    co_return;
  m_IsAsking = true;
  // Looks the holder up if it is not known.
  co_await m_Leases.findHolder(m_Zone);
  co_await exchange();
  co_await ask();
}

QuotaReport QuotaChannel::makeReport() {
  QuotaReport Result;
  Result.m_Zone = m_Zone;
  Result.m_Scope = m_Scope;
  Result.m_Process =
      HostId(m_Leases.member() + "/" + m_State.m_Identity.m_Incarnation);
  const auto Needed = std::exchange(m_Needed, {});
  for (auto &[Tenant, Allowance] : m_Allowances) {
    if (!Allowance.isActive(bootTime()))
      continue;
    const auto Found = Needed.find(Tenant);
    Result.m_Requests.push_back(Allowance.makeRequest(
        Found == Needed.end() ? 0 : Found->second, bootTime()));
  }
  return Result;
}

Task<void> QuotaChannel::exchange() {
  ++m_Reports;
  const QuotaReport Report = makeReport();
  const auto Lessor = m_Leases.knownHolder(m_Zone);
  std::optional<QuotaResponse> Answer;
  if (Lessor && !Report.m_Requests.empty())
    Answer = co_await send(*Lessor, Report);
  if (Answer)
    for (const quota::Grant &Grant : Answer->m_Grants)
      if (const auto Found = m_Allowances.find(Grant.m_Tenant);
          Found != m_Allowances.end())
        Found->second.onGrant(Grant, bootTime());
  const bool IsGranted = Answer && Answer->m_IsLessor;
  if (!IsGranted && !Report.m_Requests.empty()) {
    m_SilentUntil = bootTime() + SilencePause;
    lookUpHolder();
  }
  m_AnsweredReports = m_Reports;
  m_Answered.notifyAll();
}

void QuotaChannel::lookUpHolder() {
  if (bootTime() < m_NextLookupAt)
    return;
  m_NextLookupAt = bootTime() + LookupInterval;
  m_Leases.invalidateHolder(m_Zone);
}

Task<std::optional<QuotaResponse>> QuotaChannel::send(std::string Lessor,
                                                      QuotaReport Report) {
  if (Lessor == m_Leases.member())
    co_return m_HandleLocally(Report);
  co_return co_await callPeer<QuotaResponse>(
      m_Peers, std::move(Lessor), QuotaPath, std::move(Report), AskTimeout);
}

} // namespace sff::host
