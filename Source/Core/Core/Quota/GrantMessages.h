#pragma once

#include "Common/Codec/Fields.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sff::quota {

/// What a host tells a lessor, which grants a part of the tenants' quotas to
/// hosts, about one tenant. Amounts are in the unit of the quota.
struct GrantRequest {
  std::string m_Tenant;
  /// Rises with each request of the host for the tenant.
  std::int64_t m_Number = 0;
  /// What the host has used in the last window, by SpendWindow::byAge().
  std::vector<double> m_Spent;
  double m_Held = 0;     ///< What it keeps of earlier grants.
  double m_Returned = 0; ///< What it gives back of them.
  double m_Wanted = 0;   ///< What it would like to hold, at least m_Held.
  double m_Needed = 0;   ///< What it needs for requests that have come.

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("tenant", &GrantRequest::m_Tenant),
                           field("number", &GrantRequest::m_Number),
                           field("spent", &GrantRequest::m_Spent),
                           field("held", &GrantRequest::m_Held),
                           field("returned", &GrantRequest::m_Returned),
                           field("wanted", &GrantRequest::m_Wanted),
                           field("needed", &GrantRequest::m_Needed));
  }
};

/// What a host may use until its next request, at most for a window.
struct Grant {
  std::string m_Tenant;
  std::int64_t m_Number = 0; ///< Of the request.
  double m_Amount = 0;       ///< Includes what the host held.
  /// Time after which what the host needs is expected to fit; 0 if it fits.
  std::int64_t m_RetryAfterMs = 0;

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("tenant", &Grant::m_Tenant),
                           field("number", &Grant::m_Number),
                           field("amount", &Grant::m_Amount),
                           field("retry_after_ms", &Grant::m_RetryAfterMs));
  }
};

} // namespace sff::quota
