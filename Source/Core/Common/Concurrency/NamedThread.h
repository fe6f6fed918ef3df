#pragma once

#include <pthread.h>

#include <functional>
#include <string>
#include <thread>

namespace sff::concurrency {

/// A named thread that runs one function and is joined on destruction.
///
/// Thread safety: construct, join and destroy it from the owning thread.
class NamedThread {
public:
  /// Linux limits thread names to 15 characters; longer names are truncated.
  NamedThread(std::string Name, std::function<void()> Function)
      : m_Thread([Name = std::move(Name), Function = std::move(Function)] {
          constexpr std::size_t MaxThreadNameLength = 15;
          pthread_setname_np(pthread_self(),
                             Name.substr(0, MaxThreadNameLength).c_str());
          Function();
        }) {}

  /// Waits until the function returns. May be called more than once.
  void join() {
    if (m_Thread.joinable())
      m_Thread.join();
  }

  ~NamedThread() { join(); }

  NamedThread(const NamedThread &) = delete;
  NamedThread &operator=(const NamedThread &) = delete;

private:
  std::thread m_Thread;
};

} // namespace sff::concurrency
