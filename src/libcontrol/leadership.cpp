#include "leadership.h"

#include "control_events.h"

#include "briarwind/json_fields.h"

#include <boost/json.hpp>

#include <algorithm>
#include <random>
#include <ranges>

namespace briarwind {

namespace json = boost::json;

namespace {

// A host that died is replaced within this. Renewed four times within it, so that one lost answer
// does not cost the lead; a slow store takes up to 300 ms for an answer.
constexpr milliseconds kLeaseTime{ 1'300 };
constexpr milliseconds kRenewEvery{ 300 };
constexpr milliseconds kRenewDeadline{ 400 };
// Clocks of two hosts may differ by 2% in speed.
constexpr double kClockDrift = 0.97;
// Between the check and the moment an order is on its way.
constexpr milliseconds kOrderMargin{ 50 };
// One more look at each worker fits into this, on the weakest host that may lead.
constexpr milliseconds kAboutToEnd{ 450 };
// The weakest host waits this much longer than a whole core before it tries to lead.
constexpr milliseconds kWeakestWait{ 160 };
constexpr milliseconds kElectionPause{ 120 };
constexpr milliseconds kCallDeadline{ 800 };

std::string MakeIdentity(const std::string& aName)
{
  std::random_device random;
  return fmt::format("{}-{:08x}{:08x}", aName, random(), random());
}

} // namespace

leadership::leadership(fiber_runtime& aRuntime, record_store& aStore, metrics& aMetrics,
                       std::string aName, std::string aAddress, double aShare, callbacks aCallbacks)
  : mRuntime(aRuntime)
  , mStore(aStore)
  , mName(std::move(aName))
  , mAddress(std::move(aAddress))
  , mIdentity(MakeIdentity(mName))
  , mShare(aShare)
  , mCallbacks(std::move(aCallbacks))
  , mFollower(aStore, aMetrics, "briarwind/hosts/",
              { [this](const store_listing& aListing) { Listed(aListing); },
                [this](const std::vector<store_change>& aChanges) {
                  for (const store_change& each : aChanges) {
                    Apply(each.mValue, each.mDeleted);
                  }
                },
                [] { return true; } })
{
}

void leadership::Start()
{
  mRuntime.Spawn([this] { mFollower.Run(); });
  mRuntime.Spawn([this] { Announce(); });
  mRuntime.Spawn([this] { RunElection(); });
}

void leadership::Resign()
{
  mResigned = true;
  if (!Leads()) {
    return;
  }
  const store_lease lease = mLease;
  LoseLead();
  const auto ended = mStore.End(lease, monotonic_clock::now() + kCallDeadline);
  if (!ended) {
    LogEvent(kLeadNotHandedOver, { Field("error", ToString(ended.error().mKind)) });
  }
}

bool leadership::MayOrder() const
{
  return Leads() && BootNow() + kOrderMargin < mValidUntil;
}

bool leadership::IsAboutToEnd() const
{
  return MayOrder() && !mConfirmed && BootNow() + kOrderMargin + kAboutToEnd >= mValidUntil;
}

milliseconds leadership::SinceConfirmed() const
{
  return std::chrono::duration_cast<milliseconds>(BootNow() - mConfirmedAt);
}

store_condition leadership::Condition() const
{
  return { std::string(kLeaderKey), mEpoch };
}

void leadership::LoseLead()
{
  if (Leads()) {
    LogEvent(kLeadLost, { Field("epoch", mEpoch) });
    ++mLosses;
    mEpoch = 0;
    mLease = 0;
    mLapsed = false;
    mConfirmed = false;
    mValidUntil = {};
    mCallbacks.mLost();
  }
}

std::string leadership::LeaderAddress() const
{
  if (!mLeader) {
    return {};
  }
  const auto read = Settle([&] { return ParseJsonObject(mLeader->mValue); });
  return read ? TextField(read.value(), "address") : std::string();
}

// One key a host, without a lease: a host that is gone costs its peers one refused call.
void leadership::Announce()
{
  store_transaction write;
  write.mWrites.push_back({ std::string(kPeerPrefix) + mName, mAddress, 0 });
  bool logged = false;
  while (true) {
    const auto done = mStore.Commit(write, monotonic_clock::now() + kCallDeadline);
    if (done) {
      return;
    }
    if (!std::exchange(logged, true)) {
      LogEvent(kStoreViewLost, { Field("prefix", kPeerPrefix), Field("revision", 0),
                                 Field("error", ToString(done.error().mKind)),
                                 Field("what", std::string_view(done.error().mWhat)) });
    }
    SleepFor(kRenewEvery);
  }
}

void leadership::Listed(const store_listing& aListing)
{
  mLeader.reset();
  mTerm = 0;
  mTermIsOurs = false;
  mPeers.clear();
  std::ranges::for_each(aListing.mValues, [this](const auto& aValue) { Apply(aValue, false); });
  mViewKnown = true;
}

void leadership::Apply(const stored_value& aValue, bool aDeleted)
{
  if (aValue.mKey == kLeaderKey) {
    const bool older = mLeader && aValue.mModified < mLeader->mModified;
    if (older) {
      return;
    }
    mLeader = aDeleted ? std::nullopt : std::optional(aValue);
    // A key that has lapsed may be claimed again, as the next renewal finds out. Our own claim may
    // be seen here before its answer.
    const bool another = mLeader && mLeader->mModified > mEpoch && !IsOwnClaim(*mLeader);
    if (Leads() && another) {
      LoseLead();
    }
    return;
  }
  if (aValue.mKey == kTermKey && aValue.mModified >= mTerm) {
    mTerm = aValue.mModified;
    mTermIsOurs = !aDeleted && aValue.mValue == mIdentity;
    return;
  }
  if (aValue.mKey.starts_with(kPeerPrefix)) {
    const std::string name = aValue.mKey.substr(kPeerPrefix.size());
    if (aDeleted) {
      mPeers.erase(name);
    } else {
      mPeers[name] = aValue.mValue;
    }
  }
}

void leadership::RunElection()
{
  std::mt19937_64 random(std::random_device{}());
  while (true) {
    SleepFor(kElectionPause / 2 + milliseconds(random() % kElectionPause.count()) / 2);
    if (mResigned || Leads() || !mViewKnown || mLeader) {
      continue;
    }
    SleepFor(
      std::chrono::duration_cast<milliseconds>(kWeakestWait * std::clamp(1.0 - mShare, 0.0, 1.0)));
    if (mResigned || mLeader) {
      continue;
    }
    if (TryToLead(0) == claim_fate::kWon) {
      Begin();
    }
  }
}

// @param aTerm revision that the term key must still have; 0: any
leadership::claim_fate leadership::TryToLead(store_revision aTerm)
{
  const boot_instant asked = BootNow();
  const auto lease = mStore.Grant(kLeaseTime, monotonic_clock::now() + kCallDeadline);
  if (!lease) {
    return claim_fate::kNotMade;
  }
  // The view may show the claim before its answer is here.
  mClaimLease = lease.value().mLease;
  store_transaction claim;
  claim.mConditions.push_back({ std::string(kLeaderKey), 0 });
  if (aTerm != 0) {
    claim.mConditions.push_back({ std::string(kTermKey), aTerm });
  }
  claim.mWrites.push_back({ std::string(kTermKey), mIdentity, 0 });
  claim.mWrites.push_back(
    { std::string(kLeaderKey),
      json::serialize(json::object{ { "address", mAddress }, { "identity", mIdentity } }),
      mClaimLease });
  const auto done = mStore.Commit(claim, monotonic_clock::now() + kCallDeadline);
  std::int64_t epoch = 0;
  if (done) {
    if (!done.value().mCommitted) {
      return claim_fate::kLost;
    }
    epoch = done.value().mRevision;
  } else {
    if (done.error().mKind != error_kind::kUnknownOutcome) {
      return claim_fate::kNotMade;
    }
    // The claim may be there without an answer. If it only comes to be there later, the view shows
    // it, nobody renews it, and it ends with its lease.
    const auto read = mStore.Get(kLeaderKey, monotonic_clock::now() + kCallDeadline);
    if (!read || !read.value() || read.value()->mLease != mClaimLease) {
      return claim_fate::kUnclear;
    }
    epoch = read.value()->mModified;
  }
  mLease = mClaimLease;
  mEpoch = epoch;
  mLapsed = false;
  mConfirmed = true;
  mConfirmedAt = asked;
  mValidUntil =
    asked + std::chrono::duration_cast<milliseconds>(lease.value().mTimeToLive * kClockDrift);
  return claim_fate::kWon;
}

void leadership::Begin()
{
  if (mResigned) {
    Resign();
    return;
  }
  ++mLeads;
  LogEvent(kLeadGained, { Field("epoch", mEpoch), Field("lease", mLease) });
  mRuntime.Spawn([this] { RenewLoop(); });
  mCallbacks.mGained(mEpoch);
}

void leadership::RenewLoop()
{
  const int lead = mLeads;
  const auto holds = [&] { return Leads() && mLeads == lead; };
  while (holds()) {
    SleepFor(mConfirmed ? kRenewEvery : kRenewEvery / 5);
    if (!holds()) {
      return;
    }
    const bool confirmed = mLapsed ? Reclaim() : RenewOnce();
    if (holds() && std::exchange(mConfirmed, confirmed) != confirmed) {
      LogEvent(confirmed ? kLeadConfirmed : kLeadUnconfirmed, { Field("epoch", mEpoch) });
    }
  }
}

bool leadership::RenewOnce()
{
  const store_lease lease = mLease;
  const boot_instant asked = BootNow();
  const auto renewed = mStore.Renew(lease, monotonic_clock::now() + kRenewDeadline);
  if (!Leads() || mLease != lease) {
    return false;
  }
  if (renewed) {
    mConfirmedAt = asked;
    mValidUntil = std::max(
      mValidUntil, asked + std::chrono::duration_cast<milliseconds>(renewed.value() * kClockDrift));
    return true;
  }
  if (renewed.error().mKind != error_kind::kNotFound) {
    return false;
  }
  mLapsed = true;
  mValidUntil = {};
  return Reclaim();
}

// The store has ended the lease, as it does in some outages. While the term key is as this process
// wrote it nobody has led since, so all that is known here still holds, and need not be read anew
// while leases of workers run out.
bool leadership::Reclaim()
{
  if (mResigned || !mTermIsOurs) {
    LoseLead();
    return false;
  }
  const std::int64_t before = mEpoch;
  const int losses = mLosses;
  const claim_fate fate = TryToLead(mTerm);
  if (fate == claim_fate::kWon) {
    if (mLosses != losses) {
      Begin(); // a worker or the view had this host step down meanwhile: nothing known holds
      return true;
    }
    LogEvent(kLeadReclaimed,
             { Field("epoch", mEpoch), Field("before", before), Field("lease", mLease) });
    mCallbacks.mReclaimed(mEpoch);
    return true;
  }
  if (fate != claim_fate::kNotMade) {
    LoseLead();
  }
  return false;
}

} // namespace briarwind
