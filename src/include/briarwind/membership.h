#pragma once

#include "briarwind/fiber_runtime.h"
#include "briarwind/member.h"
#include "briarwind/metrics.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace briarwind {

/// Time to live of the lease of a member's key: how long the key stays in the store after the
/// process has stopped renewing the lease.
inline constexpr seconds kMemberLeaseTime{ 10 };

/// Registers this process in the store as a member, by a key under a lease, and lists the keys of
/// all members at intervals.
class membership
{
public:
  membership(fiber_runtime& aRuntime, config_store& aStore, member aSelf, std::uint64_t aSeed);
  ~membership();
  membership(const membership&) = delete;
  membership& operator=(const membership&) = delete;

  /// Starts the fibers that register the process and list the members.
  void Start();
  /// Ends both fibers. A call to the store that is in progress still completes.
  void Stop();

  const member& Self() const;
  /// The members found by the last successful listing, this process among them once it is
  /// registered.
  const std::vector<member>& LiveMembers() const;
  /// The instant since which every listing has succeeded and has found the same members.
  instant UnchangedSince() const;
  /// Lists the members at once.
  io_result<void> Refresh(instant aDeadline);
  /// Stops, and revokes the lease, which deletes the key of this process from the store.
  void Leave(instant aDeadline);

private:
  struct state;
  fiber_runtime& mRuntime;
  std::shared_ptr<state> mState;
};

/// Makes the id of a new member from its kind, its peer port and eight random hexadecimal digits.
std::string MakeMemberId(const member& aMember, std::uint64_t aRandom);

} // namespace briarwind
