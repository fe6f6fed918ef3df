#include "Core/Routing/PrefixIndex.h"

namespace sff::routing {
namespace {

/// FNV-1a with 64 bits; engines report the same hashes in cache events.
constexpr std::uint64_t FnvOffsetBasis = 0xcbf29ce484222325;
constexpr std::uint64_t FnvPrime = 0x100000001b3;

/// Bounds the memory of one endpoint's index at a few megabytes. Blocks beyond
/// it are not remembered, which only lowers the expected cache hits.
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
  Entry &Known = m_Entries[Endpoint];
  if (Sequence <= Known.m_LastSequence)
    return;
  if (Sequence != Known.m_LastSequence + 1)
    Known.m_Blocks.clear();
  Known.m_LastSequence = Sequence;
  if (!Stored)
    Known.m_Blocks.erase(BlockHash);
  else if (Known.m_Blocks.size() < MaxBlocksPerEndpoint)
    Known.m_Blocks.insert(BlockHash);
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
