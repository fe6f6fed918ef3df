#include "TimelineTool/EventList.h"

#include "Common/Codec/Codec.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <charconv>
#include <ctime>
#include <iomanip>
#include <sstream>
#include <tuple>

namespace sff::timelinetool {

namespace {

constexpr std::int64_t MicrosPerSecond = 1000000;
constexpr int FractionDigits = 6;

auto sortKey(const Event &Item) {
  return std::tie(Item.m_Time.m_WallMicros, Item.m_Time.m_Counter, Item.m_Host,
                  Item.m_Program, Item.m_Incarnation, Item.m_Name);
}

std::optional<std::int64_t> parseNumber(const std::string &Text) {
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [ParsedEnd, Error] = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Error != std::errc() || ParsedEnd != End)
    return std::nullopt;
  return Value;
}

} // namespace

bool matches(const Filter &Criteria, const Event &Item) {
  const auto MatchesField = [](const std::string &Pattern,
                               const std::string &Value) {
    return Pattern.empty() || Pattern == Value;
  };
  const std::int64_t Time = Item.m_Time.m_WallMicros;
  return MatchesField(Criteria.m_Request, Item.m_Request) &&
         MatchesField(Criteria.m_Entry, Item.m_Entry) &&
         MatchesField(Criteria.m_Category, Item.m_Category) &&
         Time >= Criteria.m_SinceMicros.value_or(Time) &&
         Time <= Criteria.m_UntilMicros.value_or(Time);
}

std::size_t readEvents(std::istream &Input, std::vector<Event> &Out) {
  std::size_t SkippedLines = 0;
  for (std::string Line; std::getline(Input, Line);) {
    if (Line.empty())
      continue;
    const bool IsEvent = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
          BOOST_LEAF_AUTO(Item, codec::parseJson<Event>(Line));
          if (Item.m_Name.empty())
            return false;
          Out.push_back(std::move(Item));
          return true;
        },
        [] { return false; });
    SkippedLines += IsEvent ? 0 : 1;
  }
  return SkippedLines;
}

std::vector<Event> mergeEvents(std::vector<Event> Events,
                               const Filter &Criteria) {
  std::erase_if(Events,
                [&](const Event &Item) { return !matches(Criteria, Item); });
  std::ranges::sort(Events, {}, sortKey);
  const auto IsDuplicate = [](const Event &Left, const Event &Right) {
    return sortKey(Left) == sortKey(Right);
  };
  Events.erase(std::unique(Events.begin(), Events.end(), IsDuplicate),
               Events.end());
  return Events;
}

std::optional<std::int64_t> parseTime(const std::string &Text) {
  if (const auto Micros = parseNumber(Text))
    return Micros;
  std::tm Parts{};
  std::istringstream Input(Text);
  Input >> std::get_time(&Parts, "%Y-%m-%dT%H:%M:%S");
  if (Input.fail())
    return std::nullopt;
  std::int64_t Fraction = 0;
  std::string Suffix;
  std::getline(Input, Suffix);
  if (Suffix.ends_with('Z'))
    Suffix.pop_back();
  if (!Suffix.empty()) {
    if (Suffix.front() != '.' || Suffix.size() > FractionDigits + 1)
      return std::nullopt;
    Suffix.resize(FractionDigits + 1, '0');
    const auto Digits = parseNumber(Suffix.substr(1));
    if (!Digits || *Digits < 0)
      return std::nullopt;
    Fraction = *Digits;
  }
  return static_cast<std::int64_t>(timegm(&Parts)) * MicrosPerSecond + Fraction;
}

std::string formatTime(std::int64_t Micros) {
  const std::time_t Seconds = Micros / MicrosPerSecond;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::ostringstream Out;
  Out << std::put_time(&Parts, "%Y-%m-%dT%H:%M:%S") << "."
      << std::setw(FractionDigits) << std::setfill('0')
      << Micros % MicrosPerSecond;
  return Out.str();
}

std::string processName(const Event &Item) {
  return Item.m_Program + "@" + Item.m_Host;
}

} // namespace sff::timelinetool
