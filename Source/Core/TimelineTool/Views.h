#pragma once

#include "TimelineTool/EventList.h"

#include <ostream>
#include <span>

namespace sff::timelinetool {

/// Prints one line per event.
void printText(std::span<const Event> Events, std::ostream &Out);

/// Writes a self-contained page with a column per process and a row per event,
/// in the order of \p Events.
void printHtml(std::span<const Event> Events, std::ostream &Out);

} // namespace sff::timelinetool
