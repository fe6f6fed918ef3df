#include "StandIns/PlainService/PlainService.h"

namespace {

using namespace sff;

const settings::Setting<milliseconds> ExecutionTime{
    .m_Section = "service",
    .m_Key = "execution_ms",
    .m_Default = milliseconds(5),
    .m_Unit = "ms",
    .m_Range = {0, 600000},
    .m_Doc = "Duration of one execution."};

const settings::Setting<milliseconds> LoadReportPeriod{
    .m_Section = "service",
    .m_Key = "load_report_ms",
    .m_Default = milliseconds(500),
    .m_Unit = "ms",
    .m_Range = {1, 600000},
    .m_Doc = "Period at which the load report is sampled."};

} // namespace

int main(int Count, char **Arguments) {
  settings::Schema Schema;
  Schema.add(ExecutionTime).add(LoadReportPeriod);
  return standin::runProgram(
      Count, Arguments, "standin-service", "Stand-in for a plain service",
      std::move(Schema),
      [](const process::Context &Started, boost::asio::io_context &Context) {
        const settings::Settings &Values = Started.m_Settings;
        return standin::startService<standin::PlainService>(
            Values, Context,
            standin::PlainServiceOptions{Values.get(process::HostSetting),
                                         Values.get(ExecutionTime),
                                         Values.get(LoadReportPeriod)});
      });
}
