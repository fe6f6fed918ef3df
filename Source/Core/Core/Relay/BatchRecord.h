#pragma once

#include "Core/Messages/RelayMessages.h"

#include <vector>

namespace sff::relay {

/// Items that one log record of `intents` may hold; also the factor between
/// log offsets and item offsets.
inline constexpr Offset BatchPositions = 1024;

/// How the offsets of a stream relate to the offsets of the log.
enum class OffsetRule {
  Plain,   ///< One record, one offset.
  Batched, ///< Log offset times BatchPositions plus the position in the batch.
};

/// First offset that belongs to a log offset.
Offset toItemOffset(OffsetRule Rule, Offset LogOffset);
/// Log offset that holds an item.
Offset toLogOffset(OffsetRule Rule, Offset ItemOffset);

/// Builds a log record of the given items. Precondition: 1 to BatchPositions
/// items.
nlohmann::json makeBatch(std::vector<nlohmann::json> Items);

/// True for a record that makeBatch() built, with any number of items.
bool isBatch(const nlohmann::json &Data);

/// Adds the single records of the log record at \p LogOffset, in order. A
/// record that is not a batch, and one with no item or too many, is one item.
void expand(OffsetRule Rule, Offset LogOffset, nlohmann::json Data,
            std::vector<messages::RecordAt> &Out);

} // namespace sff::relay
