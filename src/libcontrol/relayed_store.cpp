#include "relayed_store.h"

#include "control_events.h"

#include <algorithm>
#include <utility>

namespace briarwind {

namespace {

// Consecutive failures of direct calls before calls are relayed; a single failure is often only a
// lost answer.
constexpr int kFailuresBeforeRelay = 2;
// A failed call that took at least this long is enough to start relaying: a slow store answers
// within 300 ms, and each further call without an answer would use up the time of its caller.
constexpr milliseconds kUnansweredCallTime{ 350 };
// Consecutive failures before the store counts as unreachable: those of the direct calls, and at
// least one relayed call.
constexpr int kFailuresBeforeUnreachable = 4;
constexpr milliseconds kProbeInterval{ 350 };
constexpr milliseconds kProbeTimeout{ 350 };
constexpr std::string_view kProbeKey = "briarwind/hosts/leader";
// Extra time for a relayed watch beyond the time that it waits for changes.
constexpr milliseconds kWatchMargin{ 500 };
// Longest pause in a relayed listing or watch, beyond a packet that is lost twice.
constexpr milliseconds kStallTimeout{ 800 };

bool IsAnswerFromStore(error_kind aKind)
{
  return aKind == error_kind::kNotFound || aKind == error_kind::kInvalid ||
         aKind == error_kind::kTooLarge;
}

milliseconds TimeRemaining(instant aDeadline)
{
  return std::max(milliseconds(1),
                  std::chrono::duration_cast<milliseconds>(aDeadline - monotonic_clock::now()));
}

} // namespace

relayed_store::relayed_store(fiber_runtime& aRuntime, record_store& aDirect, metrics& aMetrics,
                             peer_list aPeers)
  : mRuntime(aRuntime)
  , mDirectStore(aDirect)
  , mMetrics(aMetrics)
  , mListPeers(std::move(aPeers))
  , mPool(aRuntime)
  , mLastDirect(monotonic_clock::now())
{
}

// A host without direct access refuses at once; it never relays calls for other hosts.
http_response relayed_store::Serve(std::string_view aName, std::string_view aBody)
{
  if (!IsDirect()) {
    return JsonResponse(503,
                        R"({"kind":"unavailable","what":"the store turns this host away too"})");
  }
  return store_relay::Serve(mDirectStore, aName, aBody, mView);
}

// Recovers without further action, because the followers of settings and hosts keep calling the
// store.
bool relayed_store::IsReachable() const
{
  return mConsecutiveFailures < kFailuresBeforeUnreachable;
}

template<class Value, class Direct, class Parse>
io_result<Value> relayed_store::Route(const Direct& aDirect, const store_relay::relay_call& aCall,
                                      Parse aParse, const http_call_limits& aLimits)
{
  if (IsDirect()) {
    const instant begun = monotonic_clock::now();
    io_result<Value> answer = aDirect();
    const bool reached = answer.has_value() || IsAnswerFromStore(answer.error().mKind);
    mConsecutiveFailures = reached ? 0 : mConsecutiveFailures + 1;
    RecordDirectCall(reached, monotonic_clock::now() - begun >= kUnansweredCallTime);
    return answer;
  }
  const std::string peerAddress = mPeer;
  const auto sent = CallPeer(aCall, aLimits);
  if (!sent) {
    ++mConsecutiveFailures;
    AbandonPeer(peerAddress);
    return boost::outcome_v2::failure(sent.error());
  }
  io_result<Value> answer = aParse(sent.value());
  const bool reached = answer.has_value() || IsAnswerFromStore(answer.error().mKind);
  mConsecutiveFailures = reached ? 0 : mConsecutiveFailures + 1;
  mMetrics.Count(kStoreRelays, reached ? "answered" : ToString(answer.error().mKind));
  if (!reached) {
    AbandonPeer(peerAddress);
  }
  return answer;
}

// A call may end after this host has switched peers or returned to direct access. Its failure must
// not start relaying again.
void relayed_store::AbandonPeer(const std::string& aPeer)
{
  if (mPeer == aPeer) {
    SelectNextPeer();
  }
}

io_result<http_response> relayed_store::CallPeer(const store_relay::relay_call& aCall,
                                                 const http_call_limits& aLimits)
{
  const auto peer = ToIoResult([&] { return ParseEndpoint(mPeer); });
  if (!peer) {
    return IoError(error_kind::kUnavailable, mPeer, "not a valid peer address, expected IP:PORT");
  }
  http_request request;
  request.mMethod = "POST";
  request.mTarget = "/v1/store/" + aCall.mName;
  request.mBody = aCall.mBody;
  request.mHeaders.Set("Content-Type", "application/json");
  return mPool.Call(peer.value(), request, aLimits);
}

void relayed_store::RecordDirectCall(bool aSucceeded, bool aWasSilent)
{
  if (aSucceeded) {
    mDirectFailures = 0;
    mLastDirect = monotonic_clock::now();
    return;
  }
  mDirectFailures += aWasSilent ? kFailuresBeforeRelay : 1;
  if (mDirectFailures < kFailuresBeforeRelay || !IsDirect()) {
    return;
  }
  SelectNextPeer();
  if (!IsDirect()) {
    LogEvent(kStoreRelayed, { Field("peer", mPeer), Field("failures", mDirectFailures),
                              Field("silent_ms", std::chrono::duration_cast<milliseconds>(
                                                   monotonic_clock::now() - mLastDirect)
                                                   .count()) });
    mRuntime.Spawn([this] { ProbeLoop(); });
  }
}

void relayed_store::SelectNextPeer()
{
  const std::vector<std::string> peers = mListPeers();
  if (!peers.empty()) {
    mPeer = peers[mNextPeerIndex++ % peers.size()];
  }
}

void relayed_store::ProbeLoop()
{
  while (!IsDirect()) {
    SleepFor(kProbeInterval);
    const auto probe = mDirectStore.Get(kProbeKey, monotonic_clock::now() + kProbeTimeout);
    if (probe) {
      mPeer.clear();
      mDirectFailures = 0;
      mLastDirect = monotonic_clock::now();
      LogEvent(kStoreDirect, {});
    }
  }
}

io_result<std::optional<stored_value>> relayed_store::Get(std::string_view aKey, instant aDeadline)
{
  return Route<std::optional<stored_value>>(
    [&] { return mDirectStore.Get(aKey, aDeadline); },
    store_relay::MakeGetCall(aKey, TimeRemaining(aDeadline)), store_relay::ParseGetAnswer,
    aDeadline);
}

io_result<store_listing> relayed_store::List(std::string_view aPrefix, instant aDeadline)
{
  const bool hasView = mView != nullptr && mView->Prefix() == aPrefix && mView->Revision() != 0;
  auto listing = hasView && !IsDirect() ? ListByView(aDeadline) : ListWhole(aPrefix, aDeadline);
  if (listing) {
    RecordSeen(aPrefix, listing.value().mRevision);
  }
  return listing;
}

io_result<store_listing> relayed_store::ListWhole(std::string_view aPrefix, instant aDeadline)
{
  const auto seen = mSeen.find(aPrefix);
  return Route<store_listing>([&] { return mDirectStore.List(aPrefix, aDeadline); },
                              store_relay::MakeListCall(aPrefix,
                                                        seen == mSeen.end() ? 0 : seen->second,
                                                        TimeRemaining(aDeadline)),
                              store_relay::ParseListAnswer, { aDeadline, kStallTimeout });
}

// A listing that is relayed crosses two links of hosts, and several hosts may read through one
// peer.
io_result<store_listing> relayed_store::ListByView(instant aDeadline)
{
  const std::string& prefix = mView->Prefix();
  const store_revision known = mView->NewestChange();
  const auto changes =
    Route<watch_result>([&] { return mDirectStore.Watch(prefix, known, milliseconds(0)); },
                        store_relay::MakeWatchCall(prefix, known, milliseconds(0)),
                        store_relay::ParseWatchAnswer, { aDeadline, kStallTimeout });
  if (!changes) {
    return boost::outcome_v2::failure(changes.error());
  }
  if (changes.value().mCompacted) {
    return ListWhole(prefix, aDeadline);
  }
  store_view merged = *mView;
  merged.Apply(changes.value().mChanges, changes.value().mRevision);
  store_listing listing = merged.List();
  listing.mRevision = changes.value().mRevision;
  return listing;
}

// The failure of a direct watch is not counted: a listing follows at once and shows better whether
// the store answers. If interrupted watches counted, a store that drops all watches would make
// every host relay through peers with the same problem.
io_result<watch_result> relayed_store::Watch(std::string_view aPrefix, store_revision aAfter,
                                             milliseconds aWait)
{
  const auto watchDirectly = [&] { return mDirectStore.Watch(aPrefix, aAfter, aWait); };
  auto seen =
    IsDirect()
      ? watchDirectly()
      : Route<watch_result>(watchDirectly, store_relay::MakeWatchCall(aPrefix, aAfter, aWait),
                            store_relay::ParseWatchAnswer,
                            { monotonic_clock::now() + aWait + kWatchMargin, kStallTimeout });
  if (seen) {
    for (const store_change& each : seen.value().mChanges) {
      RecordSeen(aPrefix, each.mValue.mModified);
    }
  }
  return seen;
}

void relayed_store::RecordSeen(std::string_view aPrefix, store_revision aRevision)
{
  store_revision& newest = mSeen.try_emplace(std::string(aPrefix)).first->second;
  newest = std::max(newest, aRevision);
}

io_result<transaction_result> relayed_store::Commit(const store_transaction& aTransaction,
                                                    instant aDeadline)
{
  return Route<transaction_result>(
    [&] { return mDirectStore.Commit(aTransaction, aDeadline); },
    store_relay::MakeCommitCall(aTransaction, TimeRemaining(aDeadline)),
    store_relay::ParseCommitAnswer, aDeadline);
}

io_result<granted_lease> relayed_store::Grant(milliseconds aTimeToLive, instant aDeadline)
{
  return Route<granted_lease>([&] { return mDirectStore.Grant(aTimeToLive, aDeadline); },
                              store_relay::MakeGrantCall(aTimeToLive, TimeRemaining(aDeadline)),
                              store_relay::ParseGrantAnswer, aDeadline);
}

io_result<milliseconds> relayed_store::Renew(store_lease aLease, instant aDeadline)
{
  const auto parse = [](const http_response& aAnswer) -> io_result<milliseconds> {
    const auto lease = store_relay::ParseGrantAnswer(aAnswer);
    if (!lease) {
      return boost::outcome_v2::failure(lease.error());
    }
    return lease.value().mTimeToLive;
  };
  return Route<milliseconds>([&] { return mDirectStore.Renew(aLease, aDeadline); },
                             store_relay::MakeLeaseCall("renew", aLease, TimeRemaining(aDeadline)),
                             parse, aDeadline);
}

io_result<void> relayed_store::Revoke(store_lease aLease, instant aDeadline)
{
  const auto parse = [](const http_response& aAnswer) -> io_result<void> {
    const auto lease = store_relay::ParseGrantAnswer(aAnswer);
    if (!lease) {
      return boost::outcome_v2::failure(lease.error());
    }
    return boost::outcome_v2::success();
  };
  return Route<void>([&] { return mDirectStore.Revoke(aLease, aDeadline); },
                     store_relay::MakeLeaseCall("end", aLease, TimeRemaining(aDeadline)), parse,
                     aDeadline);
}

} // namespace briarwind
