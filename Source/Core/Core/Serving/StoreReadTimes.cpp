#include "Core/Serving/StoreReadTimes.h"

#include <algorithm>

namespace sff::serving {

namespace {

/// Part of the time to stop sending that may pass between two reads. The rest
/// covers a slow call to the store, its repetition, and requests on their way.
constexpr double DrainShare = 0.4;
/// Registrations must be confirmed more often than they count as fresh
/// (SoftwareVersions::MaxBeliefAge), whatever the time to stop sending.
constexpr milliseconds MaxInterval{1600};
/// EndpointDirectory::ExpiryGracePeriod leaves a second for this and a read.
constexpr milliseconds MaxIntervalAfterOutage{800};
constexpr double CatalogueShare = 0.75;
/// Fraction of the longest age of a proof that one read may wait. Just before a
/// read is answered, the proof is two waits old.
constexpr double ProofShare = 0.25;
/// Bounded because a dead connection is noticed only by the next read.
constexpr milliseconds MaxCatalogueWait{3000};

} // namespace

milliseconds registrationsInterval(Duration DrainTime, bool AwaitsEndpoints) {
  const milliseconds Longest =
      AwaitsEndpoints ? MaxIntervalAfterOutage : MaxInterval;
  return std::min(
      Longest, toMilliseconds(fromSeconds(DrainShare * toSeconds(DrainTime))));
}

milliseconds catalogueWait(Duration ApplyTime) {
  return std::min(
      MaxCatalogueWait,
      toMilliseconds(fromSeconds(CatalogueShare * toSeconds(ApplyTime))));
}

milliseconds proofWait(Duration MaxAge) {
  return toMilliseconds(fromSeconds(ProofShare * toSeconds(MaxAge)));
}

} // namespace sff::serving
