#pragma once

#include "Core/Retry/CrashQuarantine.h"
#include "Router/CreditBorrower.h"
#include "Router/EndpointRegistry.h"

#include <random>
#include <unordered_map>

namespace sff::router {

/// Decides which waiting request runs next and at which endpoint. Each
/// submitted request gets exactly one result, a placement or a refusal.
/// Thread safety: all calls and callbacks on the loop's thread.
class RequestScheduler {
public:
  using Callback = std::function<void(PlacementResult)>;

  struct Options {
    std::int64_t m_MaxBorrow = 8;
    milliseconds m_OwnerRetry{1000};
    milliseconds m_NoCreditTimeout{2000};
    milliseconds m_EndpointDown{2000};
    milliseconds m_QuarantinePeriod{600000};
  };

  /// Precondition: all references outlive the scheduler.
  RequestScheduler(timers::EventLoop &Loop, ClusterView &View,
                   CreditBorrower &Credits, EndpointRegistry &Registry,
                   retry::CrashQuarantine &Quarantine, Options Opts);

  void start();

  void submit(PlacementRequest Item, Callback Done);
  /// Removes a waiting request whose caller has disconnected. A placement that
  /// was already reported remains valid and has to be finished.
  void withdraw(const EntryName &Entry, const RequestId &Request);
  /// Ends a placement and releases its credit.
  void finish(const Placement &Assigned, const AttemptReport &Report);
  /// Places waiting requests of \p Entry if possible, borrows credits for the
  /// rest, and refuses those that cannot be served.
  void schedule(const EntryName &Entry);

  std::size_t waiting() const { return m_WaitingRequests.size(); }
  std::int64_t running() const { return m_Running; }

private:
  struct WaitingRequest {
    PlacementRequest m_Placement;
    Callback m_Done;
    bool m_Isolated = false;
    EndpointId m_Reserved; ///< Endpoint reserved for an isolated request.
  };
  struct EntryState {
    explicit EntryState(std::size_t MaxWaiting) : m_Queue(MaxWaiting) {}
    catalogue::EntrySpec m_Spec;
    admission::AdmissionQueue m_Queue;
    /// Isolated and retried requests, which are restricted to certain
    /// endpoints.
    std::vector<RequestId> m_Constrained;
    std::int64_t m_Running = 0;
  };
  using Candidates = std::vector<routing::PickCandidate>;

  EntryState &getOrCreateEntry(const PlacementRequest &Item);
  admission::CapacityEstimate capacityOf(const EntryName &Entry,
                                         const EntryState &State) const;
  Candidates candidatesFor(const WaitingRequest &Item,
                           const EntryState &State) const;
  Candidates startableCandidates(const WaitingRequest &Item,
                                 const EntryState &State) const;
  bool hasStartableCandidate(const EntryName &Entry,
                             const EntryState &State) const;
  bool tryQueue(const PlacementRequest &Item, EntryState &State,
                const Callback &Done);
  void placeConstrained(const EntryName &Entry, EntryState &State);
  bool tryPlace(WaitingRequest &Item, EntryState &State);
  void reserveFor(WaitingRequest &Item, const EntryState &State);
  void placeQueued(const EntryName &Entry, EntryState &State);
  void place(WaitingRequest Item, EntryState &State,
             const routing::PickCandidate &Candidate);
  void borrowFor(const EntryName &Entry, EntryState &State);
  void borrowForConstrained(const EntryName &Entry, const EntryState &State);
  std::optional<EndpointId> pickLender(const EntryName &Entry,
                                       const EntryState &State) const;
  void requestCredits(const EntryName &Entry, const EntryState &State,
                      const EndpointId &Endpoint, std::int64_t Count);
  void refuseUnservable(const EntryName &Entry, EntryState &State);
  std::optional<milliseconds>
  unservableRetryAfter(const EntryName &Entry, const EntryState &State) const;
  Instant earliestStartAt(const EntryName &Entry, const EntryState &State,
                          const EndpointId &Endpoint, Instant Now) const;
  void refuseExpired(const EntryName &Entry, EntryState &State);
  void refuse(const RequestId &Request, execution::Reason Cause,
              milliseconds RetryAfter);
  void tick();

  ClusterView &m_View;
  CreditBorrower &m_Credits;
  EndpointRegistry &m_Registry;
  retry::CrashQuarantine &m_Quarantine;
  Options m_Options;
  timers::TimerService m_Timers;
  timers::TimerHandle m_TickTimer;
  std::map<EntryName, EntryState> m_Entries;
  std::unordered_map<RequestId, WaitingRequest> m_WaitingRequests;
  std::int64_t m_Running = 0;
  mutable std::mt19937_64 m_Random{std::random_device{}()};
};

} // namespace sff::router
