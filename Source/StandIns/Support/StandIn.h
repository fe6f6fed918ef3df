#pragma once

#include "Common/Process/Program.h"
#include "Net/Http/Server.h"
#include "StandIns/Support/FaultSwitches.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sff::standin {

/// One request to a stand-in.
struct Call {
  Call(http::Request Incoming, http::Exchange &Caller)
      : m_Request(std::move(Incoming)), m_Exchange(Caller) {}

  http::Request m_Request;
  http::Exchange &m_Exchange;
  /// The path segments that the pattern left open.
  std::vector<std::string> m_Captures;

  /// The body as JSON; throws nlohmann::json::exception, which is answered
  /// with 400.
  nlohmann::json json() const;
  /// A query parameter that is a whole number, or \p Default.
  std::int64_t number(std::string_view Name, std::int64_t Default) const;
  /// A header's value, or an empty string.
  std::string header(std::string_view Name) const;
};

/// The answer, or nothing when the handler answered or closed by itself.
using Answer = std::optional<http::Response>;
using Handler = std::function<boost::asio::awaitable<Answer>(Call &)>;

/// Copies the request id and the attempt id of \p Incoming to \p Result.
void echoIds(const Call &Incoming, http::Response &Result);

/// What faults a route shows besides outage, delay and freeze.
enum class RouteKind {
  Control, ///< None.
  Work,    ///< Late and lost answers.
};

/// Common part of all stand-ins: routes, `/livez`, `/faults` and the faults
/// that need no knowledge of the service: outage, delay_ms, freeze ("none",
/// "existing" connections or "all"), lose_answers and late_answer_ms.
/// Thread safety: use from the io_context's thread.
class StandIn {
public:
  /// \p Faults holds the faults that this kind of stand-in has in addition.
  StandIn(boost::asio::io_context &Context, const nlohmann::json &Faults);

  FaultSwitches &faults() { return m_Faults; }
  const FaultSwitches &faults() const { return m_Faults; }
  boost::asio::io_context &context() { return m_Context; }

  /// Adds a route. A segment `{}` of \p Pattern matches any one segment; the
  /// pattern `*` matches all that no earlier route matches. An empty method
  /// matches all methods.
  void route(std::string Method, std::string Pattern, RouteKind Kind,
             Handler Handle);

  /// Starts to serve. Throws boost::system::system_error when the address
  /// cannot be bound.
  void listen(const http::Address &Local) { m_Server.listen(Local); }

  /// Waits while the connection of \p Caller is frozen. Returns false when
  /// the caller has left meanwhile.
  boost::asio::awaitable<bool> waitUntilThawed(http::Exchange &Caller);

private:
  struct Route {
    std::string m_Method;
    std::vector<std::string> m_Segments;
    RouteKind m_Kind;
    Handler m_Handle;
  };

  boost::asio::awaitable<void> serve(http::Request Incoming,
                                     http::Exchange &Caller);
  boost::asio::awaitable<void> serveRoute(const Route &Chosen, Call &Incoming);
  boost::asio::awaitable<Answer> runHandler(const Route &Chosen,
                                            Call &Incoming);
  const Route *match(Call &Incoming) const;
  /// An answer that needs no handler; otherwise sets \p Chosen.
  Answer answerDirectly(Call &Incoming, const Route *&Chosen);
  http::Response answerFaults(const Call &Incoming);
  bool isFrozen(const http::Exchange &Caller) const;

  boost::asio::io_context &m_Context;
  FaultSwitches m_Faults;
  std::vector<Route> m_Routes;
  std::uint64_t m_LastConnection = 0;
  std::uint64_t m_LastFrozenConnection = 0;
  http::Server m_Server;
};

/// Address on which a stand-in listens.
extern const settings::Setting<std::string> ListenSetting;

/// Constructs a service from its options and starts to serve.
template <typename Service, typename... Options>
std::shared_ptr<void> startService(const settings::Settings &Values,
                                   boost::asio::io_context &Context,
                                   Options &&...Chosen) {
  auto Started =
      std::make_shared<Service>(Context, std::forward<Options>(Chosen)...);
  Started->listen(*http::Address::parse(Values.get(ListenSetting)));
  return Started;
}

/// Runs a stand-in as a program: \p Setup adds its routes and returns an
/// object that lives until SIGTERM or SIGINT stops the process.
int runProgram(
    int Count, const char *const *Arguments, const char *Name,
    const char *Description, settings::Schema Schema,
    const std::function<std::shared_ptr<void>(
        const process::Context &, boost::asio::io_context &)> &Setup);

} // namespace sff::standin
