#include "Core/Quota/QuotaLedger.h"

#include <algorithm>
#include <utility>

namespace sff::quota {

namespace {

/// Share of what is free that one host may hold for requests that have not come
/// yet. The rest is left to hosts whose demand rises.
constexpr double MaxShareAhead = 0.1;
constexpr milliseconds MinRetryAfter{200};

} // namespace

void QuotaLedger::expire(TenantUse &Use, Instant Now) const {
  for (auto &[Host, Entry] : Use.m_Hosts)
    if (Entry.m_Held > 0 && Now >= Entry.m_HeldUntil)
      Entry.m_Spent.add(std::exchange(Entry.m_Held, 0), Entry.m_HeldUntil);
  std::erase_if(Use.m_Hosts, [Now](const auto &Entry) {
    return Entry.second.m_Held == 0 && Entry.second.m_Spent.total(Now) == 0;
  });
}

void QuotaLedger::refill(TenantUse &Use, const QuotaBudget &Budget,
                         Instant Now) const {
  const Instant Since = std::max(Use.m_RefilledAt, m_BegunAt);
  const double Windows = toSeconds(Now - Since) / toSeconds(m_Window);
  Use.m_Bucket =
      std::clamp(Use.m_Bucket + Windows * (Budget.m_Window - Budget.m_AtOnce),
                 0.0, Budget.m_AtOnce);
  Use.m_RefilledAt = Now;
}

double QuotaLedger::sum(const TenantUse &Use, Instant Now) {
  double Result = 0;
  for (const auto &[Host, Entry] : Use.m_Hosts)
    Result += Entry.m_Spent.total(Now) + Entry.m_Held;
  return Result;
}

double QuotaLedger::share(double Wanted, double Needed, double Free) {
  if (Needed > Free)
    return 0;
  // What has come is served first; the rest is held for what may come.
  const double Ahead =
      std::min(Wanted - Needed, MaxShareAhead * (Free - Needed));
  return Needed + std::max(0.0, Ahead);
}

milliseconds QuotaLedger::waitFor(double Needed, double Used, double Bucket,
                                  const QuotaBudget &Budget) const {
  const double PerWindow = Budget.m_Window - Budget.m_AtOnce;
  if (PerWindow <= 0)
    return toMilliseconds(m_Window);
  // The use of a window leaves it at the rate at which the bucket fills, in the
  // mean.
  const double Missing =
      std::max(Needed - Bucket, Used + Needed - Budget.m_Window);
  const Duration Wait =
      fromSeconds(toSeconds(m_Window) * std::max(0.0, Missing) / PerWindow);
  return std::clamp(toMilliseconds(Wait), MinRetryAfter,
                    toMilliseconds(m_Window));
}

Grant QuotaLedger::onRequest(const HostId &Host, const GrantRequest &Request,
                             const QuotaBudget &Budget, Instant Now) {
  TenantUse &Tenant = m_Tenants[Request.m_Tenant];
  expire(Tenant, Now);
  refill(Tenant, Budget, Now);
  HostUse &Use = Tenant.m_Hosts.try_emplace(Host, m_Window).first->second;
  Grant Result;
  Result.m_Tenant = Request.m_Tenant;
  Result.m_Number = Request.m_Number;
  Result.m_Amount = Use.m_Held;
  // A copy, or one that has been overtaken, does not change the records.
  if (Request.m_Number <= Use.m_Number)
    return Result;
  Use.m_Number = Request.m_Number;
  Use.m_Spent.assign(Request.m_Spent, Now);
  Use.m_Held = std::max(0.0, Request.m_Held);
  Use.m_HeldUntil = Now + m_Window;
  Tenant.m_Bucket = std::min(
      Budget.m_AtOnce, Tenant.m_Bucket + std::max(0.0, Request.m_Returned));
  const double Used = sum(Tenant, Now);
  const double Needed =
      std::clamp(Request.m_Needed - Use.m_Held, 0.0, Budget.m_AtOnce);
  const double Wanted = std::max(Needed, Request.m_Wanted - Use.m_Held);
  const bool IsSettled = Now - m_BegunAt >= SettleTime;
  const double Free = std::min(Budget.m_Window - Used, Tenant.m_Bucket);
  const double Added = IsSettled ? share(Wanted, Needed, Free) : 0;
  if (Needed > Added)
    Result.m_RetryAfterMs =
        waitFor(Needed, Used, Tenant.m_Bucket, Budget).count();
  Tenant.m_Bucket -= Added;
  Use.m_Held += Added;
  Result.m_Amount = Use.m_Held;
  return Result;
}

double QuotaLedger::used(const std::string &Tenant, Instant Now) {
  const auto Found = m_Tenants.find(Tenant);
  if (Found == m_Tenants.end())
    return 0;
  expire(Found->second, Now);
  return sum(Found->second, Now);
}

} // namespace sff::quota
