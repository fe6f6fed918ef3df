#pragma once

#include "Common/Time/Instant.h"

#include <map>
#include <optional>
#include <string>

namespace sff::serving {

/// Notices that the endpoints of a service are being replaced one after the
/// other: some leave while others are added. Thread safety: none.
class ReleaseWatch {
public:
  void onAdded(const std::string &Service, Instant Now);
  /// An endpoint drains, or left without saying so.
  void onLeaving(const std::string &Service, Instant Now);
  /// Endpoints of the service are being replaced, and one that was added at
  /// \p AddedAt is not among the new ones.
  bool isReplacing(const std::string &Service, Instant AddedAt,
                   Instant Now) const;

private:
  struct Wave {
    /// Of additions that follow each other closely.
    std::optional<Instant> m_FirstAdded;
    std::optional<Instant> m_LastAdded;
    std::optional<Instant> m_LastLeaving;
  };

  std::map<std::string, Wave> m_Waves;
};

} // namespace sff::serving
