#pragma once

#include "Common/Codec/Fields.h"
#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"

#include <map>
#include <string>
#include <string_view>

namespace sff::serving {

/// Requests that a host has got answered by an endpoint.
struct EndpointWork {
  double m_Seconds = 0; ///< Time that they took together.
  /// Time that they would have taken at the host's average endpoint.
  double m_ExpectedSeconds = 0;

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("seconds", &EndpointWork::m_Seconds),
                           field("expected", &EndpointWork::m_ExpectedSeconds));
  }
};

/// Compares how long endpoints take for requests of the same route.
/// Thread safety: none.
class WorkMeter {
public:
  /// Called for a request that did not wait at the endpoint for other requests.
  void onCompleted(std::string_view Route, const EndpointId &Endpoint,
                   Duration Taken);
  /// Removes and returns the work since the last call.
  std::map<EndpointId, EndpointWork> take();

private:
  std::map<std::string, double, std::less<>> m_MeanSeconds; ///< By route.
  std::map<EndpointId, EndpointWork> m_Work;
};

/// Speeds of endpoints relative to the average, by the work of all hosts.
/// Thread safety: none.
class EndpointSpeeds {
public:
  void add(const EndpointId &Endpoint, const EndpointWork &Work, Instant Now);
  /// 1 if too little work is known to tell.
  double speed(const EndpointId &Endpoint, Instant Now) const;

private:
  struct Entry {
    EndpointWork m_Work; ///< Decays with its age.
    Instant m_UpdatedAt;
  };
  static EndpointWork decayed(const Entry &State, Instant Now);

  std::map<EndpointId, Entry> m_Entries;
};

} // namespace sff::serving
