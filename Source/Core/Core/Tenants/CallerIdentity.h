#pragma once

#include "Common/Time/Instant.h"
#include "Core/Serving/Catalogue.h"

#include <optional>
#include <string>

namespace sff::tenants {

/// Who has sent a request, as far as this host can tell.
enum class CallerKind {
  Anonymous,  ///< The request needs no key.
  Tenant,     ///< The key belongs to a tenant.
  UnknownKey, ///< The key is missing, or no tenant holds it.
  /// The key may have been revoked or added since the host last knew that its
  /// catalogue was the newest.
  Unproven,
};

/// The identity by which a request is admitted, and what follows from it.
struct CallerIdentity {
  CallerKind m_Kind = CallerKind::Anonymous;
  /// Callers of the catalogue are identified by keys, which endpoints must not
  /// see.
  bool m_HasTenants = false;
  std::string m_Tenant;        ///< Name of the tenant; empty without one.
  std::int64_t m_Priority = 0; ///< 0 is the highest.

  /// Whether a request of this caller may be sent to an endpoint.
  bool isAdmitted() const {
    return m_Kind == CallerKind::Anonymous || m_Kind == CallerKind::Tenant;
  }
};

/// How a host proves that a key has not been revoked.
struct RevocationPolicy {
  /// Requests with a key are refused without a proof.
  bool m_FailsClosed = false;
  /// A key may be used for this long after the store has acknowledged the
  /// catalogue that revokes it.
  Duration m_MaxAge{0};
};

/// Identifies the caller of a request on \p Route by \p Key, which is empty if
/// the request has none. \p CatalogueAge is the time since \p Current is known
/// to have been the newest catalogue; nothing if that was never known.
/// Thread safety: reentrant.
CallerIdentity identifyCaller(const serving::Catalogue &Current,
                              const serving::Route &Route, std::string_view Key,
                              const RevocationPolicy &Policy,
                              std::optional<Duration> CatalogueAge);

} // namespace sff::tenants
