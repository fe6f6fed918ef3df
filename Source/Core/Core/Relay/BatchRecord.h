#pragma once

#include "Core/Messages/RelayMessages.h"

#include <vector>

namespace sff::relay {

/// Items that one log record of `intents` may hold.
inline constexpr std::size_t MaxBatchItems = 1024;

/// Builds a log record of the given items. Precondition: 1 to MaxBatchItems
/// items.
nlohmann::json makeBatch(std::vector<nlohmann::json> Items);

/// True for a record that makeBatch() built, with any number of items.
bool isBatch(const nlohmann::json &Data);

/// Replaces each batch by its items, which share its offset, in order. A batch
/// with no item or too many stays one record.
std::vector<messages::RecordAt> expand(std::vector<messages::RecordAt> Records);

} // namespace sff::relay
