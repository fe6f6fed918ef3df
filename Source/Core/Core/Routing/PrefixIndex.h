#pragma once

#include "Common/Identity/Ids.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace sff::routing {

/// Tracks which prompt prefixes the endpoints have cached, from their cache
/// events. Events may be late or missing; a gap in the sequence discards the
/// endpoint's earlier blocks. Prefixes are hashed in blocks.
/// Thread safety: none.
class PrefixIndex {
public:
  static constexpr std::size_t BlockBytes = 64;

  /// Returns the hashes of the prompt's leading complete blocks. Each hash
  /// covers the text from the beginning to the end of its block.
  static std::vector<std::uint64_t> blockHashes(std::string_view Prompt);

  /// Applies one event. The \p Sequence numbers of an endpoint are consecutive.
  /// A gap discards the endpoint's earlier blocks; an event with an old number
  /// is ignored.
  void onEvent(const EndpointId &Endpoint, std::uint64_t Sequence,
               std::uint64_t BlockHash, bool Stored);
  /// Removes an endpoint. Call when it restarts, because its sequence numbers
  /// start over.
  void forget(const EndpointId &Endpoint);

  /// Returns the length of the prefix of \p Prompt that is cached at the
  /// endpoint, in blocks.
  std::size_t cachedBlocks(const EndpointId &Endpoint,
                           std::string_view Prompt) const;
  /// Same as above, with hashes from blockHashes(), to compare several
  /// endpoints.
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
