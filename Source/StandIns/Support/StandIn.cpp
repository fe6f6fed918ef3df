#include "StandIns/Support/StandIn.h"

#include "StandIns/Support/RateLimiter.h"

#include <boost/asio/signal_set.hpp>

#include <charconv>
#include <csignal>

namespace sff::standin {

namespace asio = boost::asio;

namespace {

constexpr milliseconds FreezePollPeriod{20};

std::vector<std::string> splitPath(std::string_view Path) {
  std::vector<std::string> Segments;
  while (!Path.empty()) {
    Path.remove_prefix(1);
    const std::size_t End = std::min(Path.find('/'), Path.size());
    Segments.emplace_back(Path.substr(0, End));
    Path.remove_prefix(End);
  }
  return Segments;
}

std::optional<std::vector<std::string>>
matchSegments(const std::vector<std::string> &Pattern,
              const std::vector<std::string> &Path) {
  if (Pattern.size() != Path.size())
    return std::nullopt;
  std::vector<std::string> Captures;
  for (std::size_t Index = 0; Index < Path.size(); ++Index) {
    if (Pattern[Index] == "{}")
      Captures.push_back(Path[Index]);
    else if (Pattern[Index] != Path[Index])
      return std::nullopt;
  }
  return Captures;
}

nlohmann::json addCommonFaults(nlohmann::json Faults) {
  Faults["outage"] = false;
  Faults["delay_ms"] = 0;
  Faults["freeze"] = "none";
  Faults["lose_answers"] = false;
  Faults["late_answer_ms"] = 0;
  return Faults;
}

milliseconds readDelay(const InjectedFaults &Faults, std::string_view Name) {
  return milliseconds(Faults.get<std::int64_t>(Name));
}

/// Closes the connection without sending the response.
HandlerResult abortConnection(RequestContext &Incoming) {
  Incoming.m_Exchange.abort();
  return std::nullopt;
}

} // namespace

nlohmann::json RequestContext::json() const {
  return nlohmann::json::parse(m_Request.m_Body);
}

std::int64_t RequestContext::number(std::string_view Name,
                                    std::int64_t Default) const {
  const auto Text = m_Request.query(Name);
  std::int64_t Value = Default;
  if (Text)
    std::from_chars(Text->data(), Text->data() + Text->size(), Value);
  return Value;
}

std::string RequestContext::header(std::string_view Name) const {
  return m_Request.m_Headers.find(Name).value_or("");
}

void copyRequestIds(const RequestContext &Incoming, http::Response &Result) {
  for (const char *Name : {"X-Request-Id", "X-Attempt-Id"})
    if (const auto Value = Incoming.m_Request.m_Headers.find(Name))
      Result.m_Headers.set(Name, *Value);
}

StandIn::StandIn(asio::io_context &Context, const nlohmann::json &Faults)
    : m_Context(Context), m_Faults(addCommonFaults(Faults)),
      m_Server(Context, {}, [this](http::Request Incoming, auto &Caller) {
        return serve(std::move(Incoming), Caller);
      }) {
  route("GET", "/livez", ResponseFaults::None,
        [](RequestContext &) -> asio::awaitable<HandlerResult> {
          co_return http::Response{200, {}, "ok\n"};
        });
}

void StandIn::route(std::string Method, std::string Pattern,
                    ResponseFaults Kind, Handler Handle) {
  std::vector<std::string> Segments{Pattern};
  if (Pattern != "*")
    Segments = splitPath(Pattern);
  m_Routes.push_back(
      {std::move(Method), std::move(Segments), Kind, std::move(Handle)});
}

const StandIn::Route *StandIn::findRoute(RequestContext &Incoming) const {
  const auto Path = splitPath(Incoming.m_Request.path());
  for (const Route &Item : m_Routes) {
    if (!Item.m_Method.empty() && Item.m_Method != Incoming.m_Request.m_Method)
      continue;
    if (Item.m_Segments.front() == "*")
      return &Item;
    if (auto Captures = matchSegments(Item.m_Segments, Path)) {
      Incoming.m_PathParameters = std::move(*Captures);
      return &Item;
    }
  }
  return nullptr;
}

http::Response StandIn::handleFaults(const RequestContext &Incoming) {
  const std::string &Method = Incoming.m_Request.m_Method;
  if (Method == "DELETE")
    m_Faults.reset();
  if (Method == "POST") {
    const auto Change =
        nlohmann::json::parse(Incoming.m_Request.m_Body, nullptr, false);
    if (const auto Problem = m_Faults.update(Change))
      return http::makeProblem(400, "Bad Request", *Problem);
    m_LastFrozenConnection = m_LastConnection;
  }
  return http::makeJsonResponse(200, m_Faults.values());
}

bool StandIn::isFrozen(const http::Exchange &Caller) const {
  const auto Mode = m_Faults.get<std::string>("freeze");
  if (Mode == "existing")
    return Caller.connectionNumber() <= m_LastFrozenConnection;
  return Mode == "all";
}

asio::awaitable<bool> StandIn::waitWhileFrozen(http::Exchange &Caller) {
  while (isFrozen(Caller) && !Caller.isCallerDisconnected())
    co_await sleepFor(FreezePollPeriod);
  co_return !Caller.isCallerDisconnected();
}

HandlerResult StandIn::selectRoute(RequestContext &Incoming,
                                   const Route *&Matched) {
  if (Incoming.m_Request.path() == "/faults")
    return handleFaults(Incoming);
  if (m_Faults.isActive("outage"))
    return http::makeProblem(503, "Service Unavailable", "outage");
  Matched = findRoute(Incoming);
  if (!Matched)
    return http::makeProblem(404, "Not Found", "no such path");
  return std::nullopt;
}

asio::awaitable<void> StandIn::serve(http::Request Incoming,
                                     http::Exchange &Caller) {
  m_LastConnection = std::max(m_LastConnection, Caller.connectionNumber());
  RequestContext Current(std::move(Incoming), Caller);
  const Route *Matched = nullptr;
  HandlerResult Direct = selectRoute(Current, Matched);
  if (Direct)
    co_await Caller.respond(std::move(*Direct));
  else
    co_await serveRoute(*Matched, Current);
}

asio::awaitable<HandlerResult> StandIn::runHandler(const Route &Matched,
                                                   RequestContext &Incoming) {
  HandlerResult Result;
  try {
    Result = co_await Matched.m_Handle(Incoming);
  } catch (const nlohmann::json::exception &Error) {
    Result = http::makeProblem(400, "Bad Request", Error.what());
  }
  if (!Result || Matched.m_Kind == ResponseFaults::None)
    co_return Result;
  co_await sleepFor(readDelay(m_Faults, "late_answer_ms"));
  if (m_Faults.consume("lose_answers"))
    co_return abortConnection(Incoming);
  co_return Result;
}

asio::awaitable<void> StandIn::serveRoute(const Route &Matched,
                                          RequestContext &Incoming) {
  co_await sleepFor(readDelay(m_Faults, "delay_ms"));
  bool Connected = co_await waitWhileFrozen(Incoming.m_Exchange);
  if (!Connected)
    co_return;
  HandlerResult Result = co_await runHandler(Matched, Incoming);
  if (!Result)
    co_return;
  Connected = co_await waitWhileFrozen(Incoming.m_Exchange);
  if (Connected)
    co_await Incoming.m_Exchange.respond(std::move(*Result));
}

const settings::Setting<std::string> ListenSetting{
    .m_Section = "http",
    .m_Key = "listen",
    .m_Default = "",
    .m_Unit = "",
    .m_Range = {},
    .m_Doc = "Address on which the stand-in listens.",
    .m_TextKind = settings::TextKind::Address,
    .m_Required = true};

int runProgram(int Count, const char *const *Arguments, const char *Name,
               const char *Description, settings::Schema Schema,
               const std::function<std::shared_ptr<void>(
                   const process::Context &, asio::io_context &)> &Setup) {
  process::addCommonSettings(Schema);
  Schema.add(ListenSetting);
  return process::run(
      Count, Arguments, Name, Description, Schema,
      [&Setup](const process::Context &Started) {
        asio::io_context Context{1};
        asio::signal_set Signals(Context, SIGTERM, SIGINT);
        Signals.async_wait([&Context](auto, int) { Context.stop(); });
        try {
          const std::shared_ptr<void> Service = Setup(Started, Context);
          Context.run();
        } catch (const std::exception &Error) {
          log::error(log::Category::Process, "process.failed",
                     {{"detail", Error.what()}});
          return process::ExitCode::Failure;
        }
        return process::ExitCode::Success;
      });
}

} // namespace sff::standin
