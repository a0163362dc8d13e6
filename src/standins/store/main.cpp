#include "briarwind/catalogue.h"
#include "briarwind/options.h"
#include "briarwind/serve.h"
#include "standins/store/store_service.h"

using namespace briarwind;

namespace {

constexpr milliseconds kTick{ 50 };
constexpr milliseconds kDrainTime{ 5'000 };
constexpr std::size_t kMaxBodyBytes = std::size_t{ 4 } << 20U;

} // namespace

int main(int aCount, char** aArguments)
{
  endpoint listen{ "127.0.0.1", 0 };
  milliseconds progress{ 1'000 };
  option_set options("standin-store", "Takes the place of the platform's store in tests.");
  options.Add("listen", listen, "Address to take connections at; port 0 is any free port.");
  options.Add("progress", progress, milliseconds{ 10 }, minutes{ 10 },
              "Time between two lines of a watch without changes.");
  options.AddCatalogue(UtilEvents(), {});
  options.ParseOrExit(aCount, aArguments);

  fiber_runtime runtime;
  store_service service(progress);
  http_server_limits limits;
  limits.mBodyBytes = kMaxBodyBytes;
  http_server server(
    runtime, listen, [&](const http_request& aRequest) { return service.Answer(aRequest); },
    limits);
  runtime.Spawn([&] {
    while (true) {
      SleepFor(kTick);
      service.Tick();
    }
  });
  ServeUntilSignal(runtime, server, kDrainTime, [&] { service.Stop(); });
}
