#pragma once

#include "Common/Concurrency/BoundedQueue.h"
#include "Common/Concurrency/NamedThread.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <string>

namespace sff::timers {

/// One duty thread that runs an io_context and takes work from other duties
/// through a bounded ring.
class DutyLoop {
public:
  using Task = std::function<void()>;

  DutyLoop(std::string Name, std::size_t RingCapacity)
      : m_Ring(RingCapacity), m_Work(m_Context.get_executor()),
        m_Thread(std::move(Name), [this] { m_Context.run(); }) {}

  ~DutyLoop() { stop(); }

  /// Queues \p Work for this thread. Returns false when the ring is full, in
  /// which case the caller has to refuse or drop the work visibly.
  /// Thread safety: any thread.
  bool tryPost(Task Work) {
    if (!m_Ring.tryPush(std::move(Work)))
      return false;
    boost::asio::post(m_Context, [this] {
      if (auto Next = m_Ring.tryPop())
        (*Next)();
    });
    return true;
  }

  /// Queues the completion of an operation that this loop has started. It is
  /// never rejected, because a lost completion would leave the operation open
  /// for ever; the loop bounds the number of its operations itself.
  /// Thread safety: any thread.
  void postCompletion(Task Work) {
    boost::asio::post(m_Context, std::move(Work));
  }

  boost::asio::io_context &context() { return m_Context; }

  /// Stops the loop and waits for its thread. Thread safety: not from the
  /// loop's own thread.
  void stop() {
    m_Work.reset();
    m_Context.stop();
    m_Thread.join();
  }

private:
  concurrency::BoundedQueue<Task> m_Ring;
  boost::asio::io_context m_Context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_Work;
  concurrency::NamedThread m_Thread;
};

} // namespace sff::timers
