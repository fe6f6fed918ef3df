#include "StandIns/HostList/HostService.h"

#include <fstream>

namespace {

using namespace sff;

const settings::Setting<milliseconds> Lag{
    .m_Section = "hosts",
    .m_Key = "lag_ms",
    .m_Default = milliseconds(1000),
    .m_Unit = "ms",
    .m_Range = {0, 3600000},
    .m_Doc = "Delay until a change becomes visible."};

const settings::Setting<std::string> HostsFile{
    .m_Section = "hosts",
    .m_Key = "hosts_file",
    .m_Default = "",
    .m_Unit = "",
    .m_Range = {},
    .m_Doc = "JSON file with the initial list of hosts; may be empty."};

nlohmann::json readHosts(const std::string &Path) {
  if (Path.empty())
    return nlohmann::json::array();
  std::ifstream File(Path);
  if (!File)
    throw std::runtime_error("cannot read " + Path);
  return nlohmann::json::parse(File);
}

} // namespace

int main(int Count, char **Arguments) {
  settings::Schema Schema;
  Schema.add(Lag).add(HostsFile);
  return standin::runProgram(
      Count, Arguments, "standin-hosts", "Stand-in for the host list",
      std::move(Schema),
      [](const process::Context &Started, boost::asio::io_context &Context) {
        const settings::Settings &Values = Started.m_Settings;
        return standin::startService<standin::HostService>(
            Values, Context, Values.get(Lag), readHosts(Values.get(HostsFile)));
      });
}
