#pragma once

#include "briarwind/error.h"
#include "briarwind/work_core.h"

#include <string>
#include <vector>

namespace briarwind {

/// Sends orders and polls to workers. Every call may suspend the fiber. Each call carries the
/// fencing epoch of the leader; a worker rejects calls with an epoch lower than the highest it has
/// seen.
class worker_gateway
{
public:
  virtual ~worker_gateway() = default;

  /// Starts a run and extends the leases of all runs on that worker.
  /// @param aLeaseUntil end of the leases, on the worker's clock; the worker refuses a start that
  ///        arrives later
  virtual start_outcome Start(const std::string& aAddress, const start_run& aOrder,
                              std::int64_t aEpoch, milliseconds aLeaseUntil, instant aDeadline) = 0;
  /// Orders the worker to stop a run. The run has ended only when a poll reports its end.
  virtual stop_outcome Stop(const std::string& aAddress, const stop_run& aOrder,
                            std::int64_t aEpoch, instant aDeadline) = 0;
  /// Sets the share of its pace at which a run goes.
  virtual pace_outcome Pace(const std::string& aAddress, const pace_run& aOrder,
                            std::int64_t aEpoch, instant aDeadline) = 0;
  /// Extends leases, acknowledges reported ends and returns the worker's runs. Fails with kConflict
  /// when the worker has seen a higher epoch.
  virtual io_result<worker_report> Poll(const std::string& aWorker, const poll_plan& aPlan,
                                        std::int64_t aEpoch, instant aDeadline) = 0;
};

/// External service that names the workers on which a step may run, for queues whose policy
/// requires it. The call may suspend the fiber.
class placement_advisor
{
public:
  virtual ~placement_advisor() = default;
  virtual io_result<placement_advice> RequestAdvice(const advice_request& aQuestion,
                                                    instant aDeadline) = 0;
};

/// Contents of the worker registry at one read.
struct registry_listing
{
  std::vector<registered_worker> mWorkers;
  std::vector<std::string> mUnreadable; ///< keys of the entries that could not be parsed
};

/// The platform's registry of workers.
class worker_registry
{
public:
  virtual ~worker_registry() = default;
  /// Reads the whole registry. May suspend the fiber.
  virtual io_result<registry_listing> Read(instant aDeadline) = 0;
};

} // namespace briarwind
