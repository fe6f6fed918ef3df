#include "Host/QuotaService.h"

#include "Host/PeerCall.h"

#include <random>
#include <utility>

namespace sff::host {

namespace {

constexpr auto LogCategory = log::Category::Routing;

/// Longest wait of a request for the lessor. Several times the delay of a call
/// within a zone.
constexpr milliseconds AskTimeout{150};
constexpr milliseconds ReportInterval{1000};
/// How often a host looks whether it has become a lessor.
constexpr milliseconds LeaseCheckInterval{250};
/// Time without requests to a lessor that gave no answer.
constexpr milliseconds SilencePause{500};

quota::QuotaTolerance toleranceOf(const settings::Settings &Values) {
  quota::QuotaTolerance Result;
  Result.m_Window = fromSeconds(Values.get(QuotaWindowSetting));
  Result.m_Overshoot = Values.get(QuotaOvershootSetting);
  Result.m_Slack = Values.get(QuotaSlackSetting);
  return Result;
}

} // namespace

QuotaService::QuotaService(HostState &State, OrderLeases &Leases)
    : m_State(State), m_Leases(Leases), m_Peers(State.m_Context.get_executor()),
      m_Tolerance(toleranceOf(State.m_Settings)) {}

void QuotaService::start() {
  m_State.spawn("report_quotas", reportPeriodically());
}

std::optional<quota::QuotaLimits>
QuotaService::limitsOf(const std::string &Tenant) const {
  if (!m_State.m_Catalogue)
    return std::nullopt;
  const tenants::Tenant *Owner =
      m_State.m_Catalogue->m_Tenants.findByName(Tenant);
  return Owner ? quota::limitsOf(Owner->m_Quota, m_Tolerance) : std::nullopt;
}

quota::TenantAllowance *QuotaService::allowance(const std::string &Tenant) {
  const auto Limits = limitsOf(Tenant);
  if (!Limits)
    return nullptr;
  auto &Result =
      m_Allowances
          .try_emplace(Tenant, Tenant, m_Tolerance.m_Window,
                       toMilliseconds(bootTime().time_since_epoch()).count())
          .first->second;
  Result.setLimits(*Limits, m_State.hosts(), bootTime());
  return &Result;
}

Task<QuotaDecision>
QuotaService::take(std::string Tenant, std::optional<std::int64_t> PromptTokens,
                   std::optional<std::int64_t> OutputTokens) {
  QuotaDecision Result;
  quota::TenantAllowance *Allowance = allowance(Tenant);
  if (!Allowance)
    co_return Result;
  Result.m_Cost =
      quota::costOf(m_State.m_Catalogue->m_Tenants.findByName(Tenant)->m_Quota,
                    PromptTokens, OutputTokens);
  m_State.m_Metrics.onQuota(Tenant, "requested", Result.m_Cost);
  Allowance->recordDemand(Result.m_Cost, bootTime());
  Result.m_Fits = Allowance->tryTake(Result.m_Cost, bootTime());
  if (!Result.m_Fits && Allowance->mayAsk(bootTime()) &&
      bootTime() >= m_SilentUntil) {
    m_Needed[Tenant] += Result.m_Cost;
    if (!std::exchange(m_IsAsking, true))
      m_State.spawn("ask_quota", ask());
    co_await m_Answered.wait(AskTimeout);
    // The catalogue may have removed the quota meanwhile.
    Allowance = allowance(Tenant);
    if (!Allowance)
      co_return QuotaDecision();
    Result.m_Fits = Allowance->tryTake(Result.m_Cost, bootTime());
  }
  m_State.m_Metrics.onQuota(Tenant, Result.m_Fits ? "admitted" : "rejected",
                            Result.m_Cost);
  Result.m_Held = Allowance->held(bootTime());
  Result.m_RetryAfter = Allowance->retryAfter();
  if (const auto Age = Allowance->grantAge(bootTime()))
    Result.m_GrantAge = toMilliseconds(*Age);
  if (Result.m_Fits)
    Result.m_Use = QuotaUse{std::move(Tenant), Result.m_Cost, bootTime()};
  co_return Result;
}

void QuotaService::refund(const QuotaUse &Use) {
  const auto Found = m_Allowances.find(Use.m_Tenant);
  if (Found == m_Allowances.end())
    return;
  Found->second.refund(Use.m_Cost, Use.m_TakenAt, bootTime());
  m_State.m_Metrics.onQuota(Use.m_Tenant, "refunded", Use.m_Cost);
}

Task<void> QuotaService::ask() {
  while (!m_Needed.empty()) {
    co_await report();
    m_Answered.notifyAll();
    if (bootTime() < m_SilentUntil)
      m_Needed.clear();
  }
  m_IsAsking = false;
}

QuotaReport QuotaService::makeReport() {
  QuotaReport Result;
  Result.m_Zone = m_State.m_Zone;
  Result.m_Process =
      HostId(m_Leases.member() + "/" + m_State.m_Identity.m_Incarnation);
  const auto Needed = std::exchange(m_Needed, {});
  for (auto &[Tenant, Allowance] : m_Allowances) {
    if (!Allowance.isActive(bootTime()) || !limitsOf(Tenant))
      continue;
    const auto Found = Needed.find(Tenant);
    Result.m_Requests.push_back(Allowance.makeRequest(
        Found == Needed.end() ? 0 : Found->second, bootTime()));
  }
  return Result;
}

Task<void> QuotaService::report() {
  const auto Lessor = m_Leases.knownHolder(m_State.m_Zone);
  if (!Lessor) {
    m_SilentUntil = bootTime() + SilencePause;
    co_return;
  }
  QuotaReport Report = makeReport();
  if (Report.m_Requests.empty())
    co_return;
  const auto Answer = co_await send(*Lessor, std::move(Report));
  if (!Answer || !Answer->m_IsLessor) {
    m_SilentUntil = bootTime() + SilencePause;
    m_Leases.invalidateHolder(m_State.m_Zone);
    co_return;
  }
  for (const quota::Grant &Grant : Answer->m_Grants) {
    const auto Found = m_Allowances.find(Grant.m_Tenant);
    if (Found != m_Allowances.end())
      Found->second.onGrant(Grant, bootTime());
  }
}

Task<std::optional<QuotaResponse>> QuotaService::send(std::string Lessor,
                                                      QuotaReport Report) {
  if (Lessor == m_Leases.member())
    co_return onReport(Report);
  co_return co_await callPeer<QuotaResponse>(
      m_Peers, std::move(Lessor), QuotaPath, std::move(Report), AskTimeout);
}

Task<void> QuotaService::reportPeriodically() {
  // Hosts that start together must not report together.
  std::mt19937 Random(std::random_device{}());
  std::uniform_int_distribution<std::int64_t> Offset(0, ReportInterval.count());
  Instant ReportAt = now() + milliseconds(Offset(Random));
  while (true) {
    co_await sleepFor(LeaseCheckInterval);
    followLeases();
    std::erase_if(m_Allowances, [](const auto &Entry) {
      return !Entry.second.isActive(bootTime());
    });
    if (now() < ReportAt || m_Allowances.empty())
      continue;
    ReportAt = now() + ReportInterval;
    if (m_IsAsking)
      continue;
    // Looks the holder up if it is not known.
    co_await m_Leases.findHolder(m_State.m_Zone);
    if (!std::exchange(m_IsAsking, true)) {
      co_await report();
      m_Answered.notifyAll();
      co_await ask();
    }
  }
}

void QuotaService::followLeases() {
  for (const std::string &Name : m_State.m_Settings.get(ZonesSetting)) {
    const ZoneId Zone(Name);
    const bool IsLessor = m_Leases.tokenForOrder(Zone).has_value();
    if (!IsLessor) {
      m_Ledgers.erase(Zone);
      continue;
    }
    const auto [Entry, IsNew] =
        m_Ledgers.try_emplace(Zone, m_Tolerance.m_Window);
    if (!IsNew)
      continue;
    Entry->second.begin(bootTime());
    log::info(LogCategory, "quota.lessor", {{"zone", Zone}});
  }
}

QuotaResponse QuotaService::onReport(const QuotaReport &Report) {
  QuotaResponse Result;
  followLeases();
  const auto Ledger = m_Ledgers.find(Report.m_Zone);
  if (Ledger == m_Ledgers.end())
    return Result;
  Result.m_IsLessor = true;
  const std::size_t Zones =
      std::max<std::size_t>(m_State.m_Settings.get(ZonesSetting).size(), 1);
  for (const quota::GrantRequest &Request : Report.m_Requests) {
    const auto Limits = limitsOf(Request.m_Tenant);
    const quota::ZoneBudget Budget =
        Limits ? Limits->zoneBudget(Zones) : quota::ZoneBudget();
    Result.m_Grants.push_back(Ledger->second.onRequest(
        Report.m_Process, Request, Budget, bootTime()));
    m_State.m_Metrics.setQuotaUsed(
        Request.m_Tenant, Ledger->second.used(Request.m_Tenant, bootTime()));
  }
  return Result;
}

} // namespace sff::host
