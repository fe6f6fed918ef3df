#include "Relay/RelaySettings.h"

#include "Common/Process/Program.h"

namespace sff::relay {

settings::Schema makeSchema() {
  settings::Schema Schema;
  process::addCommonSettings(Schema);
  Schema.add(ListenSetting)
      .add(PeersSetting)
      .add(ParallelRequestsSetting)
      .add(PeerTimeoutSetting)
      .add(LogAddressSetting)
      .add(LogTimeoutSetting)
      .add(LogWaitSetting)
      .add(LogRetrySetting)
      .add(ControlCacheSetting)
      .add(IntentsCacheSetting)
      .add(CacheBytesSetting)
      .add(SnapshotRecordsSetting)
      .add(GossipBytesSetting)
      .add(GossipEntriesSetting)
      .add(GossipPeriodSetting);
  return Schema;
}

} // namespace sff::relay
