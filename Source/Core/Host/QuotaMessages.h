#pragma once

#include "Common/Identity/Ids.h"
#include "Core/Quota/GrantMessages.h"
#include "Core/Quota/QuotaLimits.h"

#include <string_view>
#include <vector>

namespace sff::host {

constexpr std::string_view QuotaPath = "/v1/quota";

/// What a host has used of the quotas of tenants, and what it needs. Sent to
/// the holder of the order lease of an availability zone, which is the lessor
/// of the zone's own part of each quota, and of the shared part of the tenants
/// that are assigned to the zone.
struct QuotaReport {
  ZoneId m_Zone;
  quota::QuotaScope m_Scope = quota::QuotaScope::Zone;
  HostId m_Process; ///< The host and its incarnation: use ends with a process.
  std::vector<quota::GrantRequest> m_Requests;

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("zone", &QuotaReport::m_Zone),
                           field("scope", &QuotaReport::m_Scope),
                           field("process", &QuotaReport::m_Process),
                           field("requests", &QuotaReport::m_Requests));
  }
};

struct QuotaResponse {
  bool m_IsLessor = false; ///< The receiver is the lessor of the zone.
  std::vector<quota::Grant> m_Grants;

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("lessor", &QuotaResponse::m_IsLessor),
                           field("grants", &QuotaResponse::m_Grants));
  }
};

} // namespace sff::host
