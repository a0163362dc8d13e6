#include "standins/worker/worker_service.h"

#include "briarwind/fiber_runtime.h"
#include "briarwind/json_fields.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace briarwind {

namespace json = boost::json;

namespace {

constexpr milliseconds kFrozenPollInterval{ 20 };

http_response Reply(const json::object& aBody, unsigned aStatus = 200)
{
  return JsonResponse(aStatus, json::serialize(aBody));
}

http_response RefusalResponse(const error& aError)
{
  if (aError.mKind == error_kind::kConflict) {
    return Reply({ { "reason", aError.mWhat } }, 409);
  }
  return Reply({ { "reason", "gone" } }, 410);
}

resource_shape ParseShape(const json::object& aBody)
{
  resource_shape shape;
  shape.mAccelerators = static_cast<int>(NumberField(aBody, "accelerators"));
  shape.mCores = static_cast<int>(NumberField(aBody, "cores"));
  shape.mMemoryMb = NumberField(aBody, "memoryMb");
  return shape;
}

reservation_request ParseReservation(const json::object& aBody)
{
  reservation_request request;
  request.mJob = TextField(aBody, "job");
  request.mAttempt = NumberField(aBody, "attempt");
  request.mEpoch = NumberField(aBody, "epoch");
  request.mMember = NumberField(aBody, "member");
  request.mShape = ParseShape(aBody);
  request.mTimeToLive = milliseconds(NumberField(aBody, "ttlMs"));
  return request;
}

std::int64_t RemainingMilliseconds(const worker_lease& aLease, instant aNow)
{
  const auto remaining = std::chrono::floor<milliseconds>(aLease.mExpires - aNow);
  return std::max<std::int64_t>(remaining.count(), 0);
}

json::object ToJson(const worker_lease& aLease, instant aNow)
{
  const reservation_request& reserved = aLease.mReservation;
  return { { "lease", aLease.mId },
           { "job", reserved.mJob },
           { "attempt", reserved.mAttempt },
           { "epoch", reserved.mEpoch },
           { "member", reserved.mMember },
           { "state", ToString(aLease.mPhase) },
           { "expiresInMs", RemainingMilliseconds(aLease, aNow) },
           { "progressMs", worker_state::Progress(aLease, aNow).count() } };
}

std::int64_t UnixTimeMilliseconds()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(now).count();
}

} // namespace

worker_service::worker_service(worker_identity aIdentity)
  : mIdentity(std::move(aIdentity))
  , mState(mIdentity.mCapacity, mIdentity.mUsageLag)
{
  AddLeaseRoutes();
  AddReportRoutes();
  AddTestRoutes();
}

http_response worker_service::Answer(const http_request& aRequest)
{
  if (!aRequest.mTarget.starts_with("/test/")) {
    WaitForDelayFaults();
    mState.AdvanceTo(monotonic_clock::now());
  }
  return mRoutes.Answer(aRequest);
}

void worker_service::AdvanceToNow()
{
  if (!mFrozen) {
    mState.AdvanceTo(monotonic_clock::now());
  }
}

void worker_service::WaitForDelayFaults() const
{
  if (mLatency > milliseconds{ 0 }) {
    SleepFor(mLatency);
  }
  while (mFrozen) {
    SleepFor(kFrozenPollInterval);
  }
}

void worker_service::AddLeaseRoutes()
{
  mRoutes.AddJson("POST", "/v1/reservations",
                  [this](const object& aBody, const path_captures&) { return Reserve(aBody); });
  mRoutes.AddJson("POST", "/v1/renewals",
                  [this](const object& aBody, const path_captures&) { return Renew(aBody); });
  mRoutes.AddJson("POST", "/v1/leases/*/start",
                  [this](const object& aBody, const path_captures& aCaptures) {
                    return Start(aCaptures.front(), aBody);
                  });
  mRoutes.AddJson("POST", "/v1/leases/*/stop",
                  [this](const object& aBody, const path_captures& aCaptures) {
                    return Stop(aCaptures.front(), aBody);
                  });
  mRoutes.AddJson(
    "POST", "/v1/leases/*/forget",
    [this](const object&, const path_captures& aCaptures) { return Forget(aCaptures.front()); });
}

void worker_service::AddReportRoutes()
{
  mRoutes.Add("GET", "/v1/worker",
              [this](const http_request&, const path_captures&) { return Identity(); });
  mRoutes.Add("GET", "/v1/leases",
              [this](const http_request&, const path_captures&) { return Leases(); });
  mRoutes.Add("GET", "/v1/usage",
              [this](const http_request&, const path_captures&) { return Usage(); });
  mRoutes.Add("GET", "/healthz",
              [](const http_request&, const path_captures&) { return http_response{}; });
}

void worker_service::AddTestRoutes()
{
  mRoutes.AddJson("POST", "/test/faults",
                  [this](const object& aBody, const path_captures&) { return SetFaults(aBody); });
  mRoutes.Add("GET", "/test/starts", [this](const http_request&, const path_captures&) {
    return Reply({ { "starts", mStartLog } });
  });
}

http_response worker_service::Identity() const
{
  return Reply({ { "worker", mIdentity.mName },
                 { "domain", mIdentity.mFailureDomain },
                 { "rack", mIdentity.mRack },
                 { "cores", mIdentity.mCapacity.mCores },
                 { "memoryMb", mIdentity.mCapacity.mMemoryMb },
                 { "accelerators", mIdentity.mCapacity.mAccelerators },
                 { "incarnation", mIdentity.mIncarnation } });
}

