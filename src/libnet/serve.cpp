#include "briarwind/serve.h"

#include "briarwind/catalogue.h"

#include <array>
#include <csignal>

namespace briarwind {

void ServeUntilSignal(fiber_runtime& aRuntime, http_server& aServer, milliseconds aDrainTime,
                      const std::function<void()>& aBeforeDrain)
{
  LogEvent(kProcessListening, { Field("listen", ToString(aServer.Listening())) });
  static constexpr std::array kSignals{ SIGTERM, SIGINT };
  const int signal = aRuntime.WaitForSignal(kSignals);
  LogEvent(kProcessStopping, { Field("signal", signal) });
  if (aBeforeDrain) {
    aBeforeDrain();
  }
  const bool drained = aServer.Drain(monotonic_clock::now() + aDrainTime);
  LogEvent(kProcessStopped, { Field("drained", drained) });
  fiber_runtime::Exit(drained ? 0 : 1);
}

} // namespace briarwind
