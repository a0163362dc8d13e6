#pragma once

#include "briarwind/error.h"
#include "briarwind/work_core.h"

#include <string>
#include <vector>

namespace briarwind {

/// Orders to workers. Every call may suspend the fiber.
class worker_gateway
{
public:
  virtual ~worker_gateway() = default;

  /// @param aLeaseUntil on the worker's clock: the start is refused after it, and all that runs
  ///        there is held until it
  virtual start_outcome Start(const std::string& aAddress, const start_run& aOrder,
                              std::int64_t aEpoch, milliseconds aLeaseUntil, instant aDeadline) = 0;
  virtual stop_outcome Stop(const std::string& aAddress, const stop_run& aOrder,
                            std::int64_t aEpoch, instant aDeadline) = 0;
  /// Holds leases, acknowledges ends and asks what runs. kConflict: the worker obeys a newer
  /// leader.
  virtual io_result<worker_report> Poll(const std::string& aWorker, const poll_plan& aPlan,
                                        std::int64_t aEpoch, instant aDeadline) = 0;
};

/// Says which workers may run the steps of a queue whose policy asks for advice.
class placement_advisor
{
public:
  virtual ~placement_advisor() = default;
  virtual io_result<placement_advice> Ask(const ask_advice& aQuestion, instant aDeadline) = 0;
};

/// What the registry held at one reading.
struct registry_listing
{
  std::vector<registered_worker> mWorkers;
  std::vector<std::string> mUnreadable; ///< entries that describe no worker
};

/// The workers that are there, as the platform lists them.
class worker_registry
{
public:
  virtual ~worker_registry() = default;
  virtual io_result<registry_listing> Read(instant aDeadline) = 0;
};

} // namespace briarwind
