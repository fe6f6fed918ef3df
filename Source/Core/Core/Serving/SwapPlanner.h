#pragma once

#include "Common/Identity/Ids.h"
#include "Core/Loading/LoadScheduler.h"
#include "Core/Serving/EndpointDirectory.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sff::serving {

/// A model on an endpoint, as a candidate for eviction.
struct HeldModel {
  std::string m_Name;
  double m_SizeMb = 0;      ///< With its adapters.
  double m_RequestRate = 0; ///< Requests per second over all hosts.
  int m_OtherReplicas = 0;  ///< On other endpoints that take work.
  /// Requests per second that one replica serves without much waiting.
  double m_ReplicaCapacity = 1;
  bool m_InUse = false; ///< Had requests within the last second.
};

/// An endpoint that could load the model.
struct SwapCandidate {
  EndpointId m_Endpoint;
  double m_CapacityMb = 0;
  std::vector<HeldModel> m_Held;
  loading::WeightLocation m_Location = loading::WeightLocation::Remote;
  double m_LoadSeconds = 0;
};

/// What has to be done so that a model is loaded.
struct SwapPlan {
  EndpointId m_Endpoint;
  std::vector<std::string> m_Evict;
  loading::WeightLocation m_Location = loading::WeightLocation::Remote;
  double m_LoadSeconds = 0;
  double m_Cost = 0; ///< Seconds of waiting that the plan causes in all.
};

/// Where an endpoint has the weights of a model. Thread safety: reentrant.
loading::WeightLocation locationOf(const Inventory &Held,
                                   std::string_view Model);

/// Time to load the model from there. Thread safety: reentrant.
double loadSeconds(const ModelSpec &Model, loading::WeightLocation Location);

/// Memory of a loaded model with its adapters. Thread safety: reentrant.
double sizeMb(const ModelSpec &Spec, const ResidentModel &Loaded);

/// Cost of evicting a model: the seconds that its next callers wait because of
/// it. Thread safety: reentrant.
double evictionCost(const HeldModel &Model);

/// The candidate on which loading \p SizeMb costs least, with the models to
/// evict there; nothing when no candidate can make room.
/// Thread safety: reentrant.
std::optional<SwapPlan> planSwap(double SizeMb,
                                 std::span<const SwapCandidate> Candidates);

} // namespace sff::serving
