#pragma once

#include "Common/Logging/Log.h"
#include "Net/Peer/Transport.h"
#include "Net/Timers/EventLoop.h"

#include <map>
#include <memory>
#include <string>

namespace sff::peer {

/// A message type that declares its reply type (`Message::Reply`) and its name
/// on the wire (`Message::Name`).
template <typename T>
concept Message = codec::Described<T> && requires {
  typename T::Reply;
  { T::Name } -> std::convertible_to<const char *>;
};

/// Wire format of all messages and replies.
struct Envelope {
  std::string m_Name;
  timeline::HybridTime m_Time;
  nlohmann::json m_Body;

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("name", &Envelope::m_Name),
                           field("hlc", &Envelope::m_Time),
                           field("body", &Envelope::m_Body));
  }
};

/// Serializes a message in an envelope that carries a timestamp of this
/// process's hybrid clock.
template <typename T> Bytes encodeEnvelope(const char *Name, const T &Body) {
  return codec::encode(Envelope{Name, log::clock().tick(), Body});
}

/// Dispatches typed requests to handlers on the thread of one event loop.
/// Thread safety: register all handlers before start().
class Dispatcher {
public:
  explicit Dispatcher(timers::EventLoop &Loop) : m_Loop(Loop) {}

  /// Registers a handler `void(Request, std::function<void(Request::Reply)>)`.
  /// The handler may reply later, from the loop's thread.
  template <Message Request, typename Handler>
  void on(Handler HandlerFunction) {
    m_Handlers[Request::Name] = [HandlerFunction](const nlohmann::json &Body,
                                                  const Reply &SendReply) {
      HandlerFunction(Body.get<Request>(),
                      std::function<void(typename Request::Reply)>(
                          [SendReply](typename Request::Reply ReplyMessage) {
                            SendReply(
                                encodeEnvelope(Request::Name, ReplyMessage));
                          }));
    };
  }

  /// Starts listening. Throws std::runtime_error when the address is in use.
  void start(const std::string &Address, std::size_t MaxConcurrentRequests) {
    m_Server = std::make_unique<RequestServer>(
        Address, MaxConcurrentRequests, [this](Bytes Body, Reply SendReply) {
          m_Loop.tryPost(
              [this, Body = std::move(Body), SendReply = std::move(SendReply)] {
                dispatch(Body, SendReply);
              });
        });
  }

  /// Stops listening. Call it before the loop is destroyed.
  void stop() { m_Server.reset(); }

private:
  void dispatch(ByteView Body, const Reply &SendReply) {
    try {
      const auto ReceivedEnvelope =
          nlohmann::json::from_msgpack(Body.begin(), Body.end())
              .get<Envelope>();
      log::clock().observe(ReceivedEnvelope.m_Time);
      if (auto It = m_Handlers.find(ReceivedEnvelope.m_Name);
          It != m_Handlers.end())
        It->second(ReceivedEnvelope.m_Body, SendReply);
    } catch (const nlohmann::json::exception &Error) {
      log::warning(log::Category::Peer, "peer.malformed_message",
                   {{"detail", Error.what()}});
    }
  }

  timers::EventLoop &m_Loop;
  std::map<std::string, std::function<void(const nlohmann::json &, Reply)>,
           std::less<>>
      m_Handlers;
  std::unique_ptr<RequestServer> m_Server;
};

/// Sends typed requests to one peer and delivers the replies on the given loop.
/// Thread safety: call() from any thread.
class PeerClient {
public:
  PeerClient(timers::EventLoop &Loop, const std::string &Address)
      : m_Loop(Loop), m_Client(Address) {}

  /// Calls \p Done with the reply, or with nullopt on timeout, connection
  /// failure or a malformed reply.
  template <Message Request, typename Callback>
  void call(const Request &Body, milliseconds Timeout, Callback Done) {
    m_Client.send(encodeEnvelope(Request::Name, Body), Timeout,
                  [&Loop = m_Loop, Done](std::optional<Bytes> Result) {
                    Loop.postCompletion([Done, Result = std::move(Result)] {
                      Done(decodeReply<typename Request::Reply>(Result));
                    });
                  });
  }

private:
  template <typename T>
  static std::optional<T> decodeReply(const std::optional<Bytes> &Input) {
    if (!Input)
      return std::nullopt;
    try {
      const auto ReceivedEnvelope =
          nlohmann::json::from_msgpack(Input->begin(), Input->end())
              .get<Envelope>();
      log::clock().observe(ReceivedEnvelope.m_Time);
      return ReceivedEnvelope.m_Body.get<T>();
    } catch (const nlohmann::json::exception &Error) {
      log::warning(log::Category::Peer, "peer.malformed_reply",
                   {{"detail", Error.what()}});
      return std::nullopt;
    }
  }

  timers::EventLoop &m_Loop;
  RequestClient m_Client;
};

} // namespace sff::peer
