#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace sff::retry {

/// Tells a crash from a lost answer: a request counts as one that crashed its
/// endpoint only when the endpoint turns out to be down soon after the
/// request's connection broke. Thread safety: none.
class CrashWatch {
public:
  /// An endpoint that crashes refuses connections or starts anew within this
  /// time, as seen from here.
  static constexpr milliseconds Window{3000};

  /// The connection of a request broke without an answer.
  void onBroken(const EndpointId &Endpoint, std::string Fingerprint,
                Instant Now);
  /// The endpoint refuses connections, or has started anew. Returns the
  /// requests that were lost with it, each once.
  std::vector<std::string> onDown(const EndpointId &Endpoint, Instant Now);

private:
  struct Broken {
    std::string m_Fingerprint;
    Instant m_At;
  };
  static constexpr std::size_t MaxPerEndpoint = 100;

  std::map<EndpointId, std::deque<Broken>> m_Broken;
};

} // namespace sff::retry
