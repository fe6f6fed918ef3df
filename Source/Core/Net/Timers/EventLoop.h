#pragma once

#include "Common/Concurrency/BoundedQueue.h"
#include "Common/Concurrency/NamedThread.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <string>

namespace sff::timers {

/// Event loop: a thread that runs an io_context and receives tasks from other
/// threads through a bounded queue.
class EventLoop {
public:
  using Task = std::function<void()>;

  EventLoop(std::string Name, std::size_t QueueCapacity)
      : m_Queue(QueueCapacity), m_WorkGuard(m_Context.get_executor()),
        m_Thread(std::move(Name), [this] { m_Context.run(); }) {}

  ~EventLoop() { stop(); }

  /// Queues \p Work for the loop's thread. Returns false when the queue is
  /// full; the calling code must then reject the work or report that it was
  /// dropped. Thread safety: any thread.
  bool tryPost(Task Work) {
    if (!m_Queue.tryPush(std::move(Work)))
      return false;
    boost::asio::post(m_Context, [this] {
      if (auto NextTask = m_Queue.tryPop())
        (*NextTask)();
    });
    return true;
  }

  /// Queues the completion of an operation that was started on this loop.
  /// Completions are never rejected, because an operation that loses its
  /// completion never finishes. Code on the loop must limit the number of
  /// concurrent operations itself. Thread safety: any thread.
  void postCompletion(Task Work) {
    boost::asio::post(m_Context, std::move(Work));
  }

  boost::asio::io_context &context() { return m_Context; }

  /// Stops the loop and joins its thread. Thread safety: must not be called
  /// from the loop's own thread.
  void stop() {
    m_WorkGuard.reset();
    m_Context.stop();
    m_Thread.join();
  }

private:
  concurrency::BoundedQueue<Task> m_Queue;
  boost::asio::io_context m_Context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_WorkGuard;
  concurrency::NamedThread m_Thread;
};

} // namespace sff::timers
