#pragma once

#include "Common/Codec/Fields.h"
#include "Common/Identity/Ids.h"
#include "Core/Serving/EndpointDirectory.h"
#include "Core/Serving/EndpointSpeeds.h"
#include "Host/CrashMessage.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace sff::host {

/// HTTP paths of the calls between hosts.
constexpr std::string_view DemandPath = "/v1/demand";
constexpr std::string_view UsagePath = "/v1/usage";
constexpr std::string_view InventoryPath = "/v1/inventory";

/// A host's demand for a model, or an adapter of one, in an availability zone.
/// The holder of the zone's order lease responds when it is loaded.
struct ModelDemand {
  ZoneId m_Zone;
  std::string m_Service;
  std::string m_Model;
  std::string m_Adapter;
  std::int64_t m_WaitMs = 0; ///< How long the sender waits for the response.
  /// Rank of the most urgent request; 0 is the highest priority.
  std::int64_t m_Priority = 0;
  /// Requests of the sender that wait for the model.
  std::int64_t m_Waiting = 1;
  /// No endpoint has the weights in local storage, so the model may be loaded
  /// from the weight store.
  bool m_MayLoadRemote = false;
  /// Asks for a further replica of a model in use, which is loaded only if its
  /// evictions cost little.
  bool m_Replica = false;
  /// Asks for a response as soon as a load has started or cannot start yet,
  /// instead of only when the model is loaded.
  bool m_WantsEstimate = false;
  /// Endpoints that have just reported to the sender that they lack the model.
  /// Overrides what the holder knows of them.
  std::vector<EndpointId> m_ReportedMissingBy;
  /// Endpoints of the service whose addresses belong to other endpoints, with
  /// the registrations up to which this is known.
  std::map<EndpointId, serving::RegistrationVersion> m_VoidRegistrations;
  /// Endpoints of the service that have told the sender that they leave, with
  /// the registrations by which it knows them.
  std::map<EndpointId, serving::RegistrationVersion> m_LeavingEndpoints;

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(
        field("zone", &ModelDemand::m_Zone),
        field("service", &ModelDemand::m_Service),
        field("model", &ModelDemand::m_Model),
        field("adapter", &ModelDemand::m_Adapter),
        field("wait_ms", &ModelDemand::m_WaitMs),
        field("rank", &ModelDemand::m_Priority),
        field("waiting", &ModelDemand::m_Waiting),
        field("remote", &ModelDemand::m_MayLoadRemote),
        field("replica", &ModelDemand::m_Replica),
        field("estimate", &ModelDemand::m_WantsEstimate),
        field("lacked_by", &ModelDemand::m_ReportedMissingBy),
        field("void", &ModelDemand::m_VoidRegistrations),
        field("leaving", &ModelDemand::m_LeavingEndpoints));
  }
};

enum class DemandStatus {
  Ready,     ///< The endpoint holds the model and the adapter.
  Loading,   ///< The model is being loaded.
  Busy,      ///< Not loaded within the time that the sender waits.
  NotHolder, ///< The receiver does not hold the order lease of the zone.
  Impossible ///< No endpoint of the zone can load it.
};

NLOHMANN_JSON_SERIALIZE_ENUM(DemandStatus,
                             {{DemandStatus::Busy, "busy"},
                              {DemandStatus::Ready, "ready"},
                              {DemandStatus::Loading, "loading"},
                              {DemandStatus::NotHolder, "not_holder"},
                              {DemandStatus::Impossible, "impossible"}})

struct DemandResponse {
  DemandStatus m_Status = DemandStatus::Busy;
  EndpointId m_Endpoint;
  /// For Loading and Busy: lower bound of the time until the model is loaded; 0
  /// when it is not known.
  std::int64_t m_ReadyInMs = 0;

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("status", &DemandResponse::m_Status),
                           field("endpoint", &DemandResponse::m_Endpoint),
                           field("ready_in_ms", &DemandResponse::m_ReadyInMs));
  }
};

/// A host's number of requests by model since its last report, and the crashes
/// that it has noticed or learned of recently.
struct UsageReport {
  HostId m_Host;
  std::map<std::string, double> m_Requests;
  std::vector<CrashMessage> m_Crashes;
  /// Sends to endpoints without a free slot, and rejections for want of room,
  /// by model since the last report.
  std::map<std::string, double> m_Pressure;
  /// Time since the last report; 0 if it is not known.
  std::int64_t m_IntervalMs = 0;
  /// Work of endpoints, sent while the host sees pressure.
  std::map<EndpointId, serving::EndpointWork> m_Work;

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("host", &UsageReport::m_Host),
                           field("requests", &UsageReport::m_Requests),
                           field("crashes", &UsageReport::m_Crashes),
                           field("pressure", &UsageReport::m_Pressure),
                           field("interval_ms", &UsageReport::m_IntervalMs),
                           field("work", &UsageReport::m_Work));
  }
};

struct UsageResponse {
  /// Number of hosts that report usage to this holder.
  std::int64_t m_Hosts = 0;
  /// Recent crashes that the holder has noticed or learned of.
  std::vector<CrashMessage> m_Crashes;
  /// Peer addresses of some of the hosts that report usage.
  std::vector<HostId> m_Peers;

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("hosts", &UsageResponse::m_Hosts),
                           field("crashes", &UsageResponse::m_Crashes),
                           field("peers", &UsageResponse::m_Peers));
  }
};

/// A model or adapter that an endpoint has loaded or is about to unload.
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

/// Inventory changes caused by a holder's orders, sent to the hosts that report
/// usage to it. The registry shows the same changes a second or two later.
struct InventoryNotice {
  std::vector<InventoryChange> m_Changes;

  static constexpr auto describe() {
    return std::make_tuple(
        codec::field("changes", &InventoryNotice::m_Changes));
  }
};

/// Response that only acknowledges the receipt of a message.
struct Acknowledgement {
  bool m_Ok = true;

  static constexpr auto describe() {
    return std::make_tuple(codec::field("ok", &Acknowledgement::m_Ok));
  }
};

} // namespace sff::host
