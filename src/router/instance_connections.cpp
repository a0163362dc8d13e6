#include "instance_connections.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace briarwind {

instance_connections::instance_connections(fiber_runtime& aRuntime)
  : mRuntime(aRuntime)
{
}

std::unique_ptr<http_connection> instance_connections::PopIdle(instance_pool& aPool)
{
  while (!aPool.mIdle.empty()) {
    auto connection = std::move(aPool.mIdle.back());
    aPool.mIdle.pop_back();
    // IsOpen is also false when bytes arrived outside of any exchange.
    if (connection->IsOpen()) {
      return connection;
    }
  }
  return nullptr;
}

io_result<std::unique_ptr<http_connection>> instance_connections::Acquire(
  const std::string& aInstance, const endpoint& aAddress, instant aDeadline)
{
  instance_pool& pool = mPools[aInstance];
  if (pool.mAddress != aAddress) {
    pool.mIdle.clear();
    pool.mAddress = aAddress;
  }
  ++pool.mBusy;
  if (auto idle = PopIdle(pool)) {
    return idle;
  }
  auto opened = http_connection::Connect(mRuntime, aAddress, aDeadline);
  if (!opened) {
    OnClosed(aInstance);
  }
  return opened;
}

void instance_connections::Return(const std::string& aInstance,
                                  std::unique_ptr<http_connection> aConnection)
{
  instance_pool& pool = mPools[aInstance];
  --pool.mBusy;
  pool.mIdle.push_back(std::move(aConnection));
}

void instance_connections::OnClosed(const std::string& aInstance)
{
  --mPools[aInstance].mBusy;
}

void instance_connections::TrimAll(const std::function<int(const std::string&)>& aLimit)
{
  std::vector<std::string> names;
  std::ranges::transform(mPools, std::back_inserter(names),
                         [](const auto& aEntry) { return aEntry.first; });
  std::ranges::for_each(names,
                        [&](const std::string& aInstance) { Trim(aInstance, aLimit(aInstance)); });
}

void instance_connections::Trim(const std::string& aInstance, int aLimit)
{
  const auto found = mPools.find(aInstance);
  if (found == mPools.end()) {
    return;
  }
  instance_pool& pool = found->second;
  const auto maxIdle = static_cast<std::size_t>(std::max(0, aLimit - pool.mBusy));
  while (pool.mIdle.size() > maxIdle) {
    pool.mIdle.pop_back();
  }
  if (pool.mIdle.empty() && pool.mBusy == 0) {
    mPools.erase(found);
  }
}

} // namespace briarwind
