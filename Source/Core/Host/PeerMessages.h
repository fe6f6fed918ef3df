#pragma once

#include "Common/Codec/Fields.h"
#include "Common/Identity/Ids.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace sff::host {

/// Paths of the calls between hosts.
constexpr std::string_view DemandPath = "/v1/demand";
constexpr std::string_view UsagePath = "/v1/usage";
constexpr std::string_view InventoryPath = "/v1/inventory";

/// A host needs a model, or an adapter of one, in an availability zone. The
/// holder of that zone's right to order answers when it is there.
struct ModelDemand {
  ZoneId m_Zone;
  std::string m_Service;
  std::string m_Model;
  std::string m_Adapter;
  std::int64_t m_WaitMs = 0;    ///< How long the asking host waits.
  std::int64_t m_Rank = 0;      ///< Of the most urgent request; 0 is first.
  std::int64_t m_Waiting = 1;   ///< Requests that wait for it at the host.
  bool m_MayLoadRemote = false; ///< No endpoint has the weights at hand.
  /// A further replica of a busy model: worth it only at little cost.
  bool m_Replica = false;
  /// Asks to be told as soon as a load has begun or cannot begin yet, and not
  /// only when the model is there.
  bool m_WantsEstimate = false;
  /// Endpoints that have just told the asking host that they lack the model,
  /// whatever others believe.
  std::vector<EndpointId> m_LackedBy;

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("zone", &ModelDemand::m_Zone),
                           field("service", &ModelDemand::m_Service),
                           field("model", &ModelDemand::m_Model),
                           field("adapter", &ModelDemand::m_Adapter),
                           field("wait_ms", &ModelDemand::m_WaitMs),
                           field("rank", &ModelDemand::m_Rank),
                           field("waiting", &ModelDemand::m_Waiting),
                           field("remote", &ModelDemand::m_MayLoadRemote),
                           field("replica", &ModelDemand::m_Replica),
                           field("estimate", &ModelDemand::m_WantsEstimate),
                           field("lacked_by", &ModelDemand::m_LackedBy));
  }
};

enum class DemandStatus {
  Ready,     ///< The endpoint holds the model and the adapter.
  Loading,   ///< A load of the model runs.
  Busy,      ///< Not within the time that the host waits.
  NotHolder, ///< The asked host has no right to order in the zone.
  Impossible ///< No endpoint of the zone can load it.
};

NLOHMANN_JSON_SERIALIZE_ENUM(DemandStatus,
                             {{DemandStatus::Busy, "busy"},
                              {DemandStatus::Ready, "ready"},
                              {DemandStatus::Loading, "loading"},
                              {DemandStatus::NotHolder, "not_holder"},
                              {DemandStatus::Impossible, "impossible"}})

struct DemandAnswer {
  DemandStatus m_Status = DemandStatus::Busy;
  EndpointId m_Endpoint;
  /// While it is loading or busy: the model is not there sooner than this.
  std::int64_t m_ReadyInMs = 0;

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("status", &DemandAnswer::m_Status),
                           field("endpoint", &DemandAnswer::m_Endpoint),
                           field("ready_in_ms", &DemandAnswer::m_ReadyInMs));
  }
};

/// Crashes of endpoints for each fingerprint of a request.
using CrashCounts = std::map<std::string, std::int64_t>;

/// Requests that one host has had for each model since its last report, and
/// the requests that it has seen crash endpoints.
struct UsageReport {
  HostId m_Host;
  std::map<std::string, double> m_Requests;
  CrashCounts m_Crashes;

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("host", &UsageReport::m_Host),
                           field("requests", &UsageReport::m_Requests),
                           field("crashes", &UsageReport::m_Crashes));
  }
};

struct UsageAnswer {
  std::int64_t m_Hosts = 0; ///< Hosts that report usage to this holder.
  CrashCounts m_Crashes;    ///< Of all hosts that report.

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("hosts", &UsageAnswer::m_Hosts),
                           field("crashes", &UsageAnswer::m_Crashes));
  }
};

/// A model or adapter that an endpoint has got, or is about to lose.
struct InventoryChange {
  EndpointId m_Endpoint;
  std::string m_Model;
  std::string m_Adapter;
  bool m_Held = false;

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("endpoint", &InventoryChange::m_Endpoint),
                           field("model", &InventoryChange::m_Model),
                           field("adapter", &InventoryChange::m_Adapter),
                           field("held", &InventoryChange::m_Held));
  }
};

/// Changes that a holder's orders cause, for the hosts that report usage to
/// it; the registry tells of them a second or two later.
struct InventoryNotice {
  std::vector<InventoryChange> m_Changes;

  static constexpr auto describe() {
    return std::make_tuple(
        codec::field("changes", &InventoryNotice::m_Changes));
  }
};

/// An answer that says no more than that the message has arrived.
struct Received {
  bool m_Ok = true;

  static constexpr auto describe() {
    return std::make_tuple(codec::field("ok", &Received::m_Ok));
  }
};

} // namespace sff::host
