#pragma once

#include "Ctl/CatalogueFile.h"
#include "Ctl/RelaySession.h"

#include <ostream>

namespace sff::ctl {

enum class ExitCode : int {
  Success = 0,
  Failure = 1, ///< Timed out, or no relay answered.
  BadInput = 2,
  Rejected = 3, ///< A conflicting change precedes this one in the log.
};

struct PublishOptions {
  EntryMap m_Entries;
  std::vector<std::string> m_Removed;
  /// Version that the changes are based on; the current one when not set.
  std::optional<Offset> m_Base;
  std::string m_Author;
  bool m_Wait = false;
  milliseconds m_Timeout{0};
};

/// Publishes entries that differ from the catalogue, and removals. Prints one
/// line per change: its entry, id, offset and verdict.
ExitCode publish(RelaySession &Relays, const PublishOptions &Options,
                 std::ostream &Out);

/// Waits until the change with the given id or offset is in force in every
/// availability zone, according to the applied offsets that relays report.
ExitCode waitInForce(RelaySession &Relays, const std::string &Change,
                     milliseconds Timeout, std::ostream &Out);

/// Prints the catalogue as JSON, or one entry when \p Name is not empty.
ExitCode show(RelaySession &Relays, const std::string &Name, std::ostream &Out);

/// Prints the table \p Table: hosts, endpoints, models or slots.
ExitCode status(RelaySession &Relays, const std::string &Table,
                std::ostream &Out);

/// Prints a Markdown reference of the settings of all programs.
void printSettingsReference(std::ostream &Out);

} // namespace sff::ctl
