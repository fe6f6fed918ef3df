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

/// Interval between checks for idle replicas that should be unloaded.
constexpr double EvictionIntervalSeconds = 5;

enum class Eviction { Weighted, IdleTimeout, NeverUnload };

/// Policies of one run and their parameters.
struct PolicyOptions {
  Eviction m_Eviction = Eviction::Weighted;
  double m_ColdStartWeight = 20;
  double m_IdleTimeoutSeconds = 300;
  /// Loads start in the order in which their demand arose.
  bool m_FifoLoading = false;
  /// Each router loads replicas independently of the others, without permits.
  bool m_UncoordinatedLoading = false;
  /// Callers mark retries that they send at the stated retry time.
  bool m_MarkRetries = true;
  double m_RetryRatio = 0.1;
  double m_RetryBurst = 10;
};

/// Faults that are injected into a run. Those other than engine failures last
/// from start to end, in seconds since the start of the run.
struct FaultPlan {
  double m_StartSeconds = 0;
  double m_EndSeconds = 0;
  double m_StoreSlowdown = 1;
  bool m_HalfOfEnginesReclaimed = false;
  bool m_ZoneLost = false;
  /// Mean time between failures of each engine, during the whole run; 0 for
  /// none.
  double m_EngineMtbfSeconds = 0;
};

enum class SubmissionOutcome { Answered, Refused, Unknown, RouterLost };

/// Result of one submission of a request to a router. The time of submission is
/// in seconds since the start of the run.
struct SubmissionResult {
  SubmissionOutcome m_Outcome = SubmissionOutcome::Answered;
  TrafficClass m_Class = TrafficClass::Batch;
  double m_SubmitTime = 0;      ///< When it was submitted.
  double m_DeadlineSeconds = 0; ///< From submission to the deadline.
  double m_LatencySeconds = 0;  ///< Until the first token or the refusal.
  bool m_IsCold = false;        ///< No replica was loaded at submission.
  bool m_IsRetry = false;       ///< Sent at the retry time of a refusal.
  bool m_IsAdmitted = false;    ///< Not refused at submission.
  bool metDeadline() const {
    return m_LatencySeconds <= m_DeadlineSeconds + 1e-6;
  }
};

struct RunResult {
  std::vector<SubmissionResult> m_Submissions;
  double m_IdleAcceleratorHours = 0;
  std::int64_t m_LoadCount = 0;
  /// Loads of a single-replica entry from the first one until no replica is
  /// left, for each such period.
  std::vector<int> m_LoadsPerActivation;
  /// Loads beyond the demand or the replica count.
  std::int64_t m_SurplusLoadCount = 0;
  std::int64_t m_DispatchCount = 0;
  /// Submissions without an outcome at the end.
  std::int64_t m_UnansweredCount = 0;
};

/// Simulates the core's policies on one trace in virtual time. Engines and the
/// weight store are simulated by the time that they take.
class PolicyRun {
public:
  PolicyRun(const DeploymentSpec &Deployment, const Trace &InputTrace,
            const PolicyOptions &Policy, const FaultPlan &Faults,
            std::uint64_t Seed);
  RunResult run();

private:
  struct RequestState {
    TraceRequest m_Request;
    SubmissionResult m_Submission;
    int m_Router = 0;
    int m_Attempts = 0;
    bool m_IsPending = false; ///< Submitted and without an outcome.
  };
  struct Replica {
    bool m_IsReady = false;
    /// Running requests, including those of adapters of this base.
    int m_RunningCount = 0;
    double m_LoadEndTime = 0;
    double m_IdleSince = 0;
    std::uint64_t m_Generation = 0;
    std::set<std::size_t> m_RunningRequests; ///< Of this entry, by index.
  };

  // Requests.
  void submit(std::size_t Index, bool IsRetry);
  void refuse(std::size_t Index, milliseconds RetryAfter);
  void recordOutcome(RequestState &Item, SubmissionOutcome Outcome);
  void checkQueue(int Router, int Entry);
  void scheduleQueueCheck(int Router, int Entry);
  void refuseExpiredAndDisplaced(int Router, int Entry);
  void dispatch(int Entry);
  void startRequest(int Engine, int Entry, std::size_t Index);
  void completeRequest(int Engine, int Entry, std::size_t Index,
                       std::uint64_t Generation);
  int pickRouter();
  admission::CapacityEstimate estimateCapacity(int Router, int Entry);

  // Loads.
  void updateDemand(int Entry);
  void updateLoadDemand(int Entry, std::size_t Waiting, Instant Deadline);
  std::vector<loading::LoadDemand> orderedDemands();
  void startLoads();
  bool startLoad(const loading::LoadDemand &Demand, int Engine, int Entry);
  bool freeMemory(int Engine, double Bytes, int BaseToKeep);
  void onLoaded(int Engine, int Entry, std::uint64_t Generation);
  double timeToReady(int Entry);
  double expectedLoadSeconds(int Engine, int Entry) const;
  loading::WeightLocation weightLocation(int Engine, int Entry) const;
  int engineForSlot(int Entry, int Slot) const;
  std::size_t waitingCount(int Entry) const;

  // Unloads.
  void evictIdle();
  void unload(int Engine, int Entry);
  /// Returns the replicas of an engine and marks as busy those that must not be
  /// unloaded. A base with loaded adapters is busy without \p WithAdapters;
  /// with it, the base may be unloaded together with its idle adapters.
  std::vector<loading::LoadedReplica> loadedReplicas(int Engine,
                                                     bool WithAdapters) const;
  void addIdleTime(Replica &Item, int Entry);

  // Faults.
  void stopEngine(int Engine);
  void startEngine(int Engine);
  void stopRouter(int Router);
  void scheduleFaults();
  void scheduleFailure(int Engine);

  Instant clock(double Time) const;
  Instant clock() const { return clock(m_Events.now()); }
  static EndpointId engineId(int Engine);
  int entryIndex(const EntryName &Name) const;
  Replica *find(int Engine, int Entry);

  DeploymentSpec m_Deployment;
  Trace m_Trace;
  PolicyOptions m_Policy;
  FaultPlan m_Faults;
  std::mt19937_64 m_Random;
  EventQueue m_Events;
  RunResult m_Result;
  std::vector<RequestState> m_RequestStates;
  std::vector<std::vector<admission::AdmissionQueue>> m_Queues;
  std::set<std::pair<int, int>> m_ScheduledChecks;
  std::vector<retry::RetryBudget> m_RetryBudgets;
  loading::LoadScheduler m_LoadScheduler;
  std::map<std::pair<int, int>, double> m_DemandSince;
  loading::LoadPermits m_LoadPermits;
  loading::EvictionPolicy m_EvictionPolicy;
  std::map<std::pair<int, int>, Replica> m_Replicas; ///< By engine and entry.
  /// By engine and entry, the time of the last load or unload.
  std::map<std::pair<int, int>, double> m_WeightsLastUsed;
  std::vector<std::vector<int>> m_AdaptersByBase;
  std::vector<int> m_LoadsSinceCold;
  std::vector<double> m_UsedBytes;
  std::vector<bool> m_EngineUp, m_EngineLoading, m_RouterUp;
  /// For each entry, the time until which the estimate is valid, and the
  /// estimated time at which a replica is loaded.
  std::vector<std::pair<double, double>> m_ReadyCache;
  int m_RunningStoreLoads = 0;
  double m_StoreSlowdown = 1;
  /// Moving average of the slowdown of loads from the weight store.
  double m_EstimatedSlowdown = 1;
  double m_NextLoadAttempt = 0;
  std::uint64_t m_LastGeneration = 0;
};

} // namespace sff::bench
