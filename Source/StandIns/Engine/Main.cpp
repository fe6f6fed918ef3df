#include "StandIns/Engine/EngineService.h"

namespace {

using namespace sff;
using Number = settings::Setting<std::int64_t>;
using Time = settings::Setting<milliseconds>;

constexpr std::string_view Section = "engine";
constexpr settings::Range AnyCount{0, 1e15};
constexpr settings::Range AnyTime{0, 3600000};

const Number MemoryBytes{Section, "memory_bytes", 80000000000,
                         "bytes", AnyCount,       "Accelerator memory."};
const Number ParallelRequests{
    Section,     "parallel_requests",
    16,          "requests",
    {1, 100000}, "Maximum requests in the batch; more requests queue."};
const Time TokenTime{Section, "token_ms", milliseconds(10),
                     "ms",    AnyTime,    "Time between tokens."};
const Time PrefillBlockTime{
    Section,         "prefill_block_ms",
    milliseconds(2), "ms",
    AnyTime,         "Prefill time of each prompt block that is not cached."};
const Time LoadReportPeriod{
    Section, "load_report_ms", milliseconds(500),
    "ms",    {1, 3600000},     "Period at which the load report is sampled."};
const Number PrefixCacheBlocks{
    Section,  "prefix_cache_blocks",
    4096,     "blocks",
    {1, 1e9}, "Capacity of the prefix cache in prompt blocks."};
const Time CacheEventDelay{
    Section,           "cache_event_delay_ms",
    milliseconds(500), "ms",
    AnyTime,           "Delay until a cache event is published."};
const Number DropEveryNthEvent{
    Section,  "drop_each_nth_event",
    0,        "events",
    AnyCount, "Every n-th cache event is dropped; 0 for none."};
const settings::Setting<bool> Fencing{
    Section, "fencing", true,
    "",      {},        "Rejects orders with an outdated fencing token."};
const settings::Setting<std::string> WeightStore{
    .m_Section = Section,
    .m_Key = "weight_store",
    .m_Default = "127.0.0.1:1",
    .m_Unit = "",
    .m_Range = {},
    .m_Doc = "Address of the weight store.",
    .m_TextKind = settings::TextKind::Address};
const Time MemoryLoadTime{
    Section, "memory_load_ms", milliseconds(500),
    "ms",    AnyTime,          "Time to load weights from host memory."};
const Time DiskLoadTime{
    Section, "disk_load_ms", milliseconds(3000),
    "ms",    AnyTime,        "Time to load weights from local disk."};
const Number MemoryCacheModels{Section,    "memory_cache_models",
                               2,          "models",
                               {0, 10000}, "Models kept in host memory."};
const Number DiskCacheModels{Section,    "disk_cache_models",
                             20,         "models",
                             {0, 10000}, "Models kept on local disk."};
const settings::Setting<std::vector<std::string>> OnDisk{
    Section, "on_disk",
    {},      "",
    {},      "Weights that are initially on local disk, as model/version."};

settings::Schema makeSchema() {
  settings::Schema Schema;
  Schema.add(MemoryBytes)
      .add(ParallelRequests)
      .add(TokenTime)
      .add(PrefillBlockTime)
      .add(LoadReportPeriod)
      .add(PrefixCacheBlocks)
      .add(CacheEventDelay)
      .add(DropEveryNthEvent)
      .add(Fencing)
      .add(WeightStore)
      .add(MemoryLoadTime)
      .add(DiskLoadTime)
      .add(MemoryCacheModels)
      .add(DiskCacheModels)
      .add(OnDisk);
  return Schema;
}

standin::EngineOptions readOptions(const process::Context &Started) {
  const settings::Settings &Values = Started.m_Settings;
  standin::EngineOptions Options;
  Options.m_Host = Started.m_Identity.m_Host;
  Options.m_Incarnation = Started.m_Identity.m_Incarnation;
  Options.m_MemoryBytes = Values.get(MemoryBytes);
  Options.m_ParallelRequests = Values.get(ParallelRequests);
  Options.m_TokenTime = Values.get(TokenTime);
  Options.m_PrefillBlockTime = Values.get(PrefillBlockTime);
  Options.m_LoadReportPeriod = Values.get(LoadReportPeriod);
  Options.m_PrefixCacheBlocks = Values.get(PrefixCacheBlocks);
  Options.m_CacheEventDelay = Values.get(CacheEventDelay);
  Options.m_DropEveryNthEvent = Values.get(DropEveryNthEvent);
  Options.m_Fencing = Values.get(Fencing);
  Options.m_WeightStore = *http::Address::parse(Values.get(WeightStore));
  Options.m_MemoryLoadTime = Values.get(MemoryLoadTime);
  Options.m_DiskLoadTime = Values.get(DiskLoadTime);
  Options.m_MemoryCacheModels = Values.get(MemoryCacheModels);
  Options.m_DiskCacheModels = Values.get(DiskCacheModels);
  Options.m_OnDisk = Values.get(OnDisk);
  return Options;
}

} // namespace

int main(int Count, char **Arguments) {
  return standin::runProgram(
      Count, Arguments, "standin-engine", "Stand-in for a model engine",
      makeSchema(),
      [](const process::Context &Started, boost::asio::io_context &Context) {
        return standin::startService<standin::EngineService>(
            Started.m_Settings, Context, readOptions(Started));
      });
}
