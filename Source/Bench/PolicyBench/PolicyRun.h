#pragma once

#include "Core/Admission/AdmissionQueue.h"
#include "Core/Loading/EvictionPolicy.h"
#include "Core/Loading/LoadScheduler.h"
#include "Core/Retry/RetryBudget.h"
#include "EventQueue.h"
#include "Trace.h"

#include <map>
#include <set>

namespace sff::bench {

/// Seconds between checks for replicas that idle too long.
constexpr double EvictionSeconds = 5;

enum class Eviction { Weighted, IdleTimeout, NeverUnload };

/// The policies of one run.
struct Policies {
  Eviction m_Eviction = Eviction::Weighted;
  double m_Weight = 20;
  double m_IdleTimeout = 300;
  bool m_FirstComeLoading = false;
  /// Each router loads a replica of its own choice, without permits.
  bool m_RouterAlone = false;
  /// Callers mark a repeat that keeps the retry time.
  bool m_MarkedRetries = true;
  double m_RetryRatio = 0.1;
  double m_RetryBurst = 10;
};

/// What goes wrong, in seconds of the run.
struct Faults {
  double m_From = 0;
  double m_To = 0;
  double m_StoreSlowdown = 1;
  bool m_HalfReclaimed = false;
  bool m_ZoneLost = false;
  /// Mean time between failures of one engine, all the time; 0 for none.
  double m_EngineFailureSeconds = 0;
};

enum class Kind { Answered, Refused, Unknown, RouterLost };

/// How one offer of a request to a router ended.
struct OfferResult {
  Kind m_Kind = Kind::Answered;
  TrafficClass m_Class = TrafficClass::Batch;
  double m_At = 0;         ///< When it was offered.
  double m_Patience = 0;   ///< Seconds to its deadline.
  double m_After = 0;      ///< Seconds to the first token or the refusal.
  bool m_Cold = false;     ///< No replica was loaded when it came.
  bool m_Comeback = false; ///< It kept the retry time of a refusal.
  bool m_Admitted = false; ///< It was not refused at arrival.
  bool m_InTime() const { return m_After <= m_Patience + 1e-6; }
};

struct RunResult {
  std::vector<OfferResult> m_Offers;
  double m_IdleAcceleratorHours = 0;
  std::int64_t m_Loads = 0;
  /// Loads of single-replica models from cold to cold again.
  std::vector<int> m_LoadsPerWake;
  std::int64_t m_SurplusLoads = 0; ///< Beyond demand or the decided count.
  std::int64_t m_Dispatches = 0;
  std::int64_t m_Unanswered = 0; ///< Offers without a result at the end.
};

/// Runs the core's policies on one trace with passed-in time. Engines and the
/// weight store are fakes that only take time.
class PolicyRun {
public:
  PolicyRun(const Deployment &Where, const Trace &Work, const Policies &Choice,
            const Faults &Broken, std::uint64_t Seed);
  RunResult run();

private:
  struct Job {
    Request m_Request;
    OfferResult m_Offer;
    int m_Router = 0;
    int m_Attempts = 0;
    bool m_Open = false; ///< Offered and without a result.
  };
  struct Replica {
    bool m_Ready = false;
    int m_Running = 0;
    double m_LoadEnd = 0;
    double m_IdleSince = 0;
    std::uint64_t m_Generation = 0;
    std::set<std::size_t> m_Jobs;
  };

  // Requests.
  void offer(std::size_t Index, bool Comeback);
  void refuse(std::size_t Index, milliseconds RetryAfter);
  void finish(Job &Item, Kind How);
  void check(int Router, int Entry);
  void scheduleCheck(int Router, int Entry);
  void refuseRemoved(int Router, int Entry);
  void dispatch(int Entry);
  void start(int Engine, int Entry, std::size_t Index);
  void end(int Engine, int Entry, std::size_t Index, std::uint64_t Generation);
  int pickRouter();
  admission::CapacityEstimate capacity(int Router, int Entry);

  // Loads.
  void updateDemand(int Entry);
  void wantReplicas(int Entry, std::size_t Waiting, Instant Deadline);
  std::vector<loading::LoadDemand> orderedDemands();
  void startLoads();
  bool startLoad(const loading::LoadDemand &Demand, int Engine, int Entry);
  bool makeRoom(int Engine, double Bytes, int Keep);
  void loaded(int Engine, int Entry, std::uint64_t Generation);
  double readyIn(int Entry);
  double loadSeconds(int Engine, int Entry) const;
  loading::WeightLocation location(int Engine, int Entry) const;
  int homeOf(int Entry, int Slot) const;
  std::size_t waiting(int Entry) const;

  // Unloads.
  void evictIdle();
  void unload(int Engine, int Entry);
  std::vector<loading::LoadedReplica> loadedAt(int Engine, bool Grouped) const;
  void countIdle(Replica &Item, int Entry);

  // Faults.
  void stopEngine(int Engine);
  void startEngine(int Engine);
  void stopRouter(int Router);
  void scheduleFaults();
  void scheduleFailure(int Engine);

  Instant clock(double Time) const;
  Instant clock() const { return clock(m_Events.now()); }
  static EndpointId engineId(int Engine);
  int entryOf(const EntryName &Name) const;
  Replica *find(int Engine, int Entry);

  Deployment m_Where;
  Trace m_Work;
  Policies m_Choice;
  Faults m_Faults;
  std::mt19937_64 m_Random;
  EventQueue m_Events;
  RunResult m_Result;
  std::vector<Job> m_Jobs;
  std::vector<std::vector<admission::AdmissionQueue>> m_Queues;
  std::set<std::pair<int, int>> m_Checks;
  std::vector<retry::RetryBudget> m_Budgets;
  loading::LoadScheduler m_Scheduler;
  std::map<std::pair<int, int>, double> m_DemandSince;
  loading::LoadPermits m_Permits;
  loading::EvictionPolicy m_Evictions;
  std::map<std::pair<int, int>, Replica> m_Replicas; ///< By engine, entry.
  std::map<std::pair<int, int>, double> m_OnDisk;    ///< Unloaded when.
  std::vector<std::vector<int>> m_Adapters;          ///< By base.
  std::vector<int> m_WakeLoads;
  std::vector<double> m_UsedBytes;
  std::vector<bool> m_EngineUp, m_EngineLoading, m_RouterUp;
  std::vector<std::pair<double, double>> m_ReadyCache; ///< Valid until, ready.
  int m_StoreLoads = 0;
  double m_StoreSlowdown = 1;
  double m_SlowdownSeen = 1;
  double m_NextAttempt = 0;
  std::uint64_t m_Generations = 0;
};

} // namespace sff::bench
