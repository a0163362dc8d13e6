#pragma once

#include "briarwind/http_client.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace briarwind {

/// Pool of HTTP connections to instances. A connection either carries one request or is idle in the
/// pool, so this router never has more connections to an instance than it had requests on it at one
/// time.
class instance_connections
{
public:
  explicit instance_connections(fiber_runtime& aRuntime);

  /// Returns an idle connection to the instance, or opens a new one before the deadline; may
  /// suspend. Each connection has to be passed to Return or counted by OnClosed. An error means
  /// that nothing was sent.
  io_result<std::unique_ptr<http_connection>> Acquire(const std::string& aInstance,
                                                      const endpoint& aAddress, instant aDeadline);
  /// Puts a connection back into the pool after a complete exchange.
  void Return(const std::string& aInstance, std::unique_ptr<http_connection> aConnection);
  /// Closes idle connections to one instance until busy and idle ones together are at most aLimit.
  void Trim(const std::string& aInstance, int aLimit);
  /// Trims the connections to every instance to the limit that aLimit returns for it.
  void TrimAll(const std::function<int(const std::string&)>& aLimit);
  /// Reports that the caller closed a connection that it got from Acquire.
  void OnClosed(const std::string& aInstance);

private:
  struct instance_pool
  {
    endpoint mAddress;
    int mBusy = 0;
    std::vector<std::unique_ptr<http_connection>> mIdle;
  };

  std::unique_ptr<http_connection> PopIdle(instance_pool& aPool);

  fiber_runtime& mRuntime;
  std::map<std::string, instance_pool> mPools;
};

} // namespace briarwind
