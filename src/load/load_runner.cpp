#include "load_runner.h"

#include "briarwind/http_client.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <fmt/format.h>
#include <xxhash.h>

#include <mutex>
#include <string>
#include <utility>

namespace briarwind {

namespace json = boost::json;

namespace {

// The router answers at the request's deadline. An answer that takes longer than this beyond the
// deadline counts as `cut`.
constexpr seconds kAnswerGracePeriod{ 5 };
constexpr std::size_t kMaxIdleConnectionsPerTarget = 256;

struct run_state
{
  run_state(fiber_runtime& aRuntime, const load_run& aRun)
    : mRun(aRun)
    , mPool(aRuntime, kMaxIdleConnectionsPerTarget)
  {
  }

  const load_run& mRun;
  http_pool mPool;
  load_report mReport;
  std::size_t mInFlight = 0;
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mAllAnswered;
};

http_request MakeRequest(const load_kind& aKind, const std::string& aId, std::uint64_t aNumber)
{
  http_request request;
  request.mMethod = "POST";
  request.mTarget = aKind.mTarget;
  request.mBody = MakeBody(aNumber, aKind.mBodyBytes);
  request.mHeaders.Set("Briarwind-Organisation", aKind.mOrganisation);
  request.mHeaders.Set("Briarwind-Request-Id", aId);
  request.mHeaders.Set("Briarwind-Deadline-Ms", std::to_string(aKind.mDeadline.count()));
  request.mHeaders.Set("Briarwind-Repeatable", aKind.mRepeatable ? "yes" : "no");
  if (!aKind.mTeam.empty()) {
    request.mHeaders.Set("Briarwind-Team", aKind.mTeam);
  }
  if (aKind.mKeyed) {
    request.mHeaders.Set("Idempotency-Key", aId);
  }
  return request;
}

// Whether the answer's body holds the id of the request and the digest of the request's body.
bool BodyMatches(const std::string& aBody, const std::string& aId, const std::string& aSent)
{
  boost::system::error_code code;
  const json::value value = json::parse(aBody, code);
  if (code || !value.is_object()) {
    return false;
  }
  const auto fieldEquals = [&](std::string_view aName, const std::string& aExpected) {
    const json::value* found = value.as_object().if_contains(aName);
    return found != nullptr && found->is_string() && found->as_string() == aExpected;
  };
  const std::string digest = fmt::format("{:016x}", XXH3_64bits(aSent.data(), aSent.size()));
  return fieldEquals("requestId", aId) && fieldEquals("digest", digest);
}

// Fills the sample from the headers and the body of an answer.
void FillFromAnswer(const http_response& aAnswer, const std::string& aId,
                    const http_request& aRequest, load_sample& aSample)
{
  const auto header = [&](std::string_view aName) {
    return std::string(aAnswer.mHeaders.Find(aName).value_or(""));
  };
  aSample.mForeign = header("Briarwind-Request-Id") != aId;
  // Only routers set an outcome; an instance that is called directly sets none.
  aSample.mOutcome = header("Briarwind-Outcome");
  if (aSample.mOutcome.empty()) {
    aSample.mOutcome = aAnswer.mStatus == 200 ? "ok" : "failed";
  }
  aSample.mReason = header("Briarwind-Reason");
  aSample.mDamaged = aSample.mOutcome == "ok" && !BodyMatches(aAnswer.mBody, aId, aRequest.mBody);
}

// Sends one request and adds its sample to the report. The latency counts from the planned arrival
// and includes a late start.
void SendRequest(run_state& aState, std::size_t aIndex, instant aPlanned)
{
  const load_run& run = aState.mRun;
  const load_kind& kind = run.mKinds.at(run.mPlan.at(aIndex).mKind);
  const std::uint64_t number = run.mFirstId + aIndex;
  const std::string id = fmt::format("load-{}", number);
  const http_request request = MakeRequest(kind, id, number);
  load_sample sample;
  sample.mKind = kind.mName;
  const auto answer = aState.mPool.Call(run.mTargets.at(aIndex % run.mTargets.size()), request,
                                        aPlanned + kind.mDeadline + kAnswerGracePeriod);
  sample.mLatency = monotonic_clock::now() - aPlanned;
  if (answer) {
    FillFromAnswer(answer.value(), id, request, sample);
  } else {
    const error_kind errorKind = answer.error().mKind;
    const bool unsent = errorKind == error_kind::kUnavailable || errorKind == error_kind::kTimeout;
    sample.mOutcome = unsent ? "unreached" : "cut";
    sample.mReason = ToString(errorKind);
  }
  aState.mReport.Add(std::move(sample));
}

} // namespace

load_report RunLoad(fiber_runtime& aRuntime, const load_run& aRun)
{
  run_state state(aRuntime, aRun);
  const instant begin = monotonic_clock::now();
  for (std::size_t index = 0; index < aRun.mPlan.size(); ++index) {
    const instant planned = begin + aRun.mPlan.at(index).mAt;
    SleepUntil(planned);
    if (state.mInFlight >= aRun.mMaxInFlight) {
      state.mReport.Add({ aRun.mKinds.at(aRun.mPlan.at(index).mKind).mName, "unreached",
                          "too-many-open", duration::zero(), false, false });
      continue;
    }
    ++state.mInFlight;
    aRuntime.Spawn([&state, index, planned] {
      SendRequest(state, index, planned);
      const std::unique_lock lock(state.mMutex);
      --state.mInFlight;
      state.mAllAnswered.notify_all();
    });
  }
  std::unique_lock lock(state.mMutex);
  state.mAllAnswered.wait(lock, [&] { return state.mInFlight == 0; });
  lock.unlock();
  return std::move(state.mReport);
}

} // namespace briarwind
