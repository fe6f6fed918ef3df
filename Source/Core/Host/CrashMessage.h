#pragma once

#include "Common/Codec/Fields.h"
#include "Core/Retry/PartQuarantine.h"

#include <string>
#include <vector>

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

/// What a host tells the others about crashes at one time: a record of the log
/// in the store.
struct CrashNews {
  std::vector<CrashMessage> m_Requests;
  std::vector<retry::CrashProof> m_RequestProofs;
  std::vector<retry::PartCrash> m_PartCrashes;
  /// Crashes of which a part is proved not to be the cause.
  std::vector<retry::PartCrash> m_PartProofs;
  std::vector<retry::PartTrial> m_PartTrials;

  std::size_t size() const {
    return m_Requests.size() + m_RequestProofs.size() + m_PartCrashes.size() +
           m_PartProofs.size() + m_PartTrials.size();
  }
  bool empty() const { return size() == 0; }

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("requests", &CrashNews::m_Requests),
                           field("request_proofs", &CrashNews::m_RequestProofs),
                           field("part_crashes", &CrashNews::m_PartCrashes),
                           field("part_proofs", &CrashNews::m_PartProofs),
                           field("part_trials", &CrashNews::m_PartTrials));
  }
};

} // namespace sff::host
