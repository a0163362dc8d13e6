#include "job_json.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iterator>

namespace briarwind {

namespace json = boost::json;

namespace {

json::array PlacesToJson(std::span<const member_placement> aPlaces)
{
  json::array places;
  std::ranges::transform(aPlaces, std::back_inserter(places), [](const member_placement& aPlace) {
    return json::object{ { "member", aPlace.mMember },
                         { "worker", aPlace.mWorker },
                         { "lease", aPlace.mLease } };
  });
  return places;
}

} // namespace

json::object ToJson(const job_view& aJob)
{
  const job_record& record = aJob.mRecord;
  return { { "job", record.mSpec.mId },
           { "state", ToString(record.mState) },
           { "phase", ToString(aJob.mPhase) },
           { "stored", aJob.mStored },
           { "organisation", record.mSpec.mOrganisation },
           { "team", record.mSpec.mTeam },
           { "members", record.mSpec.mMembers },
           { "guaranteed", record.mSpec.mGuaranteed },
           { "urgent", record.mSpec.mUrgent },
           { "attempt", record.mAttempt },
           { "failures", record.mFailures },
           { "progressMs", record.mProgress.count() },
           { "placements", PlacesToJson(record.mPlacements) },
           { "reason", record.mReason } };
}

json::object ToJson(const job_explanation& aExplanation)
{
  json::array evicted;
  std::ranges::transform(aExplanation.mEvicted, std::back_inserter(evicted),
                         [](const std::string& aJob) { return json::value(aJob); });
  return { { "job", aExplanation.mJob },
           { "phase", ToString(aExplanation.mPhase) },
           { "waitReason", ToString(aExplanation.mWait) },
           { "detail", aExplanation.mDetail },
           { "placements", PlacesToJson(aExplanation.mPlacements) },
           { "evicted", std::move(evicted) },
           { "cell", aExplanation.mCell } };
}

json::object ToJson(const core_status& aStatus)
{
  return { { "epoch", aStatus.mEpoch },
           { "acting", aStatus.mActing },
           { "fresh", aStatus.mFresh },
           { "storeReachable", aStatus.mStoreReachable },
           { "queued", aStatus.mQueued },
           { "running", aStatus.mRunning },
           { "workers", aStatus.mWorkers },
           { "workersOut", aStatus.mWorkersOut },
           { "quarantined", aStatus.mQuarantined },
           { "accelerators", aStatus.mAccelerators },
           { "acceleratorsUsed", aStatus.mAcceleratorsUsed } };
}

json::object ToJson(const cell_view& aCell)
{
  return { { "organisation", aCell.mOrganisation },
           { "guarantee", aCell.mGuarantee },
           { "copy", aCell.mCopy },
           { "claimedBy", aCell.mClaimedBy },
           { "placed", !aCell.mPlaces.empty() },
           { "places", PlacesToJson(aCell.mPlaces) } };
}

json::array ToJson(std::span<const finding> aFindings)
{
  json::array list;
  std::ranges::transform(aFindings, std::back_inserter(list), [](const finding& aFinding) {
    const char* severityName = aFinding.mSeverity == severity::kError ? "error" : "warning";
    return json::object{ { "severity", severityName },
                         { "place", aFinding.mPlace },
                         { "value", aFinding.mValue },
                         { "expected", aFinding.mExpected } };
  });
  return list;
}

} // namespace briarwind
