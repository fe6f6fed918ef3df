#include "Core/Admission/AdmissionQueue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace sff::admission {
namespace {

using catalogue::TrafficClass;
using execution::Reason;
using Seconds = std::chrono::duration<double>;

/// Assumed until the first request of the entry was served.
constexpr Duration DefaultServiceTime = std::chrono::milliseconds(500);
/// Weight of the latest service time in the running mean.
constexpr double ServiceTimeWeight = 0.1;
/// Share of the capacity that is promised to refused callers. The rest absorbs
/// service times above the mean, callers that come early or late, and promises
/// made before a rise of the interactive rate was measured.
constexpr double PromisedShare = 0.6;
/// Share of the time to their deadline that requests may wait that arrive the
/// first time while promises are open. The rest takes up the fluctuation of
/// those who come back; with a half, 88% of them found room instead of 91% at
/// four times the capacity.
constexpr double FirstArrivalRoom = 0.25;
/// Period over which the rate of interactive requests is measured.
constexpr Seconds InteractiveWindow(25);
/// Standard deviations by which the rate of interactive requests is assumed
/// to be higher before a batch request is accepted, and lower before one that
/// waits is given up. One value for both would refuse accepted requests at
/// each fluctuation.
constexpr double RateDeviations = 1;
/// Least share assumed for batch requests, so that estimates stay finite.
constexpr double MinBatchShare = 0.02;
/// Added to the expected time of a load, as a multiple, in a retry time: more
/// valuable loads may go ahead of it. With half of the engines lost, callers
/// found the model loaded in 80% of the cases without it and in 96% with it.
constexpr int LoadMargin = 1;
/// A shorter retry time only repeats the refusal.
constexpr milliseconds MinRetryAfter{100};
/// Longest retry time. A shorter bound would send the many callers of a long
/// overload back at the same time.
constexpr milliseconds MaxRetryAfter{24 * 3600 * 1000};

Duration toDuration(Seconds Value) {
  return std::chrono::duration_cast<Duration>(Value);
}

std::size_t indexOf(TrafficClass Class) {
  return static_cast<std::size_t>(Class);
}

} // namespace

bool AdmissionQueue::Order::operator()(const Waiting &Left,
                                       const Waiting &Right) const {
  return std::tie(Left.m_Class, Left.m_Deadline, Left.m_Arrival,
                  Left.m_Request) < std::tie(Right.m_Class, Right.m_Deadline,
                                             Right.m_Arrival, Right.m_Request);
}

std::optional<Refusal> AdmissionQueue::offer(const Waiting &Item,
                                             const CapacityEstimate &Capacity,
                                             Instant Now) {
  m_Latest = std::max(m_Latest, Now);
  if (Item.m_Deadline < Now)
    return refuse(Reason::DeadlineExpired, Item, Capacity, Now);
  if (!fits(Item, Capacity, Now))
    return refuse(Reason::DeadlineUnreachable, Item, Capacity, Now);
  if (!makeRoomFor(Item, Now))
    return refuse(Reason::QueueFull, Item, Capacity, Now);
  if (Item.m_Class == TrafficClass::Interactive)
    noteInteractive(Now);
  m_Waiting.insert(Item);
  return std::nullopt;
}

/// Checks the deadline of the request, and of the accepted requests of its
/// class that it would delay.
bool AdmissionQueue::fits(const Waiting &Item, const CapacityEstimate &Capacity,
                          Instant Now) const {
  // A promise is kept while the measured rate allows it.
  const double Usable =
      share(Item.m_Class, Item.m_KeptRetryTime ? 0 : RateDeviations, Capacity);
  const double Own =
      yieldsToPromises(Item, Now) ? Usable * FirstArrivalRoom : Usable;
  const Instant From = Now + Capacity.m_ReadyIn;
  const auto Place = m_Waiting.upper_bound(Item);
  Duration Work{0};
  for (auto Ahead = m_Waiting.begin(); Ahead != Place; ++Ahead)
    Work += serviceTime(Ahead->m_Class);
  if (From + drainTime(Work, Own, Capacity) > Item.m_Deadline)
    return false;
  Work += serviceTime(Item.m_Class);
  for (auto Later = Place; Later != m_Waiting.end(); ++Later) {
    if (Later->m_Class != Item.m_Class)
      break;
    if (From + drainTime(Work, Usable, Capacity) > Later->m_Deadline)
      return false;
    Work += serviceTime(Later->m_Class);
  }
  return true;
}

