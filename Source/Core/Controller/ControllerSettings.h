#pragma once

#include "Common/Process/Program.h"
#include "Core/Control/OwnedEndpoint.h"
#include "Core/Ownership/LeaseClock.h"

#include <string>
#include <vector>

namespace sff::controller {

/// All settings that sff-controller accepts.
settings::Schema makeSchema();

/// Validated settings in the form that the controller uses.
struct ControllerSettings {
  HostId m_Host;
  ZoneId m_Zone;
  IncarnationId m_Incarnation;
  std::string m_PeerAddress;
  std::string m_RouterAddress;
  std::vector<std::string> m_Relays;
  std::string m_HostListAddress;
  milliseconds m_HostListPeriod{500};
  std::vector<std::string> m_FencingEndpoints;
  bool m_AllEndpointsFence = false;
  ownership::LeaseTimes m_LeaseTimes;
  milliseconds m_ClaimDelay{2000};
  control::EndpointTimes m_EndpointTimes;
  milliseconds m_InventoryPeriod{1000};
  loading::EvictionWeights m_Eviction;
  double m_LoadsPerSecond = 2.5;
  double m_ParallelLoads = 4;
  double m_ReservedShare = 0.25;

  static ControllerSettings from(const process::Context &Started);
};

} // namespace sff::controller
