#pragma once

#include "Common/Identity/Ids.h"

#include <set>

namespace sff::serving {

/// Tracks the endpoints that a request was sent to and whether each may have
/// executed it, and decides whether another endpoint may be tried.
/// Thread safety: none.
class AttemptHistory {
public:
  /// \p MaxEndpoints is the total number of endpoints that may execute the
  /// request.
  explicit AttemptHistory(int MaxEndpoints)
      : m_MaxEndpointsPerRequest(MaxEndpoints) {}

  /// Counts one send of the request, regardless of its result.
  void onSent() { ++m_Sends; }
  /// Excludes an endpoint until clearExclusions(). Call when the endpoint was
  /// unreachable, or rejected or lost the request.
  void exclude(const EndpointId &Id) { m_Excluded.insert(Id); }
  void onPossiblyExecuted(const EndpointId &Id) {
    m_PossiblyExecutedOn.insert(Id);
  }
  /// Makes excluded endpoints eligible again. Without \p AllowReexecution, only
  /// those that cannot have executed the request.
  void clearExclusions(bool AllowReexecution);

  int sends() const { return m_Sends; }
  const std::set<EndpointId> &excluded() const { return m_Excluded; }
  bool isExcluded(const EndpointId &Id) const {
    return m_Excluded.contains(Id);
  }
  std::size_t possibleExecutionCount() const {
    return m_PossiblyExecutedOn.size();
  }
  /// Returns true if one more endpoint may execute the request.
  bool canTryAnotherEndpoint() const;
  /// Same as canTryAnotherEndpoint(), but assumes that \p Current, which has
  /// the request now, executes it.
  bool canTryAnotherEndpointAfter(const EndpointId &Current) const;

private:
  int m_MaxEndpointsPerRequest;
  int m_Sends = 0;
  std::set<EndpointId> m_Excluded;
  std::set<EndpointId> m_PossiblyExecutedOn;
};

} // namespace sff::serving
