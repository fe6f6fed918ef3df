#pragma once

#include <csignal>

namespace sff::timers {

/// Blocks SIGTERM and SIGINT for the whole process and waits for one of them.
/// Precondition: constructed before any other thread starts, so that all
/// threads inherit the mask. Thread safety: wait() from one thread.
class StopSignal {
public:
  StopSignal() {
    sigemptyset(&m_Signals);
    sigaddset(&m_Signals, SIGTERM);
    sigaddset(&m_Signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &m_Signals, nullptr);
  }

  /// Returns when the process is asked to stop.
  void wait() {
    int Received = 0;
    sigwait(&m_Signals, &Received);
  }

private:
  sigset_t m_Signals;
};

} // namespace sff::timers
