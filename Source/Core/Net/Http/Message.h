#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sff::http {

struct Header {
  std::string m_Name;
  std::string m_Value;
};

/// Compares header names as HTTP does, without a locale, which would dominate
/// the cost. Thread safety: reentrant.
bool sameName(std::string_view Left, std::string_view Right);

/// Header list; names compare without regard to case.
/// Thread safety: none.
class Headers {
public:
  Headers() = default;
  Headers(std::initializer_list<Header> Items) : m_Items(Items) {}

  /// Replaces or adds a header.
  void set(std::string_view Name, std::string Value);
  /// Appends a header; earlier ones of that name stay.
  void add(std::string_view Name, std::string Value);
  /// Removes all headers of that name.
  void erase(std::string_view Name);
  /// Returns the first value of \p Name.
  std::optional<std::string> find(std::string_view Name) const;
  /// The same as a view, which is valid until the list changes; empty when
  /// there is none.
  std::string_view view(std::string_view Name) const;
  const std::vector<Header> &items() const { return m_Items; }

private:
  std::vector<Header> m_Items;
};

struct Request {
  std::string m_Method = "GET";
  std::string m_Target = "/";
  Headers m_Headers;
  std::string m_Body;

  /// The target without its query.
  std::string_view path() const;
  /// The value of a query parameter, not percent-decoded.
  std::optional<std::string> query(std::string_view Name) const;
};

struct Response {
  int m_Status = 200;
  Headers m_Headers;
  std::string m_Body;
};

/// A response with a JSON body.
Response makeJson(int Status, const nlohmann::json &Body);

/// An RFC 9457 problem response. \p Extra members are added to the body.
Response makeProblem(int Status, std::string_view Title,
                     std::string_view Detail,
                     nlohmann::json Extra = nlohmann::json::object());

/// Numeric IPv4 address and port.
struct Address {
  std::string m_Host;
  std::uint16_t m_Port = 0;

  /// Parses "10.0.0.1:8080". Returns nothing for any other form.
  static std::optional<Address> parse(std::string_view Text);
  std::string str() const;
  friend auto operator<=>(const Address &, const Address &) = default;
};

} // namespace sff::http
