#include "Common/Process/Signals.h"

#include <gtest/gtest.h>

#include <csignal>

namespace sff::process {
namespace {

volatile std::sig_atomic_t HandledSignals = 0;

void countSignal(int) { HandledSignals = HandledSignals + 1; }

// Guards against a signal that ends a process, or gets lost, because it comes
// before the process has set its handler.
TEST(SignalsTest, SignalWaitsForItsHandler) {
  holdSignal(SIGHUP);
  std::raise(SIGHUP);
  const auto Before = std::signal(SIGHUP, countSignal);
  EXPECT_EQ(HandledSignals, 0);
  releaseSignal(SIGHUP);
  EXPECT_EQ(HandledSignals, 1);
  std::signal(SIGHUP, Before);
}

} // namespace
} // namespace sff::process
