#include "Core/Admission/EndpointRoomTracker.h"

#include <algorithm>

namespace sff::admission {

namespace {

/// Time without a request to an endpoint after its first rejection, and the
/// longest one after several.
constexpr milliseconds MinPause{60};
constexpr milliseconds MaxPause{480};
/// A pause is at most longer by this factor.
constexpr double MaxPauseSpread = 1.5;
/// An older report does not show that an endpoint is full: most requests that
/// it counted have ended.
constexpr milliseconds MaxReportAge{1000};
/// The load at which an endpoint has rejected a request is used for this long.
/// It may have more slots since.
constexpr milliseconds MaxRejectionAge{5000};
/// Reports of the endpoints of a service show their typical load for this long.
constexpr milliseconds MaxFillAge{3000};
/// Weight of the latest report in the typical load.
constexpr double FillWeight = 0.2;
/// Time between two requests to an endpoint that was full by its last report,
/// when that report is outdated.
constexpr milliseconds ProbeInterval{100};

} // namespace

void EndpointRoomTracker::onReport(const EndpointId &Id, std::int64_t Load,
                                   int Slots, Instant Now) {
  recordFill(Load, Slots, Now);
  Evidence &Latest = m_Endpoints[Id];
  Latest.m_ReportedAt = Now;
  if (Latest.m_FullAt && Load > *Latest.m_FullAt)
    Latest.m_FullAt.reset();
}

void EndpointRoomTracker::onRejected(const EndpointId &Id,
                                     std::optional<std::int64_t> Load,
                                     int Slots, Instant Now) {
  if (Load)
    recordFill(*Load, Slots, Now);
  Evidence &Latest = m_Endpoints[Id];
  Latest.m_RejectedAt = Now;
  // An endpoint takes at least one request at a time.
  Latest.m_FullAt = Load && *Load > 0 ? Load : std::nullopt;
  // Rejections of requests that were sent together are one piece of evidence.
  if (Now < Latest.m_PausedUntil)
    return;
  Latest.m_Pause = std::clamp<Duration>(2 * Latest.m_Pause, MinPause, MaxPause);
  std::uniform_real_distribution<double> Spread(1, MaxPauseSpread);
  Latest.m_PausedUntil =
      Now + fromSeconds(toSeconds(Latest.m_Pause) * Spread(m_Random));
}

void EndpointRoomTracker::recordFill(std::int64_t Load, int Slots,
                                     Instant Now) {
  const double Fill = static_cast<double>(Load) / std::max(Slots, 1);
  const bool IsOutdated = Now - m_FillReportedAt > MaxFillAge;
  m_TypicalFill =
      IsOutdated ? Fill : m_TypicalFill + FillWeight * (Fill - m_TypicalFill);
  m_FillReportedAt = Now;
}

void EndpointRoomTracker::onAccepted(const EndpointId &Id) {
  const auto Found = m_Endpoints.find(Id);
  if (Found == m_Endpoints.end())
    return;
  Found->second.m_Pause = Duration::zero();
  Found->second.m_PausedUntil = Instant();
}

void EndpointRoomTracker::onSent(const EndpointId &Id, Instant Now) {
  m_Endpoints[Id].m_SentAt = Now;
}

EndpointRoom EndpointRoomTracker::room(const EndpointId &Id,
                                       double EstimatedLoad, int Slots,
                                       Instant Now) const {
  EndpointRoom Result;
  Result.m_Slots = std::max(Slots, 1);
  if (Now - m_FillReportedAt <= MaxFillAge)
    Result.m_TypicalLoad = m_TypicalFill * Result.m_Slots;
  const auto Found = m_Endpoints.find(Id);
  if (Found == m_Endpoints.end())
    return Result;
  const Evidence &Latest = Found->second;
  Result.m_ClosedUntil = Latest.m_PausedUntil;
  if (Latest.m_FullAt && Now - Latest.m_RejectedAt <= MaxRejectionAge)
    Result.m_MaxLoad = static_cast<double>(*Latest.m_FullAt);
  if (Latest.m_ReportedAt == Instant())
    return Result;
  const double MaxLoad = std::min(Result.m_Slots, Result.m_MaxLoad);
  if (Now - Latest.m_ReportedAt <= MaxReportAge || EstimatedLoad < MaxLoad) {
    Result.m_Load = std::max(EstimatedLoad, 0.0);
    if (Now - Latest.m_ReportedAt <= MaxReportAge)
      Result.m_TypicalLoad = 0;
    return Result;
  }
  // One free slot for each interval.
  Result.m_Load = MaxLoad - 1;
  Result.m_ClosedUntil =
      std::max(Result.m_ClosedUntil, Latest.m_SentAt + ProbeInterval);
  return Result;
}

} // namespace sff::admission
