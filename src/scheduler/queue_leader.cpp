#include "queue_leader.h"

#include "scheduler_events.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace briarwind {

namespace json = boost::json;

namespace {

constexpr std::string_view kLeaderKey = "/briarwind/leaders/main";
constexpr milliseconds kStoreTimeout{ 1'000 };
constexpr milliseconds kRetryWait{ 200 };
constexpr milliseconds kMembersTimeout{ 500 };
constexpr milliseconds kQuorumPatience{ 30'000 };
// Followers that see the key go do not all write at once.
constexpr milliseconds kElectionSpread{ 300 };
constexpr milliseconds kFlushTime{ 3'000 };
constexpr milliseconds kFlushCheck{ 50 };

instant StoreDeadline()
{
  return monotonic_clock::now() + kStoreTimeout;
}

// The store counts leases in whole seconds.
seconds LeaseSeconds(milliseconds aTimeToLive)
{
  return std::max(seconds(1), std::chrono::ceil<seconds>(aTimeToLive));
}

} // namespace

queue_leader::queue_leader(config_store& aStore, scheduler_engine& aEngine,
                           const scheduler_options& aOptions, endpoint aSelf,
                           leader_quorum& aQuorum, job_list_observer aOnUnsaved)
  : mStore(aStore)
  , mEngine(aEngine)
  , mTimeToLive(aOptions.mLeaderTimeToLive)
  , mName(aOptions.mName)
  , mSelf(std::move(aSelf))
  , mQuorum(aQuorum)
  , mOnUnsaved(std::move(aOnUnsaved))
  , mRandom(std::random_device{}())
{
  mEngine.OnStaleEpoch([this] { mStale = true; });
}

void queue_leader::Run()
{
  while (!mResigned) {
    if (IsLeader()) {
      Lead();
    } else {
      Follow();
    }
  }
}

void queue_leader::See(const stored_value& aValue)
{
  boost::system::error_code failed;
  const json::value parsed = json::parse(aValue.mValue, failed);
  const json::object* fields = parsed.if_object();
  const json::value* address = fields != nullptr ? fields->if_contains("address") : nullptr;
  if (failed || address == nullptr || !address->is_string()) {
    return;
  }
  const auto leader = Settle([&] { return ParseEndpoint(address->as_string()); });
  if (leader) {
    mLeader = leader.value();
  }
}

// Watches the key while somebody else holds it. A cut watch is no sign that the leader has gone:
// only a listing without the key is.
void queue_leader::Follow()
{
  const auto listing = mStore.List(kLeaderKey, StoreDeadline());
  if (!listing) {
    SleepFor(kRetryWait);
    return;
  }
  if (listing.value().mValues.empty()) {
    mLeader.reset();
    Compete();
    return;
  }
  See(listing.value().mValues.front());
  mStore.Watch(kLeaderKey, listing.value().mRevision + 1, [this](const watch_batch& aBatch) {
    const bool gone = std::ranges::any_of(aBatch.mChanges, &store_change::mDeleted);
    return !gone && !mResigned;
  });
  SleepFor(milliseconds(std::uniform_int_distribution<int>(0, kElectionSpread.count())(mRandom)));
}

void queue_leader::Compete()
{
  // A leader that knows no workers yet could not take over.
  if (!mEngine.HasHosts()) {
    SleepFor(kRetryWait);
    return;
  }
  const instant begun = monotonic_clock::now();
  const auto lease = mStore.GrantLease(LeaseSeconds(mTimeToLive), StoreDeadline());
  if (!lease) {
    SleepFor(kRetryWait);
    return;
  }
  const std::string value =
    json::serialize(json::object{ { "name", mName }, { "address", ToString(mSelf) } });
  const auto swapped = mStore.Swap(kLeaderKey, 0, value, lease.value(), StoreDeadline());
  if (!swapped || !swapped.value().mSwapped) {
    // After an unclear answer the key may be ours without our knowing its revision: giving the
    // lease back removes it, and the next round is clean.
    static_cast<void>(mStore.RevokeLease(lease.value(), StoreDeadline()));
    return;
  }
  mLease = lease.value();
  mEpoch = swapped.value().mRevision;
  mConfirmed = begun;
  mElected = begun;
  mLeader = mSelf;
  mStale = false;
  LogEvent(kLeaderElected, { Field("epoch", mEpoch) });
}

bool queue_leader::IsConfirmed(instant aNow) const
{
  return IsLeader() && aNow - mConfirmed <= mTimeToLive;
}

void queue_leader::Lead()
{
  bool acting = false;
  while (IsLeader() && !mResigned) {
    acting = acting || (MayTakeOver() && mEngine.TakeOver(mEpoch));
    Heartbeat();
    if (mStale) {
      StepDown("a later leader is known");
    } else if (!IsConfirmed(monotonic_clock::now())) {
      StepDown("neither the store nor a majority confirmed it in time");
    } else {
      SleepFor(acting ? mTimeToLive / 3 : kRetryWait);
    }
  }
}

// A majority that knows our epoch keeps an older leader, cut off from the store, from renewing
// leases. When the majority has died there is nobody left to confirm such a leader either, so a
// long wait without one ends.
bool queue_leader::MayTakeOver()
{
  const instant now = monotonic_clock::now();
  const auto round = mQuorum.Ask(mEpoch, now + kMembersTimeout);
  mStale = mStale || round.mSuperseded;
  return round.mHasMajority || now - mElected > kQuorumPatience;
}

void queue_leader::Heartbeat()
{
  const instant begun = monotonic_clock::now();
  const auto kept = mStore.KeepAlive(mLease, begun + kStoreTimeout);
  const bool reached = kept || kept.error().mKind == error_kind::kNotFound;
  if (mEngine.Core().Status().mStoreReachable != reached) {
    mEngine.Take(store_reachable{ reached });
  }
  if (kept) {
    mConfirmed = begun;
    mUnconfirmed = false;
  } else if (reached) {
    StepDown(FlushUnsaved() ? "the lease lapsed" : "the lease lapsed with jobs not yet recorded");
  } else {
    AskMembers();
  }
}

void queue_leader::AskMembers()
{
  if (!std::exchange(mUnconfirmed, true)) {
    LogEvent(kLeaderUnconfirmed, { Field("epoch", mEpoch) });
  }
  const instant begun = monotonic_clock::now();
  const auto round = mQuorum.Ask(mEpoch, begun + kMembersTimeout);
  mStale = mStale || round.mSuperseded;
  if (round.mHasMajority) {
    mConfirmed = begun;
  }
}

// After an outage the store no longer knows our lease, but the core may hold jobs and ends that it
// could not record: they are written first. The compare-and-swap of each record keeps that safe
// when somebody else leads by now.
bool queue_leader::FlushUnsaved()
{
  const instant until = monotonic_clock::now() + kFlushTime;
  const auto saved = [this] {
    return std::ranges::all_of(mEngine.Core().Jobs(), &job_view::mStored);
  };
  while (!saved() && monotonic_clock::now() < until) {
    SleepFor(kFlushCheck);
  }
  return saved();
}

void queue_leader::StepDown(const std::string& aReason)
{
  if (!IsLeader()) {
    return;
  }
  LogEvent(kLeaderLost, { Field("epoch", mEpoch), Field("reason", aReason) });
  mEpoch = 0;
  mLeader.reset();
  std::vector<job_spec> unsaved = mEngine.StepDown();
  static_cast<void>(mStore.RevokeLease(std::exchange(mLease, 0), StoreDeadline()));
  if (!unsaved.empty()) {
    mOnUnsaved(std::move(unsaved));
  }
}

void queue_leader::Resign()
{
  mResigned = true;
  StepDown("the process stops");
}

} // namespace briarwind
