#pragma once

#include "Common/Identity/Ids.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace sff::routing {

/// Which prompt prefixes the endpoints hold, from their cache events. Events
/// come late and with gaps: a gap drops what was known of the endpoint.
/// Prefixes are hashed in blocks. Thread safety: none.
class PrefixIndex {
public:
  static constexpr std::size_t BlockBytes = 64;

  /// Hashes of the prompt's leading whole blocks; each hash covers all text
  /// up to its block's end.
  static std::vector<std::uint64_t> blockHashes(std::string_view Prompt);

  /// Applies one event. \p Sequence numbers of an endpoint are consecutive;
  /// a jump forgets the endpoint's earlier blocks, an old number is ignored.
  void onEvent(const EndpointId &Endpoint, std::uint64_t Sequence,
               std::uint64_t BlockHash, bool Stored);
  /// Call when the endpoint restarts, because its sequence starts again.
  void forget(const EndpointId &Endpoint);

  /// Length of the cached prefix of \p Prompt at the endpoint, in blocks.
  std::size_t cachedBlocks(const EndpointId &Endpoint,
                           std::string_view Prompt) const;
  /// The same for hashes from blockHashes(), to compare several endpoints.
  std::size_t cachedBlocks(const EndpointId &Endpoint,
                           std::span<const std::uint64_t> Hashes) const;

private:
  struct Entry {
    std::uint64_t m_LastSequence = 0;
    std::set<std::uint64_t> m_Blocks;
  };
  std::map<EndpointId, Entry> m_Entries;
};

} // namespace sff::routing
