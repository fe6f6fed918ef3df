#include "Host/QuotaService.h"

#include <algorithm>
#include <random>
#include <utility>

namespace sff::host {

namespace {

using quota::QuotaScope;

constexpr auto LogCategory = log::Category::Routing;

constexpr milliseconds ReportInterval{1000};
/// How often a host looks whether it has become a lessor.
constexpr milliseconds LeaseCheckInterval{250};

quota::QuotaTolerance toleranceOf(const settings::Settings &Values) {
  quota::QuotaTolerance Result;
  Result.m_Window = fromSeconds(Values.get(QuotaWindowSetting));
  Result.m_Overshoot = Values.get(QuotaOvershootSetting);
  Result.m_Slack = Values.get(QuotaSlackSetting);
  return Result;
}

std::vector<ZoneId> zonesOf(const HostState &State) {
  std::vector<ZoneId> Result;
  for (const std::string &Name : State.m_Settings.get(ZonesSetting))
    Result.emplace_back(Name);
  if (Result.empty())
    Result.push_back(State.m_Zone);
  std::ranges::sort(Result);
  return Result;
}

} // namespace

QuotaService::QuotaService(HostState &State, OrderLeases &Leases)
    : m_State(State), m_Leases(Leases),
      m_Tolerance(toleranceOf(State.m_Settings)), m_Zones(zonesOf(State)),
      m_OwnZone(
          State, Leases, State.m_Zone, QuotaScope::Zone, m_Tolerance.m_Window,
          [this](const QuotaReport &Report) { return onReport(Report); }) {
  for (const ZoneId &Zone : m_Zones)
    m_Shared.try_emplace(
        Zone, State, Leases, Zone, QuotaScope::Shared, m_Tolerance.m_Window,
        [this](const QuotaReport &Report) { return onReport(Report); });
}

void QuotaService::start() {
  m_State.spawn("follow_quota_leases", followLeasesPeriodically());
  m_State.spawn("report_quotas", reportPeriodically(m_OwnZone));
  for (auto &[Zone, Channel] : m_Shared)
    m_State.spawn("report_quotas", reportPeriodically(Channel));
}

std::optional<quota::QuotaLimits>
QuotaService::limitsOf(const std::string &Tenant) const {
  if (!m_State.m_Catalogue)
    return std::nullopt;
  const tenants::Tenant *Owner =
      m_State.m_Catalogue->m_Tenants.findByName(Tenant);
  return Owner ? quota::limitsOf(Owner->m_Quota, m_Tolerance) : std::nullopt;
}

const ZoneId &QuotaService::sharedZoneOf(const std::string &Tenant) const {
  return m_Zones[std::hash<std::string>()(Tenant) % m_Zones.size()];
}

QuotaChannel &QuotaService::channel(const std::string &Tenant,
                                    QuotaScope Scope) {
  if (Scope == QuotaScope::Zone)
    return m_OwnZone;
  return m_Shared.at(sharedZoneOf(Tenant));
}

Task<QuotaDecision>
QuotaService::take(std::string Tenant, std::optional<std::int64_t> PromptTokens,
                   std::optional<std::int64_t> OutputTokens) {
  QuotaDecision Result;
  const auto Limits = limitsOf(Tenant);
  if (!Limits)
    co_return Result;
  Result.m_Cost =
      quota::costOf(m_State.m_Catalogue->m_Tenants.findByName(Tenant)->m_Quota,
                    PromptTokens, OutputTokens);
  m_State.m_Metrics.onQuota(Tenant, "requested", Result.m_Cost);
  QuotaScope Scope = QuotaScope::Shared;
  Result.m_Fits = co_await channel(Tenant, Scope).take(Tenant, Result.m_Cost);
  if (!Result.m_Fits) {
    Scope = QuotaScope::Zone;
    m_OwnZone.allowance(Tenant).setReserve(Limits->hostReserve(m_State.hosts()),
                                           bootTime());
    Result.m_Fits = co_await m_OwnZone.take(Tenant, Result.m_Cost);
  }
  m_State.m_Metrics.onQuota(Tenant, Result.m_Fits ? "admitted" : "rejected",
                            Result.m_Cost);
  const quota::TenantAllowance &Shared =
      channel(Tenant, QuotaScope::Shared).allowance(Tenant);
  Result.m_Held = Shared.held(bootTime());
  Result.m_RetryAfter = Shared.retryAfter();
  if (const auto Age = Shared.grantAge(bootTime()))
    Result.m_GrantAge = toMilliseconds(*Age);
  if (Result.m_Fits)
    Result.m_Use =
        QuotaUse{std::move(Tenant), Scope, Result.m_Cost, bootTime()};
  co_return Result;
}

void QuotaService::refund(const QuotaUse &Use) {
  channel(Use.m_Tenant, Use.m_Scope)
      .refund(Use.m_Tenant, Use.m_Cost, Use.m_TakenAt);
  m_State.m_Metrics.onQuota(Use.m_Tenant, "refunded", Use.m_Cost);
}

Task<void> QuotaService::reportPeriodically(QuotaChannel &Reporting) {
  // Hosts that start together must not report together.
  std::mt19937 Random(std::random_device{}());
  std::uniform_int_distribution<std::int64_t> Offset(0, ReportInterval.count());
  co_await sleepFor(milliseconds(Offset(Random)));
  while (true) {
    co_await sleepFor(ReportInterval);
    co_await Reporting.report();
  }
}

Task<void> QuotaService::followLeasesPeriodically() {
  while (true) {
    co_await sleepFor(LeaseCheckInterval);
    followLeases();
  }
}

void QuotaService::followLeases() {
  for (const ZoneId &Zone : m_Zones) {
    const bool IsLessor = m_Leases.isHolder(Zone);
    for (const QuotaScope Scope : {QuotaScope::Shared, QuotaScope::Zone}) {
      const LedgerKey Key(Zone, Scope);
      if (!IsLessor) {
        m_Ledgers.erase(Key);
        continue;
      }
      const auto [Entry, IsNew] =
          m_Ledgers.try_emplace(Key, m_Tolerance.m_Window);
      if (!IsNew)
        continue;
      Entry->second.begin(bootTime());
      log::info(LogCategory, "quota.lessor",
                {{"zone", Zone}, {"scope", Scope}});
    }
  }
}

QuotaResponse QuotaService::onReport(const QuotaReport &Report) {
  QuotaResponse Result;
  followLeases();
  const auto Ledger = m_Ledgers.find({Report.m_Zone, Report.m_Scope});
  if (Ledger == m_Ledgers.end())
    return Result;
  Result.m_IsLessor = true;
  for (const quota::GrantRequest &Request : Report.m_Requests) {
    // A host with other zones in its settings may ask another lessor.
    if (Report.m_Scope == QuotaScope::Shared &&
        sharedZoneOf(Request.m_Tenant) != Report.m_Zone)
      continue;
    const auto Limits = limitsOf(Request.m_Tenant);
    const quota::QuotaBudget Budget =
        Limits ? Limits->budget(Report.m_Scope, m_Zones.size())
               : quota::QuotaBudget();
    Result.m_Grants.push_back(Ledger->second.onRequest(
        Report.m_Process, Request, Budget, bootTime()));
    if (Report.m_Scope == QuotaScope::Shared)
      m_State.m_Metrics.setQuotaUsed(
          Request.m_Tenant, Ledger->second.used(Request.m_Tenant, bootTime()));
  }
  return Result;
}

} // namespace sff::host
