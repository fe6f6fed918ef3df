#pragma once

#include "Common/Time/Instant.h"
#include "Core/Admission/AdmissionQueue.h"
#include "Core/Memory/CreditWallet.h"

#include <functional>
#include <set>
#include <variant>

namespace sff::router {

/// A request that asks for a place at an endpoint.
struct PlacementRequest {
  RequestId m_Id; ///< Unique among the open requests of this router.
  EntryName m_Entry;
  catalogue::EntrySpec m_Spec;
  catalogue::TrafficClass m_Class = catalogue::TrafficClass::Batch;
  /// The caller says that it comes back at the retry time of a refusal.
  bool m_KeptRetryTime = false;
  Instant m_Arrival;
  Instant m_Deadline;
  std::string m_Prompt;      ///< Text that engines cache by prefix.
  std::string m_Fingerprint; ///< Of entry and body.
  std::set<EndpointId> m_Avoid;
};

/// Permission to dispatch one attempt. Every placement is finished once.
struct Placement {
  RequestId m_Request;
  EntryName m_Entry;
  EndpointId m_Endpoint;
  std::string m_Address;
  AttemptId m_Attempt;
  std::optional<memory::Credit> m_Credit; ///< Engines only.
  bool m_Isolated = false;                ///< Runs alone; is not retried.
  std::string m_Why;                      ///< Reason of the choice, for logs.
};

using PlaceAnswer = std::variant<Placement, admission::Refusal>;

/// How an attempt ended, for the accounts.
struct AttemptReport {
  bool m_Answered = false;
  catalogue::TrafficClass m_Class = catalogue::TrafficClass::Batch;
  Duration m_ServiceTime{0};
  std::string m_Fingerprint;
  /// The endpoint did not answer a probe; it gets no work for a while.
  bool m_EndpointDown = false;
};

} // namespace sff::router
