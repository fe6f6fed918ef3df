#pragma once

#include "Common/Time/Instant.h"
#include "Core/Admission/AdmissionQueue.h"
#include "Core/Memory/BorrowedCredits.h"

#include <functional>
#include <set>
#include <variant>

namespace sff::router {

/// A request to be placed at an endpoint.
struct PlacementRequest {
  RequestId m_Id; ///< Unique among the open requests of this router.
  EntryName m_Entry;
  catalogue::EntrySpec m_Spec;
  catalogue::TrafficClass m_Class = catalogue::TrafficClass::Batch;
  /// The caller states that it waited until the retry time of an earlier
  /// refusal.
  bool m_KeptRetryTime = false;
  Instant m_Arrival;
  Instant m_Deadline;
  std::string m_Prompt;      ///< Text whose prefixes engines cache.
  std::string m_Fingerprint; ///< Hash of entry, target and body.
  std::set<EndpointId> m_Avoid;
};

/// Permission to dispatch one attempt. Each placement must be finished exactly
/// once.
struct Placement {
  RequestId m_Request;
  EntryName m_Entry;
  EndpointId m_Endpoint;
  std::string m_Address;
  AttemptId m_Attempt;
  std::optional<memory::Credit> m_Credit; ///< Engines only.
  bool m_Isolated = false;                ///< Runs alone and is not retried.
  std::string m_ChoiceReason; ///< Why the endpoint was chosen, for logs.
};

using PlacementResult = std::variant<Placement, admission::Refusal>;

/// Result of an attempt, for load and crash accounting.
struct AttemptReport {
  bool m_Answered = false;
  catalogue::TrafficClass m_Class = catalogue::TrafficClass::Batch;
  Duration m_ServiceTime{0};
  std::string m_Fingerprint;
  /// The endpoint did not answer a probe; it gets no new work for some time.
  bool m_EndpointDown = false;
};

} // namespace sff::router
