#pragma once

#include "Core/Messages/RelayMessages.h"

#include <vector>

namespace sff::relay {

/// Maximum number of items in one log record of `intents`.
inline constexpr std::size_t MaxBatchItems = 1024;

/// Builds a log record that contains \p Items as a batch. Precondition: 1 to
/// MaxBatchItems items.
nlohmann::json makeBatch(std::vector<nlohmann::json> Items);

/// True for a record in the form that makeBatch() builds, with any number of
/// items.
bool isBatch(const nlohmann::json &Data);

/// Replaces each batch by its items in order; they share the offset of the
/// batch. A batch with no items or with more than MaxBatchItems is left as one
/// record.
std::vector<messages::StreamRecord>
expandBatches(std::vector<messages::StreamRecord> Records);

} // namespace sff::relay
