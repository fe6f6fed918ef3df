#pragma once

#include "Common/Identity/Ids.h"
#include "Core/Loading/LoadScheduler.h"
#include "Core/Serving/EndpointDirectory.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sff::serving {

/// A model loaded on an endpoint that may be evicted.
struct EvictionCandidate {
  std::string m_Name;
  double m_SizeMb = 0;      ///< Including its adapters.
  double m_RequestRate = 0; ///< Requests per second over all hosts.
  /// Replicas on other endpoints that accept requests.
  int m_OtherReplicas = 0;
  /// Requests per second that one replica serves without significant queueing.
  double m_RatePerReplica = 1;
  bool m_InUse = false; ///< Had requests within the last second.
  /// Must not be evicted: it lacks replicas, or its demand is not known yet.
  bool m_IsProtected = false;
};

/// An endpoint that could load the model.
struct SwapCandidate {
  EndpointId m_Endpoint;
  double m_CapacityMb = 0;
  std::vector<EvictionCandidate> m_LoadedModels;
  loading::WeightLocation m_Location = loading::WeightLocation::Remote;
  double m_LoadSeconds = 0;
  /// Cost that stands for the work that the endpoint has already, in seconds.
  /// Only makes other endpoints preferable.
  double m_WorkSeconds = 0;
};

/// The steps required to load a model.
struct SwapPlan {
  EndpointId m_Endpoint;
  std::vector<std::string> m_Evict;
  loading::WeightLocation m_Location = loading::WeightLocation::Remote;
  double m_LoadSeconds = 0;
  double m_Cost = 0; ///< Total waiting time that the plan causes, in seconds.
};

/// Returns where an endpoint has the weights of a model.
/// Thread safety: reentrant.
loading::WeightLocation locationOf(const Inventory &Held,
                                   std::string_view Model);

/// Returns the time to load a model from \p Location, in seconds.
/// Thread safety: reentrant.
double loadSeconds(const ModelSpec &Model, loading::WeightLocation Location);

/// Returns the memory used by a loaded model and its adapters, in megabytes.
/// Thread safety: reentrant.
double sizeMb(const ModelSpec &Spec, const ResidentModel &Loaded);

/// Returns the cost of evicting a model: the seconds that its next callers wait
/// as a result. Thread safety: reentrant.
double evictionCost(const EvictionCandidate &Model);

/// Returns the candidate on which loading \p SizeMb costs least and the models
/// to evict there, or nothing if no candidate can make room.
/// Thread safety: reentrant.
std::optional<SwapPlan> planSwap(double SizeMb,
                                 std::span<const SwapCandidate> Candidates);

} // namespace sff::serving
