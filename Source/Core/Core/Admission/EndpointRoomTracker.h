#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"

#include <limits>
#include <map>
#include <optional>
#include <random>

namespace sff::admission {

/// What is known of the room at an endpoint.
struct EndpointRoom {
  /// Requests that run or wait there, as far as that limits further ones.
  double m_Load = 0;
  double m_Slots = 1;
  /// Average load of the service's endpoints, scaled to m_Slots, for requests
  /// that leave slots to others; 0 if this endpoint has reported lately or no
  /// endpoint has.
  double m_TypicalLoad = 0;
  /// No request is sent there before.
  Instant m_ClosedUntil = {};
  /// The endpoint rejects requests from this load on.
  double m_MaxLoad = std::numeric_limits<double>::infinity();
};

/// Judges whether the endpoints of a service have room, by the reports in their
/// answers and by their rejections. A host with few requests sees an endpoint
/// seldom, so that an endpoint counts as full only while there is recent
/// evidence: without any it is open, and with an outdated report it gets one
/// request at a time. Thread safety: none.
class EndpointRoomTracker {
public:
  explicit EndpointRoomTracker(std::uint64_t Seed) : m_Random(Seed) {}

  /// Records that an answer of the endpoint named its load.
  void onReport(const EndpointId &Id, std::int64_t Load, int Slots,
                Instant Now);
  /// Records that the endpoint rejected a request for want of room. It gets no
  /// request for a time that doubles with each further rejection, and differs
  /// between hosts so that they do not return together. \p Load is the load
  /// that the rejection named.
  void onRejected(const EndpointId &Id, std::optional<std::int64_t> Load,
                  int Slots, Instant Now);
  void onAccepted(const EndpointId &Id);
  void onSent(const EndpointId &Id, Instant Now);
  void forget(const EndpointId &Id) { m_Endpoints.erase(Id); }

  /// \p EstimatedLoad is the number of requests that run or wait at the
  /// endpoint, as this host estimates it.
  EndpointRoom room(const EndpointId &Id, double EstimatedLoad, int Slots,
                    Instant Now) const;

private:
  void recordFill(std::int64_t Load, int Slots, Instant Now);

  struct Evidence {
    Instant m_ReportedAt;
    Instant m_SentAt;
    Instant m_PausedUntil;
    Duration m_Pause{0};
    /// Load at the latest rejection.
    std::optional<std::int64_t> m_FullAt;
    Instant m_RejectedAt;
  };

  std::map<EndpointId, Evidence> m_Endpoints;
  std::mt19937_64 m_Random;
  /// Moving average of the load per slot in all reports and rejections.
  double m_TypicalFill = 0;
  Instant m_FillReportedAt;
};

} // namespace sff::admission
