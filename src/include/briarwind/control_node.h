#pragma once

#include "briarwind/fiber_runtime.h"
#include "briarwind/http.h"
#include "briarwind/metrics.h"
#include "briarwind/node_settings.h"
#include "briarwind/operator_settings.h"
#include "briarwind/record_store.h"
#include "briarwind/worker_gateway.h"

#include <functional>
#include <memory>

namespace briarwind {

class caller_service;

/// The interfaces that a deployment implements: its store, its workers, and the formats of
/// operators' settings and of callers' requests. Every object pointed to must outlive the
/// `control_node`.
struct control_adapters
{
  record_store* mStore = nullptr;
  worker_gateway* mWorkers = nullptr;
  placement_advisor* mAdvisor = nullptr; ///< null: no advisor is deployed
  /// Creates the registry on top of the given store, whose calls may be relayed through a peer
  /// host.
  std::function<std::unique_ptr<worker_registry>(record_store&)> mMakeRegistry;
  const operator_settings_codec* mSettingsCodec = nullptr;
  /// Parses one request of a caller, performs it and formats the response. May suspend the fiber.
  std::function<http_response(caller_service&, const http_request&)> mAnswerCaller;
  /// Reloads the process's settings file; called at SIGHUP and periodically. Returns false when the
  /// file is invalid, in which case the previous settings stay in force.
  std::function<bool()> mReload;
};

/// One scheduler process: accepts jobs from callers and, while it is the elected leader, schedules
/// them.
class control_node
{
public:
  control_node(fiber_runtime& aRuntime, metrics& aMetrics, const node_settings& aSettings,
               const control_adapters& aAdapters);
  ~control_node();
  control_node(const control_node&) = delete;
  control_node& operator=(const control_node&) = delete;

  /// Serves until SIGTERM or SIGINT, then reports itself not ready to the load balancer, resigns as
  /// leader and finishes the requests in flight. Blocks the calling fiber.
  /// @return exit status of the process: 0 when all requests finished within the grace period,
  ///         1 otherwise
  int Run();

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace briarwind
