#pragma once

#include "TimelineTool/EventList.h"

#include <ostream>
#include <span>

namespace sff::timelinetool {

/// Prints one line for each event.
void printText(std::span<const Event> Events, std::ostream &Out);

/// Writes one self-contained page with a column for each process and a row for
/// each event, later events further down.
void printHtml(std::span<const Event> Events, std::ostream &Out);

} // namespace sff::timelinetool
