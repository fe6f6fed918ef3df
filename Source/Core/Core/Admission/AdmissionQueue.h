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

struct Waiting {
  RequestId m_Request;
  catalogue::TrafficClass m_Class = catalogue::TrafficClass::Batch;
  Instant m_Deadline;
  Instant m_Arrival;
  /// The caller was refused before, by any router, and kept the retry time
  /// that it was told. It goes before requests that arrive the first time.
  bool m_KeptRetryTime = false;
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
/// completed requests.
///
/// Every refusal promises a part of the capacity that becomes free later, and
/// its retry time is the start of that part. While promises are open,
/// requests that arrive the first time are accepted only into the rest, so
/// that those who come back find room. Thread safety: none.
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
  /// The request that takeNext() would return; valid until the next change.
  const Waiting *peekNext(Instant Now) const;
  /// Removes requests that cannot start before their deadline any more.
  std::vector<Waiting> takeExpired(const CapacityEstimate &Capacity,
                                   Instant Now);
  /// Removes batch requests that were displaced by interactive ones.
  std::vector<Waiting> takeDisplaced();
  /// Removes a request whose caller has gone. Returns false if absent.
  bool remove(const RequestId &Request);

  /// Notes how long a request ran, from dispatch to its end.
  void onServed(catalogue::TrafficClass Class, Duration ServiceTime);
  /// The same, when the class is not known.
  void onServed(Duration ServiceTime);

  /// Expected time until a request of the class that arrives now would start.
  Duration predictWait(catalogue::TrafficClass Class,
                       const CapacityEstimate &Capacity) const;
  /// When to come back after a refusal.
  milliseconds retryAfter(catalogue::TrafficClass Class,
                          const CapacityEstimate &Capacity) const;
  /// The same, and promises the capacity. For requests from takeExpired() and
  /// takeDisplaced(), each of which needs a retry time of its own.
  milliseconds promiseRetry(catalogue::TrafficClass Class,
                            const CapacityEstimate &Capacity, Instant Now);

  std::size_t size() const { return m_Waiting.size(); }
  bool empty() const { return m_Waiting.empty(); }
  /// The most urgent deadline, for loads that are ordered by urgency.
  std::optional<Instant> earliestDeadline() const;
  /// End of the period for which refused callers were told to come back; an
  /// entry stays wanted until then.
  Instant promisedUntil() const;

private:
  struct Order {
    bool operator()(const Waiting &Left, const Waiting &Right) const;
  };
  using Queue = std::multiset<Waiting, Order>;

  bool fits(const Waiting &Item, const CapacityEstimate &Capacity,
            Instant Now) const;
  bool makeRoomFor(const Waiting &Item, Instant Now);
  bool yieldsToPromises(const Waiting &Item, Instant Now) const;
  Refusal refuse(execution::Reason Reason, const Waiting &Item,
                 const CapacityEstimate &Capacity, Instant Now);
  std::size_t count(catalogue::TrafficClass Class) const;
  Duration serviceTime(catalogue::TrafficClass Class) const;
  /// Time until \p Work, the sum of service times, is done with a share of
  /// the capacity.
  static Duration drainTime(Duration Work, double Share,
                            const CapacityEstimate &Capacity);
  /// Share of the capacity that a class gets. For batch it is what interactive
  /// requests leave; their rate is taken as higher or lower than measured by
  /// \p Deviations standard deviations.
  double share(catalogue::TrafficClass Class, double Deviations,
               const CapacityEstimate &Capacity) const;
  void noteInteractive(Instant Now);

  std::size_t m_MaxWaiting;
  Queue m_Waiting;
  std::vector<Waiting> m_Displaced;
  std::array<std::optional<Duration>, 2> m_ServiceTime;
  /// For each class, the end of the capacity that is promised.
  std::array<Instant, 2> m_PromisedUntil{};
  Instant m_Latest; ///< Latest time that was passed in.
  /// Accepted interactive requests, fading over InteractiveWindow.
  double m_InteractiveRecent = 0;
  Instant m_InteractiveNoted;
};

} // namespace sff::admission
