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

bool holds(const EndpointDirectory &List, std::string_view Model) {
  return List.find(First)->inventory().find(Model) != nullptr;
}

// Guards against a registration that arrives late and undoes a newer one.
TEST(EndpointDirectoryTest, OlderHeartbeatIsIgnored) {
  EndpointDirectory List;
  List.apply(makeRegistration(5, {"m"}), Start);
  EXPECT_EQ(List.apply(makeRegistration(4, {}), Start),
            RegistrationEffect::Stale);
  EXPECT_TRUE(holds(List, "m"));
}

// Guards against an endpoint that starts again under its id and is taken to
// hold what it held before.
TEST(EndpointDirectoryTest, RestartUnderTheSameIdHoldsNothing) {
  EndpointDirectory List;
  List.apply(makeRegistration(9, {"m"}, 1), Start);
  List.noteHeld(First, {"n", {}}, Start);
  EXPECT_EQ(List.apply(makeRegistration(1, {}, 2), Start),
            RegistrationEffect::Restarted);
  EXPECT_FALSE(holds(List, "m"));
  EXPECT_FALSE(holds(List, "n"));
  EXPECT_EQ(List.apply(makeRegistration(10, {"m"}, 1), Start),
            RegistrationEffect::Stale);
}

// Guards against requests to an endpoint that said that it leaves.
TEST(EndpointDirectoryTest, LeavingEndpointTakesNoWorkAgain) {
  EndpointDirectory List;
  Registration Leaving = makeRegistration(2, {});
  Leaving.m_Draining = true;
  List.apply(makeRegistration(1, {}), Start);
  List.apply(Leaving, Start);
  EXPECT_TRUE(List.serving("engine").empty());
  List.apply(makeRegistration(3, {}), Start);
  EXPECT_TRUE(List.serving("engine").empty());
}

// Guards against the loss of live endpoints whose entries lapsed while the
// registry was away.
TEST(EndpointDirectoryTest, LapseDuringAnOutageIsNotTheEnd) {
  EndpointDirectory List;
  List.apply(makeRegistration(1, {}), Start);
  List.onRegistryLost();
  List.onRegistryRegained(Start + std::chrono::seconds(10));
  const Instant Back = Start + std::chrono::seconds(10);
  EXPECT_FALSE(List.remove(First, Back + milliseconds(100)));
  List.expire(Back + milliseconds(2000));
  EXPECT_NE(List.find(First), nullptr);
  List.expire(Back + EndpointDirectory::LapseGrace);
  EXPECT_EQ(List.find(First), nullptr);
}

// Guards against an endpoint that came back after an outage and is dropped
// when the grace ends.
TEST(EndpointDirectoryTest, ReturnAfterALapseClearsIt) {
  EndpointDirectory List;
  List.apply(makeRegistration(1, {}), Start);
  List.onRegistryLost();
  List.remove(First, Start);
  List.onRegistryRegained(Start + std::chrono::seconds(5));
  List.apply(makeRegistration(2, {}), Start + std::chrono::seconds(6));
  List.expire(Start + std::chrono::seconds(60));
  EXPECT_NE(List.find(First), nullptr);
}

// Guards against a departed endpoint that keeps getting requests.
TEST(EndpointDirectoryTest, RemovalInCalmTimesIsAtOnce) {
  EndpointDirectory List;
  List.apply(makeRegistration(1, {}), Start);
  EXPECT_TRUE(List.remove(First, Start));
  EXPECT_EQ(List.find(First), nullptr);
}

// Guards against a registration from before an eviction that brings the
// evicted model back into the choice (2,313 rejected arrivals in one day).
TEST(EndpointDirectoryTest, NoteGoesBeforeOlderRegistrations) {
  EndpointDirectory List;
  List.apply(makeRegistration(1, {"m"}), Start);
  List.noteMissing(First, {"m", {}}, Start);
  List.noteHeld(First, {"n", {}}, Start);
  List.noteHeld(First, {"n", "a1"}, Start);
  List.apply(makeRegistration(2, {"m"}), Start + milliseconds(900));
  EXPECT_FALSE(holds(List, "m"));
  ASSERT_TRUE(holds(List, "n"));
  EXPECT_TRUE(
      List.find(First)->inventory().find("n")->m_Adapters.contains("a1"));
  List.apply(makeRegistration(3, {"m"}),
             Start + EndpointDirectory::NoteValidity);
  EXPECT_TRUE(holds(List, "m"));
  EXPECT_FALSE(holds(List, "n"));
}

} // namespace
} // namespace sff::serving
