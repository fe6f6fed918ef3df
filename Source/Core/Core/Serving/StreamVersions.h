#pragma once

#include "Common/Codec/Fields.h"
#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sff::serving {

/// The software version that began a stream, which is named by the request that
/// brought its first event.
struct StreamVersion {
  RequestId m_Stream;
  std::string m_Version;

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("stream", &StreamVersion::m_Stream),
                           field("version", &StreamVersion::m_Version));
  }
};

/// What is known of the version of a stream.
struct StreamVersionFinding {
  std::optional<std::string> m_Version;
  /// Several streams with different versions have the same id, so none of the
  /// versions may be used.
  bool m_IsAmbiguous = false;
};

/// Software versions of streams that have begun lately; bounded in number and
/// age. The version of a stream that was dropped counts as unknown.
/// Thread safety: none.
class StreamVersionTable {
public:
  static constexpr std::size_t MaxStreams = 10000;
  static constexpr std::chrono::minutes MaxAge{1};

  void record(const StreamVersion &Begun, Instant Now);
  StreamVersionFinding find(const RequestId &Stream) const;
  /// The streams that were recorded at or after \p Since, at most \p Limit, the
  /// latest first.
  std::vector<StreamVersion> recordedSince(Instant Since,
                                           std::size_t Limit) const;

private:
  struct Arrival {
    RequestId m_Stream;
    Instant m_At;
  };

  void dropOldest();

  std::map<RequestId, StreamVersionFinding> m_Streams;
  std::deque<Arrival> m_Arrivals; ///< The oldest first.
};

} // namespace sff::serving