/// Batch requests leave a quarter of the queue to interactive ones, so that
/// these seldom displace a request that was accepted.
bool AdmissionQueue::makeRoomFor(const Waiting &Item, Instant Now) {
  const bool Batch = Item.m_Class == TrafficClass::Batch;
  const std::size_t Limit = yieldsToPromises(Item, Now) ? (m_MaxWaiting + 1) / 2
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

/// A batch request also yields to interactive callers that will come back.
bool AdmissionQueue::yieldsToPromises(const Waiting &Item, Instant Now) const {
  if (Item.m_KeptRetryTime)
    return false;
  return m_PromisedUntil[indexOf(TrafficClass::Interactive)] > Now ||
         m_PromisedUntil[indexOf(Item.m_Class)] > Now;
}

Refusal AdmissionQueue::refuse(Reason Reason, const Waiting &Item,
                               const CapacityEstimate &Capacity, Instant Now) {
  return {Reason, promiseRetry(Item.m_Class, Capacity, Now)};
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
  m_Latest = std::max(m_Latest, Now);
  std::vector<Waiting> Expired;
  Duration Work{0};
  for (auto Item = m_Waiting.begin(); Item != m_Waiting.end();) {
    const double Share = share(Item->m_Class, -2 * RateDeviations, Capacity);
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
  const auto &Own = m_ServiceTime[indexOf(Class)];
  const auto &Other = m_ServiceTime[1 - indexOf(Class)];
  return Own ? *Own : Other.value_or(DefaultServiceTime);
}

Duration AdmissionQueue::drainTime(Duration Work, double Share,
                                   const CapacityEstimate &Capacity) {
  const auto Parallel =
      static_cast<double>(std::max<std::int64_t>(Capacity.m_Parallel, 1));
  return toDuration(
      std::min(Seconds(Work) / (Parallel * Share), Seconds(MaxRetryAfter)));
}

double AdmissionQueue::share(TrafficClass Class, double Deviations,
                             const CapacityEstimate &Capacity) const {
  if (Class == TrafficClass::Interactive)
    return 1;
  const Seconds Age = m_Latest - m_InteractiveNoted;
  const double Recent =
      m_InteractiveRecent * std::exp(-(Age / InteractiveWindow));
  const double Assumed = std::max(0.0, Recent + Deviations * std::sqrt(Recent));
  const Duration Each =
      drainTime(serviceTime(TrafficClass::Interactive), 1, Capacity);
  return std::clamp(1 - Assumed * (Each / InteractiveWindow), MinBatchShare,
                    1.0);
}

void AdmissionQueue::noteInteractive(Instant Now) {
  const Seconds Age = Now - m_InteractiveNoted;
  m_InteractiveRecent =
      m_InteractiveRecent * std::exp(-(Age / InteractiveWindow)) + 1;
  m_InteractiveNoted = Now;
}

Duration AdmissionQueue::predictWait(TrafficClass Class,
                                     const CapacityEstimate &Capacity) const {
  Duration Work{0};
  for (const Waiting &Item : m_Waiting)
    if (Item.m_Class <= Class)
      Work += serviceTime(Item.m_Class);
  return Capacity.m_ReadyIn +
         drainTime(Work, share(Class, 0, Capacity), Capacity);
}

milliseconds
AdmissionQueue::retryAfter(TrafficClass Class,
                           const CapacityEstimate &Capacity) const {
  Instant At = std::max(m_Latest + LoadMargin * Capacity.m_ReadyIn +
                            predictWait(Class, Capacity),
                        m_PromisedUntil[indexOf(TrafficClass::Interactive)]);
  At = std::max(At, m_PromisedUntil[indexOf(Class)]);
  return std::clamp(std::chrono::ceil<milliseconds>(At - m_Latest),
                    MinRetryAfter, MaxRetryAfter);
}

milliseconds AdmissionQueue::promiseRetry(TrafficClass Class,
                                          const CapacityEstimate &Capacity,
                                          Instant Now) {
  m_Latest = std::max(m_Latest, Now);
  const milliseconds After = retryAfter(Class, Capacity);
  const double Share = PromisedShare * share(Class, 0, Capacity);
  m_PromisedUntil[indexOf(Class)] =
      m_Latest + After + drainTime(serviceTime(Class), Share, Capacity);
  return After;
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

Instant AdmissionQueue::promisedUntil() const {
  return std::max(m_PromisedUntil[0], m_PromisedUntil[1]);
}

} // namespace sff::admission
