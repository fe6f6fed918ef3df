#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sff::tenants {

/// What the quota of a tenant counts.
enum class QuotaUnit { Requests, Tokens };

/// The requests that a tenant may send through all hosts together.
struct TenantQuota {
  QuotaUnit m_Unit = QuotaUnit::Requests;
  /// Units per second; no quota applies if it is 0.
  double m_RatePerSecond = 0;
  double m_Burst = 0; ///< Units that may be used at once, beside the rate.
  /// What a request without a token count costs if tokens are counted.
  double m_UncountedTokens = 0;

  bool isLimited() const { return m_RatePerSecond > 0; }
  friend bool operator==(const TenantQuota &, const TenantQuota &) = default;
};

/// A customer whose callers identify themselves by keys.
struct Tenant {
  std::string m_Name;
  std::vector<std::string> m_Keys;
  /// Comes before the priority of the route; 0 is the highest.
  std::optional<std::int64_t> m_Priority;
  TenantQuota m_Quota;
};

/// The tenants of one catalogue. Immutable once it is built.
/// Thread safety: const methods may be called from any thread.
class TenantIndex {
public:
  /// Longest key that a caller may use, in bytes.
  static constexpr std::size_t MaxKeyBytes = 256;

  TenantIndex() = default;
  explicit TenantIndex(std::vector<Tenant> Tenants);
  // Not copied by accident: it holds all keys.
  TenantIndex(const TenantIndex &) = delete;
  TenantIndex &operator=(const TenantIndex &) = delete;
  TenantIndex(TenantIndex &&) = default;
  TenantIndex &operator=(TenantIndex &&) = default;

  bool empty() const { return m_Tenants.empty(); }
  std::span<const Tenant> all() const { return m_Tenants; }
  /// Returns the tenant that holds \p Key, or null. A key that several tenants
  /// hold belongs to the first one. The time does not depend on how many
  /// characters of a wrong key are right.
  const Tenant *find(std::string_view Key) const;
  /// Returns the tenant of that name, or null.
  const Tenant *findByName(std::string_view Name) const;

private:
  std::vector<Tenant> m_Tenants;
  /// Indexes into m_Tenants by the hash of the key. Keys are compared only
  /// after their hashes have been found equal.
  std::multimap<std::size_t, std::size_t> m_ByKeyHash;
};

} // namespace sff::tenants
