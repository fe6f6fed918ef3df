#include "Core/Admission/AdmissionQueue.h"

#include "Core/Admission/DueOrder.h"

#include <algorithm>
#include <cmath>

namespace sff::admission {
namespace {

using catalogue::TrafficClass;
using execution::Reason;
using Seconds = std::chrono::duration<double>;

/// Service time assumed until the first request of the entry was served.
constexpr Duration DefaultServiceTime = std::chrono::milliseconds(500);
/// Weight of the latest service time in the moving average.
constexpr double ServiceTimeWeight = 0.1;
/// Share of the capacity that may be reserved for refused callers. The rest
/// absorbs service times above the mean, callers that retry early or late, and
/// reservations made before a rise of the interactive rate was measured.
constexpr double ReservableShare = 0.6;
/// Share of the time to its deadline that a request may wait if it arrives for
/// the first time while capacity is reserved. The rest absorbs fluctuations in
/// the number of retries: with 0.5 instead, 88% of the retries were accepted
/// rather than 91% at four times the capacity.
constexpr double FirstArrivalShare = 0.25;
/// Time constant of the exponentially decaying rate of interactive requests.
constexpr Seconds InteractiveRatePeriod(25);
/// Margin for the rate of interactive requests, in standard deviations. A batch
/// request is accepted only if it fits at a rate higher than measured, and a
/// waiting one is dropped only if it does not fit at a rate lower than
/// measured. The same rate for both would drop accepted requests at every
/// fluctuation.
constexpr double RateDeviations = 1;
/// Minimum share assumed for batch requests, so that estimates stay finite.
constexpr double MinBatchShare = 0.02;
/// Multiple of the expected load time that is added to a retry time, because
/// more valuable loads may be scheduled first. With half of the engines lost,
/// returning callers found the model loaded in 96% of the cases, and in 80%
/// without this addition.
constexpr int LoadDelayFactor = 1;
/// Minimum retry time. A shorter one would only lead to another refusal.
constexpr milliseconds MinRetryAfter{100};
/// Maximum retry time. With a shorter limit, the many callers that are refused
/// during a long overload would all retry at the same time.
constexpr milliseconds MaxRetryAfter{24 * 3600 * 1000};

Duration toDuration(Seconds Value) {
  return std::chrono::duration_cast<Duration>(Value);
}

std::size_t indexOf(TrafficClass Class) {
  return static_cast<std::size_t>(Class);
}

} // namespace

bool AdmissionQueue::RunsBefore::operator()(const Waiting &Left,
                                            const Waiting &Right) const {
  if (Left.m_Class != Right.m_Class)
    return Left.m_Class < Right.m_Class;
  return dueOrder(Left.m_Deadline, Left.m_Arrival, Left.m_Request) <
         dueOrder(Right.m_Deadline, Right.m_Arrival, Right.m_Request);
}

std::optional<Refusal> AdmissionQueue::offer(const Waiting &Item,
                                             const CapacityEstimate &Capacity,
                                             Instant Now) {
  m_LatestTime = std::max(m_LatestTime, Now);
  if (Item.m_Deadline < Now)
    return refuse(Reason::DeadlineExpired, Item, Capacity, Now);
  if (!keepsDeadlines(Item, Capacity, Now))
    return refuse(Reason::DeadlineUnreachable, Item, Capacity, Now);
  if (!ensureCapacity(Item, Now))
    return refuse(Reason::QueueFull, Item, Capacity, Now);
  if (Item.m_Class == TrafficClass::Interactive)
    recordInteractiveArrival(Now);
  m_Waiting.insert(Item);
  return std::nullopt;
}

/// True when the request can start before its deadline without delaying an
/// accepted request of its class past the deadline of that request.
bool AdmissionQueue::keepsDeadlines(const Waiting &Item,
                                    const CapacityEstimate &Capacity,
                                    Instant Now) const {
  // A request that kept its retry time needs no margin: it is accepted as long
  // as the measured rate allows it.
  const double UsableShare = capacityShare(
      Item.m_Class, Item.m_KeptRetryTime ? 0 : RateDeviations, Capacity);
  const double OwnShare = yieldsToReservations(Item, Now)
                              ? UsableShare * FirstArrivalShare
                              : UsableShare;
  const Instant From = Now + Capacity.m_ReadyIn;
  const auto Position = m_Waiting.upper_bound(Item);
  Duration Work{0};
  for (auto Preceding = m_Waiting.begin(); Preceding != Position; ++Preceding)
    Work += serviceTime(Preceding->m_Class);
  if (From + drainTime(Work, OwnShare, Capacity) > Item.m_Deadline)
    return false;
  Work += serviceTime(Item.m_Class);
  for (auto Following = Position; Following != m_Waiting.end(); ++Following) {
    if (Following->m_Class != Item.m_Class)
      break;
    if (From + drainTime(Work, UsableShare, Capacity) > Following->m_Deadline)
      return false;
    Work += serviceTime(Following->m_Class);
  }
  return true;
}

/// Returns false when the queue has no place for the request; may displace a
/// batch request for an interactive one. Batch requests may not use the last
/// quarter of the queue, so that interactive ones seldom displace an accepted
/// request.
bool AdmissionQueue::ensureCapacity(const Waiting &Item, Instant Now) {
  const bool Batch = Item.m_Class == TrafficClass::Batch;
  const std::size_t Limit = yieldsToReservations(Item, Now)
                                ? (m_MaxWaiting + 1) / 2
                            : Batch ? (3 * m_MaxWaiting + 3) / 4
                                    : m_MaxWaiting;
  if (count(Item.m_Class) >= Limit)
    return false;
  if (m_Waiting.size() < m_MaxWaiting)
    return true;
  const auto Last = std::prev(m_Waiting.end());
  if (Batch || Last->m_Class != TrafficClass::Batch)
    return false;
  m_Displaced.push_back(*Last);
  m_Waiting.erase(Last);
  return true;
}

/// True when reserved capacity takes precedence over the request. A batch
/// request also yields to reservations for interactive callers.
bool AdmissionQueue::yieldsToReservations(const Waiting &Item,
                                          Instant Now) const {
  if (Item.m_KeptRetryTime)
    return false;
  return m_ReservedUntil[indexOf(TrafficClass::Interactive)] > Now ||
         m_ReservedUntil[indexOf(Item.m_Class)] > Now;
}

Refusal AdmissionQueue::refuse(Reason Reason, const Waiting &Item,
                               const CapacityEstimate &Capacity, Instant Now) {
  return {Reason, reserveRetryCapacity(Item.m_Class, Capacity, Now)};
}

const Waiting *AdmissionQueue::peekNext(Instant Now) const {
  const auto Found =
      std::find_if(m_Waiting.begin(), m_Waiting.end(),
                   [&](const Waiting &Item) { return Item.m_Deadline >= Now; });
  return Found == m_Waiting.end() ? nullptr : &*Found;
}

std::optional<Waiting> AdmissionQueue::takeNext(Instant Now) {
  const Waiting *Found = peekNext(Now);
  if (!Found)
    return std::nullopt;
  Waiting Item = *Found;
  m_Waiting.erase(m_Waiting.find(Item));
  return Item;
}

std::vector<Waiting>
AdmissionQueue::takeExpired(const CapacityEstimate &Capacity, Instant Now) {
  m_LatestTime = std::max(m_LatestTime, Now);
  std::vector<Waiting> Expired;
  Duration Work{0};
  for (auto Item = m_Waiting.begin(); Item != m_Waiting.end();) {
    const double Share =
        capacityShare(Item->m_Class, -2 * RateDeviations, Capacity);
    if (Now + Capacity.m_ReadyIn + drainTime(Work, Share, Capacity) <=
        Item->m_Deadline) {
      Work += serviceTime(Item->m_Class);
      ++Item;
      continue;
    }
    Expired.push_back(*Item);
    Item = m_Waiting.erase(Item);
  }
  return Expired;
}

std::vector<Waiting> AdmissionQueue::takeDisplaced() {
  return std::exchange(m_Displaced, {});
}

bool AdmissionQueue::remove(const RequestId &Request) {
  return std::erase_if(m_Waiting, [&](const Waiting &Item) {
           return Item.m_Request == Request;
         }) > 0;
}

void AdmissionQueue::onServed(TrafficClass Class, Duration ServiceTime) {
  auto &Mean = m_ServiceTime[indexOf(Class)];
  if (!Mean)
    Mean = ServiceTime;
  else
    *Mean += toDuration(ServiceTimeWeight * Seconds(ServiceTime - *Mean));
}

void AdmissionQueue::onServed(Duration ServiceTime) {
  onServed(TrafficClass::Interactive, ServiceTime);
  onServed(TrafficClass::Batch, ServiceTime);
}

std::size_t AdmissionQueue::count(TrafficClass Class) const {
  return static_cast<std::size_t>(
      std::count_if(m_Waiting.begin(), m_Waiting.end(),
                    [&](const auto &Item) { return Item.m_Class == Class; }));
}

Duration AdmissionQueue::serviceTime(TrafficClass Class) const {
  const auto &Measured = m_ServiceTime[indexOf(Class)];
  const auto &Other = m_ServiceTime[1 - indexOf(Class)];
  return Measured ? *Measured : Other.value_or(DefaultServiceTime);
}

Duration AdmissionQueue::drainTime(Duration Work, double Share,
                                   const CapacityEstimate &Capacity) {
  const auto Parallel =
      static_cast<double>(std::max<std::int64_t>(Capacity.m_Parallel, 1));
  return toDuration(
      std::min(Seconds(Work) / (Parallel * Share), Seconds(MaxRetryAfter)));
}

double AdmissionQueue::capacityShare(TrafficClass Class, double Deviations,
                                     const CapacityEstimate &Capacity) const {
  if (Class == TrafficClass::Interactive)
    return 1;
  const Seconds Age = m_LatestTime - m_LastInteractiveAt;
  const double RecentCount =
      m_RecentInteractiveCount * std::exp(-(Age / InteractiveRatePeriod));
  const double AssumedCount =
      std::max(0.0, RecentCount + Deviations * std::sqrt(RecentCount));
  const Duration MeanServiceTime =
      drainTime(serviceTime(TrafficClass::Interactive), 1, Capacity);
  return std::clamp(1 - AssumedCount *
                            (MeanServiceTime / InteractiveRatePeriod),
                    MinBatchShare, 1.0);
}

void AdmissionQueue::recordInteractiveArrival(Instant Now) {
  const Seconds Age = Now - m_LastInteractiveAt;
  m_RecentInteractiveCount =
      m_RecentInteractiveCount * std::exp(-(Age / InteractiveRatePeriod)) + 1;
  m_LastInteractiveAt = Now;
}

Duration AdmissionQueue::predictWait(TrafficClass Class,
                                     const CapacityEstimate &Capacity) const {
  Duration Work{0};
  for (const Waiting &Item : m_Waiting)
    if (Item.m_Class <= Class)
      Work += serviceTime(Item.m_Class);
  return Capacity.m_ReadyIn +
         drainTime(Work, capacityShare(Class, 0, Capacity), Capacity);
}

milliseconds
AdmissionQueue::retryAfter(TrafficClass Class,
                           const CapacityEstimate &Capacity) const {
  Instant RetryAt =
      std::max(m_LatestTime + LoadDelayFactor * Capacity.m_ReadyIn +
                   predictWait(Class, Capacity),
               m_ReservedUntil[indexOf(TrafficClass::Interactive)]);
  RetryAt = std::max(RetryAt, m_ReservedUntil[indexOf(Class)]);
  return std::clamp(std::chrono::ceil<milliseconds>(RetryAt - m_LatestTime),
                    MinRetryAfter, MaxRetryAfter);
}

milliseconds AdmissionQueue::reserveRetryCapacity(
    TrafficClass Class, const CapacityEstimate &Capacity, Instant Now) {
  m_LatestTime = std::max(m_LatestTime, Now);
  const milliseconds Delay = retryAfter(Class, Capacity);
  const double Share = ReservableShare * capacityShare(Class, 0, Capacity);
  m_ReservedUntil[indexOf(Class)] =
      m_LatestTime + Delay + drainTime(serviceTime(Class), Share, Capacity);
  return Delay;
}

std::optional<Instant> AdmissionQueue::earliestDeadline() const {
  if (m_Waiting.empty())
    return std::nullopt;
  return std::min_element(m_Waiting.begin(), m_Waiting.end(),
                          [](const Waiting &A, const Waiting &B) {
                            return A.m_Deadline < B.m_Deadline;
                          })
      ->m_Deadline;
}

Instant AdmissionQueue::reservedUntil() const {
  return std::max(m_ReservedUntil[0], m_ReservedUntil[1]);
}

} // namespace sff::admission
