#pragma once

#include "Core/Retry/CrashQuarantine.h"
#include "Router/CreditBorrower.h"
#include "Router/EndpointRegistry.h"

#include <random>
#include <unordered_map>

namespace sff::router {

/// Decides which waiting request runs next and where. Each submitted ticket
/// is answered exactly once, with a placement or a refusal.
/// Thread safety: all calls and callbacks on the loop's thread.
class RequestScheduler {
public:
  using Answer = std::function<void(PlaceAnswer)>;

  struct Options {
    std::int64_t m_MaxBorrow = 8;
    milliseconds m_OwnerRetry{1000};
    milliseconds m_Patience{2000};
    milliseconds m_EndpointDown{2000};
    milliseconds m_QuarantinePeriod{600000};
  };

  /// Precondition: all references outlive the broker.
  RequestScheduler(timers::DutyLoop &Loop, ClusterView &View,
                   CreditBorrower &Credits, EndpointRegistry &Book,
                   retry::CrashQuarantine &Quarantine, Options Chosen);

  void start();

  void submit(PlacementRequest Item, Answer Done);
  /// Gives up a ticket whose caller has gone. A placement that was already
  /// answered stands and has to be finished.
  void withdraw(const EntryName &Entry, const RequestId &Request);
  /// Ends a placement.
  void finish(const Placement &Used, const AttemptReport &Report);
  /// Lets waiting requests of \p Entry go on after a change of credits.
  void pump(const EntryName &Entry);

  std::size_t waiting() const { return m_Jobs.size(); }
  std::int64_t running() const { return m_Running; }

private:
  struct Job {
    PlacementRequest m_Placement;
    Answer m_Done;
    bool m_Isolated = false;
    EndpointId m_Reserved; ///< Kept free for this isolated request.
  };
  struct EntryState {
    explicit EntryState(std::size_t MaxWaiting) : m_Queue(MaxWaiting) {}
    catalogue::EntrySpec m_Spec;
    admission::AdmissionQueue m_Queue;
    /// Isolated and retried requests, which are tied to certain endpoints.
    std::vector<RequestId> m_Special;
    std::int64_t m_Running = 0;
  };
  using Candidates = std::vector<routing::PickCandidate>;

  EntryState &entryOf(const PlacementRequest &Item);
  admission::CapacityEstimate capacityOf(const EntryName &Entry,
                                         const EntryState &State) const;
  Candidates candidatesFor(const Job &Item, const EntryState &State) const;
  Candidates startable(const Job &Item, const EntryState &State) const;
  bool hasStartable(const EntryName &Entry, const EntryState &State) const;
  bool tryQueue(const PlacementRequest &Item, EntryState &State,
                const Answer &Done);
  void placeSpecial(const EntryName &Entry, EntryState &State);
  bool placeOne(Job &Item, EntryState &State);
  void reserveFor(Job &Item, const EntryState &State);
  void placeQueued(const EntryName &Entry, EntryState &State);
  void place(Job Item, EntryState &State, const routing::PickCandidate &Where);
  void borrowFor(const EntryName &Entry, EntryState &State);
  void borrowForSpecial(const EntryName &Entry, const EntryState &State);
  std::optional<EndpointId> pickLender(const EntryName &Entry,
                                       const EntryState &State) const;
  void requestCredits(const EntryName &Entry, const EntryState &State,
                      const EndpointId &Endpoint, std::int64_t Count);
  void refuseHopeless(const EntryName &Entry, EntryState &State);
  std::optional<milliseconds> hopelessFor(const EntryName &Entry,
                                          const EntryState &State) const;
  Instant nextChanceAt(const EntryName &Entry, const EntryState &State,
                       const EndpointId &Endpoint, Instant Now) const;
  void refuseExpired(const EntryName &Entry, EntryState &State);
  void refuse(const RequestId &Request, execution::Reason Why,
              milliseconds RetryAfter);
  void tick();

  ClusterView &m_View;
  CreditBorrower &m_Credits;
  EndpointRegistry &m_Registry;
  retry::CrashQuarantine &m_Quarantine;
  Options m_Options;
  timers::TimerService m_Timers;
  timers::Subscription m_TickTimer;
  std::map<EntryName, EntryState> m_Entries;
  std::unordered_map<RequestId, Job> m_Jobs;
  std::int64_t m_Running = 0;
  mutable std::mt19937_64 m_Random{std::random_device{}()};
};

} // namespace sff::router
