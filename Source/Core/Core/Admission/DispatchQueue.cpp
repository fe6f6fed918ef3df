#include "Core/Admission/DispatchQueue.h"

#include "Core/Admission/DueOrder.h"

#include <algorithm>
#include <set>

namespace sff::admission {

namespace {

/// Reasons of decisions, as metrics and log lines name them.
constexpr std::string_view WaitsForRoom = "no_room";
constexpr std::string_view WaitsForRetry = "retry_budget";
constexpr std::string_view TooLate = "too_late";
constexpr std::string_view NotInTime = "not_in_time";
constexpr std::string_view Displaced = "displaced";

/// Prompt tokens that need as much time of an endpoint as one output token.
constexpr double PromptTokensPerOutputToken = 10;
/// Work of a request whose caller does not name it.
constexpr double DefaultWork = 200;
/// Weight of the latest request in moving averages.
constexpr double MeanWeight = 0.1;
/// A request at the end of its time is promoted this long before its latest
/// start, so that it need not find a free slot at that very moment.
constexpr milliseconds PromotionLead{300};
/// Share of the starts that may go to promoted requests, and how many may be
/// saved up.
constexpr double PromotedShare = 0.25;
constexpr double MaxPromotions = 2;
/// Weight of what is older in the share of requests that are served.
constexpr double RecordDecay = 0.98;
/// A request with less slack does not wait for the sake of others: it would
/// miss its target latency if they came in numbers.
constexpr milliseconds MinSlack{500};
/// A request with less slack comes before those of higher priorities that have
/// more, while all that wait are expected to start within LightLoad. Without
/// this precedence, 23 of 1,000 simulated loads cost callers more than if they
/// were served first come, first served; without LightLoad, all loads together
/// cost a fifth more.
constexpr milliseconds TightSlack{200};
constexpr milliseconds LightLoad{400};
/// Slots are kept for a higher priority for this long after its last request.
constexpr milliseconds RankMemory{2000};
/// Latest start before the deadline: less time is of no use to a caller.
constexpr milliseconds MinUsefulTime{50};
constexpr milliseconds MinRetryAfter{100};
/// Callers honour a time of up to this part of what they have left.
constexpr int PatienceDivisor = 3;
/// Share of the starts that is promised to callers who return. The rest serves
/// those that come first in the meantime.
constexpr double ReservableShare = 0.6;
constexpr std::size_t MaxReturning = 1000;
/// Assumed while nothing has been sent lately.
constexpr double MinStartsPerSecond = 0.1;

bool shareEndpoints(const DispatchRequest &Left, const DispatchRequest &Right) {
  return std::ranges::any_of(Left.m_Candidates, [&](const EndpointId &Id) {
    return std::ranges::find(Right.m_Candidates, Id) !=
           Right.m_Candidates.end();
  });
}

} // namespace

double workOf(std::optional<std::int64_t> PromptTokens,
              std::optional<std::int64_t> OutputTokens) {
  if (!PromptTokens && !OutputTokens)
    return DefaultWork;
  const auto Prompt = static_cast<double>(PromptTokens.value_or(0));
  const auto Output = static_cast<double>(OutputTokens.value_or(0));
  return std::max(1.0, Output + Prompt / PromptTokensPerOutputToken);
}

bool DispatchQueue::Standing::operator<(const Standing &Other) const {
  if (m_Class != Other.m_Class)
    return m_Class < Other.m_Class;
  const DispatchRequest &Own = m_Entry->m_Request;
  const DispatchRequest &Compared = Other.m_Entry->m_Request;
  if (Own.m_Rank != Compared.m_Rank)
    return Own.m_Rank < Compared.m_Rank;
  if (m_Entry->m_HasReturned != Other.m_Entry->m_HasReturned)
    return m_Entry->m_HasReturned;
  const auto OwnOrder = dueOrder(m_Due, Own.m_Arrival, Own.m_Request);
  const auto ComparedOrder =
      dueOrder(Other.m_Due, Compared.m_Arrival, Compared.m_Request);
  if (OwnOrder != ComparedOrder)
    return OwnOrder < ComparedOrder;
  return m_Ticket < Other.m_Ticket;
}

DispatchQueue::Ticket DispatchQueue::add(DispatchRequest Added, Instant Now) {
  Entry Created;
  const auto Returning = m_Returning.find(Added.m_Request);
  if (Returning != m_Returning.end()) {
    // One that comes too early has not waited.
    Created.m_HasReturned = Now >= Returning->second;
    m_Returning.erase(Returning);
  }
  m_Ranks[Added.m_Rank].m_SeenAt = Now;
  m_MeanWork = m_MeanWork <= 0
                   ? Added.m_Work
                   : m_MeanWork + MeanWeight * (Added.m_Work - m_MeanWork);
  Created.m_Request = std::move(Added);
  m_Waiting.emplace(++m_LastTicket, std::move(Created));
  const Ticket Place = m_LastTicket;
  displace(Now);
  return Place;
}

void DispatchQueue::displace(Instant Now) {
  if (m_Waiting.size() <= m_Limits.m_MaxWaiting)
    return;
  const auto Order = order(Now);
  const auto Last =
      std::find_if(Order.rbegin(), Order.rend(), [](const Standing &Current) {
        return !Current.m_Entry->m_IsDisplaced;
      });
  if (Last != Order.rend())
    m_Waiting.at(Last->m_Ticket).m_IsDisplaced = true;
}

void DispatchQueue::update(Ticket Place, std::vector<EndpointId> Candidates,
                           bool IsRetry) {
  DispatchRequest &Updated = m_Waiting.at(Place).m_Request;
  Updated.m_Candidates = std::move(Candidates);
  Updated.m_IsRetry = IsRetry;
}

Duration DispatchQueue::firstByteTime(double Work) const {
  return fromSeconds(m_SecondsPerWork * Work);
}

void DispatchQueue::onFirstByte(double Work, Duration Taken) {
  const double Latest = toSeconds(Taken) / std::max(Work, 1.0);
  m_SecondsPerWork =
      m_SecondsPerWork <= 0
          ? Latest
          : m_SecondsPerWork + MeanWeight * (Latest - m_SecondsPerWork);
}

Instant DispatchQueue::latestStart(const DispatchRequest &Request) const {
  // The estimate must not rule out a request that has all of its time left.
  const Duration Limit = (Request.m_Deadline - Request.m_Arrival) / 2;
  return Request.m_Deadline -
         std::max<Duration>(std::min(firstByteTime(Request.m_Work), Limit),
                            MinUsefulTime);
}

bool DispatchQueue::canMeetTarget(const DispatchRequest &Request,
                                  Instant Now) const {
  if (Request.m_TargetLatency <= Duration::zero())
    return true;
  const Duration Needed =
      std::min(firstByteTime(Request.m_Work), Request.m_TargetLatency / 2);
  return Now + Needed <= Request.m_Arrival + Request.m_TargetLatency;
}

double DispatchQueue::servedShare(std::int64_t Rank) const {
  const auto Found = m_Ranks.find(Rank);
  if (Found == m_Ranks.end())
    return 1;
  const RankRecord &Record = Found->second;
  return (Record.m_Served + 1) / (Record.m_Served + Record.m_Rejected + 1);
}

bool DispatchQueue::mayPromote(std::int64_t Rank) const {
  if (m_Promotions < 1)
    return false;
  for (const auto &[Higher, Record] : m_Ranks)
    if (Higher < Rank && servedShare(Higher) < servedShare(Rank))
      return false;
  return true;
}

bool DispatchQueue::hasHigherRank(std::int64_t Rank, Instant Now) const {
  return std::ranges::any_of(m_Ranks, [&](const auto &Seen) {
    return Seen.first < Rank && Now - Seen.second.m_SeenAt <= RankMemory;
  });
}

DispatchQueue::Standing DispatchQueue::standingOf(Ticket Place,
                                                  const Entry &Current,
                                                  const Situation &Around,
                                                  Instant Now) const {
  const DispatchRequest &Request = Current.m_Request;
  Standing Result;
  Result.m_Entry = &Current;
  Result.m_Ticket = Place;
  Result.m_Due = Request.m_Deadline + firstByteTime(Request.m_Work);
  if (Now + PromotionLead >= latestStart(Request) && mayPromote(Request.m_Rank))
    return Result;
  const bool IsOnTime = canMeetTarget(Request, Now);
  const Instant Target = Request.m_TargetLatency > Duration::zero()
                             ? Request.m_Arrival + Request.m_TargetLatency
                             : Request.m_Deadline;
  const Duration Slack = Target - Now - firstByteTime(Request.m_Work);
  const bool HasTime =
      Slack >= std::max<Duration>((Target - Request.m_Arrival) / 2, MinSlack);
  if (IsOnTime)
    Result.m_Due = Target + firstByteTime(Request.m_Work);
  const bool YieldsToLate = Around.m_LateRank &&
                            *Around.m_LateRank < Request.m_Rank &&
                            (HasTime || servedShare(*Around.m_LateRank) <
                                            servedShare(Request.m_Rank));
  if (!IsOnTime || YieldsToLate)
    Result.m_Class = Late;
  else
    Result.m_Class =
        Around.m_IsLightlyLoaded && Slack < TightSlack ? Tight : OnTime;
  Result.m_MayUseReserve = !HasTime || !hasHigherRank(Request.m_Rank, Now);
  return Result;
}

std::vector<DispatchQueue::Standing> DispatchQueue::order(Instant Now) const {
  Situation Around;
  Around.m_IsLightlyLoaded = static_cast<double>(m_Waiting.size()) <
                             m_StartsPerSecond * toSeconds(LightLoad);
  for (const auto &[Place, Current] : m_Waiting) {
    const DispatchRequest &Request = Current.m_Request;
    if (!canMeetTarget(Request, Now))
      Around.m_LateRank =
          std::min(Around.m_LateRank.value_or(Request.m_Rank), Request.m_Rank);
  }
  std::vector<Standing> Result;
  Result.reserve(m_Waiting.size());
  for (const auto &[Place, Current] : m_Waiting)
    Result.push_back(standingOf(Place, Current, Around, Now));
  std::ranges::sort(Result, std::less());
  return Result;
}

std::vector<EndpointId>
DispatchQueue::findRoom(const Standing &Current,
                        const DispatchCapacity &Capacity, Loads &Rooms,
                        Instant Now) const {
  const DispatchRequest &Request = Current.m_Entry->m_Request;
  std::vector<std::pair<double, EndpointId>> Found;
  if (Request.m_IsRetry && !Capacity.m_MayRetry)
    return {};
  const double UsablePart = Current.m_MayUseReserve
                                ? 1 + m_Limits.m_EarlyShare
                                : 1 - m_Limits.m_ReservedShare;
  for (const EndpointId &Id : Request.m_Candidates) {
    auto Position = Rooms.find(Id);
    if (Position == Rooms.end())
      Position = Rooms.emplace(Id, Capacity.m_RoomOf(Id)).first;
    const EndpointRoom &Room = Position->second;
    const double Load = Current.m_MayUseReserve
                            ? Room.m_Load
                            : std::max(Room.m_Load, Room.m_TypicalLoad);
    if (Now >= Room.m_ClosedUntil &&
        Load < std::min(UsablePart * Room.m_Slots, Room.m_MaxLoad))
      Found.emplace_back(Room.m_Load / Room.m_Slots, Id);
  }
  std::ranges::sort(Found);
  std::vector<EndpointId> Result;
  Result.reserve(Found.size());
  for (auto &[Load, Id] : Found)
    Result.push_back(std::move(Id));
  return Result;
}

Instant DispatchQueue::nextOpening(const DispatchRequest &Request,
                                   const DispatchCapacity &Capacity,
                                   Instant Now) const {
  std::optional<Instant> Earliest;
  for (const EndpointId &Id : Request.m_Candidates) {
    const Instant Opening = Capacity.m_RoomOf(Id).m_ClosedUntil;
    Earliest = std::min(Earliest.value_or(Opening), Opening);
  }
  return std::max(Now, Earliest.value_or(Now));
}

void DispatchQueue::predict(Decision &Result,
                            const std::vector<Standing> &Order,
                            const Standing &Own,
                            const DispatchCapacity &Capacity,
                            Instant Now) const {
  double WorkBefore = 0;
  for (const Standing &Other : Order) {
    if (Other.m_Ticket == Own.m_Ticket)
      break;
    if (!shareEndpoints(Other.m_Entry->m_Request, Own.m_Entry->m_Request))
      continue;
    ++Result.m_Position;
    WorkBefore += Other.m_Entry->m_Request.m_Work;
  }
  const double WorkPerSecond = m_StartsPerSecond * std::max(m_MeanWork, 1.0);
  Result.m_ExpectedStart =
      std::max(nextOpening(Own.m_Entry->m_Request, Capacity, Now),
               Now + fromSeconds(WorkBefore / WorkPerSecond));
}

Decision DispatchQueue::decide(Ticket Place, const DispatchCapacity &Capacity,
                               Instant Now) {
  Entry &Current = m_Waiting.at(Place);
  Decision Result;
  m_StartsPerSecond = std::max(Capacity.m_StartsPerSecond, MinStartsPerSecond);
  const auto Order = order(Now);
  Loads Rooms;
  const Standing *Own = nullptr;
  for (const Standing &Other : Order) {
    auto Room = findRoom(Other, Capacity, Rooms, Now);
    if (Other.m_Ticket == Place) {
      Own = &Other;
      Result.m_Endpoints = std::move(Room);
      break;
    }
    if (!Room.empty())
      Rooms.at(Room.front()).m_Load += 1;
  }
  if (Current.m_IsDisplaced) {
    predict(Result, Order, *Own, Capacity, Now);
    return reject(Place, std::move(Result), Displaced, Now);
  }
  if (!Result.m_Endpoints.empty()) {
    Result.m_Verdict = Verdict::Send;
    return Result;
  }
  const DispatchRequest &Request = Current.m_Request;
  predict(Result, Order, *Own, Capacity, Now);
  Result.m_LacksRetry = Request.m_IsRetry && !Capacity.m_MayRetry;
  if (Now >= latestStart(Request))
    return reject(Place, std::move(Result), TooLate, Now);
  const Duration Useful = Request.m_Deadline - Request.m_Arrival;
  // Half of the time is left to return in: the budget says nothing of when it
  // allows a send.
  if (Result.m_LacksRetry && Now >= Request.m_Arrival + Useful / 2)
    return reject(Place, std::move(Result), WaitsForRetry, Now);
  // One that waits is given up only if those that came later delay it by far.
  const Duration Tolerance =
      Current.m_IsAccepted ? Useful / 2 : Duration::zero();
  if (Result.m_ExpectedStart > latestStart(Request) + Tolerance)
    return reject(Place, std::move(Result), NotInTime, Now);
  Current.m_IsAccepted = true;
  Result.m_Reason = Result.m_LacksRetry ? WaitsForRetry : WaitsForRoom;
  return Result;
}

Decision DispatchQueue::reject(Ticket Place, Decision Result,
                               std::string_view Reason, Instant Now) {
  const DispatchRequest Request = std::move(m_Waiting.at(Place).m_Request);
  m_Waiting.erase(Place);
  record(Request.m_Rank, false);
  const Instant Free =
      std::max({Now + MinRetryAfter, Result.m_ExpectedStart, m_ReservedUntil});
  const Duration Patience =
      std::max<Duration>(Request.m_CallerDeadline - Now, Duration::zero()) /
      PatienceDivisor;
  // A caller that returns earlier than there is room waits here once more.
  const bool IsReachable =
      Free + MinUsefulTime <= Request.m_CallerDeadline &&
      Free - Now <= Patience + (Request.m_Deadline - Request.m_Arrival) / 2;
  const Duration RetryAfter =
      IsReachable ? std::min<Duration>(Free - Now, Patience) : Free - Now;
  Result.m_Verdict = Verdict::Reject;
  Result.m_Reason = Reason;
  Result.m_RetryAfter =
      std::max(MinRetryAfter, std::chrono::floor<milliseconds>(RetryAfter));
  Result.m_Endpoints.clear();
  // Nothing is kept for a caller that does not return.
  if (Result.m_RetryAfter > Patience)
    return Result;
  m_ReservedUntil =
      Free + fromSeconds(1 / (ReservableShare * m_StartsPerSecond));
  if (m_Returning.size() >= MaxReturning)
    m_Returning.clear();
  m_Returning[Request.m_Request] = Now + Result.m_RetryAfter;
  return Result;
}

void DispatchQueue::onSent(Ticket Place, Instant Now) {
  const Entry &Sent = m_Waiting.at(Place);
  const bool IsPromoted =
      Sent.m_IsAccepted && standingOf(Place, Sent, {}, Now).m_Class == Promoted;
  m_Promotions =
      std::min(MaxPromotions, m_Promotions + (IsPromoted ? -1 : PromotedShare));
  record(Sent.m_Request.m_Rank, true);
  m_Waiting.erase(Place);
}

void DispatchQueue::record(std::int64_t Rank, bool IsServed) {
  RankRecord &Record = m_Ranks[Rank];
  Record.m_Served = Record.m_Served * RecordDecay + (IsServed ? 1 : 0);
  Record.m_Rejected = Record.m_Rejected * RecordDecay + (IsServed ? 0 : 1);
}

std::vector<DispatchQueue::Ticket>
DispatchQueue::ready(const DispatchCapacity &Capacity, Instant Now) {
  std::vector<Ticket> Result;
  Loads Rooms;
  for (const Standing &Current : order(Now)) {
    const auto Room = findRoom(Current, Capacity, Rooms, Now);
    if (!Room.empty())
      Rooms.at(Room.front()).m_Load += 1;
    const bool Ends = Current.m_Entry->m_IsDisplaced ||
                      Now >= latestStart(Current.m_Entry->m_Request);
    if (!Room.empty() || Ends)
      Result.push_back(Current.m_Ticket);
  }
  return Result;
}

} // namespace sff::admission
