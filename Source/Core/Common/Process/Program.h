#pragma once

#include "Common/Logging/Log.h"
#include "Common/Settings/Schema.h"

#include <functional>
#include <string>

namespace sff::process {

/// Process exit codes that all programs share.
enum class ExitCode : int {
  Success = 0,
  Failure = 1,
  BadInput = 2, ///< Command line or settings were rejected.
};

/// Settings common to all long-running programs.
extern const settings::Setting<std::string> HostSetting;
extern const settings::Setting<std::string> ZoneSetting;
extern const settings::Setting<std::string> LogLevelSetting;

/// Adds the settings above to \p Schema.
void addCommonSettings(settings::Schema &Schema);

/// Arguments of a program's main function.
struct Context {
  settings::Settings m_Settings;
  log::ProcessIdentity m_Identity;
  std::string m_SettingsPath = {};
};

/// Runs a long-running program: parses `--settings`, `--check`,
/// `--print-settings` and `--version`, validates the settings, starts logging
/// and calls \p ProgramMain. Returns the process exit code. \p EventCapacity
/// bounds the timeline events that are kept in memory; a program that answers
/// no questions for them keeps none.
///
/// Precondition: called once from main(). No port is opened before
/// \p ProgramMain runs.
int run(int ArgumentCount, const char *const *Arguments, const char *Name,
        const char *Description, const settings::Schema &Schema,
        const std::function<ExitCode(const Context &)> &ProgramMain,
        std::size_t EventCapacity = log::DefaultEventCapacity);

} // namespace sff::process
