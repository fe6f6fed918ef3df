#include "Net/Http/Message.h"
#include "Common/Codec/Text.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <charconv>

namespace sff::http {

bool equalHeaderNames(std::string_view Left, std::string_view Right) {
  return boost::beast::iequals({Left.data(), Left.size()},
                               {Right.data(), Right.size()});
}

void Headers::set(std::string_view Name, std::string Value) {
  for (Header &Item : m_Items)
    if (equalHeaderNames(Item.m_Name, Name)) {
      Item.m_Value = std::move(Value);
      return;
    }
  m_Items.push_back({std::string(Name), std::move(Value)});
}

void Headers::add(std::string_view Name, std::string Value) {
  m_Items.push_back({std::string(Name), std::move(Value)});
}

void Headers::erase(std::string_view Name) {
  std::erase_if(m_Items, [Name](const Header &Item) {
    return equalHeaderNames(Item.m_Name, Name);
  });
}

std::string_view Headers::view(std::string_view Name) const {
  for (const Header &Item : m_Items)
    if (equalHeaderNames(Item.m_Name, Name))
      return Item.m_Value;
  return {};
}

std::optional<std::string> Headers::find(std::string_view Name) const {
  for (const Header &Item : m_Items)
    if (equalHeaderNames(Item.m_Name, Name))
      return Item.m_Value;
  return std::nullopt;
}

std::string_view Request::path() const {
  const std::string_view Target = m_Target;
  return Target.substr(0, Target.find('?'));
}

std::optional<std::string> Request::query(std::string_view Name) const {
  std::string_view Remaining = m_Target;
  const auto QueryStart = Remaining.find('?');
  if (QueryStart == std::string_view::npos)
    return std::nullopt;
  Remaining.remove_prefix(QueryStart + 1);
  while (!Remaining.empty()) {
    const auto End = std::min(Remaining.find('&'), Remaining.size());
    const std::string_view Pair = Remaining.substr(0, End);
    const auto EqualsSign = Pair.find('=');
    if (Pair.substr(0, EqualsSign) == Name)
      return EqualsSign == std::string_view::npos
                 ? std::string()
                 : std::string(Pair.substr(EqualsSign + 1));
    Remaining.remove_prefix(std::min(End + 1, Remaining.size()));
  }
  return std::nullopt;
}

Response makeJsonResponse(int Status, const nlohmann::json &Body) {
  return {
      Status, {{"Content-Type", "application/json"}}, codec::toJsonText(Body)};
}

Response makeProblem(int Status, std::string_view Title,
                     std::string_view Detail, nlohmann::json Extra) {
  Extra["title"] = Title;
  Extra["status"] = Status;
  Extra["detail"] = Detail;
  Response Result = makeJsonResponse(Status, Extra);
  Result.m_Headers.set("Content-Type", "application/problem+json");
  return Result;
}

std::optional<Address> Address::parse(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return std::nullopt;
  const std::string_view Port = Text.substr(Colon + 1);
  Address Result{std::string(Text.substr(0, Colon)), 0};
  const auto [End, Error] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Result.m_Port);
  if (Error != std::errc() || End != Port.data() + Port.size())
    return std::nullopt;
  return Result;
}

std::string Address::str() const {
  return m_Host + ":" + std::to_string(m_Port);
}

} // namespace sff::http
