#pragma once

#include "Common/Time/Instant.h"
#include "Core/Serving/EndpointDirectory.h"

#include <map>
#include <span>

namespace sff::serving {

/// Keeps this host from endpoints that have turned it away and named a time in
/// which they want no requests from it. Of several times the latest end counts.
/// Thread safety: none.
class EndpointBackoff {
public:
  /// Longest time that is kept to. A request then finds out whether the
  /// endpoint still wants none, so that an absurd time does not take an
  /// endpoint out of use until it restarts.
  static constexpr milliseconds MaxRetryAfter{600000};

  /// Records that a process of an endpoint wants no requests for \p RetryAfter
  /// from \p Now on. Returns true if the end is later than known before.
  bool onTurnedAway(const EndpointId &Id, const Incarnation &Process,
                    Duration RetryAfter, Instant Now);

  /// Returns true if a request may be sent to the endpoint now.
  bool allows(const Endpoint &Candidate, Instant Now) const {
    return remaining(Candidate, Now) == Duration::zero();
  }
  /// How long the endpoint still wants no requests; zero if it takes them.
  Duration remaining(const Endpoint &Candidate, Instant Now) const;
  /// Shortest time until one of \p Candidates takes requests. Precondition:
  /// there is one.
  Duration shortest(std::span<const Endpoint *const> Candidates,
                    Instant Now) const;

private:
  struct Pause {
    Incarnation m_Process;
    Instant m_Until;
  };
  /// Includes endpoints that have no registration at present: an entry that
  /// expires and returns does not shorten the time.
  std::map<EndpointId, Pause> m_Pauses;
};

} // namespace sff::serving
