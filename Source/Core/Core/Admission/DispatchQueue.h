#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"
#include "Core/Admission/EndpointRoomTracker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace sff::admission {

/// The work of a request by the tokens that its caller names, in output tokens.
/// Prompt tokens are read together and count for less.
double workOf(std::optional<std::int64_t> PromptTokens,
              std::optional<std::int64_t> OutputTokens);

/// A request that competes for the slots of endpoints.
struct DispatchRequest {
  /// The same for all attempts of one request of a caller; need not be unique.
  RequestId m_Request;
  std::int64_t m_Rank = 0; ///< Priority; 0 is the highest.
  Instant m_Arrival;
  Duration m_TargetLatency{0}; ///< Zero if there is none.
  /// Until when its caller waits for the beginning of an answer.
  Instant m_Deadline;
  /// Until when the caller wants an answer at all, also to another request that
  /// it sends after a rejection. Not before m_Deadline.
  Instant m_CallerDeadline;
  double m_Work = 1; ///< See workOf().
  /// Endpoints that may run the request.
  std::vector<EndpointId> m_Candidates;
  /// The next send needs a part of the retry budget.
  bool m_IsRetry = false;
};

/// Capacity behind a queue, as this host sees it.
struct DispatchCapacity {
  /// Requests of this host that the endpoints begin each second.
  double m_StartsPerSecond = 1;
  bool m_MayRetry = true; ///< The retry budget allows a send.
  std::function<EndpointRoom(const EndpointId &)> m_RoomOf;
};

enum class Verdict { Send, Wait, Reject };

struct Decision {
  Verdict m_Verdict = Verdict::Wait;
  /// For Send: the endpoints that have room.
  std::vector<EndpointId> m_Endpoints;
  /// Requests that come before and compete for the same endpoints.
  std::size_t m_Position = 0;
  Instant m_ExpectedStart;
  /// For Reject: when the request would be accepted.
  milliseconds m_RetryAfter{0};
  /// Why the request waits or is rejected.
  std::string_view m_Reason;
  /// The retry budget keeps it from being sent.
  bool m_LacksRetry = false;
};

/// The requests of one service that wait at this host, in the order in which
/// they are sent:
/// 1. Requests that could not be sent before their deadline later, for a
///    bounded part of the starts. A priority is served in this way only while
///    no higher one is served less often.
/// 2. While few wait, requests that meet their target latency only if they are
///    sent soon, by priority.
/// 3. Requests that can meet their target latency, by priority. Those whose
///    caller has returned after a rejection come first among equals, then those
///    with the earliest target latency plus expected time to the first byte, so
///    that short requests come first among equals.
/// 4. Requests that have missed their target latency, by priority, together
///    with those of lower priorities that still have half of their target left,
///    or are served more often.
/// A request that finds no endpoint with room does not hold up those that do.
/// Requests of lower priorities leave a part of each endpoint's slots to the
/// other hosts' requests of higher ones, until half of their target latency is
/// over.
/// Thread safety: none.
class DispatchQueue {
public:
  using Ticket = std::uint64_t;

  struct Limits {
    std::size_t m_MaxWaiting = 512;
    /// Share of the slots by which an endpoint may be overfilled. Its own queue
    /// starts the next request without the delay of a message.
    double m_EarlyShare = 0.25;
    /// Share of the slots that is kept for higher priorities.
    double m_ReservedShare = 0.125;
  };

  DispatchQueue() = default;
  explicit DispatchQueue(const Limits &Bounds) : m_Limits(Bounds) {}

