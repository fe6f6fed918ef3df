#include "StandIns/PlatformLog/LogService.h"

namespace {

using namespace sff;

const settings::Setting<std::int64_t> Retention{
    .m_Section = "log",
    .m_Key = "retention",
    .m_Default = 100000,
    .m_Unit = "records",
    .m_Range = {1, 10000000},
    .m_Doc = "Number of newest records retained per stream."};

const settings::Setting<double> AppendsPerSecond{
    .m_Section = "log",
    .m_Key = "appends_per_second",
    .m_Default = 500,
    .m_Unit = "1/s",
    .m_Range = {0, 1000000},
    .m_Doc = "Appends above this rate are rejected with 429; 0 for no limit."};

} // namespace

int main(int Count, char **Arguments) {
  settings::Schema Schema;
  Schema.add(Retention).add(AppendsPerSecond);
  return standin::runProgram(
      Count, Arguments, "standin-log", "Stand-in for the platform's log",
      std::move(Schema),
      [](const process::Context &Started, boost::asio::io_context &Context) {
        const settings::Settings &Values = Started.m_Settings;
        return standin::startService<standin::LogService>(
            Values, Context,
            standin::LogOptions{Values.get(Retention),
                                Values.get(AppendsPerSecond)});
      });
}
