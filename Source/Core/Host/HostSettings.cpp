#include "Host/HostSettings.h"

#include "Common/Process/Program.h"

namespace sff::host {

const settings::Schema &hostSchema() {
  static const settings::Schema Instance = [] {
    settings::Schema Result;
    process::addCommonSettings(Result);
    Result.add(CallersSetting)
        .add(ReadinessSetting)
        .add(PeersSetting)
        .add(MetricsSetting)
        .add(StoreSetting)
        .add(CatalogueApplySetting)
        .add(DrainTimeSetting)
        .add(QueryMinHostsSetting)
        .add(ZonesSetting)
        .add(CpuShareSetting)
        .add(LeaseSetting)
        .add(FencingSetting)
        .add(RetryRatioSetting)
        .add(RetryExtraSetting)
        .add(RetryWindowSetting)
        .add(StopGraceSetting)
        .add(RevocationFailsClosedSetting)
        .add(RevocationTimeSetting)
        .add(QuotaWindowSetting)
        .add(QuotaOvershootSetting)
        .add(QuotaSlackSetting)
        .add(MemorySetting)
        .add(DescriptorsSetting);
    return Result;
  }();
  return Instance;
}

} // namespace sff::host
