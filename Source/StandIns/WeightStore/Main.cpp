#include "StandIns/WeightStore/WeightService.h"

namespace {

using namespace sff;

const settings::Setting<double> LoadsPerSecond{
    .m_Section = "weights",
    .m_Key = "loads_per_second",
    .m_Default = 3,
    .m_Unit = "1/s",
    .m_Range = {0, 100000},
    .m_Doc = "Rate at which loads start; 0 for no limit."};

const settings::Setting<std::int64_t> FullSpeedLoads{
    .m_Section = "weights",
    .m_Key = "full_speed_loads",
    .m_Default = 4,
    .m_Unit = "loads",
    .m_Range = {1, 1000},
    .m_Doc = "Maximum parallel loads at full speed; more slow all loads down."};

const settings::Setting<double> BytesPerSecond{
    .m_Section = "weights",
    .m_Key = "bytes_per_second",
    .m_Default = 4e9,
    .m_Unit = "bytes/s",
    .m_Range = {1, 1e15},
    .m_Doc = "Bandwidth of one load at full speed."};

} // namespace

int main(int Count, char **Arguments) {
  settings::Schema Schema;
  Schema.add(LoadsPerSecond).add(FullSpeedLoads).add(BytesPerSecond);
  return standin::runProgram(
      Count, Arguments, "standin-weights", "Stand-in for the weight store",
      std::move(Schema),
      [](const process::Context &Started, boost::asio::io_context &Context) {
        const settings::Settings &Values = Started.m_Settings;
        return standin::startService<standin::WeightService>(
            Values, Context,
            standin::WeightOptions{Values.get(LoadsPerSecond),
                                   Values.get(BytesPerSecond),
                                   Values.get(FullSpeedLoads)});
      });
}
