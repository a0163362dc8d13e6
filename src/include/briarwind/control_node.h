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

/// What a deployment brings: its store, its workers and the form in which operators and callers
/// speak.
struct control_adapters
{
  record_store* mStore = nullptr;
  worker_gateway* mWorkers = nullptr;
  placement_advisor* mAdvisor = nullptr;
  /// Made on the store as this host reaches it, which may be through a peer.
  std::function<std::unique_ptr<worker_registry>(record_store&)> mMakeRegistry;
  const operator_settings_codec* mOperators = nullptr;
  std::function<http_response(caller_service&, const http_request&)> mAnswerCaller;
  /// Reads the process's settings again; asked at SIGHUP and now and then. False: they cannot be
  /// used and the former ones hold.
  std::function<bool()> mReload;
};

/// One scheduler process: takes callers' jobs, and leads when it is its turn.
class control_node
{
public:
  control_node(fiber_runtime& aRuntime, metrics& aMetrics, const node_settings& aSettings,
               const control_adapters& aAdapters);
  ~control_node();
  control_node(const control_node&) = delete;
  control_node& operator=(const control_node&) = delete;

  /// Serves until SIGTERM or SIGINT, then lets what is under way finish.
  /// @return status to exit with
  int Run();

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace briarwind
