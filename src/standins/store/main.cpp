#include "briarwind/catalogue.h"
#include "briarwind/options.h"
#include "briarwind/serve.h"
#include "standins/store/store_service.h"

using namespace briarwind;

namespace {

constexpr milliseconds kExpiryInterval{ 50 };
constexpr milliseconds kDrainTime{ 5'000 };
constexpr std::size_t kMaxBodyBytes = std::size_t{ 4 } << 20U;

} // namespace

int main(int aCount, char** aArguments)
{
  endpoint listen{ "127.0.0.1", 0 };
  milliseconds progressInterval{ 1'000 };
  option_set options("standin-store", "Stand-in for the platform's key-value store, for tests.");
  options.Add("listen", listen, "address to listen on; port 0 picks a free port");
  options.Add("progress", progressInterval, milliseconds{ 10 }, minutes{ 10 },
              "interval at which a watch without changes writes a line");
  options.AddCatalogue(UtilEvents(), {});
  options.ParseOrExit(aCount, aArguments);

  fiber_runtime runtime;
  store_service service(progressInterval);
  http_server_limits limits;
  limits.mBodyBytes = kMaxBodyBytes;
  http_server server(
    runtime, listen, [&](const http_request& aRequest) { return service.Answer(aRequest); },
    limits);
  runtime.Spawn([&] {
    while (true) {
      SleepFor(kExpiryInterval);
      service.ExpireLeases();
    }
  });
  ServeUntilSignal(runtime, server, kDrainTime, [&] { service.EndWatches(); });
}
