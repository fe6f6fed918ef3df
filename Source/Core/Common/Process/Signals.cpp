#include "Common/Process/Signals.h"

#include <csignal>

namespace sff::process {

namespace {

void changeMask(int How, int Signal) {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, Signal);
  pthread_sigmask(How, &Signals, nullptr);
}

} // namespace

void holdSignal(int Signal) { changeMask(SIG_BLOCK, Signal); }

void releaseSignal(int Signal) { changeMask(SIG_UNBLOCK, Signal); }

} // namespace sff::process
