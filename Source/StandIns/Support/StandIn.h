#pragma once

#include "Common/Process/Program.h"
#include "Net/Http/Server.h"
#include "StandIns/Support/InjectedFaults.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sff::standin {

/// One request to a stand-in and the exchange to respond through.
struct RequestContext {
  RequestContext(http::Request Incoming, http::Exchange &Caller)
      : m_Request(std::move(Incoming)), m_Exchange(Caller) {}

  http::Request m_Request;
  http::Exchange &m_Exchange;
  /// The path segments that matched `{}`, in order.
  std::vector<std::string> m_PathParameters;

  /// The body as JSON. Throws nlohmann::json::exception if the body is
  /// malformed; StandIn maps the exception to a 400 response.
  nlohmann::json json() const;
  /// An integer query parameter, or \p Default if it is absent or malformed.
  std::int64_t number(std::string_view Name, std::int64_t Default) const;
  /// The value of a header, or an empty string if it is absent.
  std::string header(std::string_view Name) const;
};

/// The response, or nothing if the handler has already responded or closed the
/// connection.
using HandlerResult = std::optional<http::Response>;
using Handler =
    std::function<boost::asio::awaitable<HandlerResult>(RequestContext &)>;

/// Copies the request and attempt ids of \p Incoming to the response headers.
void copyRequestIds(const RequestContext &Incoming, http::Response &Result);

/// Which faults apply to a route in addition to outage, delay_ms and freeze.
enum class ResponseFaults {
  None,    ///< None.
  Enabled, ///< Also late_answer_ms and lose_answers.
};

/// Common base of all stand-ins: routing, `/livez`, `/faults` and the faults
/// that do not depend on the service:
/// - outage: responds with 503 to everything except `/faults`;
/// - delay_ms: delay before the handler runs;
/// - freeze: "none", "existing" (no response on connections that were open when
///   the faults were last set) or "all";
/// - late_answer_ms: delay of the response after the handler has run;
/// - lose_answers: closes the connection in place of responding.
/// Thread safety: use from the io_context's thread.
class StandIn {
public:
  /// \p Faults contains the additional faults of this kind of stand-in.
  StandIn(boost::asio::io_context &Context, const nlohmann::json &Faults);

  InjectedFaults &faults() { return m_Faults; }
  const InjectedFaults &faults() const { return m_Faults; }
  boost::asio::io_context &context() { return m_Context; }

  /// Adds a route. A segment `{}` of \p Pattern matches any single segment; the
  /// pattern `*` matches every path that no earlier route matches. An empty
  /// method matches all methods.
  void route(std::string Method, std::string Pattern, ResponseFaults Kind,
             Handler Handle);

  /// Starts serving. Throws boost::system::system_error if the address cannot
  /// be bound.
  void listen(const http::Address &Local) { m_Server.listen(Local); }

  /// Waits while the connection of \p Caller is frozen. Returns false if the
  /// caller has disconnected.
  boost::asio::awaitable<bool> waitWhileFrozen(http::Exchange &Caller);

private:
  struct Route {
    std::string m_Method;
    std::vector<std::string> m_Segments;
    ResponseFaults m_Kind;
    Handler m_Handle;
  };

  boost::asio::awaitable<void> serve(http::Request Incoming,
                                     http::Exchange &Caller);
  boost::asio::awaitable<void> serveRoute(const Route &Matched,
                                          RequestContext &Incoming);
  boost::asio::awaitable<HandlerResult> runHandler(const Route &Matched,
                                                   RequestContext &Incoming);
  const Route *findRoute(RequestContext &Incoming) const;
  /// Sets \p Matched to the matching route, or returns the response to
  /// `/faults`, during an outage or to an unknown path.
  HandlerResult selectRoute(RequestContext &Incoming, const Route *&Matched);
  http::Response handleFaults(const RequestContext &Incoming);
  bool isFrozen(const http::Exchange &Caller) const;

  boost::asio::io_context &m_Context;
  InjectedFaults m_Faults;
  std::vector<Route> m_Routes;
  std::uint64_t m_LastConnection = 0;
  std::uint64_t m_LastFrozenConnection = 0;
  http::Server m_Server;
};

/// Address on which the stand-in listens.
extern const settings::Setting<std::string> ListenSetting;

/// Constructs a service from its options and starts serving on the address in
/// ListenSetting.
template <typename Service, typename... Options>
std::shared_ptr<void> startService(const settings::Settings &Values,
                                   boost::asio::io_context &Context,
                                   Options &&...Arguments) {
  auto Started =
      std::make_shared<Service>(Context, std::forward<Options>(Arguments)...);
  Started->listen(*http::Address::parse(Values.get(ListenSetting)));
  return Started;
}

/// Runs a stand-in as a program. \p Setup creates the service; the returned
/// object is kept alive until SIGTERM or SIGINT stops the process. Returns the
/// exit code of the process.
int runProgram(
    int Count, const char *const *Arguments, const char *Name,
    const char *Description, settings::Schema Schema,
    const std::function<std::shared_ptr<void>(
        const process::Context &, boost::asio::io_context &)> &Setup);

} // namespace sff::standin
