#pragma once

#include "briarwind/fiber_runtime.h"
#include "briarwind/member.h"
#include "briarwind/metrics.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace briarwind {

/// How long a member's key stays in the store after its process has ended.
inline constexpr seconds kMemberLeaseTime{ 10 };

/// Keeps this process's key in the store under a lease and knows the other members by theirs.
class membership
{
public:
  membership(fiber_runtime& aRuntime, config_store& aStore, member aSelf, std::uint64_t aSeed);
  ~membership();
  membership(const membership&) = delete;
  membership& operator=(const membership&) = delete;

  void Start();
  /// No further call to the store but for one that is under way.
  void Stop();

  const member& Self() const;
  /// All members as last listed; while the store is away, those of before.
  const std::vector<member>& Live() const;
  /// Since when the same members have been listed without a failure in between.
  instant SameSince() const;
  /// Lists the members now.
  io_result<void> Refresh(instant aDeadline);
  /// Takes this process's key out of the store.
  void Leave(instant aDeadline);

private:
  struct state;
  fiber_runtime& mRuntime;
  std::shared_ptr<state> mState;
};

/// A new id for a process: its kind, its peer port and random digits.
std::string MakeMemberId(const member& aMember, std::uint64_t aRandom);

} // namespace briarwind
