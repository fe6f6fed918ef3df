#include "Common/Process/Program.h"

#include "Common/Identity/Ids.h"

#include <CLI/CLI.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <iostream>

namespace sff::process {

const settings::Setting<std::string> HostSetting{
    .m_Section = "process",
    .m_Key = "host",
    .m_Default = "",
    .m_Unit = "",
    .m_Range = {},
    .m_Doc = "Name of the host that this process runs on.",
    .m_TextKind = settings::TextKind::Name,
    .m_Required = true};

const settings::Setting<std::string> ZoneSetting{
    .m_Section = "process",
    .m_Key = "zone",
    .m_Default = "",
    .m_Unit = "",
    .m_Range = {},
    .m_Doc = "Availability zone of the host.",
    .m_TextKind = settings::TextKind::Name,
    .m_Required = true};

const settings::Setting<std::string> LogLevelSetting{
    .m_Section = "process",
    .m_Key = "log_level",
    .m_Default = "info",
    .m_Unit = "",
    .m_Range = {},
    .m_Doc = "Lowest level that is logged: debug, info, warning or error.",
    .m_TextKind = settings::TextKind::Name};

void addCommonSettings(settings::Schema &Schema) {
  Schema.add(HostSetting).add(ZoneSetting).add(LogLevelSetting);
}

namespace {

int toInt(ExitCode Code) { return static_cast<int>(Code); }

log::Level parseLevel(std::string_view Text) {
  if (Text == "debug")
    return log::Level::Debug;
  if (Text == "warning")
    return log::Level::Warning;
  return Text == "error" ? log::Level::Error : log::Level::Info;
}

struct CommandLineOptions {
  std::string m_SettingsPath;
  bool m_CheckOnly = false;
  bool m_Print = false;
};

ExitCode
runWithSettings(const settings::Settings &Values, const char *Name,
                const settings::Schema &Schema,
                const CommandLineOptions &Options,
                const std::function<ExitCode(const Context &)> &ProgramMain,
                std::size_t EventCapacity) {
  if (Options.m_Print)
    std::cout << Schema.toPrintableJson(Values) << "\n";
  if (Options.m_CheckOnly)
    std::cout << Options.m_SettingsPath << ": ok\n";
  if (Options.m_Print || Options.m_CheckOnly)
    return ExitCode::Success;
  const Context ProgramContext{
      Values,
      {Name, Values.get(HostSetting), Values.get(ZoneSetting), makeRandomId()},
      Options.m_SettingsPath};
  log::initialize(ProgramContext.m_Identity,
                  parseLevel(Values.get(LogLevelSetting)), EventCapacity);
  log::info(log::Category::Process, "process.started",
            {{"version", SFF_VERSION}});
  const ExitCode Result = ProgramMain(ProgramContext);
  log::info(log::Category::Process, "process.stopped",
            {{"exit_code", toInt(Result)}});
  return Result;
}

} // namespace

int run(int ArgumentCount, const char *const *Arguments, const char *Name,
        const char *Description, const settings::Schema &Schema,
        const std::function<ExitCode(const Context &)> &ProgramMain,
        std::size_t EventCapacity) {
  CLI::App App{Description, Name};
  CommandLineOptions Options;
  App.set_version_flag("--version", SFF_VERSION);
  App.add_option("--settings", Options.m_SettingsPath, "Settings file (JSON)")
      ->required();
  App.add_flag("--check", Options.m_CheckOnly, "Check the settings and exit");
  App.add_flag("--print-settings", Options.m_Print,
               "Print all settings with their defaults and exit");
  try {
    App.parse(ArgumentCount, Arguments);
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? toInt(ExitCode::Success)
                                : toInt(ExitCode::BadInput);
  }
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(Values, Schema.load(Options.m_SettingsPath));
        return toInt(runWithSettings(Values, Name, Schema, Options, ProgramMain,
                                     EventCapacity));
      },
      [](const findings::FindingList &Findings) {
        std::cerr << Findings;
        return toInt(ExitCode::BadInput);
      },
      [] {
        std::cerr << "settings could not be read\n";
        return toInt(ExitCode::Failure);
      });
}

} // namespace sff::process
