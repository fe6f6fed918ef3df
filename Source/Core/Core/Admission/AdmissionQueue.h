#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"
#include "Core/Catalogue/EntrySpec.h"
#include "Core/Execution/Outcome.h"

#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace sff::admission {

struct Waiting {
  RequestId m_Request;
  catalogue::TrafficClass m_Class = catalogue::TrafficClass::Batch;
  Instant m_Deadline;
  Instant m_Arrival;
};

struct Refusal {
  execution::Reason m_Reason = execution::Reason::QueueFull;
  milliseconds m_RetryAfter{0};
};

/// What is known about the capacity behind a queue when a request arrives.
struct CapacityEstimate {
  /// Time until the first request can start: zero when a replica is loaded.
  Duration m_ReadyIn{0};
  /// Requests that the replicas run at once for this router.
  std::int64_t m_Parallel = 1;
};

/// Waiting requests of one entry at one router: bounded, interactive before
/// batch, then earliest deadline first. Learns the service time from
/// completed requests. Thread safety: none.
class AdmissionQueue {
public:
  explicit AdmissionQueue(std::size_t MaxWaiting) : m_MaxWaiting(MaxWaiting) {}

  void setMaxWaiting(std::size_t MaxWaiting) { m_MaxWaiting = MaxWaiting; }

  /// Queues the request or refuses it at once, with the time after which a
  /// repeat is expected to be accepted. A full queue prefers an interactive
  /// request over the batch request that would run last; see takeDisplaced().
  std::optional<Refusal> offer(const Waiting &Item,
                               const CapacityEstimate &Capacity, Instant Now);

  /// Removes the request to run next, or nothing when none waits. Requests
  /// whose deadline has passed are left to takeExpired().
  std::optional<Waiting> takeNext(Instant Now);
  /// Removes requests that cannot start before their deadline any more.
  std::vector<Waiting> takeExpired(const CapacityEstimate &Capacity,
                                   Instant Now);
  /// Removes batch requests that were displaced by interactive ones.
  std::vector<Waiting> takeDisplaced();
  /// Removes a request whose caller has gone. Returns false if absent.
  bool remove(const RequestId &Request);

  /// Notes how long a request ran, from dispatch to its end.
  void onServed(Duration ServiceTime);

  /// Expected time until a request of the class that arrives now would start.
  Duration predictWait(catalogue::TrafficClass Class,
                       const CapacityEstimate &Capacity) const;
  /// When to come back after a refusal.
  milliseconds retryAfter(catalogue::TrafficClass Class,
                          const CapacityEstimate &Capacity) const;

  std::size_t size() const { return m_Waiting.size(); }
  bool empty() const { return m_Waiting.empty(); }
  /// The most urgent deadline, for loads that are ordered by urgency.
  std::optional<Instant> earliestDeadline() const;

private:
  struct Order {
    bool operator()(const Waiting &Left, const Waiting &Right) const;
  };
  std::size_t m_MaxWaiting;
  std::multiset<Waiting, Order> m_Waiting;
  std::vector<Waiting> m_Displaced;
  Duration m_ServiceTime{0};
  std::size_t m_Refused = 0;
};

} // namespace sff::admission
