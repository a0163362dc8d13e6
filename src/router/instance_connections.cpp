#include "instance_connections.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace briarwind {

instance_connections::instance_connections(fiber_runtime& aRuntime)
  : mRuntime(aRuntime)
{
}

std::unique_ptr<http_connection> instance_connections::TakeIdle(peer_connections& aPeer)
{
  while (!aPeer.mIdle.empty()) {
    auto connection = std::move(aPeer.mIdle.back());
    aPeer.mIdle.pop_back();
    // Also false when bytes have come that nobody asked for.
    if (connection->IsOpen()) {
      return connection;
    }
  }
  return nullptr;
}

io_result<std::unique_ptr<http_connection>> instance_connections::Take(const std::string& aInstance,
                                                                       const endpoint& aAddress,
                                                                       instant aDeadline)
{
  peer_connections& peer = mPeers[aInstance];
  if (peer.mAddress != aAddress) {
    peer.mIdle.clear();
    peer.mAddress = aAddress;
  }
  ++peer.mBusy;
  if (auto idle = TakeIdle(peer)) {
    return idle;
  }
  auto made = http_connection::Connect(mRuntime, aAddress, aDeadline);
  if (!made) {
    Drop(aInstance);
  }
  return made;
}

void instance_connections::Return(const std::string& aInstance,
                                  std::unique_ptr<http_connection> aConnection)
{
  peer_connections& peer = mPeers[aInstance];
  --peer.mBusy;
  peer.mIdle.push_back(std::move(aConnection));
}

void instance_connections::Drop(const std::string& aInstance)
{
  --mPeers[aInstance].mBusy;
}

void instance_connections::TrimAll(const std::function<int(const std::string&)>& aMost)
{
  std::vector<std::string> names;
  std::ranges::transform(mPeers, std::back_inserter(names),
                         [](const auto& aEntry) { return aEntry.first; });
  std::ranges::for_each(names,
                        [&](const std::string& aInstance) { Trim(aInstance, aMost(aInstance)); });
}

void instance_connections::Trim(const std::string& aInstance, int aMost)
{
  const auto found = mPeers.find(aInstance);
  if (found == mPeers.end()) {
    return;
  }
  peer_connections& peer = found->second;
  const auto kept = static_cast<std::size_t>(std::max(0, aMost - peer.mBusy));
  while (peer.mIdle.size() > kept) {
    peer.mIdle.pop_back();
  }
  if (peer.mIdle.empty() && peer.mBusy == 0) {
    mPeers.erase(found);
  }
}

} // namespace briarwind
