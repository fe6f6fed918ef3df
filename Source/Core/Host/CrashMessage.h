#pragma once

#include "Common/Codec/Fields.h"
#include "Core/Retry/CrashQuarantine.h"

#include <string>

namespace sff::host {

/// A crash of an endpoint that is attributed to a request.
struct CrashMessage {
  std::string m_Fingerprint; ///< Identifies repetitions of the request.
  retry::EndpointCrash m_Crash;
  /// Time at which a host noticed the crash, as Unix time in milliseconds.
  std::int64_t m_NoticedAtUnixMs = 0;
  RequestId m_Run; ///< The caller's attempt that ended with the endpoint.

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(
        field("fingerprint", &CrashMessage::m_Fingerprint),
        field("crash", &CrashMessage::m_Crash),
        field("noticed_unix_ms", &CrashMessage::m_NoticedAtUnixMs),
        field("run", &CrashMessage::m_Run));
  }
};

} // namespace sff::host
