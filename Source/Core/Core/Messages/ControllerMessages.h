#pragma once

#include "Core/Catalogue/EntrySpec.h"

#include <string>
#include <vector>

namespace sff::messages {

using codec::field;

enum class BorrowOutcome { Granted, Loading, Refused };
NLOHMANN_JSON_SERIALIZE_ENUM(BorrowOutcome,
                             {{BorrowOutcome::Refused, "refused"},
                              {BorrowOutcome::Granted, "granted"},
                              {BorrowOutcome::Loading, "loading"}})

struct BorrowCreditsReply {
  BorrowOutcome m_Outcome = BorrowOutcome::Refused;
  // Set if the outcome is Granted.
  LoanId m_Loan;
  EndpointId m_Endpoint;
  std::string m_Address; ///< HTTP address of the endpoint.
  std::int64_t m_Count = 0;
  /// Measured by the router from the time at which it sent the request.
  milliseconds m_TimeToLive{0};
  // Set if the outcome is Loading: expected time until a credit can be granted.
  milliseconds m_ReadyIn{0};
  // Set if the outcome is Refused.
  std::string m_Reason;
  milliseconds m_RetryAfter{0};

  static constexpr auto describe() {
    return std::make_tuple(
        field("outcome", &BorrowCreditsReply::m_Outcome),
        field("loan", &BorrowCreditsReply::m_Loan),
        field("endpoint", &BorrowCreditsReply::m_Endpoint),
        field("address", &BorrowCreditsReply::m_Address),
        field("count", &BorrowCreditsReply::m_Count),
        field("ttl_ms", &BorrowCreditsReply::m_TimeToLive),
        field("ready_in_ms", &BorrowCreditsReply::m_ReadyIn),
        field("reason", &BorrowCreditsReply::m_Reason),
        field("retry_after_ms", &BorrowCreditsReply::m_RetryAfter));
  }
};

/// Requests credits from the owner of an endpoint, so that requests of an entry
/// can run there, and reports the demand for the entry. An entry that is not
/// loaded is loaded. The owner answers when a credit is free, or after m_Wait
/// at the latest. A repeated message with the same loan id returns the same
/// loan.
struct BorrowCredits {
  using Reply = BorrowCreditsReply;
  static constexpr const char *Name = "borrow_credits";

  LoanId m_Loan; ///< Chosen by the router.
  IncarnationId m_Router;
  HostId m_RouterHost;
  EntryName m_Entry;
  EndpointId m_Endpoint;
  std::int64_t m_Count = 1;   ///< Requested credits, each for one request.
  std::int64_t m_Waiting = 0; ///< Requests that wait at this router.
  catalogue::TrafficClass m_Class = catalogue::TrafficClass::Batch;
  milliseconds m_Deadline{0}; ///< Time left for the most urgent request.
  milliseconds m_Wait{0};     ///< Time that the owner may take to answer.

  static constexpr auto describe() {
    return std::make_tuple(field("loan", &BorrowCredits::m_Loan),
                           field("router", &BorrowCredits::m_Router),
                           field("host", &BorrowCredits::m_RouterHost),
                           field("entry", &BorrowCredits::m_Entry),
                           field("endpoint", &BorrowCredits::m_Endpoint),
                           field("count", &BorrowCredits::m_Count),
                           field("waiting", &BorrowCredits::m_Waiting),
                           field("class", &BorrowCredits::m_Class),
                           field("deadline_ms", &BorrowCredits::m_Deadline),
                           field("wait_ms", &BorrowCredits::m_Wait));
  }
};

/// Reply without content.
struct Acknowledgement {
  bool m_Done = true;
  static constexpr auto describe() {
    return std::make_tuple(field("done", &Acknowledgement::m_Done));
  }
};

/// Returns unused credits of a loan. The message is idempotent, because it
/// carries the total and not the difference to the previous message.
struct ReturnCredits {
  using Reply = Acknowledgement;
  static constexpr const char *Name = "return_credits";

  LoanId m_Loan;
  IncarnationId m_Router;
  /// Credits returned since the start of the loan.
  std::int64_t m_ReturnedTotal = 0;

  static constexpr auto describe() {
    return std::make_tuple(field("loan", &ReturnCredits::m_Loan),
                           field("router", &ReturnCredits::m_Router),
                           field("returned", &ReturnCredits::m_ReturnedTotal));
  }
};

struct LoadPermitReply {
  bool m_Granted = false;
  milliseconds m_RetryAfter{0};
  static constexpr auto describe() {
    return std::make_tuple(
        field("granted", &LoadPermitReply::m_Granted),
        field("retry_after_ms", &LoadPermitReply::m_RetryAfter));
  }
};

/// Requests a permit to start one load from the weight store. Sent to the
/// controller that grants these permits.
struct AcquireLoadPermit {
  using Reply = LoadPermitReply;
  static constexpr const char *Name = "acquire_load_permit";

