#include "Core/Tenants/CallerIdentity.h"

namespace sff::tenants {

namespace {

bool hasProof(const RevocationPolicy &Policy,
              std::optional<Duration> CatalogueAge) {
  if (!Policy.m_FailsClosed)
    return true;
  return CatalogueAge && *CatalogueAge < Policy.m_MaxAge;
}

} // namespace

CallerIdentity identifyCaller(const serving::Catalogue &Current,
                              const serving::Route &Route, std::string_view Key,
                              const RevocationPolicy &Policy,
                              std::optional<Duration> CatalogueAge) {
  CallerIdentity Result;
  Result.m_HasTenants = !Current.m_Tenants.empty();
  Result.m_Priority = Current.priorityRank(std::nullopt, Route.m_Priority);
  if (!Result.m_HasTenants || Route.m_Anonymous)
    return Result;
  // A newer catalogue may also hold a key that this one lacks.
  if (!hasProof(Policy, CatalogueAge)) {
    Result.m_Kind = CallerKind::Unproven;
    return Result;
  }
  const Tenant *Owner = Current.m_Tenants.find(Key);
  if (!Owner) {
    Result.m_Kind = CallerKind::UnknownKey;
    return Result;
  }
  Result.m_Kind = CallerKind::Tenant;
  Result.m_Tenant = Owner->m_Name;
  Result.m_Priority = Current.priorityRank(Owner->m_Priority, Route.m_Priority);
  return Result;
}

} // namespace sff::tenants
