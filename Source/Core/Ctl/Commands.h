#pragma once

#include "Ctl/CatalogueFile.h"
#include "Ctl/RelaySession.h"

#include <ostream>

namespace sff::ctl {

enum class ExitCode : int {
  Success = 0,
  Failure = 1, ///< A time-out, or no relay answered.
  BadInput = 2,
  Rejected = 3, ///< The log's order gave precedence to another change.
};

struct PublishOptions {
  EntryMap m_Entries;
  std::vector<std::string> m_Removed;
  std::optional<Offset> m_Base; ///< Instead of the current version.
  std::string m_Author;
  bool m_Wait = false;
  milliseconds m_Timeout{0};
};

/// Publishes entries that differ from the catalogue, and removals. Prints one
/// line for each change: its id, offset and verdict.
ExitCode publish(RelaySession &Relays, const PublishOptions &Options,
                 std::ostream &Out);

/// Waits until the change with the given id or offset is in force in every
/// availability zone, judged from the applied offsets that relays publish.
ExitCode waitInForce(RelaySession &Relays, const std::string &Change,
                     milliseconds Timeout, std::ostream &Out);

/// Prints the catalogue, or one entry, as JSON.
ExitCode show(RelaySession &Relays, const std::string &Name, std::ostream &Out);

/// Prints a table: hosts, endpoints, models or slots.
ExitCode status(RelaySession &Relays, const std::string &Table,
                std::ostream &Out);

/// Prints a Markdown page of the settings of all programs.
void settingsReference(std::ostream &Out);

} // namespace sff::ctl
