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

/// Compares header names case-insensitively, as HTTP requires. Uses no locale,
/// which would dominate the cost. Thread safety: reentrant.
bool equalHeaderNames(std::string_view Left, std::string_view Right);

/// Ordered list of HTTP headers with case-insensitive names.
/// Thread safety: none.
class Headers {
public:
  Headers() = default;
  Headers(std::initializer_list<Header> Items) : m_Items(Items) {}

  /// Replaces the first header of that name, or adds one.
  void set(std::string_view Name, std::string Value);
  /// Appends a header and keeps existing headers of the same name.
  void add(std::string_view Name, std::string Value);
  /// Removes all headers of that name.
  void erase(std::string_view Name);
  /// Returns the first value of \p Name, or nullopt.
  std::optional<std::string> find(std::string_view Name) const;
  /// Returns the first value of \p Name as a view, or an empty view when there
  /// is none. The view is valid until the list changes.
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
  /// A server has not read the body, because the request will be rejected.
  /// Such a request must not be run.
  bool m_BodyUnread = false;

  /// Returns the target without its query string.
  std::string_view path() const;
  /// Returns the value of a query parameter without percent-decoding, or
  /// nullopt when the parameter is missing.
  std::optional<std::string> query(std::string_view Name) const;
};

struct Response {
  int m_Status = 200;
  Headers m_Headers;
  std::string m_Body;
  /// The body has neither a length nor chunks and ends with the connection, so
  /// a recipient cannot tell a complete body from one that was cut off.
  bool m_EndsWithConnection = false;
};

/// Creates a response with a JSON body.
Response makeJsonResponse(int Status, const nlohmann::json &Body);

/// Creates an RFC 9457 problem response. The members of \p Extra are added to
/// the body.
Response makeProblem(int Status, std::string_view Title,
                     std::string_view Detail,
                     nlohmann::json Extra = nlohmann::json::object());

/// Numeric IPv4 address and port.
struct Address {
  std::string m_Host;
  std::uint16_t m_Port = 0;

  /// Parses text of the form "10.0.0.1:8080". Returns nullopt when the port is
  /// missing or invalid. Does not check that the host is a numeric address.
  static std::optional<Address> parse(std::string_view Text);
  std::string str() const;
  friend auto operator<=>(const Address &, const Address &) = default;
};

} // namespace sff::http
