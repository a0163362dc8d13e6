#include "request_broker.h"

#include "router_events.h"

#include <boost/beast/http/error.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <algorithm>
#include <mutex>
#include <string>
#include <utility>
#include <variant>

namespace briarwind {

namespace {

constexpr unsigned kServerError = 500;
constexpr unsigned kServiceUnavailable = 503;

reason ClassifyFailure(const http_exchange& aExchange)
{
  namespace http = boost::beast::http;
  if (aExchange.mBytesSent == 0) {
    return reason::kConnectFailed;
  }
  if (aExchange.mError.mKind == error_kind::kTooLarge) {
    return reason::kOversized;
  }
  static const std::string kPartial = http::make_error_code(http::error::partial_message).message();
  return aExchange.mError.mWhat == kPartial ? reason::kTruncated : reason::kConnectionLost;
}

} // namespace

reason ClassifyExchange(const http_exchange& aExchange, std::string_view aRequestId)
{
  if (!aExchange.mResponse) {
    return ClassifyFailure(aExchange);
  }
  const http_response& response = *aExchange.mResponse;
  if (response.mHeaders.Find(kRequestIdHeader) != aRequestId) {
    return reason::kForeign;
  }
  if (aExchange.mExtraBytes) {
    return reason::kExtraBytes;
  }
  if (response.mStatus == kServiceUnavailable && response.mHeaders.Find(kNotRunHeader) == "yes") {
    return reason::kInstanceRefused;
  }
  return response.mStatus >= kServerError ? reason::kInstanceError : reason::kAnswered;
}

// One attempt of a request on one instance. The attempt outlives the caller's wait when the
// instance answers after the deadline.
struct request_broker::attempt
{
  start_action mStart;
  std::shared_ptr<waiting_caller> mCaller;
  bool mSent = false;      // bytes of the request may have been written
  bool mAbandoned = false; // the deadline passed: the caller no longer waits
};

struct request_broker::waiting_caller
{
  http_request mRequest;
  std::string mRequestId;
  instant mDeadline;
  std::shared_ptr<attempt> mAttempt; // the current attempt, if any
  std::optional<http_response> mResponse;
  std::optional<conclude_action> mConclusion;
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mConclusionReady;
};

request_broker::request_broker(fiber_runtime& aRuntime, routing_core& aCore, metrics& aMetrics,
                               broker_limits aLimits)
  : mRuntime(aRuntime)
  , mCore(aCore)
  , mMetrics(aMetrics)
  , mLimits(aLimits)
  , mConnections(aRuntime)
{
}

request_broker::~request_broker() = default;

routed_answer request_broker::Route(const caller_request& aCaller, const http_request& aRequest,
                                    instant aDeadline)
{
  const request_number number = mNextNumber++;
  const auto caller = std::make_shared<waiting_caller>();
  caller->mRequest = ToInstanceRequest(aRequest, aCaller);
  caller->mRequestId = aCaller.mRequestId;
  caller->mDeadline = aDeadline;
  mWaitingCallers[number] = caller;
  mCore.Arrive({ number, aCaller.mService, aCaller.mOrganisation, aCaller.mTeam, aDeadline,
                 aCaller.mRepeatable },
               monotonic_clock::now());
  ExecuteActions();
  {
    std::unique_lock lock(caller->mMutex);
    caller->mConclusionReady.wait_until(lock, aDeadline,
                                        [&] { return caller->mConclusion.has_value(); });
  }
  if (!caller->mConclusion) {
    ConcludeAtDeadline(number, *caller);
  }
  mWaitingCallers.erase(number);
  const reason finalReason = caller->mConclusion->mReason;
  routed_answer answer{ finalReason, std::nullopt };
  if (TraitsOf(finalReason).mStatus == 0) {
    answer.mResponse = std::move(caller->mResponse);
  }
  return answer;
}

void request_broker::ConcludeAtDeadline(request_number aNumber, waiting_caller& aCaller)
{
  const instant now = std::max(monotonic_clock::now(), aCaller.mDeadline);
  if (aCaller.mAttempt) {
    // An abandoned attempt sends nothing afterwards, so a request of which nothing was sent by the
    // deadline has the outcome not-run.
    aCaller.mAttempt->mAbandoned = true;
    const reason deadlineReason =
      aCaller.mAttempt->mSent ? reason::kDeadlineSent : reason::kDeadlineQueued;
    mCore.OnAttemptEnded(aCaller.mAttempt->mStart.mAttempt, deadlineReason, now);
  }
  mCore.Tick(now);
  ExecuteActions();
  if (!aCaller.mConclusion) {
    mCore.Abandon(aNumber, now);
    aCaller.mConclusion = conclude_action{ aNumber, reason::kDeadlineSent, false };
  }
}

void request_broker::ExecuteActions()
{
  // Executing an action may make the core decide on further actions.
  for (auto actions = mCore.TakeActions(); !actions.empty(); actions = mCore.TakeActions()) {
    for (const routing_action& each : actions) {
      std::visit([&](const auto& aAction) { Execute(aAction); }, each);
    }
  }
}

void request_broker::Tick()
{
  mCore.Tick(monotonic_clock::now());
  ExecuteActions();
}

void request_broker::TrimConnections()
{
  mConnections.TrimAll(
    [&](const std::string& aInstance) { return mCore.InstanceSlots(aInstance); });
}

void request_broker::Execute(const start_action& aAction)
{
  const auto caller = mWaitingCallers.find(aAction.mRequest);
  if (caller == mWaitingCallers.end()) {
    mCore.OnAttemptEnded(aAction.mAttempt, reason::kDeadlineQueued, monotonic_clock::now());
    mCore.OnAttemptReleased(aAction.mAttempt, monotonic_clock::now());
    return;
  }
  const auto newAttempt = std::make_shared<attempt>();
  newAttempt->mStart = aAction;
  newAttempt->mCaller = caller->second;
  caller->second->mAttempt = newAttempt;
  mRuntime.Spawn([this, newAttempt] { RunAttempt(newAttempt); });
}

void request_broker::Execute(const conclude_action& aAction)
{
  if (aAction.mRetryDenied) {
    mMetrics.Count(meters::kRetriesDenied, TraitsOf(aAction.mReason).mWireName);
  }
  const auto caller = mWaitingCallers.find(aAction.mRequest);
  if (caller != mWaitingCallers.end()) {
    caller->second->mConclusion = aAction;
    caller->second->mConclusionReady.notify_all();
  }
}

void request_broker::Execute(const retry_action& aAction)
{
  mMetrics.Count(meters::kRetries, TraitsOf(aAction.mReason).mWireName);
}

void request_broker::Execute(const eject_action& aAction)
{
  mMetrics.Count(meters::kEjections);
  LogEvent(events::kInstanceEjected, { Field("instance", aAction.mInstance) });
}

void request_broker::RunAttempt(const std::shared_ptr<attempt>& aAttempt)
{
  const start_action& start = aAttempt->mStart;
  const instant connectBy =
    std::min(monotonic_clock::now() + mLimits.mConnectTimeout, aAttempt->mCaller->mDeadline);
  reason endReason = reason::kConnectFailed;
  auto connection = mConnections.Acquire(start.mInstance, start.mAddress, connectBy);
  if (connection) {
    if (aAttempt->mAbandoned) {
      mConnections.Return(start.mInstance, std::move(connection).value());
    } else {
      endReason = Exchange(*aAttempt, std::move(connection).value());
    }
  }
  const instant now = monotonic_clock::now();
  if (aAttempt->mCaller->mAttempt == aAttempt) {
    aAttempt->mCaller->mAttempt.reset();
  }
  mCore.OnAttemptEnded(start.mAttempt, endReason, now);
  mCore.OnAttemptReleased(start.mAttempt, now);
  mConnections.Trim(start.mInstance, mCore.InstanceSlots(start.mInstance));
  ExecuteActions();
}

reason request_broker::Exchange(attempt& aAttempt, std::unique_ptr<http_connection> aConnection)
{
  waiting_caller& caller = *aAttempt.mCaller;
  const auto timeLeft = std::chrono::ceil<milliseconds>(caller.mDeadline - monotonic_clock::now());
  caller.mRequest.mHeaders.Set(kDeadlineHeader,
                               std::to_string(std::max<std::int64_t>(1, timeLeft.count())));
  aAttempt.mSent = true;
  // The exchange continues after the caller's deadline, because the instance may still be working
  // on the request and its slot is not free before it answers.
  http_exchange exchange = aConnection->Exchange(
    caller.mRequest, caller.mDeadline + mLimits.mLinger, mLimits.mMaxResponseBytes);
  const reason endReason = ClassifyExchange(exchange, caller.mRequestId);
  const std::string& instance = aAttempt.mStart.mInstance;
  const bool mayReuse = exchange.mReusable && TraitsOf(endReason).mOutcome != outcome::kUnknown;
  if (mayReuse && !aAttempt.mAbandoned) {
    mConnections.Return(instance, std::move(aConnection));
  } else {
    aConnection.reset();
    mConnections.OnClosed(instance);
  }
  if (aAttempt.mAbandoned) {
    mMetrics.Count(meters::kLateAnswers, {}, exchange.mResponse ? 1 : 0);
    return endReason;
  }
  if (TraitsOf(endReason).mOutcome == outcome::kUnknown) {
    LogEvent(events::kAnswerRejected,
             { Field("instance", instance), Field("request", caller.mRequestId),
               Field("reason", TraitsOf(endReason).mWireName),
               Field("why", exchange.mError.mWhat) });
  }
  if (TraitsOf(endReason).mStatus == 0) {
    caller.mResponse = std::move(exchange.mResponse);
  }
  return endReason;
}

} // namespace briarwind
