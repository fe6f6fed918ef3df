#include "Router/RouterSettings.h"

#include "Common/Process/Program.h"

namespace sff::router {

settings::Schema makeSchema() {
  settings::Schema Result;
  process::addCommonSettings(Result);
  Result.add(ListenSetting)
      .add(PeerListenSetting)
      .add(RelaysSetting)
      .add(DrainDelaySetting)
      .add(BodyBytesSetting)
      .add(HeaderBytesSetting)
      .add(RequestReadTimeoutSetting)
      .add(ConnectionsSetting)
      .add(TeamRequestsSetting)
      .add(MaxDeadlineSetting)
      .add(BorrowWaitSetting)
      .add(OwnerRetrySetting)
      .add(NoCreditTimeoutSetting)
      .add(MaxBorrowSetting)
      .add(CreditIdleSetting)
      .add(ProgressTimeoutSetting)
      .add(ProbeTimeoutSetting)
      .add(RetryRatioSetting)
      .add(RetryBurstSetting)
      .add(EndpointDownSetting)
      .add(QuarantinePeriodSetting)
      .add(QuarantineSizeSetting)
      .add(IntentRetentionSetting)
      .add(IntentWaitSetting)
      .add(KeptAnswersSetting)
      .add(KeptAnswerBytesSetting)
      .add(ServiceTimeoutSetting)
      .add(EndpointListPeriodSetting)
      .add(LoadPeriodSetting);
  return Result;
}

} // namespace sff::router
