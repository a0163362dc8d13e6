#include "briarwind/store_client.h"

#include "briarwind/http_client.h"
#include "briarwind/settings_events.h"
#include "store_wire.h"

#include <algorithm>
#include <utility>

namespace briarwind {

namespace {

constexpr std::string_view kErrorOrigin = "store";
// Minimum timeout of a call to one endpoint. A reachable endpoint answers within milliseconds; the
// rest of the time until the deadline is divided among the remaining endpoints.
constexpr milliseconds kMinCallTimeout{ 50 };
// A watch that receives no line for this long is restarted, since its connection may be broken.
constexpr milliseconds kWatchIdleTimeout{ 30'000 };
constexpr milliseconds kWatchConnectTimeout{ 1'000 };
// Longest pause in the answer to a read, which may be a listing of any length.
constexpr milliseconds kStallTimeout{ 800 };

enum class effect : std::uint8_t
{
  kReads,
  kWrites,
};

struct call_kind
{
  std::string_view mName; // metric label
  std::string_view mPath;
  effect mEffect;
};

constexpr call_kind kList{ "list", "/v3/kv/range", effect::kReads };
constexpr call_kind kNewest{ "newest", "/v3/kv/range", effect::kReads };
constexpr call_kind kSwap{ "swap", "/v3/kv/txn", effect::kWrites };
constexpr call_kind kDelete{ "delete", "/v3/kv/txn", effect::kWrites };
constexpr call_kind kGrant{ "grant", "/v3/lease/grant", effect::kWrites };
constexpr call_kind kKeepAlive{ "keep-alive", "/v3/lease/keepalive", effect::kReads };
constexpr call_kind kRevoke{ "revoke", "/v3/lease/revoke", effect::kWrites };
constexpr call_kind kWatch{ "watch", "/v3/watch", effect::kReads };

http_request Request(const call_kind& aKind, std::string aBody)
{
  http_request request;
  request.mMethod = "POST";
  request.mTarget = aKind.mPath;
  request.mHeaders.Set("Content-Type", "application/json");
  request.mBody = std::move(aBody);
  return request;
}

// A server error (5xx) does not exclude that a write took effect, so its outcome is unknown. A
// failed read has no effect.
error StatusError(const call_kind& aKind, const http_response& aResponse)
{
  const std::string what = "status " + std::to_string(aResponse.mStatus);
  if (aResponse.mStatus == 404) {
    return { error_kind::kNotFound, std::string(kErrorOrigin), what };
  }
  if (aResponse.mStatus < 500) {
    return { error_kind::kInvalid, std::string(kErrorOrigin), what + " " + aResponse.mBody };
  }
  const error_kind kind =
    aKind.mEffect == effect::kReads ? error_kind::kUnavailable : error_kind::kUnknownOutcome;
  return { kind, std::string(kErrorOrigin), what };
}

bool NothingTookEffect(const error& aError)
{
  return aError.mKind == error_kind::kUnavailable || aError.mKind == error_kind::kTimeout;
}

} // namespace

struct etcd_store::state
{
  state(fiber_runtime& aRuntime, std::vector<endpoint> aEndpoints, metrics& aMetrics)
    : mRuntime(aRuntime)
    , mEndpoints(std::move(aEndpoints))
    , mMetrics(aMetrics)
    , mPool(aRuntime)
  {
  }

  io_result<std::string> CallPreferred(const call_kind& aKind, const std::string& aBody,
                                       instant aDeadline);
  io_result<std::string> Call(const call_kind& aKind, const std::string& aBody, instant aDeadline);

  fiber_runtime& mRuntime;
  std::vector<endpoint> mEndpoints;
  metrics& mMetrics;
  http_pool mPool;
  std::size_t mPreferred = 0; // index of the endpoint that answered last
};

// Calls the preferred endpoint.
io_result<std::string> etcd_store::state::CallPreferred(const call_kind& aKind,
                                                        const std::string& aBody, instant aDeadline)
{
  mMetrics.Count(kStoreCalls, aKind.mName);
  const instant started = monotonic_clock::now();
  const http_call_limits limits = aKind.mEffect == effect::kReads
                                    ? http_call_limits(aDeadline, kStallTimeout)
                                    : http_call_limits(aDeadline);
  auto answer = mPool.Call(mEndpoints.at(mPreferred), Request(aKind, aBody), limits);
  mMetrics.Observe(kStoreCallTime, monotonic_clock::now() - started, aKind.mName);
  if (!answer) {
    error failed = std::move(answer).error();
    if (aKind.mEffect == effect::kReads) {
      failed.mKind = error_kind::kUnavailable;
    }
    return boost::outcome_v2::failure(std::move(failed));
  }
  if (answer.value().mStatus != 200) {
    return boost::outcome_v2::failure(StatusError(aKind, answer.value()));
  }
  return std::move(answer.value().mBody);
}

// Calls the endpoints in turn until one of them answers or the request may have taken effect.
io_result<std::string> etcd_store::state::Call(const call_kind& aKind, const std::string& aBody,
                                               instant aDeadline)
{
  io_result<std::string> answer =
    IoError(error_kind::kUnavailable, std::string(kErrorOrigin), "no endpoint is known");
  for (std::size_t remaining = mEndpoints.size(); remaining > 0; --remaining) {
    const instant now = monotonic_clock::now();
    const duration timeout = std::max<duration>((aDeadline - now) / remaining, kMinCallTimeout);
    answer = CallPreferred(aKind, aBody, std::min(aDeadline, now + timeout));
    if (answer) {
      return answer;
    }
    mMetrics.Count(kStoreFailures, ToString(answer.error().mKind));
    if (!NothingTookEffect(answer.error())) {
      return answer;
    }
    mPreferred = (mPreferred + 1) % mEndpoints.size();
  }
  return answer;
}

etcd_store::etcd_store(fiber_runtime& aRuntime, std::vector<endpoint> aEndpoints, metrics& aMetrics)
  : mState(std::make_unique<state>(aRuntime, std::move(aEndpoints), aMetrics))
{
}

etcd_store::~etcd_store() = default;

namespace {

// Decodes a response with one of the store_wire functions.
template<class Value>
io_result<Value> Decode(io_result<std::string> aAnswer, result<Value> (*aParse)(std::string_view))
{
  if (!aAnswer) {
    return boost::outcome_v2::failure(std::move(aAnswer).error());
  }
  return ToIoResult([&] { return aParse(aAnswer.value()); });
}

// Decodes the response to a write. A write whose response cannot be decoded may have taken effect.
template<class Value>
io_result<Value> DecodeWrite(io_result<std::string> aAnswer,
                             result<Value> (*aParse)(std::string_view))
{
  io_result<Value> read = Decode(std::move(aAnswer), aParse);
  if (!read && read.error().mKind == error_kind::kProtocol) {
    return IoError(error_kind::kUnknownOutcome, read.error().mWhere, read.error().mWhat);
  }
  return read;
}

} // namespace

io_result<store_listing> etcd_store::List(std::string_view aPrefix, instant aDeadline)
{
  return Decode(mState->Call(kList, store_wire::ListBody(aPrefix), aDeadline),
                store_wire::ReadListing);
}

io_result<store_listing> etcd_store::ListNewest(std::string_view aPrefix, instant aDeadline)
{
  return Decode(mState->Call(kNewest, store_wire::NewestBody(aPrefix), aDeadline),
                store_wire::ReadListing);
}

io_result<swap_result> etcd_store::Swap(std::string_view aKey, store_revision aExpected,
                                        std::string_view aValue, store_lease aLease,
                                        instant aDeadline)
{
  const std::string body = store_wire::SwapBody(aKey, aExpected, aValue, aLease);
  return DecodeWrite(mState->Call(kSwap, body, aDeadline), store_wire::ReadSwap);
}

io_result<swap_result> etcd_store::Delete(std::string_view aKey, store_revision aExpected,
                                          instant aDeadline)
{
  return DecodeWrite(mState->Call(kDelete, store_wire::DeleteBody(aKey, aExpected), aDeadline),
                     store_wire::ReadSwap);
}

io_result<store_lease> etcd_store::GrantLease(seconds aTimeToLive, instant aDeadline)
{
  return DecodeWrite(mState->Call(kGrant, store_wire::GrantBody(aTimeToLive), aDeadline),
                     store_wire::ReadGrant);
}

io_result<seconds> etcd_store::KeepAlive(store_lease aLease, instant aDeadline)
{
  return Decode(mState->Call(kKeepAlive, store_wire::LeaseBody(aLease), aDeadline),
                store_wire::ReadKeepAlive);
}

io_result<void> etcd_store::RevokeLease(store_lease aLease, instant aDeadline)
{
  auto answer = mState->Call(kRevoke, store_wire::LeaseBody(aLease), aDeadline);
  if (!answer) {
    return boost::outcome_v2::failure(std::move(answer).error());
  }
  return boost::outcome_v2::success();
}

watch_end etcd_store::Watch(std::string_view aPrefix, store_revision aFrom,
                            const std::function<bool(const watch_batch&)>& aObserver)
{
  mState->mMetrics.Count(kStoreCalls, kWatch.mName);
  auto connected =
    http_connection::Connect(mState->mRuntime, mState->mEndpoints.at(mState->mPreferred),
                             monotonic_clock::now() + kWatchConnectTimeout);
  if (!connected) {
    mState->mPreferred = (mState->mPreferred + 1) % mState->mEndpoints.size();
    return watch_end::kDisconnected;
  }
  watch_end end = watch_end::kDisconnected;
  const auto onLine = [&](std::string_view aLine) {
    const auto line = ToIoResult([&] { return store_wire::ReadWatchLine(aLine); });
    if (!line || line.value().mCancelled) {
      const bool isCompacted = line && line.value().mCompactRevision > 0;
      end = isCompacted ? watch_end::kCompacted : watch_end::kDisconnected;
      return false;
    }
    const bool wantsMore = aObserver(line.value().mBatch);
    end = wantsMore ? watch_end::kDisconnected : watch_end::kStopped;
    return wantsMore;
  };
  const auto streamed = connected.value()->Stream(
    Request(kWatch, store_wire::WatchBody(aPrefix, aFrom)), kWatchIdleTimeout, onLine);
  if (!streamed) {
    mState->mMetrics.Count(kStoreFailures, ToString(streamed.error().mKind));
  }
  return end;
}

} // namespace briarwind
