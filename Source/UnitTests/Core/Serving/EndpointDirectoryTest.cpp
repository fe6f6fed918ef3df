#include "Core/Serving/EndpointDirectory.h"

#include <gtest/gtest.h>

namespace sff::serving {
namespace {

constexpr Instant Start{std::chrono::hours(1)};
const EndpointId First("e1");

Registration makeRegistration(std::int64_t Heartbeat,
                              std::vector<std::string> Models,
                              std::int64_t StartedAtMs = 1) {
  Registration Result;
  Result.m_Id = First;
  Result.m_Incarnation = {StartedAtMs};
  Result.m_Heartbeat = Heartbeat;
  Result.m_Service = "engine";
  for (std::string &Name : Models)
    Result.m_Inventory.m_Models.push_back({std::move(Name), 1, {}});
  return Result;
}

bool holds(const EndpointDirectory &Directory, std::string_view Model) {
  return Directory.find(First)->inventory().find(Model) != nullptr;
}

// Guards against a late registration that overwrites a newer one.
TEST(EndpointDirectoryTest, OlderHeartbeatIsIgnored) {
  EndpointDirectory Directory;
  Directory.apply(makeRegistration(5, {"m"}), Start);
  EXPECT_EQ(Directory.apply(makeRegistration(4, {}), Start),
            RegistrationEffect::Stale);
  EXPECT_TRUE(holds(Directory, "m"));
}

// Guards against keeping the inventory of an endpoint that restarts under the
// same id.
TEST(EndpointDirectoryTest, RestartUnderTheSameIdClearsTheInventory) {
  EndpointDirectory Directory;
  Directory.apply(makeRegistration(9, {"m"}, 1), Start);
  Directory.overrideAsLoaded(First, {"n", {}}, Start);
  EXPECT_EQ(Directory.apply(makeRegistration(1, {}, 2), Start),
            RegistrationEffect::Restarted);
  EXPECT_FALSE(holds(Directory, "m"));
  EXPECT_FALSE(holds(Directory, "n"));
  EXPECT_EQ(Directory.apply(makeRegistration(10, {"m"}, 1), Start),
            RegistrationEffect::Stale);
}

// Guards against requests to an endpoint that has said that it leaves: a later
// registration lists it as active, expires, and returns.
TEST(EndpointDirectoryTest, RegistrationsDoNotEndWhatAnEndpointHasSaid) {
  EndpointDirectory Directory;
  Directory.apply(makeRegistration(1, {}), Start);
  EXPECT_TRUE(Directory.onLeaving(First, {1}, Start));
  EXPECT_FALSE(Directory.onLeaving(First, {1}, Start));
  EXPECT_EQ(Directory.apply(makeRegistration(2, {}), Start),
            RegistrationEffect::Refreshed);
  EXPECT_TRUE(Directory.serving("engine").empty());
  EXPECT_TRUE(Directory.remove(First, Start));
  Directory.apply(makeRegistration(3, {}), Start);
  EXPECT_TRUE(Directory.serving("engine").empty());
  EXPECT_EQ(Directory.departures("engine").size(), 1U);
  EXPECT_TRUE(Directory.departures("plain").empty());
}

// Guards against a new process of an endpoint that gets no requests because the
// one before it left, or because a late answer of that one says so.
TEST(EndpointDirectoryTest, NewProcessOfAnEndpointThatLeftAcceptsRequests) {
  EndpointDirectory Directory;
  Directory.apply(makeRegistration(9, {}, 1), Start);
  Directory.onLeaving(First, {1}, Start);
  EXPECT_EQ(Directory.apply(makeRegistration(1, {}, 2), Start),
            RegistrationEffect::Restarted);
  EXPECT_EQ(Directory.serving("engine").size(), 1U);
  EXPECT_FALSE(Directory.onLeaving(First, {1}, Start));
  EXPECT_EQ(Directory.serving("engine").size(), 1U);
}

// Guards against an endpoint that has drained and is in use again after the
// registry was restored from an older copy, which lists it as active.
TEST(EndpointDirectoryTest, DrainedEndpointDoesNotComeBackFromAnOlderCopy) {
  EndpointDirectory Directory;
  Registration Leaving = makeRegistration(5, {}, 1);
  Leaving.m_Draining = true;
  Directory.apply(Leaving, Start);
  EXPECT_TRUE(Directory.remove(First, Start));
  Directory.apply(makeRegistration(3, {}, 1), Start);
  EXPECT_TRUE(Directory.serving("engine").empty());
  Directory.apply(makeRegistration(1, {}, 2), Start);
  EXPECT_EQ(Directory.serving("engine").size(), 1U);
}

// Guards against a notice that is lost because it comes before the registration
// that it is about.
TEST(EndpointDirectoryTest, NoticeBeforeTheRegistrationCounts) {
  EndpointDirectory Directory;
  EXPECT_FALSE(Directory.onLeaving(First, {1}, Start));
  Directory.apply(makeRegistration(1, {}, 1), Start);
  EXPECT_TRUE(Directory.serving("engine").empty());
}

// Guards against sending requests to an endpoint that has announced its
// shutdown.
TEST(EndpointDirectoryTest, DrainingEndpointIsNotReadmitted) {
  EndpointDirectory Directory;
  Registration Leaving = makeRegistration(2, {});
  Leaving.m_Draining = true;
  Directory.apply(makeRegistration(1, {}), Start);
  Directory.apply(Leaving, Start);
  EXPECT_TRUE(Directory.serving("engine").empty());
  Directory.apply(makeRegistration(3, {}), Start);
  EXPECT_TRUE(Directory.serving("engine").empty());
}

// Guards against requests that are sent to a reused address for as long as the
// registration of the endpoint that had it stands, read again or not.
TEST(EndpointDirectoryTest, EndpointIsOutOfUseOnceItsAddressIsReused) {
  EndpointDirectory Directory;
  Directory.apply(makeRegistration(5, {"m"}), Start);
  EXPECT_TRUE(Directory.onAddressReused(First, {1, 5}));
  EXPECT_TRUE(Directory.serving("engine").empty());
  EXPECT_FALSE(Directory.find(First)->acceptsRequests());
  EXPECT_EQ(Directory.apply(makeRegistration(5, {"m"}), Start),
            RegistrationEffect::Refreshed);
  EXPECT_TRUE(Directory.serving("engine").empty());
  EXPECT_FALSE(Directory.onAddressReused(First, {1, 5}));
  EXPECT_EQ(Directory.voidRegistrations("engine"),
            (std::map<EndpointId, RegistrationVersion>{{First, {1, 5}}}));
  EXPECT_TRUE(Directory.voidRegistrations("other").empty());
}

// Guards against losing an endpoint that registers after another one answered
// at its former address.
TEST(EndpointDirectoryTest, LaterRegistrationEndsTheReuseOfAnAddress) {
  EndpointDirectory Directory;
  Directory.apply(makeRegistration(5, {"m"}), Start);
  Directory.onAddressReused(First, {1, 5});
  EXPECT_EQ(Directory.apply(makeRegistration(6, {"m"}), Start),
            RegistrationEffect::Changed);
  EXPECT_EQ(Directory.serving("engine").size(), 1U);
  EXPECT_TRUE(Directory.voidRegistrations("engine").empty());
  Directory.onAddressReused(First, {1, 6});
  EXPECT_EQ(Directory.apply(makeRegistration(1, {}, 2), Start),
            RegistrationEffect::Restarted);
  EXPECT_EQ(Directory.serving("engine").size(), 1U);
}

// Guards against taking a live endpoint out of use for an answer to a request
// that was sent before its latest registration was read.
TEST(EndpointDirectoryTest, LateAnswerDoesNotVoidALaterRegistration) {
  EndpointDirectory Directory;
  Directory.apply(makeRegistration(6, {"m"}), Start);
  EXPECT_FALSE(Directory.onAddressReused(First, {1, 5}));
  EXPECT_EQ(Directory.serving("engine").size(), 1U);
  EXPECT_TRUE(Directory.voidRegistrations("engine").empty());
  Directory.apply(makeRegistration(1, {}, 2), Start);
  EXPECT_FALSE(Directory.onAddressReused(First, {1, 9}));
  EXPECT_EQ(Directory.serving("engine").size(), 1U);
}

// Guards against a host that learns of the reuse from another one and then
// reads a registration that the other one had found to be void.
TEST(EndpointDirectoryTest, RegistrationOlderThanTheReuseStaysVoid) {
  EndpointDirectory Directory;
  Directory.apply(makeRegistration(4, {"m"}), Start);
  EXPECT_TRUE(Directory.onAddressReused(First, {1, 5}));
  Directory.apply(makeRegistration(5, {"m"}), Start);
  EXPECT_TRUE(Directory.serving("engine").empty());
  Directory.apply(makeRegistration(6, {"m"}), Start);
  EXPECT_EQ(Directory.serving("engine").size(), 1U);
}

// Guards against removing live endpoints whose entries expired during a
// registry outage.
TEST(EndpointDirectoryTest, ExpiryDuringARegistryOutageIsDelayed) {
  EndpointDirectory Directory;
  Directory.apply(makeRegistration(1, {}), Start);
  Directory.onRegistryUnavailable();
  Directory.onRegistryRestored(Start + std::chrono::seconds(10));
  const Instant Restored = Start + std::chrono::seconds(10);
  EXPECT_FALSE(Directory.remove(First, Restored + milliseconds(100)));
  EXPECT_TRUE(Directory.expire(Restored + milliseconds(2000)).empty());
  EXPECT_NE(Directory.find(First), nullptr);
  const auto Expired =
      Directory.expire(Restored + EndpointDirectory::ExpiryGracePeriod);
  ASSERT_EQ(Expired.size(), 1U);
  EXPECT_EQ(Expired[0].id(), First);
  EXPECT_EQ(Directory.find(First), nullptr);
}

// Guards against requests to an endpoint that left during an outage of this
// host: its removal was delayed although the endpoint says that it leaves.
TEST(EndpointDirectoryTest, ConfirmedRemovalIsImmediate) {
  EndpointDirectory Directory;
  Directory.apply(makeRegistration(1, {}), Start);
  Directory.onRegistryUnavailable();
  Directory.onRegistryRestored(Start);
  ASSERT_FALSE(Directory.remove(First, Start));
  EXPECT_EQ(Directory.unconfirmedRemovals(), std::vector{First});
  EXPECT_TRUE(Directory.confirmRemoval(First, Start));
  EXPECT_EQ(Directory.find(First), nullptr);
  EXPECT_TRUE(Directory.unconfirmedRemovals().empty());
}

// Guards against removing an endpoint that has registered again while it was
// asked whether it still serves.
TEST(EndpointDirectoryTest, RegistrationRefutesARemoval) {
  EndpointDirectory Directory;
  Directory.apply(makeRegistration(1, {}), Start);
  Directory.onRegistryUnavailable();
  Directory.onRegistryRestored(Start);
  ASSERT_FALSE(Directory.remove(First, Start));
  Directory.apply(makeRegistration(2, {}), Start);
  EXPECT_TRUE(Directory.unconfirmedRemovals().empty());
  EXPECT_FALSE(Directory.confirmRemoval(First, Start));
  EXPECT_NE(Directory.find(First), nullptr);
}

// Guards against an endpoint that is missing in a new listing and that nobody
// hears of, so that the requests lost there are not attributed to a crash.
TEST(EndpointDirectoryTest, EndpointsMissingInAListingAreReturned) {
  EndpointDirectory Directory;
  Directory.apply(makeRegistration(1, {}), Start);
  EXPECT_TRUE(Directory.retain({First}, Start).empty());
  const auto Removed = Directory.retain({}, Start);
  ASSERT_EQ(Removed.size(), 1U);
  EXPECT_EQ(Removed[0].id(), First);
}

// Guards against removing an endpoint at the end of the grace period although
// it has registered again.
TEST(EndpointDirectoryTest, RegistrationAfterAnExpiryCancelsTheRemoval) {
  EndpointDirectory Directory;
  Directory.apply(makeRegistration(1, {}), Start);
  Directory.onRegistryUnavailable();
  Directory.remove(First, Start);
  Directory.onRegistryRestored(Start + std::chrono::seconds(5));
  Directory.apply(makeRegistration(2, {}), Start + std::chrono::seconds(6));
  Directory.expire(Start + std::chrono::seconds(60));
  EXPECT_NE(Directory.find(First), nullptr);
}

// Guards against sending further requests to a removed endpoint.
TEST(EndpointDirectoryTest, RemovalWithoutAnOutageIsImmediate) {
  EndpointDirectory Directory;
  Directory.apply(makeRegistration(1, {}), Start);
  EXPECT_TRUE(Directory.remove(First, Start));
  EXPECT_EQ(Directory.find(First), nullptr);
}

// Guards against a registration that predates an eviction and makes the evicted
// model eligible again. This caused 2,313 rejected requests in one day.
TEST(EndpointDirectoryTest, OverrideTakesPrecedenceOverOlderRegistrations) {
  EndpointDirectory Directory;
  Directory.apply(makeRegistration(1, {"m"}), Start);
  Directory.overrideAsNotLoaded(First, {"m", {}}, Start);
  Directory.overrideAsLoaded(First, {"n", {}}, Start);
  Directory.overrideAsLoaded(First, {"n", "a1"}, Start);
  Directory.apply(makeRegistration(2, {"m"}), Start + milliseconds(900));
  EXPECT_FALSE(holds(Directory, "m"));
  ASSERT_TRUE(holds(Directory, "n"));
  EXPECT_TRUE(
      Directory.find(First)->inventory().find("n")->m_Adapters.contains("a1"));
  Directory.apply(makeRegistration(3, {"m"}),
                  Start + EndpointDirectory::OverrideValidity);
  EXPECT_TRUE(holds(Directory, "m"));
  EXPECT_FALSE(holds(Directory, "n"));
}

} // namespace
} // namespace sff::serving
