#include "Core/Admission/AdmissionQueue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>

namespace sff::admission {
namespace {

using catalogue::TrafficClass;

constexpr double ServiceSeconds = 1;
constexpr Instant Start{std::chrono::hours(1)};

/// Reference implementation that recomputes everything from plain lists. Times
/// are in seconds.
class ReferenceQueue {
public:
  explicit ReferenceQueue(std::size_t Max) : m_Max(Max) {}

  bool offer(const Waiting &Item, double Ready, double Parallel, double Now) {
    const bool Batch = Item.m_Class == TrafficClass::Batch;
    const bool YieldsToReservations =
        !Item.m_KeptRetryTime &&
        (m_ReservedUntil[0] > Now || (Batch && m_ReservedUntil[1] > Now));
    const bool Accepted =
        toSeconds(Item.m_Deadline - Start) >= Now &&
        keepsDeadlines(Item, YieldsToReservations, Ready, Parallel, Now) &&
        hasRoom(Item, YieldsToReservations);
    if (!Accepted) {
      reserveRetry(Batch, Ready, Parallel, Now);
      return false;
    }
    m_Items.push_back(Item);
    sortItems();
    if (!Batch)
      m_InteractiveArrivals.push_back(Now);
    return true;
  }

  std::vector<Waiting> takeExpired(double Ready, double Parallel, double Now) {
    std::vector<Waiting> Kept, Expired;
    for (const Waiting &Item : m_Items) {
      const double Wait = static_cast<double>(Kept.size()) /
                          serviceRate(Item.m_Class, Parallel, Now, -2);
      const bool MissesDeadline =
          Now + Ready + Wait > toSeconds(Item.m_Deadline - Start);
      (MissesDeadline ? Expired : Kept).push_back(Item);
    }
    m_Items = Kept;
    return Expired;
  }

  std::vector<Waiting> m_Items;
  std::vector<Waiting> m_Displaced;

private:
  static auto key(const Waiting &Item) {
    return std::tie(Item.m_Class, Item.m_Deadline, Item.m_Arrival,
                    Item.m_Request);
  }
  void sortItems() {
    std::sort(m_Items.begin(), m_Items.end(),
              [](const auto &A, const auto &B) { return key(A) < key(B); });
  }
  double serviceRate(TrafficClass Class, double Parallel, double Now,
                     double Deviations) const {
    if (Class == TrafficClass::Interactive)
      return Parallel / ServiceSeconds;
    double Recent = 0;
    for (const double Time : m_InteractiveArrivals)
      Recent += std::exp((Time - Now) / 25);
    Recent = std::max(0.0, Recent + Deviations * std::sqrt(Recent));
    const double Used = Recent / 25 * ServiceSeconds / Parallel;
    return std::max(0.02, 1 - Used) * Parallel / ServiceSeconds;
  }
  bool keepsDeadlines(const Waiting &Item, bool YieldsToReservations,
                      double Ready, double Parallel, double Now) const {
    auto Combined = m_Items;
    Combined.push_back(Item);
    std::sort(Combined.begin(), Combined.end(),
              [](const auto &A, const auto &B) { return key(A) < key(B); });
    bool AtOrAfterNewItem = false;
    for (std::size_t Position = 0; Position < Combined.size(); ++Position) {
      const bool IsNewItem = Combined[Position].m_Request == Item.m_Request;
      AtOrAfterNewItem = AtOrAfterNewItem || IsNewItem;
      if (!AtOrAfterNewItem || Combined[Position].m_Class != Item.m_Class)
        continue;
      const double Rate = serviceRate(Item.m_Class, Parallel, Now,
                                      Item.m_KeptRetryTime ? 0 : 1) *
                          (IsNewItem && YieldsToReservations ? 0.25 : 1);
      if (Now + Ready + static_cast<double>(Position) / Rate >
          toSeconds(Combined[Position].m_Deadline - Start))
        return false;
    }
    return true;
  }
  bool hasRoom(const Waiting &Item, bool YieldsToReservations) {
    const bool Batch = Item.m_Class == TrafficClass::Batch;
    std::size_t SameClass = 0;
    for (const Waiting &Other : m_Items)
      SameClass += Other.m_Class == Item.m_Class;
    const double Max = static_cast<double>(m_Max);
    if (static_cast<double>(SameClass) >=
        (YieldsToReservations ? std::ceil(Max / 2)
                              : std::ceil(Batch ? Max * 0.75 : Max)))
      return false;
    if (m_Items.size() < m_Max)
      return true;
    if (Batch || m_Items.back().m_Class != TrafficClass::Batch)
      return false;
    m_Displaced.push_back(m_Items.back());
    m_Items.pop_back();
    return true;
  }
  void reserveRetry(bool Batch, double Ready, double Parallel, double Now) {
    const auto Class = Batch ? TrafficClass::Batch : TrafficClass::Interactive;
    double Ahead = 0;
    for (const Waiting &Item : m_Items)
      Ahead += Batch || Item.m_Class == Class ? 1 : 0;
    const double Rate = serviceRate(Class, Parallel, Now, 0);
    double RetryAt =
        std::max(Now + 2 * Ready + Ahead / Rate, m_ReservedUntil[0]);
    RetryAt = std::max({RetryAt, Batch ? m_ReservedUntil[1] : 0, Now + 0.1});
    // Retry times are returned in whole milliseconds.
    RetryAt = Now + std::ceil((RetryAt - Now) * 1000 - 1e-6) / 1000;
    m_ReservedUntil[Batch ? 1 : 0] = RetryAt + 1 / (Rate * 0.6);
  }

