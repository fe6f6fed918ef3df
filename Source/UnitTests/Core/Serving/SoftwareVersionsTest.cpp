#include "Core/Serving/SoftwareVersions.h"

#include <gtest/gtest.h>

namespace sff::serving {
namespace {

using std::chrono::seconds;

constexpr Instant Start{};
constexpr seconds Lifetime{10};

class SoftwareVersionsTest : public testing::Test {
protected:
  void add(const std::string &Id, const std::string &Version, Instant Now) {
    Registration Entry;
    Entry.m_Id = EndpointId(Id);
    Entry.m_Service = "engine";
    Entry.m_SoftwareVersion = Version;
    m_Directory.apply(Entry, Now);
    m_Versions.update(m_Directory, Now);
  }
  void remove(const std::string &Id, Instant Now) {
    m_Directory.remove(EndpointId(Id), Now);
    m_Versions.update(m_Directory, Now);
  }

  EndpointDirectory m_Directory;
  SoftwareVersions m_Versions;
};

// Guards against a guess by a host that has just started: a version that began
// streams may have left before.
TEST_F(SoftwareVersionsTest, SoleVersionIsKnownOnlyAfterTheLifeOfAStream) {
  add("e1", "v1", Start);
  EXPECT_FALSE(m_Versions.soleVersion("engine", Lifetime, Start));
  EXPECT_EQ(m_Versions.onlyKnownVersion("engine"), "v1");
  m_Versions.update(m_Directory, Start + Lifetime);
  EXPECT_EQ(m_Versions.soleVersion("engine", Lifetime, Start + Lifetime), "v1");
}

// Guards against forgetting a version whose last endpoint has left while its
// streams may still be taken up.
TEST_F(SoftwareVersionsTest, VersionThatLeftCountsForTheLifeOfAStream) {
  add("e1", "v1", Start);
  add("e2", "v2", Start + seconds(20));
  remove("e1", Start + seconds(30));
  const Instant Soon = Start + seconds(39);
  m_Versions.update(m_Directory, Soon);
  EXPECT_TRUE(m_Versions.isMixed("engine", Lifetime, Soon));
  EXPECT_FALSE(m_Versions.soleVersion("engine", Lifetime, Soon));
  const Instant Later = Start + seconds(41);
  m_Versions.update(m_Directory, Later);
  EXPECT_EQ(m_Versions.soleVersion("engine", Lifetime, Later), "v2");
}

// Guards against an endpoint without a version that counts as any other.
TEST_F(SoftwareVersionsTest, MissingVersionIsAVersionOfItsOwn) {
  add("e1", "", Start);
  EXPECT_EQ(m_Versions.onlyKnownVersion("engine"), "");
  add("e2", "v1", Start);
  EXPECT_TRUE(m_Versions.isMixed("engine", Lifetime, Start));
}

// Guards against streams at a new version that another host, which has not yet
// read of it or starts later, takes for streams of the sole version.
TEST_F(SoftwareVersionsTest, NewVersionBeginsStreamsOnlyOnceAllHostsKnowIt) {
  static_assert(SoftwareVersions::MaxBeliefAge < SoftwareVersions::SettleTime);
  add("e1", "v1", Start);
  EXPECT_TRUE(m_Versions.isSettled("engine", "v1", Start));
  const Instant Added = Start + seconds(20);
  add("e2", "v2", Added);
  EXPECT_TRUE(m_Versions.isSettled("engine", "v1", Added));
  EXPECT_FALSE(m_Versions.isSettled("engine", "v2", Added));
  const Instant Settled = Added + SoftwareVersions::SettleTime;
  EXPECT_FALSE(m_Versions.isSettled("engine", "v2", Settled));
  m_Versions.onRecorded({"engine", "v2"});
  EXPECT_FALSE(m_Versions.isSettled("engine", "v2", Added));
  EXPECT_TRUE(m_Versions.isSettled("engine", "v2", Settled));
}

// Guards against missing the moment from which the versions of streams have to
// be told to other hosts.
TEST_F(SoftwareVersionsTest, SecondVersionIsReportedOnce) {
  add("e1", "v1", Start);
  EXPECT_TRUE(m_Versions.update(m_Directory, Start).empty());
  Registration Second;
  Second.m_Id = EndpointId("e2");
  Second.m_Service = "engine";
  Second.m_SoftwareVersion = "v2";
  m_Directory.apply(Second, Start);
  EXPECT_EQ(m_Versions.update(m_Directory, Start),
            std::vector<std::string>{"engine"});
  EXPECT_TRUE(m_Versions.update(m_Directory, Start).empty());
}

// Guards against a host that refuses all streams after a restart of all hosts,
// and against one that takes what it finds registered for the only version
// though the store has no record of the service.
TEST_F(SoftwareVersionsTest, RecordStandsForTheOwnSight) {
  const Instant Restarted = Start + seconds(100);
  add("e1", "v2", Restarted);
  m_Versions.applyRecords({{"other", "v2"}}, true, Restarted);
  EXPECT_FALSE(m_Versions.soleVersion("engine", Lifetime, Restarted));
  m_Versions.applyRecords({{"engine", "v2"}}, true, Restarted);
  EXPECT_EQ(m_Versions.soleVersion("engine", Lifetime, Restarted), "v2");
}

// Guards against a version that left before this host started, at a time that
// no clock tells reliably, and whose streams are taken for those of another.
TEST_F(SoftwareVersionsTest, RecordedVersionCountsFromTheReadingOfItsRecord) {
  const Instant Restarted = Start + seconds(100);
  add("e1", "v2", Restarted);
  m_Versions.applyRecords({{"engine", "v1"}, {"engine", "v2"}}, true,
                          Restarted);
  const Instant Soon = Restarted + seconds(9);
  m_Versions.update(m_Directory, Soon);
  EXPECT_TRUE(m_Versions.isMixed("engine", Lifetime, Soon));
  EXPECT_FALSE(m_Versions.soleVersion("engine", Lifetime, Soon));
  EXPECT_FALSE(m_Versions.onlyKnownVersion("engine"));
  EXPECT_EQ(m_Versions.onlySeenVersion("engine"), "v2");
  const Instant Later = Restarted + seconds(11);
  m_Versions.update(m_Directory, Later);
  EXPECT_EQ(m_Versions.soleVersion("engine", Lifetime, Later), "v2");
}

// Guards against a host that relies on what it saw before it lost the store: a
// version may have come and left meanwhile.
TEST_F(SoftwareVersionsTest, InterruptionMakesTheHistoryUnknown) {
  add("e1", "v1", Start);
  m_Versions.applyRecords({{"engine", "v1"}}, true, Start);
  const Instant Back = Start + seconds(60);
  m_Versions.onInterruption(Back);
  m_Versions.update(m_Directory, Back);
  EXPECT_FALSE(m_Versions.soleVersion("engine", Lifetime, Back));
  m_Versions.applyRecords({{"engine", "v1"}}, true, Back);
  EXPECT_EQ(m_Versions.soleVersion("engine", Lifetime, Back), "v1");
}

// Guards against a host that starts after the store has come back from an older
// copy, and takes the versions of the copy for all that there were (review/8).
TEST_F(SoftwareVersionsTest, IncompleteRecordsAreNoHistory) {
  const Instant Restarted = Start + seconds(100);
  add("e1", "v1", Restarted);
  m_Versions.applyRecords({{"engine", "v1"}}, false, Restarted);
  EXPECT_FALSE(m_Versions.soleVersion("engine", Lifetime, Restarted));
  const Instant Later = Restarted + Lifetime;
  m_Versions.update(m_Directory, Later);
  EXPECT_EQ(m_Versions.soleVersion("engine", Lifetime, Later), "v1");
}

// Guards against records that a host has written, that the store has lost, and
// that nobody writes again.
TEST_F(SoftwareVersionsTest, RecordsAreWrittenAgainAfterARestore) {
  add("e1", "v1", Start);
  m_Versions.onRecorded({"engine", "v1"});
  EXPECT_TRUE(m_Versions.unrecorded().empty());
  m_Versions.onStoreRestored();
  EXPECT_EQ(m_Versions.unrecorded(),
            (std::vector<ServiceVersion>{{"engine", "v1"}}));
}

// Guards against a version without a record in the store, from which hosts that
// start learn of it, also after its record was removed and it comes back.
TEST_F(SoftwareVersionsTest, VersionIsRecordedUntilItsStreamsHaveEnded) {
  using Records = std::vector<ServiceVersion>;
  const ServiceVersion First{"engine", "v1"};
  add("e1", "v1", Start);
  EXPECT_EQ(m_Versions.unrecorded(), Records{First});
  m_Versions.onRecorded(First);
  EXPECT_TRUE(m_Versions.unrecorded().empty());
  remove("e1", Start + seconds(10));
  EXPECT_TRUE(m_Versions.obsoleteRecords().empty());
  m_Versions.update(m_Directory, Start + seconds(400));
  EXPECT_EQ(m_Versions.obsoleteRecords(), Records{First});
  add("e2", "v1", Start + seconds(401));
  EXPECT_TRUE(m_Versions.obsoleteRecords().empty());
  EXPECT_EQ(m_Versions.unrecorded(), Records{First});
}

// Guards against a version that comes back and begins streams at once, though
// other hosts have forgotten it.
TEST_F(SoftwareVersionsTest, VersionThatComesBackSettlesAgain) {
  add("e1", "v1", Start);
  add("e2", "v2", Start + seconds(10));
  remove("e1", Start + seconds(20));
  const Instant Back = Start + seconds(60);
  add("e3", "v1", Back);
  m_Versions.onRecorded({"engine", "v1"});
  EXPECT_FALSE(m_Versions.isSettled("engine", "v1", Back));
  EXPECT_TRUE(m_Versions.isSettled("engine", "v1",
                                   Back + SoftwareVersions::SettleTime));
}

} // namespace
} // namespace sff::serving
