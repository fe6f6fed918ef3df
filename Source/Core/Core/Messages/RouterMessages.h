#pragma once

#include "Common/Codec/Fields.h"
#include "Common/Identity/Ids.h"
#include "Core/Messages/ControllerMessages.h"
#include "Core/Retry/CrashQuarantine.h"

#include <string>

namespace sff::messages {

/// State of an execution at the router that wrote its intent.
enum class StoredOutcome { Unknown, Running, Answered };
NLOHMANN_JSON_SERIALIZE_ENUM(StoredOutcome,
                             {{StoredOutcome::Unknown, "unknown"},
                              {StoredOutcome::Running, "running"},
                              {StoredOutcome::Answered, "answered"}})

struct FetchOutcomeReply {
  StoredOutcome m_Outcome = StoredOutcome::Unknown;
  std::int64_t m_Status = 0;
  std::string m_ContentType;
  std::string m_Body;

  static constexpr auto describe() {
    return std::make_tuple(
        field("outcome", &FetchOutcomeReply::m_Outcome),
        field("status", &FetchOutcomeReply::m_Status),
        field("content_type", &FetchOutcomeReply::m_ContentType),
        field("body", &FetchOutcomeReply::m_Body));
  }
};

/// Requests the answer of an execution from the router that wrote its intent.
struct FetchOutcome {
  using Reply = FetchOutcomeReply;
  static constexpr const char *Name = "fetch_outcome";

  std::string m_KeyHash;
  Offset m_Intent = 0;

  static constexpr auto describe() {
    return std::make_tuple(field("key", &FetchOutcome::m_KeyHash),
                           field("intent", &FetchOutcome::m_Intent));
  }
};

/// Notifies other routers how often a request has crashed an endpoint.
struct CrashNotice {
  using Reply = Acknowledgement;
  static constexpr const char *Name = "crash_notice";

  std::string m_Fingerprint; ///< Fingerprint of the entry and the body.
  retry::EndpointCrash m_Crash;

  static constexpr auto describe() {
    return std::make_tuple(field("fingerprint", &CrashNotice::m_Fingerprint),
                           field("crash", &CrashNotice::m_Crash));
  }
};

} // namespace sff::messages
