#include "Core/Serving/StoreReadTimes.h"

#include "Core/Serving/SoftwareVersions.h"

#include <gtest/gtest.h>

namespace sff::serving {
namespace {

using std::chrono::seconds;

/// Longest answer of a store that is not in trouble.
constexpr milliseconds CallTime{100};

/// Time from the acknowledgement of a registration until a host knows it, if
/// the read that was waiting is answered without it.
milliseconds worstDelay(milliseconds DrainTime) {
  return MaxRegistrationsWait + registrationsInterval(DrainTime, false) +
         2 * CallTime;
}

// Guards against requests to an endpoint that left: hosts must know of it well
// before they must have stopped sending, since a request that was taken may
// still wait for its turn.
TEST(StoreReadTimesTest, LeavingEndpointIsKnownInTwoThirdsOfTheDrainTime) {
  for (milliseconds DrainTime{2000}; DrainTime <= milliseconds(60000);
       DrainTime += milliseconds(500))
    EXPECT_LE(3 * worstDelay(DrainTime), 2 * DrainTime) << DrainTime.count();
}

// Guards against a host that no longer trusts its own registrations between two
// reads, and then asks other hosts for each stream that is taken up.
TEST(StoreReadTimesTest, RegistrationsStayFreshBetweenReads) {
  for (milliseconds DrainTime{500}; DrainTime <= milliseconds(60000);
       DrainTime += milliseconds(500))
    EXPECT_LT(worstDelay(DrainTime) + MaxRegistrationsWait,
              SoftwareVersions::MaxBeliefAge)
        << DrainTime.count();
}

// Guards against endpoints that are dropped though they have registered again
// in time after an outage of the store: their registrations were read too late.
TEST(StoreReadTimesTest, EndpointsThatRegisterAgainAreReadInTheirGracePeriod) {
  constexpr seconds ReregistrationTime{2};
  for (milliseconds DrainTime{500}; DrainTime <= milliseconds(60000);
       DrainTime += milliseconds(500))
    EXPECT_LE(ReregistrationTime + registrationsInterval(DrainTime, true) +
                  CallTime,
              EndpointDirectory::ExpiryGracePeriod);
}

// Guards against reads more often than the time to stop sending asks for, which
// were the largest price of the deployments with hundreds of hosts.
TEST(StoreReadTimesTest, ReadsAreAsRareAsTheDrainTimeAllows) {
  EXPECT_EQ(registrationsInterval(milliseconds(2000), false),
            milliseconds(800));
  EXPECT_EQ(registrationsInterval(milliseconds(4000), false),
            milliseconds(1600));
}

TEST(StoreReadTimesTest, CatalogueIsReadTwiceInTheTimeToApplyIt) {
  for (milliseconds ApplyTime{200}; ApplyTime <= milliseconds(60000);
       ApplyTime += milliseconds(100))
    EXPECT_LE(catalogueWait(ApplyTime), ApplyTime * 3 / 4) << ApplyTime.count();
}

} // namespace
} // namespace sff::serving
