#pragma once

#include "Common/Identity/Ids.h"

#include <set>

namespace sff::serving {

/// The endpoints that one request has been sent to, and what is known of each
/// send. Decides whether another endpoint may be tried. Thread safety: none.
class AttemptHistory {
public:
  /// \p MaxEndpoints: endpoints that may run the request in all.
  explicit AttemptHistory(int MaxEndpoints) : m_MaxEndpoints(MaxEndpoints) {}

  /// The request has left for an endpoint, whatever comes of it.
  void onSent() { ++m_Sends; }
  /// The endpoint is not chosen again for now: it was not reached, refused or
  /// lost the request.
  void exclude(const EndpointId &Id) { m_Excluded.insert(Id); }
  void onMayHaveRun(const EndpointId &Id) { m_MayHaveRun.insert(Id); }
  /// Lets the excluded endpoints be chosen again; without \p MayRunAgain only
  /// those that cannot have run the request.
  void readmit(bool MayRunAgain);

  int sends() const { return m_Sends; }
  const std::set<EndpointId> &excluded() const { return m_Excluded; }
  bool isExcluded(const EndpointId &Id) const {
    return m_Excluded.contains(Id);
  }
  std::size_t endpointsThatMayHaveRun() const { return m_MayHaveRun.size(); }
  /// A further endpoint may run the request.
  bool mayRunElsewhere() const;
  /// The same if the endpoint that has the request now turns out to have run
  /// it.
  bool mayRunElsewhereAfter(const EndpointId &Current) const;

private:
  int m_MaxEndpoints;
  int m_Sends = 0;
  std::set<EndpointId> m_Excluded;
  std::set<EndpointId> m_MayHaveRun;
};

} // namespace sff::serving
