#include "ProcessTests/Support/ProcessTest.h"

#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace sff::test {

namespace {

/// Below the ephemeral port range, so that no outgoing connection can take the
/// port of a listener while a test restarts it.
struct PortRange {
  int m_First = 21000;
  int m_Last = 29999;
};

PortRange readPortRange() {
  PortRange Result;
  const char *Text = std::getenv("SFF_TEST_PORTS");
  char Dash = 0;
  PortRange Parsed;
  if (Text &&
      std::istringstream(Text) >> Parsed.m_First >> Dash >> Parsed.m_Last)
    Result = Parsed;
  return Result;
}

using boost::asio::ip::address_v4;

/// A loopback address that no other process of tests uses at the same time, so
/// that tests cannot take each other's ports, also while a program is down.
address_v4 ownLoopbackAddress() {
  constexpr address_v4::uint_type Network = 0x7F400000; // 127.64.0.0
  constexpr address_v4::uint_type PidMask = 0x003FFFFF;
  return address_v4(Network |
                    (static_cast<address_v4::uint_type>(getpid()) & PidMask));
}

bool isFree(int Port) {
  using boost::asio::ip::tcp;
  boost::asio::io_context Context;
  tcp::acceptor Probe(Context, tcp::v4());
  Probe.set_option(boost::asio::socket_base::reuse_address(true));
  boost::system::error_code Error;
  Probe.bind({ownLoopbackAddress(), static_cast<std::uint16_t>(Port)}, Error);
  return !Error;
}

std::filesystem::path makeFolder() {
  std::string Pattern =
      std::filesystem::temp_directory_path() / "sff-test-XXXXXX";
  if (!mkdtemp(Pattern.data()))
    throw std::system_error(errno, std::generic_category(), Pattern);
  return Pattern;
}

} // namespace

std::string programPath(const std::string &Name) {
  std::istringstream All(SFF_PROGRAMS);
  for (std::string Item; std::getline(All, Item, ':');)
    if (Item.starts_with(Name + "="))
      return Item.substr(Name.size() + 1);
  throw std::invalid_argument("no program of this build: " + Name);
}

http::Address freeAddress() {
  static const PortRange Range = readPortRange();
  const int Count = Range.m_Last - Range.m_First + 1;
  static int Next = 0;
  for (int Tries = 0; Tries < Count; ++Tries) {
    const int Port = Range.m_First + Next++ % Count;
    if (isFree(Port))
      return {ownLoopbackAddress().to_string(),
              static_cast<std::uint16_t>(Port)};
  }
  throw std::runtime_error("no free port in SFF_TEST_PORTS");
}

ProcessTest::ProcessTest() : m_Folder(makeFolder()) {}

ProcessTest::~ProcessTest() {
  m_Processes.clear();
  if (HasFailure())
    std::cerr << "files of the test processes are kept in " << m_Folder << "\n";
  else
    std::filesystem::remove_all(m_Folder);
}

ChildProcess &ProcessTest::start(const std::string &Name,
                                 const std::string &Program,
                                 nlohmann::json Settings) {
  nlohmann::json AllSettings = {{"process", {{"host", Name}, {"zone", "z1"}}}};
  AllSettings.merge_patch(Settings);
  const std::string Path = m_Folder / (Name + ".settings.json");
  std::ofstream(Path) << AllSettings.dump();
  return startTool(Name, Program, {"--settings", Path});
}

ChildProcess &
ProcessTest::startTool(const std::string &Name, const std::string &Program,
                       const std::vector<std::string> &Arguments) {
  m_Processes.erase(Name);
  auto Started = std::make_unique<ChildProcess>(
      m_Folder, Name, programPath(Program), Arguments);
  return *(m_Processes[Name] = std::move(Started));
}

http::Address ProcessTest::startStandIn(const std::string &Name,
                                        const std::string &Program,
                                        nlohmann::json Settings,
                                        std::optional<http::Address> Where) {
  http::Address Listen = Where.value_or(freeAddress());
  Settings["http"]["listen"] = Listen.str();
  ChildProcess &Started = start(Name, Program, std::move(Settings));
  const bool Serves = waitUntil([&] {
    return !Started.isRunning() || m_Http.get(Listen, "/livez").status() == 200;
  });
  EXPECT_TRUE(Serves && Started.isRunning()) << Name << " is not serving";
  return Listen;
}

void ProcessTest::setFaults(const http::Address &Target,
                            const nlohmann::json &Faults) {
  EXPECT_EQ(m_Http.post(Target, "/faults", Faults).status(), 200) << Faults;
}

} // namespace sff::test
