#pragma once

#include "Common/Codec/Fields.h"
#include "Common/Findings/Findings.h"
#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"

#include <cstdint>
#include <string>

namespace sff::catalogue {

enum class EntryKind { Model, Adapter, Service };
enum class TrafficClass { Interactive, Batch };

NLOHMANN_JSON_SERIALIZE_ENUM(EntryKind, {{EntryKind::Model, "model"},
                                         {EntryKind::Adapter, "adapter"},
                                         {EntryKind::Service, "service"}})
NLOHMANN_JSON_SERIALIZE_ENUM(TrafficClass,
                             {{TrafficClass::Interactive, "interactive"},
                              {TrafficClass::Batch, "batch"}})

/// The specification of a catalogue entry, as set by operators.
struct EntrySpec {
  EntryKind m_Kind = EntryKind::Model;
  std::string m_Team;
  TrafficClass m_Class = TrafficClass::Batch;

  // Models and adapters.
  std::string m_Version = "1";
  std::int64_t m_Replicas = 1; ///< Maximum number of loaded replicas.
  EntryName m_Base;            ///< Base model of an adapter, otherwise empty.
  std::int64_t m_WeightBytes = 0;
  /// Size of the attention state (KV cache) of one token.
  std::int64_t m_BytesPerToken = 0;
  std::int64_t m_MaxTokens = 1024; ///< Limit for prompt and answer together.

  // Services.
  std::string m_Service;     ///< Service name in the host list.
  bool m_Repeatable = false; ///< Calls may be executed more than once.

  // Limits.
  /// Maximum number of waiting requests per router.
  std::int64_t m_MaxQueue = 64;
  /// Maximum number of running requests per router.
  std::int64_t m_MaxConcurrent = 64;
  milliseconds m_DefaultDeadline{30000};

  /// Returns the attention memory that one request may use, in bytes.
  std::int64_t requestBytes() const { return m_BytesPerToken * m_MaxTokens; }
  bool isLoadable() const { return m_Kind != EntryKind::Service; }

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(
        field("kind", &EntrySpec::m_Kind), field("team", &EntrySpec::m_Team),
        field("class", &EntrySpec::m_Class),
        field("version", &EntrySpec::m_Version),
        field("replicas", &EntrySpec::m_Replicas),
        field("base", &EntrySpec::m_Base),
        field("weight_bytes", &EntrySpec::m_WeightBytes),
        field("bytes_per_token", &EntrySpec::m_BytesPerToken),
        field("max_tokens", &EntrySpec::m_MaxTokens),
        field("service", &EntrySpec::m_Service),
        field("repeatable", &EntrySpec::m_Repeatable),
        field("max_queue", &EntrySpec::m_MaxQueue),
        field("max_concurrent", &EntrySpec::m_MaxConcurrent),
        field("default_deadline_ms", &EntrySpec::m_DefaultDeadline));
  }
};

/// Checks one entry without regard to the others. Adds a finding for each
/// error, with a location below \p Place. Thread safety: reentrant.
void checkEntry(const EntryName &Name, const EntrySpec &Spec,
                std::string_view Place, findings::FindingList &Findings);

/// Returns true if checkEntry() finds no error.
bool isWellFormed(const EntryName &Name, const EntrySpec &Spec);

} // namespace sff::catalogue
