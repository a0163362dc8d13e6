#pragma once

#include "briarwind/http_client.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace briarwind {

/// Idle connections to instances. A connection is either with one request or idle here, so an
/// instance never has more connections of this router than requests that ran on it at once.
class instance_connections
{
public:
  explicit instance_connections(fiber_runtime& aRuntime);

  /// An idle connection, else a new one. Fails before anything is sent.
  io_result<std::unique_ptr<http_connection>> Take(const std::string& aInstance,
                                                   const endpoint& aAddress, instant aDeadline);
  /// Gives a connection back after a whole exchange.
  void Return(const std::string& aInstance, std::unique_ptr<http_connection> aConnection);
  /// Closes idle connections until busy and idle ones are no more than aMost.
  void Trim(const std::string& aInstance, int aMost);
  /// Trims all, each to what aMost says for it.
  void TrimAll(const std::function<int(const std::string&)>& aMost);
  /// A connection that was taken is gone.
  void Drop(const std::string& aInstance);

private:
  struct peer_connections
  {
    endpoint mAddress;
    int mBusy = 0;
    std::vector<std::unique_ptr<http_connection>> mIdle;
  };

  std::unique_ptr<http_connection> TakeIdle(peer_connections& aPeer);

  fiber_runtime& mRuntime;
  std::map<std::string, peer_connections> mPeers;
};

} // namespace briarwind
