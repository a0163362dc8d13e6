#include "standins/instance/instance_state.h"

#include <algorithm>
#include <array>

namespace briarwind {

namespace {

bool IsDue(std::int64_t aCount, std::int64_t aInterval)
{
  return aInterval > 0 && aCount % aInterval == 0;
}

struct fault_rule
{
  std::int64_t instance_faults::* mInterval;
  response_fault mFault;
};

// When several faults are due for one response, the first in the array is applied.
constexpr std::array<fault_rule, 5> kFaultRules{ {
  { &instance_faults::mDropAfterRunEvery, response_fault::kDropConnection },
  { &instance_faults::mServerErrorEvery, response_fault::kServerError },
  { &instance_faults::mTruncateEvery, response_fault::kTruncate },
  { &instance_faults::mWrongRequestIdEvery, response_fault::kWrongRequestId },
  { &instance_faults::mDuplicateEvery, response_fault::kDuplicate },
} };

} // namespace

admission instance_state::Admit(const std::string& aRequestId)
{
  ++mArrivedCount;
  if (IsDue(mArrivedCount, mFaults.mDropBeforeRunEvery)) {
    return admission::kDropConnection;
  }
  if (IsDue(mArrivedCount, mFaults.mRejectEvery) || mRunning >= mSlots) {
    return admission::kReject;
  }
  ++mRunCounts[aRequestId];
  ++mRunning;
  mMaxRunning = std::max(mMaxRunning, mRunning);
  return admission::kRun;
}

response_fault instance_state::Finish()
{
  --mRunning;
  ++mFinishedCount;
  if (mFaults.mFailFast) {
    return response_fault::kServerError;
  }
  const auto* due = std::ranges::find_if(kFaultRules, [this](const fault_rule& aRule) {
    return IsDue(mFinishedCount, mFaults.*aRule.mInterval);
  });
  return due != kFaultRules.end() ? due->mFault : response_fault::kNone;
}

} // namespace briarwind
