#pragma once

#include "Common/Logging/Log.h"
#include "Common/Settings/Schema.h"

#include <functional>
#include <string>

namespace sff::process {

/// Exit codes that every program shares.
enum class ExitCode : int {
  Success = 0,
  Failure = 1,
  BadInput = 2, ///< Command line or settings were rejected.
};

/// Settings that every long-running program accepts.
extern const settings::Setting<std::string> HostSetting;
extern const settings::Setting<std::string> ZoneSetting;
extern const settings::Setting<std::string> LogLevelSetting;

/// Adds the settings above to \p Schema.
void addCommonSettings(settings::Schema &Schema);

/// What a program's body receives.
struct Context {
  settings::Settings m_Settings;
  log::ProcessIdentity m_Identity;
  std::string m_SettingsPath = {};
};

/// Runs a long-running program: parses `--settings`, `--check`,
/// `--print-settings` and `--version`, checks the settings, starts logging and
/// calls \p Body. Returns the process exit code.
///
/// Precondition: called once from main(). No port opens before \p Body runs.
int run(int Count, const char *const *Arguments, const char *Name,
        const char *Description, const settings::Schema &Schema,
        const std::function<ExitCode(const Context &)> &Body);

} // namespace sff::process
