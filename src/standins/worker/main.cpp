#include "briarwind/catalogue.h"
#include "briarwind/options.h"
#include "briarwind/serve.h"
#include "standins/worker/worker_service.h"

#include <chrono>

using namespace briarwind;

namespace {

constexpr milliseconds kAdvanceInterval{ 20 };
constexpr milliseconds kDrainTime{ 2'000 };
constexpr std::int64_t kMaxAcceleratorsOrCores = 1'000'000;
constexpr std::int64_t kMaxMemoryMb = 1'000'000'000;

} // namespace

int main(int aCount, char** aArguments)
{
  endpoint listen{ "127.0.0.1", 0 };
  worker_identity identity{
    "w1", "d1", "r1", { 8, 128, 262'144 }, seconds{ 1 }, milliseconds{ 50 }
  };
  std::int64_t accelerators = identity.mCapacity.mAccelerators;
  std::int64_t cores = identity.mCapacity.mCores;
  option_set options("standin-worker", "Stand-in for a worker, for tests.");
  options.Add("listen", listen, "address to listen on; port 0 picks a free port");
  options.Add("name", identity.mName, "name of the worker");
  options.Add("failure-domain", identity.mFailureDomain, "failure domain of the worker");
  options.Add("rack", identity.mRack, "rack of the worker");
  options.Add("accelerators", accelerators, 0, kMaxAcceleratorsOrCores, "number of accelerators");
  options.Add("cores", cores, 1, kMaxAcceleratorsOrCores, "number of cores");
  options.Add("memory-mb", identity.mCapacity.mMemoryMb, 1, kMaxMemoryMb, "memory in MB");
  options.Add("usage-lag", identity.mUsageLag, milliseconds{ 0 }, minutes{ 10 },
              "age of the reported resource usage");
  options.Add("checkpoint-time", identity.mCheckpointTime, milliseconds{ 0 }, minutes{ 10 },
              "time that writing a checkpoint takes");
  options.AddCatalogue(UtilEvents(), {});
  options.ParseOrExit(aCount, aArguments);
  identity.mCapacity.mAccelerators = static_cast<int>(accelerators);
  identity.mCapacity.mCores = static_cast<int>(cores);
  identity.mIncarnation = std::chrono::system_clock::now().time_since_epoch().count();

  fiber_runtime runtime;
  worker_service service(identity);
  http_server server(runtime, listen,
                     [&](const http_request& aRequest) { return service.Answer(aRequest); });
  runtime.Spawn([&] {
    while (true) {
      SleepFor(kAdvanceInterval);
      service.AdvanceToNow();
    }
  });
  ServeUntilSignal(runtime, server, kDrainTime, [&] { service.Unfreeze(); });
}
