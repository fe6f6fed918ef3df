#pragma once

namespace sff::process {

/// Keeps \p Signal pending instead of letting it take effect, for a program
/// that has not set its handler yet. Applies to the calling thread and to the
/// threads that it starts; call it before the first of them.
void holdSignal(int Signal);
/// Delivers \p Signal to the calling thread from now on, also if it came
/// before.
void releaseSignal(int Signal);

} // namespace sff::process
