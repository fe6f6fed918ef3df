#pragma once

#include <csignal>

namespace sff::timers {

/// Blocks SIGTERM and SIGINT for the whole process and waits for one of them.
/// Precondition: constructed before any other thread starts, so that all
/// threads inherit the signal mask. Thread safety: wait() from one thread.
class ShutdownSignal {
public:
  ShutdownSignal() {
    sigemptyset(&m_SignalSet);
    sigaddset(&m_SignalSet, SIGTERM);
    sigaddset(&m_SignalSet, SIGINT);
    pthread_sigmask(SIG_BLOCK, &m_SignalSet, nullptr);
  }

  /// Blocks until the process receives SIGTERM or SIGINT.
  void wait() {
    int ReceivedSignal = 0;
    sigwait(&m_SignalSet, &ReceivedSignal);
  }

private:
  sigset_t m_SignalSet;
};

} // namespace sff::timers
