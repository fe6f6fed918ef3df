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

struct Options {
  std::string m_SettingsPath;
  bool m_CheckOnly = false;
  bool m_Print = false;
};

ExitCode runChecked(const settings::Settings &Values, const char *Name,
                    const settings::Schema &Schema, const Options &Chosen,
                    const std::function<ExitCode(const Context &)> &Body) {
  if (Chosen.m_Print)
    std::cout << Schema.printable(Values) << "\n";
  if (Chosen.m_CheckOnly)
    std::cout << Chosen.m_SettingsPath << ": ok\n";
  if (Chosen.m_Print || Chosen.m_CheckOnly)
    return ExitCode::Success;
  const Context Started{
      Values,
      {Name, Values.get(HostSetting), Values.get(ZoneSetting), makeRandomId()},
      Chosen.m_SettingsPath};
  log::initialize(Started.m_Identity, parseLevel(Values.get(LogLevelSetting)));
  log::info(log::Category::Process, "process.started",
            {{"version", SFF_VERSION}});
  const ExitCode Result = Body(Started);
  log::info(log::Category::Process, "process.stopped",
            {{"exit_code", toInt(Result)}});
  return Result;
}

} // namespace

int run(int Count, const char *const *Arguments, const char *Name,
        const char *Description, const settings::Schema &Schema,
        const std::function<ExitCode(const Context &)> &Body) {
  CLI::App App{Description, Name};
  Options Chosen;
  App.set_version_flag("--version", SFF_VERSION);
  App.add_option("--settings", Chosen.m_SettingsPath, "Settings file (JSON)")
      ->required();
  App.add_flag("--check", Chosen.m_CheckOnly, "Check the settings and exit");
  App.add_flag("--print-settings", Chosen.m_Print,
               "Print all settings with their defaults and exit");
  try {
    App.parse(Count, Arguments);
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? toInt(ExitCode::Success)
                                : toInt(ExitCode::BadInput);
  }
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(Values, Schema.load(Chosen.m_SettingsPath));
        return toInt(runChecked(Values, Name, Schema, Chosen, Body));
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