  /// Adds a request. It counts as waiting until it is removed.
  Ticket add(DispatchRequest Added, Instant Now);
  /// Replaces what may change while a request waits. Precondition: \p Place
  /// has been added and not removed.
  void update(Ticket Place, std::vector<EndpointId> Candidates, bool IsRetry);
  /// What is to be done with a request now. A request that is not rejected
  /// stays; call onSent() or remove(). Precondition as for update().
  Decision decide(Ticket Place, const DispatchCapacity &Capacity, Instant Now);
  /// Removes a request that is being sent. Precondition as for update().
  void onSent(Ticket Place, Instant Now);
  /// Removes a request if it is there: its caller has left, or it ends for
  /// another reason than the lack of room.
  void remove(Ticket Place) { m_Waiting.erase(Place); }
  /// Records the time from a send to the beginning of the answer.
  void onFirstByte(double Work, Duration Taken);
  /// The waiting requests that decide() would not let wait, in their order.
  std::vector<Ticket> ready(const DispatchCapacity &Capacity, Instant Now);

  bool empty() const { return m_Waiting.empty(); }
  std::size_t size() const { return m_Waiting.size(); }

private:
  struct Entry {
    DispatchRequest m_Request;
    bool m_HasReturned = false;
    /// decide() has let it wait. It is not rejected for those that come later.
    bool m_IsAccepted = false;
    bool m_IsDisplaced = false;
  };
  /// The parts of the order, see above.
  enum StandingClass { Promoted, Tight, OnTime, Late };
  /// What the standing of each request depends on.
  struct Situation {
    /// The highest priority of those that have missed their target latency.
    std::optional<std::int64_t> m_LateRank;
    bool m_IsLightlyLoaded = false;
  };
  /// The standing of a request at one moment.
  struct Standing {
    const Entry *m_Entry = nullptr;
    Ticket m_Ticket = 0;
    StandingClass m_Class = Promoted;
    bool m_MayUseReserve = true;
    /// Target or deadline plus the expected time to the first byte: a sort key,
    /// not a limit.
    Instant m_Due;

    bool operator<(const Standing &Other) const;
  };
  /// How often requests of a priority were served lately.
  struct RankRecord {
    double m_Served = 0;
    double m_Rejected = 0;
    Instant m_SeenAt;
  };
  using Loads = std::map<EndpointId, EndpointRoom>;

  std::vector<Standing> order(Instant Now) const;
  Standing standingOf(Ticket Place, const Entry &Current,
                      const Situation &Around, Instant Now) const;
  Duration firstByteTime(double Work) const;
  Instant latestStart(const DispatchRequest &Request) const;
  bool canMeetTarget(const DispatchRequest &Request, Instant Now) const;
  /// Whether the priority may come before higher ones to keep its deadline.
  bool mayPromote(std::int64_t Rank) const;
  double servedShare(std::int64_t Rank) const;
  bool hasHigherRank(std::int64_t Rank, Instant Now) const;
  /// The endpoints that have room for the request, the one with the lowest
  /// relative load first. Looks up unknown loads in \p Capacity.
  std::vector<EndpointId> findRoom(const Standing &Current,
                                   const DispatchCapacity &Capacity,
                                   Loads &Rooms, Instant Now) const;
  Instant nextOpening(const DispatchRequest &Request,
                      const DispatchCapacity &Capacity, Instant Now) const;
  void predict(Decision &Result, const std::vector<Standing> &Order,
               const Standing &Own, const DispatchCapacity &Capacity,
               Instant Now) const;
  Decision reject(Ticket Place, Decision Result, std::string_view Reason,
                  Instant Now);
  void displace(Instant Now);
  void record(std::int64_t Rank, bool IsServed);

  Limits m_Limits;
  Ticket m_LastTicket = 0;
  std::map<Ticket, Entry> m_Waiting;
  std::map<std::int64_t, RankRecord> m_Ranks;
  /// Starts that may go to requests at the end of their time.
  double m_Promotions = 1;
  /// Rejected requests whose callers are expected to return, with the times
  /// that they were given.
  std::map<RequestId, Instant> m_Returning;
  Instant m_ReservedUntil;      ///< End of the capacity promised to them.
  double m_StartsPerSecond = 1; ///< As of the latest decision.
  double m_MeanWork = 0;
  double m_SecondsPerWork = 0;
};

} // namespace sff::admission
