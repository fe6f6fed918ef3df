#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"
#include "Core/Catalogue/EntrySpec.h"
#include "Core/Execution/Outcome.h"

#include <array>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace sff::admission {

/// A request that waits for capacity.
struct Waiting {
  RequestId m_Request;
  catalogue::TrafficClass m_Class = catalogue::TrafficClass::Batch;
  Instant m_Deadline;
  Instant m_Arrival;
  /// The caller was refused before, by any router, and waited for the retry
  /// time that it was given. Takes precedence over requests that arrive for the
  /// first time.
  bool m_KeptRetryTime = false;
};

/// Why a request was refused, and when to retry.
struct Refusal {
  execution::Reason m_Reason = execution::Reason::QueueFull;
  milliseconds m_RetryAfter{0};
};

/// Estimated capacity behind a queue.
struct CapacityEstimate {
  /// Time until the first request can start; zero when a replica is loaded.
  Duration m_ReadyIn{0};
  /// Requests that the replicas run concurrently for this router.
  std::int64_t m_Parallel = 1;
};

/// Bounded queue of the waiting requests of one entry at one router.
/// Interactive requests come before batch requests; within a class the
/// earliest deadline comes first. Estimates the service time from completed
/// requests.
///
/// Each refusal reserves a part of the capacity that becomes free later; the
/// retry time is the start of that part. While there are reservations,
/// requests that arrive for the first time are accepted only into the
/// unreserved capacity, so that callers who retry on time are accepted.
/// Thread safety: none.
class AdmissionQueue {
public:
  explicit AdmissionQueue(std::size_t MaxWaiting) : m_MaxWaiting(MaxWaiting) {}

  void setMaxWaiting(std::size_t MaxWaiting) { m_MaxWaiting = MaxWaiting; }

  /// Queues the request, or refuses it at once with the time after which a
  /// retry is expected to be accepted. When the queue is full, an interactive
  /// request displaces the batch request that would run last; see
  /// takeDisplaced().
  std::optional<Refusal> offer(const Waiting &Item,
                               const CapacityEstimate &Capacity, Instant Now);

  /// Removes and returns the request to run next, or nothing when there is
  /// none. Skips requests whose deadline has passed; takeExpired() removes
  /// them.
  std::optional<Waiting> takeNext(Instant Now);
  /// The request that takeNext() would return, or null. Valid until the queue
  /// is modified.
  const Waiting *peekNext(Instant Now) const;
  /// Removes and returns requests that can no longer start before their
  /// deadline.
  std::vector<Waiting> takeExpired(const CapacityEstimate &Capacity,
                                   Instant Now);
  /// Returns the batch requests that interactive ones have displaced since the
  /// last call.
  std::vector<Waiting> takeDisplaced();
  /// Removes a request whose caller has disconnected. Returns false if it is
  /// not in the queue.
  bool remove(const RequestId &Request);

  /// Records how long a request ran, from its dispatch to its end.
  void onServed(catalogue::TrafficClass Class, Duration ServiceTime);
  /// Records the service time of a request whose class is not known.
  void onServed(Duration ServiceTime);

  /// Expected time until a request of the class that arrives now starts.
  Duration predictWait(catalogue::TrafficClass Class,
                       const CapacityEstimate &Capacity) const;
  /// Time after which a refused caller should retry.
  milliseconds retryAfter(catalogue::TrafficClass Class,
                          const CapacityEstimate &Capacity) const;
  /// Like retryAfter(), and reserves the capacity. For requests from
  /// takeExpired() and takeDisplaced(), each of which needs its own retry time.
  milliseconds reserveRetryCapacity(catalogue::TrafficClass Class,
                                    const CapacityEstimate &Capacity,
                                    Instant Now);

  std::size_t size() const { return m_Waiting.size(); }
  bool empty() const { return m_Waiting.empty(); }
  /// Earliest deadline of all requests, by which loads are prioritized; nothing
  /// when the queue is empty.
  std::optional<Instant> earliestDeadline() const;
  /// End of the capacity reserved for refused callers. The entry has demand
  /// until then.
  Instant reservedUntil() const;

private:
  struct RunsBefore {
    bool operator()(const Waiting &Left, const Waiting &Right) const;
  };
  using Queue = std::multiset<Waiting, RunsBefore>;

  bool keepsDeadlines(const Waiting &Item, const CapacityEstimate &Capacity,
                      Instant Now) const;
  bool ensureCapacity(const Waiting &Item, Instant Now);
  bool yieldsToReservations(const Waiting &Item, Instant Now) const;
  Refusal refuse(execution::Reason Reason, const Waiting &Item,
                 const CapacityEstimate &Capacity, Instant Now);
  std::size_t count(catalogue::TrafficClass Class) const;
  Duration serviceTime(catalogue::TrafficClass Class) const;
  /// Time to complete \p Work, a sum of service times, with the given share of
  /// the capacity.
  static Duration drainTime(Duration Work, double Share,
                            const CapacityEstimate &Capacity);
  /// Share of the capacity that is available to a class. Batch requests get
  /// what interactive requests leave, whose rate is assumed to be \p Deviations
  /// standard deviations above the measured one.
  double capacityShare(catalogue::TrafficClass Class, double Deviations,
                       const CapacityEstimate &Capacity) const;
  void recordInteractiveArrival(Instant Now);

  std::size_t m_MaxWaiting;
  Queue m_Waiting;
  std::vector<Waiting> m_Displaced;
  std::array<std::optional<Duration>, 2> m_ServiceTime;
  /// For each class, the end of the reserved capacity.
  std::array<Instant, 2> m_ReservedUntil{};
  Instant m_LatestTime; ///< Latest time passed to a member function.
  /// Number of accepted interactive requests, with exponential decay over
  /// InteractiveRatePeriod.
  double m_RecentInteractiveCount = 0;
  Instant m_LastInteractiveAt;
};

} // namespace sff::admission
