#include "briarwind/membership.h"

#include "briarwind/backoff.h"
#include "briarwind/settings_events.h"

#include <algorithm>
#include <utility>

namespace briarwind {

namespace {

constexpr milliseconds kCallTime{ 1'000 };
constexpr milliseconds kKeepAliveInterval{ 3'000 };
constexpr milliseconds kListInterval{ 3'000 };
constexpr milliseconds kFirstWait{ 100 };
constexpr milliseconds kLongestWait{ 2'000 };

instant CallDeadline()
{
  return monotonic_clock::now() + kCallTime;
}

} // namespace

struct membership::state
{
  state(config_store& aStore, member aSelf, std::uint64_t aSeed)
    : mStore(aStore)
    , mSelf(std::move(aSelf))
    , mWait(kFirstWait, kLongestWait, aSeed)
  {
  }

  bool Register();
  bool WriteKey();
  void KeepRegistered();
  void KeepListing();
  io_result<void> Refresh(instant aDeadline);

  config_store& mStore;
  member mSelf;
  backoff mWait;
  store_lease mLease = 0;
  std::vector<member> mLive;
  instant mSameSince = monotonic_clock::now();
  bool mStopped = false;
};

// The key may be there from before: from an attempt whose answer was lost, or in a store that was
// restored. It is ours by its id.
bool membership::state::WriteKey()
{
  store_revision expected = 0;
  for (int attempt = 0; attempt < 2; ++attempt) {
    const auto written =
      mStore.Swap(MemberKey(mSelf.mId), expected, Encode(mSelf), mLease, CallDeadline());
    if (!written) {
      return false;
    }
    if (written.value().mSwapped || written.value().mCurrent.mLease == mLease) {
      return true;
    }
    expected = written.value().mCurrent.mModified;
  }
  return false;
}

bool membership::state::Register()
{
  const auto granted = mStore.GrantLease(kMemberLeaseTime, CallDeadline());
  if (!granted) {
    return false;
  }
  mLease = granted.value();
  if (!WriteKey()) {
    return false;
  }
  LogEvent(kMemberRegistered, { Field("member", mSelf.mId) });
  return true;
}

void membership::state::KeepRegistered()
{
  bool isRegistered = false;
  while (!mStopped) {
    if (!isRegistered) {
      isRegistered = Register();
      SleepFor(isRegistered ? duration(kKeepAliveInterval) : mWait.Next());
      continue;
    }
    const auto kept = mStore.KeepAlive(mLease, CallDeadline());
    if (kept) {
      mWait.Reset();
    } else if (kept.error().mKind == error_kind::kNotFound) {
      LogEvent(kMemberLapsed, { Field("member", mSelf.mId) });
      isRegistered = false;
      continue;
    }
    SleepFor(kept ? duration(kKeepAliveInterval) : mWait.Next());
  }
}

io_result<void> membership::state::Refresh(instant aDeadline)
{
  auto listing = mStore.List(kMembersPrefix, aDeadline);
  if (!listing) {
    mSameSince = monotonic_clock::now();
    return boost::outcome_v2::failure(std::move(listing).error());
  }
  std::vector<member> live = ReadMembers(listing.value());
  if (live != mLive) {
    mLive = std::move(live);
    mSameSince = monotonic_clock::now();
  }
  return boost::outcome_v2::success();
}

void membership::state::KeepListing()
{
  backoff pause(kListInterval, kListInterval, std::hash<std::string>{}(mSelf.mId));
  while (!mStopped) {
    static_cast<void>(Refresh(CallDeadline()));
    const duration least = mLive.empty() ? duration(kFirstWait) : duration(kListInterval / 2);
    SleepFor(least + (mLive.empty() ? duration::zero() : pause.Next() / 2));
  }
}

membership::membership(fiber_runtime& aRuntime, config_store& aStore, member aSelf,
                       std::uint64_t aSeed)
  : mRuntime(aRuntime)
  , mState(std::make_shared<state>(aStore, std::move(aSelf), aSeed))
{
}

membership::~membership()
{
  Stop();
}

void membership::Start()
{
  mRuntime.Spawn([keep = mState] { keep->KeepRegistered(); });
  mRuntime.Spawn([keep = mState] { keep->KeepListing(); });
}

void membership::Stop()
{
  mState->mStopped = true;
}

const member& membership::Self() const
{
  return mState->mSelf;
}

const std::vector<member>& membership::Live() const
{
  return mState->mLive;
}

instant membership::SameSince() const
{
  return mState->mSameSince;
}

io_result<void> membership::Refresh(instant aDeadline)
{
  const std::shared_ptr<state> keep = mState;
  return keep->Refresh(aDeadline);
}

void membership::Leave(instant aDeadline)
{
  Stop();
  if (mState->mLease != 0) {
    static_cast<void>(mState->mStore.RevokeLease(mState->mLease, aDeadline));
  }
}

std::string MakeMemberId(const member& aMember, std::uint64_t aRandom)
{
  return fmt::format("{}-{}-{:08x}", ToString(aMember.mKind), aMember.mPeer.mPort,
                     aRandom & 0xffffffffU);
}

} // namespace briarwind