http_response worker_service::Reserve(const object& aBody)
{
  const reservation_request request = ParseReservation(aBody);
  if (request.mJob.empty() || request.mTimeToLive <= milliseconds{ 0 }) {
    return ErrorResponse(400, { error_kind::kInvalid, "reservation", "expected job and ttlMs" });
  }
  const instant now = monotonic_clock::now();
  const auto reserved = ToIoResult([&] { return mState.Reserve(request, now); });
  if (!reserved) {
    return RefusalResponse(reserved.error());
  }
  return Reply({ { "lease", reserved.value().mId },
                 { "expiresInMs", RemainingMilliseconds(reserved.value(), now) } },
               201);
}

http_response worker_service::Start(std::string_view aLease, const object& aBody)
{
  const start_request request{ NumberField(aBody, "epoch"),
                               milliseconds(NumberField(aBody, "leaseMs")),
                               milliseconds(NumberField(aBody, "runMs")) };
  const auto started =
    ToIoResult([&] { return mState.Start(aLease, request, monotonic_clock::now()); });
  if (!started) {
    return RefusalResponse(started.error());
  }
  if (started.value().mStartedByThisCall) {
    const reservation_request& reserved = mState.Find(aLease)->mReservation;
    mStartLog.push_back(json::object{ { "job", reserved.mJob },
                                      { "attempt", reserved.mAttempt },
                                      { "member", reserved.mMember },
                                      { "atMs", UnixTimeMilliseconds() } });
  }
  return Reply({ { "state", ToString(started.value().mPhase) } });
}

http_response worker_service::Renew(const object& aBody)
{
  const auto epochChecked =
    ToIoResult([&] { return mState.CheckAndRecordEpoch(NumberField(aBody, "epoch")); });
  if (!epochChecked) {
    return RefusalResponse(epochChecked.error());
  }
  const instant now = monotonic_clock::now();
  json::array leases;
  for (const json::value& each : ArrayField(aBody, "leases")) {
    const object& fields = each.is_object() ? each.as_object() : object();
    const std::string id = TextField(fields, "lease");
    const worker_lease* lease = mState.Renew(id, milliseconds(NumberField(fields, "ttlMs")), now);
    leases.push_back(lease != nullptr
                       ? ToJson(*lease, now)
                       : object{ { "lease", id }, { "state", "unknown" }, { "progressMs", 0 } });
  }
  return Reply({ { "leases", std::move(leases) } });
}

http_response worker_service::Stop(std::string_view aLease, const object& aBody)
{
  const auto epochChecked =
    ToIoResult([&] { return mState.CheckAndRecordEpoch(NumberField(aBody, "epoch")); });
  if (!epochChecked) {
    return RefusalResponse(epochChecked.error());
  }
  const milliseconds checkpointLimit(NumberField(aBody, "checkpointMs"));
  const worker_lease* lease = mState.Find(aLease);
  const bool isRunning = lease != nullptr && lease->mPhase == lease_phase::kRunning;
  const bool takesCheckpoint = isRunning && checkpointLimit > milliseconds{ 0 };
  if (takesCheckpoint) {
    SleepFor(std::min(checkpointLimit, mIdentity.mCheckpointTime));
    mState.AdvanceTo(monotonic_clock::now());
  }
  const auto stopped = ToIoResult([&] { return mState.Stop(aLease, monotonic_clock::now()); });
  if (!stopped) {
    return RefusalResponse(stopped.error());
  }
  const bool isCheckpointWritten = takesCheckpoint &&
                                   checkpointLimit >= mIdentity.mCheckpointTime &&
                                   stopped.value().mPhase == lease_phase::kStopped;
  return Reply({ { "state", ToString(stopped.value().mPhase) },
                 { "checkpointed", isCheckpointWritten },
                 { "progressMs", stopped.value().mProgress.count() } });
}

http_response worker_service::Forget(std::string_view aLease)
{
  const auto forgotten = ToIoResult([&] { return mState.Forget(aLease); });
  return forgotten ? Reply({}) : RefusalResponse(forgotten.error());
}

http_response worker_service::Leases() const
{
  const instant now = monotonic_clock::now();
  json::array leases;
  std::ranges::transform(mState.Leases(), std::back_inserter(leases),
                         [&](const worker_lease& aLease) { return ToJson(aLease, now); });
  return Reply({ { "leases", std::move(leases) } });
}

http_response worker_service::Usage() const
{
  const resource_shape used = mState.Usage(monotonic_clock::now());
  return Reply({ { "asOfMsAgo", mState.UsageLag().count() },
                 { "coresUsed", used.mCores },
                 { "memoryMbUsed", used.mMemoryMb },
                 { "acceleratorsUsed", used.mAccelerators } });
}

http_response worker_service::SetFaults(const object& aBody)
{
  worker_faults& faults = mState.Faults();
  mFrozen = BooleanField(aBody, "frozen", mFrozen);
  mLatency = milliseconds(NumberField(aBody, "latencyMs", mLatency.count()));
  faults.mFailAll = BooleanField(aBody, "failAll", faults.mFailAll);
  faults.mRefuseStarts = BooleanField(aBody, "refuseStarts", faults.mRefuseStarts);
  return Reply({ { "frozen", mFrozen },
                 { "latencyMs", mLatency.count() },
                 { "failAll", faults.mFailAll },
                 { "refuseStarts", faults.mRefuseStarts } });
}

} // namespace briarwind