  std::size_t m_Max;
  std::vector<double> m_InteractiveArrivals;
  double m_ReservedUntil[2] = {0, 0};
};

std::vector<RequestId> requestIds(const std::vector<Waiting> &List) {
  std::vector<RequestId> Ids;
  Ids.reserve(List.size());
  for (const Waiting &Item : List)
    Ids.push_back(Item.m_Request);
  return Ids;
}

Waiting generateItem(int Index, Instant Now) {
  Waiting Item;
  Item.m_Request = RequestId(std::to_string(1000 + Index));
  Item.m_Class =
      *rc::gen::element(TrafficClass::Batch, TrafficClass::Interactive);
  // Requests arrive up to a second before they are offered. The odd
  // milliseconds keep deadlines apart from predicted starts, where rounding
  // would decide.
  Item.m_Arrival = Now - milliseconds(*rc::gen::inRange(0, 1000));
  Item.m_Deadline = Now + milliseconds(*rc::gen::inRange(-2, 40) * 500 + 133);
  Item.m_KeptRetryTime = *rc::gen::arbitrary<bool>();
  return Item;
}

// Guards against errors in the incrementally updated state: the queue decides
// like the reference, and each offered request is removed exactly once.
RC_GTEST_PROP(AdmissionProperties, MatchesTheReferenceQueue, ()) {
  const auto Max = *rc::gen::inRange<std::size_t>(1, 9);
  AdmissionQueue Queue(Max);
  ReferenceQueue Reference(Max);
  Queue.onServed(std::chrono::seconds(1));
  Instant Now = Start;
  std::vector<RequestId> Offered, Removed;
  const auto RecordRemoval = [&](const std::vector<Waiting> &Items) {
    for (const auto &Id : requestIds(Items))
      Removed.push_back(Id);
  };
  const int Steps = *rc::gen::inRange(1, 60);
  for (int Step = 0; Step < Steps; ++Step) {
    Now += milliseconds(*rc::gen::inRange(0, 6) * 171);
    const double Time = toSeconds(Now - Start);
    const CapacityEstimate Capacity{
        milliseconds(*rc::gen::element(0, 0, 1700, 5300)),
        *rc::gen::inRange(1, 4)};
    const double Ready = toSeconds(Capacity.m_ReadyIn);
    const auto Parallel = static_cast<double>(Capacity.m_Parallel);
    switch (*rc::gen::inRange(0, 6)) {
    case 0: {
      const auto Taken = Queue.takeNext(Now);
      const auto Found = std::find_if(
          Reference.m_Items.begin(), Reference.m_Items.end(),
          [&](const auto &Item) { return Item.m_Deadline >= Now; });
      RC_ASSERT(Taken.has_value() == (Found != Reference.m_Items.end()));
      if (!Taken)
        break;
      RC_ASSERT(Taken->m_Request == Found->m_Request);
      RecordRemoval({*Taken});
      Reference.m_Items.erase(Found);
      break;
    }
    case 1: {
      // A second call at the same time returns nothing.
      const auto Expired = Queue.takeExpired(Capacity, Now);
      RC_ASSERT(requestIds(Expired) ==
                requestIds(Reference.takeExpired(Ready, Parallel, Time)));
      RC_ASSERT(Queue.takeExpired(Capacity, Now).empty());
      RecordRemoval(Expired);
      break;
    }
    case 2: {
      if (Reference.m_Items.empty())
        break;
      const auto Cancelled = *rc::gen::elementOf(Reference.m_Items);
      RC_ASSERT(Queue.remove(Cancelled.m_Request));
      RC_ASSERT(!Queue.remove(Cancelled.m_Request));
      std::erase_if(Reference.m_Items, [&](const auto &Item) {
        return Item.m_Request == Cancelled.m_Request;
      });
      RecordRemoval({Cancelled});
      break;
    }
    default: {
      const Waiting Item = generateItem(Step, Now);
      Offered.push_back(Item.m_Request);
      const auto Refused = Queue.offer(Item, Capacity, Now);
      RC_ASSERT(Refused.has_value() ==
                !Reference.offer(Item, Ready, Parallel, Time));
      if (Refused) {
        RC_ASSERT(Refused->m_RetryAfter.count() > 0);
        RecordRemoval({Item});
      }
    }
    }
    RC_ASSERT(Queue.size() == Reference.m_Items.size());
    RC_ASSERT(Queue.size() <= Max);
  }
  const auto Displaced = Queue.takeDisplaced();
  RC_ASSERT(requestIds(Displaced) == requestIds(Reference.m_Displaced));
  RecordRemoval(Displaced);
  RecordRemoval(Reference.m_Items);
  std::sort(Removed.begin(), Removed.end());
  RC_ASSERT(Removed == Offered);
}

} // namespace
} // namespace sff::admission
