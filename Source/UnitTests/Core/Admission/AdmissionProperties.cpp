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

/// Times in seconds, everything recomputed from plain lists.
class NaiveQueue {
public:
  explicit NaiveQueue(std::size_t Max) : m_Max(Max) {}

  bool offer(const Waiting &Item, double Ready, double Parallel, double Now) {
    const bool Batch = Item.m_Class == TrafficClass::Batch;
    const bool Yields = !Item.m_KeptRetryTime &&
                        (m_Promised[0] > Now || (Batch && m_Promised[1] > Now));
    const bool Accepted = toSeconds(Item.m_Deadline - Start) >= Now &&
                          keepsDeadlines(Item, Yields, Ready, Parallel, Now) &&
                          hasRoom(Item, Yields);
    if (!Accepted) {
      promise(Batch, Ready, Parallel, Now);
      return false;
    }
    m_Items.push_back(Item);
    sortItems();
    if (!Batch)
      m_Interactive.push_back(Now);
    return true;
  }

  std::vector<Waiting> takeExpired(double Ready, double Parallel, double Now) {
    std::vector<Waiting> Kept, Expired;
    for (const Waiting &Item : m_Items) {
      const double Wait = static_cast<double>(Kept.size()) /
                          speed(Item.m_Class, Parallel, Now, -2);
      const bool Late = Now + Ready + Wait > toSeconds(Item.m_Deadline - Start);
      (Late ? Expired : Kept).push_back(Item);
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
  double speed(TrafficClass Class, double Parallel, double Now,
               double Deviations) const {
    if (Class == TrafficClass::Interactive)
      return Parallel / ServiceSeconds;
    double Recent = 0;
    for (const double Time : m_Interactive)
      Recent += std::exp((Time - Now) / 25);
    Recent = std::max(0.0, Recent + Deviations * std::sqrt(Recent));
    const double Used = Recent / 25 * ServiceSeconds / Parallel;
    return std::max(0.02, 1 - Used) * Parallel / ServiceSeconds;
  }
  bool keepsDeadlines(const Waiting &Item, bool Yields, double Ready,
                      double Parallel, double Now) const {
    auto All = m_Items;
    All.push_back(Item);
    std::sort(All.begin(), All.end(),
              [](const auto &A, const auto &B) { return key(A) < key(B); });
    bool Passed = false;
    for (std::size_t Place = 0; Place < All.size(); ++Place) {
      const bool Self = All[Place].m_Request == Item.m_Request;
      Passed = Passed || Self;
      if (!Passed || All[Place].m_Class != Item.m_Class)
        continue;
      const double Speed =
          speed(Item.m_Class, Parallel, Now, Item.m_KeptRetryTime ? 0 : 1) *
          (Self && Yields ? 0.25 : 1);
      if (Now + Ready + static_cast<double>(Place) / Speed >
          toSeconds(All[Place].m_Deadline - Start))
        return false;
    }
    return true;
  }
  bool hasRoom(const Waiting &Item, bool Yields) {
    const bool Batch = Item.m_Class == TrafficClass::Batch;
    std::size_t Same = 0;
    for (const Waiting &Other : m_Items)
      Same += Other.m_Class == Item.m_Class;
    const double Max = static_cast<double>(m_Max);
    if (static_cast<double>(Same) >=
        (Yields ? std::ceil(Max / 2) : std::ceil(Batch ? Max * 0.75 : Max)))
      return false;
    if (m_Items.size() < m_Max)
      return true;
    if (Batch || m_Items.back().m_Class != TrafficClass::Batch)
      return false;
    m_Displaced.push_back(m_Items.back());
    m_Items.pop_back();
    return true;
  }
  void promise(bool Batch, double Ready, double Parallel, double Now) {
    const auto Class = Batch ? TrafficClass::Batch : TrafficClass::Interactive;
    double Ahead = 0;
    for (const Waiting &Item : m_Items)
      Ahead += Batch || Item.m_Class == Class ? 1 : 0;
    const double Speed = speed(Class, Parallel, Now, 0);
    double At = std::max(Now + 2 * Ready + Ahead / Speed, m_Promised[0]);
    At = std::max({At, Batch ? m_Promised[1] : 0, Now + 0.1});
    // Retry times are told in whole milliseconds.
    At = Now + std::ceil((At - Now) * 1000 - 1e-6) / 1000;
    m_Promised[Batch ? 1 : 0] = At + 1 / (Speed * 0.6);
  }

  std::size_t m_Max;
  std::vector<double> m_Interactive;
  double m_Promised[2] = {0, 0};
};

std::vector<RequestId> names(const std::vector<Waiting> &List) {
  std::vector<RequestId> Names;
  Names.reserve(List.size());
  for (const Waiting &Item : List)
    Names.push_back(Item.m_Request);
  return Names;
}

Waiting genItem(int Index, Instant Now) {
  Waiting Item;
  Item.m_Request = RequestId(std::to_string(1000 + Index));
  Item.m_Class =
      *rc::gen::element(TrafficClass::Batch, TrafficClass::Interactive);
  // Arrivals are late by up to a second. The odd milliseconds keep deadlines
  // away from predicted starts, where rounding would decide.
  Item.m_Arrival = Now - milliseconds(*rc::gen::inRange(0, 1000));
  Item.m_Deadline = Now + milliseconds(*rc::gen::inRange(-2, 40) * 500 + 133);
  Item.m_KeptRetryTime = *rc::gen::arbitrary<bool>();
  return Item;
}

// Guards against decisions that depend on the incremental bookkeeping: a
// naive queue that recomputes everything decides the same, and every offered
// request leaves by exactly one way.
RC_GTEST_PROP(AdmissionProperties, DecidesAsTheNaiveQueue, ()) {
  const auto Max = *rc::gen::inRange<std::size_t>(1, 9);
  AdmissionQueue Queue(Max);
  NaiveQueue Naive(Max);
  Queue.onServed(std::chrono::seconds(1));
  Instant Now = Start;
  std::vector<RequestId> Offered, Left;
  const auto Leave = [&](const std::vector<Waiting> &Gone) {
    for (const auto &Name : names(Gone))
      Left.push_back(Name);
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
          Naive.m_Items.begin(), Naive.m_Items.end(),
          [&](const auto &Item) { return Item.m_Deadline >= Now; });
      RC_ASSERT(Taken.has_value() == (Found != Naive.m_Items.end()));
      if (!Taken)
        break;
      RC_ASSERT(Taken->m_Request == Found->m_Request);
      Leave({*Taken});
      Naive.m_Items.erase(Found);
      break;
    }
    case 1: {
      // A repeated check right after finds nothing more.
      const auto Expired = Queue.takeExpired(Capacity, Now);
      RC_ASSERT(names(Expired) ==
                names(Naive.takeExpired(Ready, Parallel, Time)));
      RC_ASSERT(Queue.takeExpired(Capacity, Now).empty());
      Leave(Expired);
      break;
    }
    case 2: {
      if (Naive.m_Items.empty())
        break;
      const auto Gone = *rc::gen::elementOf(Naive.m_Items);
      RC_ASSERT(Queue.remove(Gone.m_Request));
      RC_ASSERT(!Queue.remove(Gone.m_Request));
      std::erase_if(Naive.m_Items, [&](const auto &Item) {
        return Item.m_Request == Gone.m_Request;
      });
      Leave({Gone});
      break;
    }
    default: {
      const Waiting Item = genItem(Step, Now);
      Offered.push_back(Item.m_Request);
      const auto Refused = Queue.offer(Item, Capacity, Now);
      RC_ASSERT(Refused.has_value() ==
                !Naive.offer(Item, Ready, Parallel, Time));
      if (Refused) {
        RC_ASSERT(Refused->m_RetryAfter.count() > 0);
        Leave({Item});
      }
    }
    }
    RC_ASSERT(Queue.size() == Naive.m_Items.size());
    RC_ASSERT(Queue.size() <= Max);
  }
  const auto Displaced = Queue.takeDisplaced();
  RC_ASSERT(names(Displaced) == names(Naive.m_Displaced));
  Leave(Displaced);
  Leave(Naive.m_Items);
  std::sort(Left.begin(), Left.end());
  RC_ASSERT(Left == Offered);
}

} // namespace
} // namespace sff::admission