  IncarnationId m_Controller;
  EntryName m_Entry;
  double m_Value = 0; ///< Cost per second of the waiting requests.

  static constexpr auto describe() {
    return std::make_tuple(
        field("controller", &AcquireLoadPermit::m_Controller),
        field("entry", &AcquireLoadPermit::m_Entry),
        field("value", &AcquireLoadPermit::m_Value));
  }
};

struct ReplicaStatus {
  EntryName m_Entry;
  std::string m_State;     ///< cold, loading, ready, draining or unloading.
  std::int64_t m_Lent = 0; ///< Credits lent to routers.

  static constexpr auto describe() {
    return std::make_tuple(field("entry", &ReplicaStatus::m_Entry),
                           field("state", &ReplicaStatus::m_State),
                           field("lent", &ReplicaStatus::m_Lent));
  }
};

struct EndpointStatus {
  EndpointId m_Endpoint;
  std::string m_Address;
  std::string m_State; ///< claimed, fenced, ready, silent or leaving.
  Offset m_Token = 0;
  std::int64_t m_MemoryBytes = 0;
  std::int64_t m_UsedBytes = 0;
  std::vector<ReplicaStatus> m_Replicas;

  static constexpr auto describe() {
    return std::make_tuple(field("endpoint", &EndpointStatus::m_Endpoint),
                           field("address", &EndpointStatus::m_Address),
                           field("state", &EndpointStatus::m_State),
                           field("token", &EndpointStatus::m_Token),
                           field("memory", &EndpointStatus::m_MemoryBytes),
                           field("used", &EndpointStatus::m_UsedBytes),
                           field("replicas", &EndpointStatus::m_Replicas));
  }
};

struct ControllerStatusReply {
  HostId m_Host;
  ZoneId m_Zone;
  IncarnationId m_Incarnation;
  Offset m_AppliedOffset = 0;
  bool m_LeaseHeld = false;
  std::vector<EndpointStatus> m_Endpoints;

  static constexpr auto describe() {
    return std::make_tuple(
        field("host", &ControllerStatusReply::m_Host),
        field("zone", &ControllerStatusReply::m_Zone),
        field("inc", &ControllerStatusReply::m_Incarnation),
        field("applied", &ControllerStatusReply::m_AppliedOffset),
        field("lease_held", &ControllerStatusReply::m_LeaseHeld),
        field("endpoints", &ControllerStatusReply::m_Endpoints));
  }
};

/// Requests the status of a controller.
struct ControllerStatus {
  using Reply = ControllerStatusReply;
  static constexpr const char *Name = "controller_status";
  bool m_Unused = false;
  static constexpr auto describe() {
    return std::make_tuple(field("unused", &ControllerStatus::m_Unused));
  }
};

/// An endpoint as described by the platform's host list.
struct EndpointInfo {
  EndpointId m_Endpoint;
  std::string m_Address;
  ZoneId m_Zone;
  std::string m_Kind;    ///< engine or service.
  std::string m_State;   ///< live, leaving or gone.
  std::string m_Service; ///< Service name; set for services only.
  std::int64_t m_MemoryBytes = 0;

  friend bool operator==(const EndpointInfo &, const EndpointInfo &) = default;

  static constexpr auto describe() {
    return std::make_tuple(field("host", &EndpointInfo::m_Endpoint),
                           field("address", &EndpointInfo::m_Address),
                           field("zone", &EndpointInfo::m_Zone),
                           field("kind", &EndpointInfo::m_Kind),
                           field("state", &EndpointInfo::m_State),
                           field("service", &EndpointInfo::m_Service),
                           field("memory_bytes", &EndpointInfo::m_MemoryBytes));
  }
};

struct ListEndpointsReply {
  /// Identifies the content of the list; the same content has the same version
  /// at all controllers.
  std::string m_Version;
  /// True when the requester already has this list, so that no endpoints are
  /// sent.
  bool m_Unchanged = false;
  std::vector<EndpointInfo> m_Endpoints;
  static constexpr auto describe() {
    return std::make_tuple(
        field("version", &ListEndpointsReply::m_Version),
        field("unchanged", &ListEndpointsReply::m_Unchanged),
        field("endpoints", &ListEndpointsReply::m_Endpoints));
  }
};

/// Requests the latest host list of a controller. Sent by routers.
struct ListEndpoints {
  using Reply = ListEndpointsReply;
  static constexpr const char *Name = "list_endpoints";
  /// Version of the list that the requester has; empty when it has none.
  std::string m_KnownVersion;
  static constexpr auto describe() {
    return std::make_tuple(field("known", &ListEndpoints::m_KnownVersion));
  }
};

} // namespace sff::messages
