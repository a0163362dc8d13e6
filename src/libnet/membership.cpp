#include "briarwind/membership.h"

#include "briarwind/backoff.h"
#include "briarwind/settings_events.h"

#include <algorithm>
#include <utility>

namespace briarwind {

namespace {

constexpr milliseconds kCallTimeout{ 1'000 };
constexpr milliseconds kKeepAliveInterval{ 3'000 };
constexpr milliseconds kListInterval{ 3'000 };
constexpr milliseconds kInitialRetryDelay{ 100 };
constexpr milliseconds kMaxRetryDelay{ 2'000 };

instant CallDeadline()
{
  return monotonic_clock::now() + kCallTimeout;
}

} // namespace

struct membership::state
{
  state(config_store& aStore, member aSelf, std::uint64_t aSeed)
    : mStore(aStore)
    , mSelf(std::move(aSelf))
    , mRetryDelay(kInitialRetryDelay, kMaxRetryDelay, aSeed)
  {
  }

  bool Register();
  bool WriteKey();
  void RunRegistration();
  void RunListing();
  io_result<void> Refresh(instant aDeadline);

  config_store& mStore;
  member mSelf;
  backoff mRetryDelay;
  store_lease mLease = 0;
  std::vector<member> mLiveMembers;
  instant mUnchangedSince = monotonic_clock::now();
  bool mStopped = false;
};

// The key may already exist: an earlier attempt may have succeeded although its response was lost,
// or the store may have been restored from an older copy. The member id is unique, so the key
// belongs to this process and the second attempt overwrites it.
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

void membership::state::RunRegistration()
{
  bool isRegistered = false;
  while (!mStopped) {
    if (!isRegistered) {
      isRegistered = Register();
      SleepFor(isRegistered ? duration(kKeepAliveInterval) : mRetryDelay.Next());
      continue;
    }
    const auto renewed = mStore.KeepAlive(mLease, CallDeadline());
    if (renewed) {
      mRetryDelay.Reset();
    } else if (renewed.error().mKind == error_kind::kNotFound) {
      LogEvent(kMemberLapsed, { Field("member", mSelf.mId) });
      isRegistered = false;
      continue;
    }
    SleepFor(renewed ? duration(kKeepAliveInterval) : mRetryDelay.Next());
  }
}

io_result<void> membership::state::Refresh(instant aDeadline)
{
  auto listing = mStore.List(kMembersPrefix, aDeadline);
  if (!listing) {
    mUnchangedSince = monotonic_clock::now();
    return boost::outcome_v2::failure(std::move(listing).error());
  }
  std::vector<member> live = ReadMembers(listing.value());
  if (live != mLiveMembers) {
    mLiveMembers = std::move(live);
    mUnchangedSince = monotonic_clock::now();
  }
  return boost::outcome_v2::success();
}

void membership::state::RunListing()
{
  backoff pause(kListInterval, kListInterval, std::hash<std::string>{}(mSelf.mId));
  while (!mStopped) {
    static_cast<void>(Refresh(CallDeadline()));
    const duration minWait =
      mLiveMembers.empty() ? duration(kInitialRetryDelay) : duration(kListInterval / 2);
    SleepFor(minWait + (mLiveMembers.empty() ? duration::zero() : pause.Next() / 2));
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
  mRuntime.Spawn([self = mState] { self->RunRegistration(); });
  mRuntime.Spawn([self = mState] { self->RunListing(); });
}

void membership::Stop()
{
  mState->mStopped = true;
}

const member& membership::Self() const
{
  return mState->mSelf;
}

const std::vector<member>& membership::LiveMembers() const
{
  return mState->mLiveMembers;
}

instant membership::UnchangedSince() const
{
  return mState->mUnchangedSince;
}

io_result<void> membership::Refresh(instant aDeadline)
{
  const std::shared_ptr<state> self = mState;
  return self->Refresh(aDeadline);
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
