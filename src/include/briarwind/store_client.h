#pragma once

#include "briarwind/config_store.h"
#include "briarwind/endpoint.h"
#include "briarwind/fiber_runtime.h"
#include "briarwind/metrics.h"

#include <memory>
#include <vector>

namespace briarwind {

/// A client of the platform's store that speaks the JSON form of the etcd v3 gateway over HTTP.
/// Calls go to the endpoint that answered last; after a failure without an effect the other
/// endpoints are tried. Each HTTP call is counted by kind; a watch counts as one call.
class etcd_store : public config_store
{
public:
  etcd_store(fiber_runtime& aRuntime, std::vector<endpoint> aEndpoints, metrics& aMetrics);
  ~etcd_store() override;

  io_result<store_listing> List(std::string_view aPrefix, instant aDeadline) override;
  io_result<store_listing> ListNewest(std::string_view aPrefix, instant aDeadline) override;
  io_result<swap_result> Swap(std::string_view aKey, store_revision aExpected,
                              std::string_view aValue, store_lease aLease,
                              instant aDeadline) override;
  io_result<swap_result> Delete(std::string_view aKey, store_revision aExpected,
                                instant aDeadline) override;
  io_result<store_lease> GrantLease(seconds aTimeToLive, instant aDeadline) override;
  io_result<seconds> KeepAlive(store_lease aLease, instant aDeadline) override;
  io_result<void> RevokeLease(store_lease aLease, instant aDeadline) override;
  watch_end Watch(std::string_view aPrefix, store_revision aFrom,
                  const std::function<bool(const watch_batch&)>& aObserver) override;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace briarwind
