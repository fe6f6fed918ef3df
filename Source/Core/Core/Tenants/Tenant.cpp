#include "Core/Tenants/Tenant.h"

#include <algorithm>
#include <functional>

namespace sff::tenants {

TenantIndex::TenantIndex(std::vector<Tenant> Tenants)
    : m_Tenants(std::move(Tenants)) {
  for (std::size_t Index = 0; Index < m_Tenants.size(); ++Index)
    for (const std::string &Key : m_Tenants[Index].m_Keys)
      m_ByKeyHash.emplace(std::hash<std::string_view>()(Key), Index);
}

const Tenant *TenantIndex::find(std::string_view Key) const {
  if (Key.empty() || Key.size() > MaxKeyBytes)
    return nullptr;
  const auto [Begin, End] =
      m_ByKeyHash.equal_range(std::hash<std::string_view>()(Key));
  // Equal hashes are in the order of the list.
  for (auto Entry = Begin; Entry != End; ++Entry) {
    const Tenant &Candidate = m_Tenants[Entry->second];
    if (std::ranges::find(Candidate.m_Keys, Key) != Candidate.m_Keys.end())
      return &Candidate;
  }
  return nullptr;
}

const Tenant *TenantIndex::findByName(std::string_view Name) const {
  const auto Found = std::ranges::find(m_Tenants, Name, &Tenant::m_Name);
  return Found == m_Tenants.end() ? nullptr : &*Found;
}

} // namespace sff::tenants
