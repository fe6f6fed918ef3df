#include "Net/Peer/Transport.h"

#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <stdexcept>
#include <vector>

namespace sff::peer {

namespace {

constexpr nng_duration ReconnectMinMs = 50;
constexpr nng_duration ReconnectMaxMs = 500;

void throwOnError(int Code, const char *Description) {
  if (Code != 0)
    throw std::runtime_error(std::string(Description) + ": " +
                             nng_strerror(Code));
}

nng_msg *makeMessage(ByteView Data) {
  nng_msg *Message = nullptr;
  throwOnError(nng_msg_alloc(&Message, 0), "nng_msg_alloc");
  throwOnError(nng_msg_append(Message, Data.data(), Data.size()),
               "nng_msg_append");
  return Message;
}

Bytes extractBody(nng_msg *Message) {
  const auto *Begin = static_cast<const std::uint8_t *>(nng_msg_body(Message));
  Bytes Result(Begin, Begin + nng_msg_len(Message));
  nng_msg_free(Message);
  return Result;
}

} // namespace

class RequestServer::Impl {
public:
  Impl(const std::string &Address, std::size_t MaxConcurrentRequests,
       Handler RequestHandler)
      : m_SharedState(std::make_shared<SharedState>()) {
    m_SharedState->m_RequestHandler = std::move(RequestHandler);
    throwOnError(nng_rep0_open(&m_SharedState->m_Socket), "nng_rep0_open");
    try {
      throwOnError(nng_listen(m_SharedState->m_Socket,
                              ("tcp://" + Address).c_str(), nullptr, 0),
                   Address.c_str());
    } catch (...) {
      nng_close(m_SharedState->m_Socket);
      throw;
    }
    for (std::size_t Index = 0; Index < MaxConcurrentRequests; ++Index)
      m_Workers.push_back(std::make_shared<Worker>(m_SharedState));
    for (const auto &Item : m_Workers)
      Item->receive();
  }

  ~Impl() {
    m_SharedState->m_Closed = true;
    for (const auto &Item : m_Workers)
      Item->stop();
    nng_close(m_SharedState->m_Socket);
  }

private:
  struct SharedState {
    nng_socket m_Socket = NNG_SOCKET_INITIALIZER;
    Handler m_RequestHandler;
    std::atomic<bool> m_Closed{false};
  };

  /// An nng context that handles one request at a time.
  class Worker : public std::enable_shared_from_this<Worker> {
  public:
    explicit Worker(std::shared_ptr<SharedState> State)
        : m_State(std::move(State)) {
      throwOnError(nng_ctx_open(&m_Context, m_State->m_Socket), "nng_ctx_open");
      throwOnError(nng_aio_alloc(&m_Aio, &Worker::onComplete, this),
                   "nng_aio_alloc");
    }
    ~Worker() { nng_aio_free(m_Aio); }

    void receive() {
      m_Sending = false;
      nng_ctx_recv(m_Context, m_Aio);
    }

    void stop() { nng_aio_stop(m_Aio); }

  private:
    static void onComplete(void *Argument) {
      static_cast<Worker *>(Argument)->complete();
    }

    void complete() {
      if (m_State->m_Closed)
        return;
      if (const int Code = nng_aio_result(m_Aio); Code != 0) {
        if (m_Sending)
          nng_msg_free(nng_aio_get_msg(m_Aio));
        if (Code != NNG_ECLOSED && Code != NNG_ECANCELED)
          receive();
        return;
      }
      if (m_Sending) {
        receive();
        return;
      }
      Bytes Body = extractBody(nng_aio_get_msg(m_Aio));
      m_State->m_RequestHandler(std::move(Body), makeReply());
    }

    /// Creates the reply function of the current request. If it is destroyed
    /// unused, the context goes back to receiving.
    Reply makeReply() {
      struct PendingReply {
        std::weak_ptr<Worker> m_Worker;
        std::atomic<bool> m_Sent{false};
        ~PendingReply() {
          if (auto LockedWorker = m_Worker.lock(); LockedWorker && !m_Sent)
            LockedWorker->receive();
        }
      };
      auto State = std::make_shared<PendingReply>();
      State->m_Worker = weak_from_this();
      return [State](Bytes Body) {
        auto LockedWorker = State->m_Worker.lock();
        if (!LockedWorker || State->m_Sent.exchange(true))
          return;
        LockedWorker->send(Body);
      };
    }

    void send(ByteView Body) {
      if (m_State->m_Closed)
        return;
      m_Sending = true;
      nng_aio_set_msg(m_Aio, makeMessage(Body));
      nng_ctx_send(m_Context, m_Aio);
    }

    std::shared_ptr<SharedState> m_State;
    nng_ctx m_Context = NNG_CTX_INITIALIZER;
    nng_aio *m_Aio = nullptr;
    bool m_Sending = false;
  };

  std::shared_ptr<SharedState> m_SharedState;
  std::vector<std::shared_ptr<Worker>> m_Workers;
};

RequestServer::RequestServer(const std::string &Address,
                             std::size_t MaxConcurrentRequests,
                             Handler RequestHandler)
    : m_Impl(std::make_unique<Impl>(Address, MaxConcurrentRequests,
                                    std::move(RequestHandler))) {}
RequestServer::~RequestServer() = default;

namespace {

/// Pending nng operations of one client.
class PendingOperations {
public:
  void add(nng_aio *Operation) {
    std::lock_guard Lock(m_Mutex);
    m_Operations.insert(Operation);
  }

