#include "relayed_store.h"

#include "control_events.h"

#include <algorithm>
#include <utility>

namespace briarwind {

namespace {

// Calls in a row that have to fail before a peer is asked: one failure is often a lost answer.
constexpr int kFailuresBeforeRelay = 2;
// A call that stays without an answer for this long counts for all of them: a slow store answers
// within 300 ms, and every further silent call takes its caller's time.
constexpr milliseconds kSilence{ 350 };
// Direct calls that failed, and at least one peer that could not help.
constexpr int kFailuresBeforeAway = 4;
constexpr milliseconds kProbeEvery{ 350 };
constexpr milliseconds kProbeDeadline{ 350 };
constexpr std::string_view kProbeKey = "briarwind/hosts/leader";
// A watch at a peer may take this much longer than it waits.
constexpr milliseconds kWatchSlack{ 500 };

bool MeansReached(error_kind aKind)
{
  return aKind == error_kind::kNotFound || aKind == error_kind::kInvalid ||
         aKind == error_kind::kTooLarge;
}

milliseconds TimeLeft(instant aDeadline)
{
  return std::max(milliseconds(1),
                  std::chrono::duration_cast<milliseconds>(aDeadline - monotonic_clock::now()));
}

} // namespace

relayed_store::relayed_store(fiber_runtime& aRuntime, record_store& aDirect, metrics& aMetrics,
                             peer_list aPeers)
  : mRuntime(aRuntime)
  , mDirect(aDirect)
  , mMetrics(aMetrics)
  , mPeers(std::move(aPeers))
  , mPool(aRuntime)
  , mLastDirect(monotonic_clock::now())
{
}

// A host that is turned away itself says so at once; it asks nobody on behalf of others.
http_response relayed_store::Serve(std::string_view aName, std::string_view aBody)
{
  if (!IsDirect()) {
    return JsonResponse(503,
                        R"({"kind":"unavailable","what":"the store turns this host away too"})");
  }
  return store_relay::Serve(mDirect, aName, aBody);
}

// The views of settings and hosts go on asking, so this turns true again by itself.
bool relayed_store::IsReachable() const
{
  return mFailuresInRow < kFailuresBeforeAway;
}

template<class Value, class Direct, class Read>
io_result<Value> relayed_store::Route(const Direct& aDirect, const store_relay::call& aCall,
                                      Read aRead, instant aDeadline)
{
  if (IsDirect()) {
    const instant begun = monotonic_clock::now();
    io_result<Value> answer = aDirect();
    const bool reached = answer.has_value() || MeansReached(answer.error().mKind);
    mFailuresInRow = reached ? 0 : mFailuresInRow + 1;
    NoteDirect(reached, monotonic_clock::now() - begun >= kSilence);
    return answer;
  }
  const std::string asked = mPeer;
  const auto sent = AskPeer(aCall, aDeadline);
  if (!sent) {
    ++mFailuresInRow;
    LeaveRelay(asked);
    return boost::outcome_v2::failure(sent.error());
  }
  io_result<Value> answer = aRead(sent.value());
  const bool reached = answer.has_value() || MeansReached(answer.error().mKind);
  mFailuresInRow = reached ? 0 : mFailuresInRow + 1;
  mMetrics.Count(kStoreRelays, reached ? "answered" : ToString(answer.error().mKind));
  if (!reached) {
    LeaveRelay(asked);
  }
  return answer;
}

// A call may outlast the relay that it began on; it must not lead back onto it.
void relayed_store::LeaveRelay(const std::string& aPeer)
{
  if (mPeer == aPeer) {
    NextPeer();
  }
}

io_result<http_response> relayed_store::AskPeer(const store_relay::call& aCall, instant aDeadline)
{
  const auto peer = Settle([&] { return ParseEndpoint(mPeer); });
  if (!peer) {
    return IoError(error_kind::kUnavailable, mPeer, "no address of a peer");
  }
  http_request request;
  request.mMethod = "POST";
  request.mTarget = "/v1/store/" + aCall.mName;
  request.mBody = aCall.mBody;
  request.mHeaders.Set("Content-Type", "application/json");
  return mPool.Call(peer.value(), request, aDeadline);
}

void relayed_store::NoteDirect(bool aWorked, bool aSilent)
{
  if (aWorked) {
    mFailures = 0;
    mLastDirect = monotonic_clock::now();
    return;
  }
  mFailures += aSilent ? kFailuresBeforeRelay : 1;
  if (mFailures < kFailuresBeforeRelay || !IsDirect()) {
    return;
  }
  NextPeer();
  if (!IsDirect()) {
    LogEvent(kStoreRelayed, { Field("peer", mPeer), Field("failures", mFailures),
                              Field("silent_ms", std::chrono::duration_cast<milliseconds>(
                                                   monotonic_clock::now() - mLastDirect)
                                                   .count()) });
    mRuntime.Spawn([this] { ProbeLoop(); });
  }
}

void relayed_store::NextPeer()
{
  const std::vector<std::string> peers = mPeers();
  if (!peers.empty()) {
    mPeer = peers[mNextPeer++ % peers.size()];
  }
}

void relayed_store::ProbeLoop()
{
  while (!IsDirect()) {
    SleepFor(kProbeEvery);
    const auto probe = mDirect.Get(kProbeKey, monotonic_clock::now() + kProbeDeadline);
    if (probe) {
      mPeer.clear();
      mFailures = 0;
      mLastDirect = monotonic_clock::now();
      LogEvent(kStoreDirect, {});
    }
  }
}

io_result<std::optional<stored_value>> relayed_store::Get(std::string_view aKey, instant aDeadline)
{
  return Route<std::optional<stored_value>>([&] { return mDirect.Get(aKey, aDeadline); },
                                            store_relay::GetCall(aKey, TimeLeft(aDeadline)),
                                            store_relay::GetAnswer, aDeadline);
}

io_result<store_listing> relayed_store::List(std::string_view aPrefix, instant aDeadline)
{
  return Route<store_listing>([&] { return mDirect.List(aPrefix, aDeadline); },
                              store_relay::ListCall(aPrefix, TimeLeft(aDeadline)),
                              store_relay::ListAnswer, aDeadline);
}

// A watch that is cut says little of the store: its listing follows at once and tells more. Were
// cut watches to count, a store that drops them all would send every host to peers that do the
// same.
io_result<watch_answer> relayed_store::Watch(std::string_view aPrefix, store_revision aAfter,
                                             milliseconds aWait)
{
  if (IsDirect()) {
    return mDirect.Watch(aPrefix, aAfter, aWait);
  }
  return Route<watch_answer>([&] { return mDirect.Watch(aPrefix, aAfter, aWait); },
                             store_relay::WatchCall(aPrefix, aAfter, aWait),
                             store_relay::WatchAnswer,
                             monotonic_clock::now() + aWait + kWatchSlack);
}

io_result<transaction_result> relayed_store::Commit(const store_transaction& aTransaction,
                                                    instant aDeadline)
{
  return Route<transaction_result>([&] { return mDirect.Commit(aTransaction, aDeadline); },
                                   store_relay::CommitCall(aTransaction, TimeLeft(aDeadline)),
                                   store_relay::CommitAnswer, aDeadline);
}

io_result<granted_lease> relayed_store::Grant(milliseconds aTimeToLive, instant aDeadline)
{
  return Route<granted_lease>([&] { return mDirect.Grant(aTimeToLive, aDeadline); },
                              store_relay::GrantCall(aTimeToLive, TimeLeft(aDeadline)),
                              store_relay::GrantAnswer, aDeadline);
}

io_result<milliseconds> relayed_store::Renew(store_lease aLease, instant aDeadline)
{
  const auto read = [](const http_response& aAnswer) -> io_result<milliseconds> {
    const auto lease = store_relay::GrantAnswer(aAnswer);
    if (!lease) {
      return boost::outcome_v2::failure(lease.error());
    }
    return lease.value().mTimeToLive;
  };
  return Route<milliseconds>([&] { return mDirect.Renew(aLease, aDeadline); },
                             store_relay::LeaseCall("renew", aLease, TimeLeft(aDeadline)), read,
                             aDeadline);
}

io_result<void> relayed_store::End(store_lease aLease, instant aDeadline)
{
  const auto read = [](const http_response& aAnswer) -> io_result<void> {
    const auto lease = store_relay::GrantAnswer(aAnswer);
    if (!lease) {
      return boost::outcome_v2::failure(lease.error());
    }
    return boost::outcome_v2::success();
  };
  return Route<void>([&] { return mDirect.End(aLease, aDeadline); },
                     store_relay::LeaseCall("end", aLease, TimeLeft(aDeadline)), read, aDeadline);
}

} // namespace briarwind
