#include "worker_client.h"

#include "scheduler_events.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace briarwind {

namespace json = boost::json;

namespace {

constexpr std::size_t kIdleConnectionsPerWorker = 4;
constexpr milliseconds kCallTimeout{ 1'000 };

json::object ParseObject(const http_response& aResponse)
{
  boost::system::error_code failed;
  json::value parsed = json::parse(aResponse.mBody, failed);
  return !failed && parsed.is_object() ? std::move(parsed.as_object()) : json::object();
}

std::string StringField(const json::object& aObject, std::string_view aName)
{
  const json::value* found = aObject.if_contains(aName);
  return found != nullptr && found->is_string() ? std::string(found->as_string()) : std::string();
}

std::int64_t IntegerField(const json::object& aObject, std::string_view aName)
{
  const json::value* found = aObject.if_contains(aName);
  return found != nullptr && found->is_int64() ? found->as_int64() : 0;
}

// The objects of an array field; elements of other types are skipped.
std::vector<json::object> ObjectArrayField(const json::object& aObject, std::string_view aName)
{
  std::vector<json::object> objects;
  const json::value* found = aObject.if_contains(aName);
  if (found == nullptr || !found->is_array()) {
    return objects;
  }
  for (const json::value& each : found->as_array()) {
    if (each.is_object()) {
      objects.push_back(each.as_object());
    }
  }
  return objects;
}

lease_status ReadStatus(const json::object& aObject)
{
  return { StringField(aObject, "lease"), ParseLeaseState(StringField(aObject, "state")),
           milliseconds(IntegerField(aObject, "progressMs")) };
}

listed_lease ReadListedLease(const json::object& aObject)
{
  listed_lease lease;
  lease.mLease = StringField(aObject, "lease");
  lease.mJob = StringField(aObject, "job");
  lease.mAttempt = static_cast<int>(IntegerField(aObject, "attempt"));
  lease.mMember = static_cast<int>(IntegerField(aObject, "member"));
  lease.mEpoch = IntegerField(aObject, "epoch");
  lease.mState = ParseLeaseState(StringField(aObject, "state"));
  lease.mProgress = milliseconds(IntegerField(aObject, "progressMs"));
  return lease;
}

// After the first byte was sent, a failed call may still have taken effect on the worker.
call_outcome OutcomeOf(const error& aError)
{
  return aError.mKind == error_kind::kUnknownOutcome ? call_outcome::kUnknown
                                                     : call_outcome::kRefused;
}

std::string LeasePath(const lease_id& aLease, std::string_view aVerb)
{
  return fmt::format("/v1/leases/{}/{}", aLease, aVerb);
}

} // namespace

worker_client::worker_client(fiber_runtime& aRuntime, metrics& aMetrics,
                             std::function<void()> aOnStaleEpoch)
  : mPool(aRuntime, kIdleConnectionsPerWorker)
  , mMetrics(aMetrics)
  , mOnStaleEpoch(std::move(aOnStaleEpoch))
{
}

io_result<http_response> worker_client::Post(const endpoint& aWorker, const call& aCall,
                                             const http_pool::send_check& aMaySend)
{
  http_request request;
  request.mMethod = "POST";
  request.mTarget = aCall.mTarget;
  request.mBody = aCall.mBody;
  request.mHeaders.Set("Content-Type", "application/json");
  mMetrics.Count(kWorkerCalls, aCall.mName);
  auto answer = mPool.CallIf(aWorker, request, monotonic_clock::now() + aCall.mTimeout, aMaySend);
  if (!answer) {
    mMetrics.Count(kWorkerFailures, ToString(answer.error().mKind));
  }
  return answer;
}

io_result<http_response> worker_client::Post(const endpoint& aWorker, const call& aCall)
{
  return Post(aWorker, aCall, [] { return true; });
}

std::string worker_client::RecordRefusal(const http_response& aResponse)
{
  const std::string reason = StringField(ParseObject(aResponse), "reason");
  mMetrics.Count(kWorkerFailures, reason.empty() ? "status" : std::string_view(reason));
  if (reason == "stale-epoch") {
    mOnStaleEpoch();
  }
  return reason;
}

reserve_finished worker_client::Reserve(const endpoint& aWorker, const reserve_lease& aAction)
{
  const json::object body{
    { "job", aAction.mMember.mJob },
    { "attempt", aAction.mMember.mAttempt },
    { "epoch", aAction.mEpoch },
    { "member", aAction.mMember.mMember },
    { "cores", aAction.mShape.mCores },
    { "memoryMb", aAction.mShape.mMemoryMb },
    { "accelerators", aAction.mShape.mAccelerators },
    { "ttlMs", aAction.mTimeToLive.count() },
  };
  const auto answer =
    Post(aWorker, { "reserve", "/v1/reservations", json::serialize(body), kCallTimeout });
  reserve_finished finished{ aAction.mMember, call_outcome::kUnknown, {}, {} };
  if (!answer) {
    finished.mOutcome = OutcomeOf(answer.error());
    finished.mReason = answer.error().mWhat;
  } else if (answer.value().mStatus == 201) {
    finished.mOutcome = call_outcome::kOk;
    finished.mLease = StringField(ParseObject(answer.value()), "lease");
  } else {
    finished.mOutcome = call_outcome::kRefused;
    finished.mReason = RecordRefusal(answer.value());
  }
  return finished;
}

start_finished worker_client::Start(const endpoint& aWorker, const start_lease& aAction,
                                    const http_pool::send_check& aMaySend)
{
  const json::object body{
    { "epoch", aAction.mEpoch },
    { "leaseMs", aAction.mTimeToLive.count() },
    { "runMs", aAction.mRunTime.count() },
    { "command", aAction.mCommand },
  };
  const auto answer = Post(
    aWorker, { "start", LeasePath(aAction.mLease, "start"), json::serialize(body), kCallTimeout },
    aMaySend);
  if (!answer) {
    return { aAction.mMember, OutcomeOf(answer.error()) };
  }
  if (answer.value().mStatus == 200) {
    return { aAction.mMember, call_outcome::kOk };
  }
  RecordRefusal(answer.value());
  const bool serverFailed = answer.value().mStatus >= 500;
  return { aAction.mMember, serverFailed ? call_outcome::kUnknown : call_outcome::kRefused };
}

stop_finished worker_client::StopLease(const endpoint& aWorker, const call& aCall,
                                       const member_id& aMember)
{
  const auto answer = Post(aWorker, aCall);
  stop_finished finished{ aMember, call_outcome::kUnknown, false, milliseconds(0) };
  if (!answer) {
    // The outcome is unknown even when nothing was sent, because the lease may still be on the
    // worker and need another stop.
    return finished;
  }
  if (answer.value().mStatus != 200) {
    RecordRefusal(answer.value());
    finished.mOutcome =
      answer.value().mStatus >= 500 ? call_outcome::kUnknown : call_outcome::kRefused;
    return finished;
  }
  const json::object fields = ParseObject(answer.value());
  const json::value* checkpointed = fields.if_contains("checkpointed");
  finished.mOutcome = call_outcome::kOk;
  finished.mCheckpointed =
    checkpointed != nullptr && checkpointed->is_bool() && checkpointed->as_bool();
  finished.mProgress = milliseconds(IntegerField(fields, "progressMs"));
  return finished;
}

stop_finished worker_client::Stop(const endpoint& aWorker, const stop_lease& aAction)
{
  const json::object body{ { "epoch", aAction.mEpoch },
                           { "checkpointMs", aAction.mCheckpointBound.count() } };
  return StopLease(aWorker,
                   { "stop", LeasePath(aAction.mLease, "stop"), json::serialize(body),
                     kCallTimeout + aAction.mCheckpointBound },
                   aAction.mMember);
}

stop_finished worker_client::Release(const endpoint& aWorker, const release_lease& aAction)
{
  const json::object body{ { "epoch", aAction.mEpoch }, { "checkpointMs", 0 } };
  return StopLease(
    aWorker, { "release", LeasePath(aAction.mLease, "stop"), json::serialize(body), kCallTimeout },
    aAction.mMember);
}

void worker_client::Forget(const endpoint& aWorker, const forget_lease& aAction)
{
  // A failed call needs no repetition: the lease is listed again at the next takeover.
  static_cast<void>(
    Post(aWorker, { "forget", LeasePath(aAction.mLease, "forget"), "{}", kCallTimeout }));
}

std::optional<lease_report> worker_client::Renew(const endpoint& aWorker,
                                                 const renew_leases& aAction,
                                                 const http_pool::send_check& aMaySend)
{
  json::array leases;
  std::ranges::transform(aAction.mLeases, std::back_inserter(leases), [&](const lease_id& aLease) {
    return json::object{ { "lease", aLease }, { "ttlMs", aAction.mTimeToLive.count() } };
  });
  const json::object body{ { "epoch", aAction.mEpoch }, { "leases", std::move(leases) } };
  const auto answer =
    Post(aWorker, { "renew", "/v1/renewals", json::serialize(body), kCallTimeout }, aMaySend);
  if (!answer) {
    return std::nullopt;
  }
  if (answer.value().mStatus != 200) {
    RecordRefusal(answer.value());
    return std::nullopt;
  }
  lease_report report{ aAction.mWorker, {} };
  std::ranges::transform(ObjectArrayField(ParseObject(answer.value()), "leases"),
                         std::back_inserter(report.mLeases), ReadStatus);
  return report;
}

std::optional<worker_listing> worker_client::List(const endpoint& aWorker, const std::string& aName)
{
  http_request request;
  request.mTarget = "/v1/leases";
  mMetrics.Count(kWorkerCalls, "list");
  const auto answer = mPool.Call(aWorker, request, monotonic_clock::now() + kCallTimeout);
  if (!answer || answer.value().mStatus != 200) {
    mMetrics.Count(kWorkerFailures, "list");
    return std::nullopt;
  }
  worker_listing listing{ aName, {} };
  std::ranges::transform(ObjectArrayField(ParseObject(answer.value()), "leases"),
                         std::back_inserter(listing.mLeases), ReadListedLease);
  return listing;
}

} // namespace briarwind