  /// Must be called before the operation is freed.
  void remove(nng_aio *Operation) {
    std::lock_guard Lock(m_Mutex);
    m_Operations.erase(Operation);
    if (m_Operations.empty())
      m_Empty.notify_all();
  }

  /// Cancels all operations and waits until the last one is removed. Cancels
  /// repeatedly, because a request may pass from sending to receiving between
  /// two attempts.
  void cancelAll() {
    std::unique_lock Lock(m_Mutex);
    while (!m_Operations.empty()) {
      for (nng_aio *Operation : m_Operations)
        nng_aio_cancel(Operation);
      m_Empty.wait_for(Lock, CancelRetryInterval);
    }
  }

private:
  static constexpr milliseconds CancelRetryInterval{2};

  std::mutex m_Mutex;
  std::condition_variable m_Empty;
  std::set<nng_aio *> m_Operations;
};

} // namespace

namespace {

nng_socket openSocket(const std::string &Address) {
  nng_socket Socket = NNG_SOCKET_INITIALIZER;
  throwOnError(nng_req0_open(&Socket), "nng_req0_open");
  // The calling code decides about retries; nng only resends after a reconnect.
  nng_socket_set_ms(Socket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
  nng_socket_set_ms(Socket, NNG_OPT_RECONNMINT, ReconnectMinMs);
  nng_socket_set_ms(Socket, NNG_OPT_RECONNMAXT, ReconnectMaxMs);
  nng_dial(Socket, ("tcp://" + Address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
  return Socket;
}

/// Returns the socket for an address, which all clients of that address share.
/// Sockets are never closed: nng 1.5 may crash or hang in nng_close while other
/// threads still free the contexts of the socket's last requests.
nng_socket sharedSocket(const std::string &Address) {
  static auto *Mutex = new std::mutex;
  static auto *Sockets = new std::map<std::string, nng_socket>;
  std::lock_guard Lock(*Mutex);
  const auto Existing = Sockets->find(Address);
  if (Existing != Sockets->end())
    return Existing->second;
  return Sockets->emplace(Address, openSocket(Address)).first->second;
}

} // namespace

class RequestClient::Impl {
public:
  explicit Impl(const std::string &Address) : m_Socket(sharedSocket(Address)) {}
  ~Impl() { m_Pending->cancelAll(); }

  void send(Bytes Message, milliseconds Timeout, Callback Done) {
    auto *Call = new PendingCall;
    Call->m_Done = std::move(Done);
    Call->m_Pending = m_Pending;
    Call->m_Deadline = std::chrono::steady_clock::now() + Timeout;
    if (nng_ctx_open(&Call->m_Context, m_Socket) != 0 ||
        nng_aio_alloc(&Call->m_Aio, &PendingCall::onComplete, Call) != 0) {
      Call->m_Done(std::nullopt);
      delete Call;
      return;
    }
    m_Pending->add(Call->m_Aio);
    nng_aio_set_timeout(Call->m_Aio,
                        static_cast<nng_duration>(Timeout.count()));
    nng_aio_set_msg(Call->m_Aio, makeMessage(Message));
    nng_ctx_send(Call->m_Context, Call->m_Aio);
  }

private:
  /// A request in progress. Deletes itself on completion.
  struct PendingCall {
    nng_ctx m_Context = NNG_CTX_INITIALIZER;
    nng_aio *m_Aio = nullptr;
    bool m_Receiving = false;
    Callback m_Done;
    std::shared_ptr<PendingOperations> m_Pending;
    Instant m_Deadline;

    static void onComplete(void *Argument) {
      auto *Call = static_cast<PendingCall *>(Argument);
      if (const int Code = nng_aio_result(Call->m_Aio); Code != 0) {
        if (!Call->m_Receiving)
          nng_msg_free(nng_aio_get_msg(Call->m_Aio));
        Call->finish(std::nullopt);
        return;
      }
      if (Call->m_Receiving) {
        Call->finish(extractBody(nng_aio_get_msg(Call->m_Aio)));
        return;
      }
      Call->m_Receiving = true;
      const auto RemainingMs = std::max<std::int64_t>(
          1, toMilliseconds(Call->m_Deadline - std::chrono::steady_clock::now())
                 .count());
      nng_aio_set_timeout(Call->m_Aio, static_cast<nng_duration>(RemainingMs));
      nng_ctx_recv(Call->m_Context, Call->m_Aio);
    }

    void finish(std::optional<Bytes> Result) {
      m_Done(std::move(Result));
      m_Done = nullptr;
      nng_ctx_close(m_Context);
      m_Pending->remove(m_Aio);
      // nng_aio_reap frees the operation outside of this callback.
      nng_aio_reap(m_Aio);
      delete this;
    }
  };

  nng_socket m_Socket;
  std::shared_ptr<PendingOperations> m_Pending =
      std::make_shared<PendingOperations>();
};

RequestClient::RequestClient(const std::string &Address)
    : m_Impl(std::make_shared<Impl>(Address)) {}
RequestClient::~RequestClient() = default;

void RequestClient::send(Bytes Message, milliseconds Timeout, Callback Done) {
  m_Impl->send(std::move(Message), Timeout, std::move(Done));
}

} // namespace sff::peer
