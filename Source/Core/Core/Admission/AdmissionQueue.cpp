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
/// service times above the mean and callers that come early or late.
constexpr double PromisedShare = 0.8;
/// Period over which the rate of interactive requests is measured.
constexpr Seconds InteractiveWindow(10);
/// Least share assumed for batch requests, so that estimates stay finite.
constexpr double MinBatchShare = 0.02;
/// A shorter retry time only repeats the refusal.
constexpr milliseconds MinRetryAfter{100};
/// Longest retry time, a bound for estimates from little data.
constexpr milliseconds MaxRetryAfter{3600 * 1000};

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
  const auto Place = m_Waiting.upper_bound(Item);
  const auto Ahead =
      static_cast<double>(std::distance(m_Waiting.begin(), Place));
  const double Share =
      Item.m_Class == TrafficClass::Batch ? batchShare(Capacity) : 1;
  const bool Yields =
      !Item.m_KeptRetryTime && hasOpenPromises(Item.m_Class, Now);
  const double Usable = Yields ? Share * (1 - PromisedShare) : Share;
  if (Now + Capacity.m_ReadyIn + drainTime(Ahead / Usable, Capacity) >
      Item.m_Deadline)
    return false;
  double Position = Ahead + 1;
  for (auto Later = Place; Later != m_Waiting.end(); ++Later, ++Position) {
    if (Later->m_Class != Item.m_Class)
      break;
    if (Now + Capacity.m_ReadyIn + drainTime(Position / Share, Capacity) >
        Later->m_Deadline)
      return false;
  }
  return true;
}

bool AdmissionQueue::makeRoomFor(const Waiting &Item, Instant Now) {
  const bool Yields =
      !Item.m_KeptRetryTime && hasOpenPromises(Item.m_Class, Now);
  const std::size_t Limit = Yields ? (m_MaxWaiting + 1) / 2 : m_MaxWaiting;
  if (m_Waiting.size() < Limit)
    return true;
  if (m_Waiting.empty() || Item.m_Class != TrafficClass::Interactive)
    return false;
  const auto Last = std::prev(m_Waiting.end());
  if (Last->m_Class != TrafficClass::Batch)
    return false;
  m_Displaced.push_back(*Last);
  m_Waiting.erase(Last);
  return true;
}

bool AdmissionQueue::hasOpenPromises(TrafficClass Class, Instant Now) const {
  // A batch request also yields to interactive callers that will come back.
  return m_PromisedUntil[indexOf(TrafficClass::Interactive)] > Now ||
         (Class == TrafficClass::Batch &&
          m_PromisedUntil[indexOf(Class)] > Now);
}

Refusal AdmissionQueue::refuse(Reason Reason, const Waiting &Item,
                               const CapacityEstimate &Capacity, Instant Now) {
  return {Reason, promiseRetry(Item.m_Class, Capacity, Now)};
}

std::optional<Waiting> AdmissionQueue::takeNext(Instant Now) {
  const auto Found =
      std::find_if(m_Waiting.begin(), m_Waiting.end(),
                   [&](const Waiting &Item) { return Item.m_Deadline >= Now; });
  if (Found == m_Waiting.end())
    return std::nullopt;
  Waiting Item = *Found;
  m_Waiting.erase(Found);
  return Item;
}

std::vector<Waiting>
AdmissionQueue::takeExpired(const CapacityEstimate &Capacity, Instant Now) {
  m_Latest = std::max(m_Latest, Now);
  std::vector<Waiting> Expired;
  double Ahead = 0;
  for (auto Item = m_Waiting.begin(); Item != m_Waiting.end();) {
    const double Share =
        Item->m_Class == TrafficClass::Batch ? batchShare(Capacity) : 1;
    const Instant Start =
        Now + Capacity.m_ReadyIn + drainTime(Ahead / Share, Capacity);
    if (Start <= Item->m_Deadline) {
      ++Ahead;
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

void AdmissionQueue::onServed(Duration ServiceTime) {
  if (!m_HasServed)
    m_ServiceTime = ServiceTime;
  else
    m_ServiceTime +=
        toDuration(ServiceTimeWeight * Seconds(ServiceTime - m_ServiceTime));
  m_HasServed = true;
}

Duration AdmissionQueue::drainTime(double Ahead,
                                   const CapacityEstimate &Capacity) const {
  const Seconds Service = m_HasServed ? m_ServiceTime : DefaultServiceTime;
  const auto Parallel =
      static_cast<double>(std::max<std::int64_t>(Capacity.m_Parallel, 1));
  return toDuration(
      std::min(Service * Ahead / Parallel, Seconds(MaxRetryAfter)));
}

double AdmissionQueue::batchShare(const CapacityEstimate &Capacity) const {
  const Seconds Age = m_Latest - m_InteractiveNoted;
  const double Rate = m_InteractiveRecent *
                      std::exp(-(Age / InteractiveWindow)) /
                      InteractiveWindow.count();
  const double Used = Rate * Seconds(drainTime(1, Capacity)).count();
  return std::clamp(1 - Used, MinBatchShare, 1.0);
}

void AdmissionQueue::noteInteractive(Instant Now) {
  const Seconds Age = Now - m_InteractiveNoted;
  m_InteractiveRecent =
      m_InteractiveRecent * std::exp(-(Age / InteractiveWindow)) + 1;
  m_InteractiveNoted = Now;
}

Duration AdmissionQueue::predictWait(TrafficClass Class,
                                     const CapacityEstimate &Capacity) const {
  Waiting Last;
  Last.m_Class = Class;
  Last.m_Deadline = Instant::max();
  const auto Ahead = static_cast<double>(
      std::distance(m_Waiting.begin(), m_Waiting.upper_bound(Last)));
  const double Share = Class == TrafficClass::Batch ? batchShare(Capacity) : 1;
  return Capacity.m_ReadyIn + drainTime(Ahead / Share, Capacity);
}

milliseconds
AdmissionQueue::retryAfter(TrafficClass Class,
                           const CapacityEstimate &Capacity) const {
  Instant At = std::max(m_Latest + predictWait(Class, Capacity),
                        m_PromisedUntil[indexOf(TrafficClass::Interactive)]);
  if (Class == TrafficClass::Batch)
    At = std::max(At, m_PromisedUntil[indexOf(Class)]);
  return std::clamp(std::chrono::ceil<milliseconds>(At - m_Latest),
                    MinRetryAfter, MaxRetryAfter);
}

milliseconds AdmissionQueue::promiseRetry(TrafficClass Class,
                                          const CapacityEstimate &Capacity,
                                          Instant Now) {
  m_Latest = std::max(m_Latest, Now);
  const milliseconds After = retryAfter(Class, Capacity);
  const double Share = Class == TrafficClass::Batch ? batchShare(Capacity) : 1;
  m_PromisedUntil[indexOf(Class)] =
      m_Latest + After + drainTime(1 / (Share * PromisedShare), Capacity);
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
