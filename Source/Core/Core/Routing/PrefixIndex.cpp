#include "Core/Routing/PrefixIndex.h"

namespace sff::routing {
namespace {

/// 64-bit FNV-1a. Engines report the same hashes in their cache events.
constexpr std::uint64_t FnvOffsetBasis = 0xcbf29ce484222325;
constexpr std::uint64_t FnvPrime = 0x100000001b3;

/// Limits the memory of one endpoint's index to a few megabytes. Further blocks
/// are not recorded, which only lowers the expected number of cache hits.
constexpr std::size_t MaxBlocksPerEndpoint = 65536;

} // namespace

std::vector<std::uint64_t> PrefixIndex::blockHashes(std::string_view Prompt) {
  std::vector<std::uint64_t> Hashes;
  Hashes.reserve(Prompt.size() / BlockBytes);
  std::uint64_t Hash = FnvOffsetBasis;
  const std::size_t WholeBytes = Prompt.size() / BlockBytes * BlockBytes;
  for (std::size_t Index = 0; Index < WholeBytes; ++Index) {
    Hash = (Hash ^ static_cast<unsigned char>(Prompt[Index])) * FnvPrime;
    if ((Index + 1) % BlockBytes == 0)
      Hashes.push_back(Hash);
  }
  return Hashes;
}

void PrefixIndex::onEvent(const EndpointId &Endpoint, std::uint64_t Sequence,
                          std::uint64_t BlockHash, bool Stored) {
  Entry &State = m_Entries[Endpoint];
  if (Sequence <= State.m_LastSequence)
    return;
  if (Sequence != State.m_LastSequence + 1)
    State.m_Blocks.clear();
  State.m_LastSequence = Sequence;
  if (!Stored)
    State.m_Blocks.erase(BlockHash);
  else if (State.m_Blocks.size() < MaxBlocksPerEndpoint)
    State.m_Blocks.insert(BlockHash);
}

void PrefixIndex::forget(const EndpointId &Endpoint) {
  m_Entries.erase(Endpoint);
}

std::size_t PrefixIndex::cachedBlocks(const EndpointId &Endpoint,
                                      std::string_view Prompt) const {
  return cachedBlocks(Endpoint, blockHashes(Prompt));
}

std::size_t
PrefixIndex::cachedBlocks(const EndpointId &Endpoint,
                          std::span<const std::uint64_t> Hashes) const {
  const auto Found = m_Entries.find(Endpoint);
  if (Found == m_Entries.end())
    return 0;
  std::size_t Count = 0;
  while (Count < Hashes.size() &&
         Found->second.m_Blocks.contains(Hashes[Count]))
    ++Count;
  return Count;
}

} // namespace sff::routing
