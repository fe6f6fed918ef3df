#pragma once

#include "Common/Codec/Fields.h"
#include "Common/Identity/Ids.h"
#include "Core/Serving/StreamVersions.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sff::host {

/// HTTP paths of the calls between hosts about streams.
constexpr std::string_view StreamQueryPath = "/v1/streams/query";
constexpr std::string_view StreamNoticePath = "/v1/streams/notice";

/// Asks which software version began a stream.
struct StreamQuery {
  RequestId m_Stream; ///< The request that brought its first event, or empty.
  std::string m_Service;
  /// How long before now the stream can have begun.
  std::int64_t m_LifetimeMs = 0;

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("stream", &StreamQuery::m_Stream),
                           field("service", &StreamQuery::m_Service),
                           field("lifetime_ms", &StreamQuery::m_LifetimeMs));
  }
};

/// Where the answer to a query comes from.
enum class StreamKnowledge {
  None,
  Recorded,  ///< The version of this stream is known.
  Ambiguous, ///< Streams of several versions have this id.
  Sole,      ///< The service had no other version in the stream's lifetime.
  Mixed,     ///< The service had several versions, and no record is known.
};

NLOHMANN_JSON_SERIALIZE_ENUM(StreamKnowledge,
                             {{StreamKnowledge::None, "none"},
                              {StreamKnowledge::Recorded, "recorded"},
                              {StreamKnowledge::Ambiguous, "ambiguous"},
                              {StreamKnowledge::Sole, "sole"},
                              {StreamKnowledge::Mixed, "mixed"}})

struct StreamAnswer {
  StreamKnowledge m_Knowledge = StreamKnowledge::None;
  std::string m_Version; ///< Set for Recorded and Sole.
  /// The store has just confirmed the registrations from which this follows.
  bool m_IsFresh = false;

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("knowledge", &StreamAnswer::m_Knowledge),
                           field("version", &StreamAnswer::m_Version),
                           field("fresh", &StreamAnswer::m_IsFresh));
  }
};

/// Tells the version of streams that have begun.
struct StreamNotice {
  std::vector<serving::StreamVersion> m_Streams;

  static constexpr auto describe() {
    return std::make_tuple(codec::field("streams", &StreamNotice::m_Streams));
  }
};

} // namespace sff::host
