#include "briarwind/freshness.h"
#include "briarwind/testing.h"

#include <algorithm>

using namespace briarwind;

namespace {

constexpr milliseconds kBound{ 2'000 };
constexpr store_revision kRecordRevision = 10;

instant At(int aMilliseconds)
{
  return instant(milliseconds(aMilliseconds));
}

member Scheduler(const std::string& aId, std::uint16_t aPort)
{
  member made;
  made.mId = aId;
  made.mPeer = { "127.0.0.1", aPort };
  made.mHttp = made.mPeer;
  made.mDomain = "d" + std::to_string(aPort % 2);
  return made;
}

member_record Record(store_revision aRevision, std::vector<member> aMembers)
{
  return { aRevision, std::move(aMembers), {} };
}

const std::vector<member> kThree{ Scheduler("a", 1), Scheduler("b", 2), Scheduler("c", 3) };

freshness_report Report(const std::string& aMember, store_revision aHeld)
{
  return { aMember, aHeld, kRecordRevision, true, std::nullopt };
}

} // namespace

// Guards against a scheduler that starts tasks by a stale view. A view must stop being fresh after
// the bound, and a member that is not in the record, has not read the store or holds another record
// must not confirm it.
BW_STORY("a scheduler's view is fresh only for the bound after a valid confirmation")
{
  freshness view("a", kBound);
  view.OnMemberRecord(Record(kRecordRevision, kThree));
  view.OnSettingsApplied(5);
  BW_SECTION("no report confirms a view before the first read of the store")
  {
    view.OnReport(Report("b", 5), At(0));
    view.OnReport(Report("c", 5), At(0));
    BW_CHECK(view.Check(At(1)).mReason == freshness_reason::kNoStoreRead);
    BW_CHECK(!view.Report(At(1)).mHasRead);
  }
  BW_SECTION(
    "after a read of an older store, a majority confirms the view, which confirms no others")
  {
    view.OnOlderStoreRead();
    view.OnReport(Report("b", 5), At(0));
    BW_CHECK(view.Check(At(1)).mReason == freshness_reason::kNotConfirmed);
    view.OnReport(Report("c", 5), At(0));
    BW_CHECK(view.Check(At(1)).IsFresh());
    BW_CHECK(!view.Report(At(1)).mHasRead);
  }
  BW_SECTION("a read of the store confirms the view for the bound and no longer")
  {
    view.OnStoreRead(At(100));
    BW_CHECK(view.Check(At(2'100)).IsFresh());
    BW_CHECK(view.Check(At(2'100)).mUntil == At(2'100));
    BW_CHECK(view.Check(At(2'101)).mReason == freshness_reason::kNotConfirmed);
    BW_SECTION("a peer's confirmation extends the view by no more than its age allows")
    {
      freshness_report report = Report("router", 5); // not in the record
      report.mConfirmedAge = milliseconds(500);
      view.OnReport(report, At(3'000));
      BW_CHECK(view.Check(At(4'500)).IsFresh());
      BW_CHECK(!view.Check(At(4'501)).IsFresh());
    }
    BW_SECTION("a majority of the record without a newer revision confirms the view")
    {
      view.OnReport(Report("b", 5), At(3'000));
      BW_CHECK(view.Check(At(5'000)).IsFresh());
      BW_CHECK(view.Check(At(5'000)).mSource == confirmation_source::kMajority);
    }
    BW_SECTION("a member outside the record does not confirm the view")
    {
      view.OnReport(Report("x", 5), At(3'000));
      BW_CHECK(!view.Check(At(3'000)).IsFresh());
    }
    BW_SECTION("a restarted member that has not read the store does not confirm the view")
    {
      freshness_report report = Report("b", 0);
      report.mHasRead = false;
      view.OnReport(report, At(3'000));
      BW_CHECK(!view.Check(At(3'000)).IsFresh());
    }
    BW_SECTION("a member that holds another record does not confirm the view")
    {
      freshness_report report = Report("b", 5);
      report.mRecord = kRecordRevision + 1;
      view.OnReport(report, At(3'000));
      BW_CHECK(!view.Check(At(3'000)).IsFresh());
    }
    BW_SECTION(
      "a newer revision at a member makes the view stale until the view holds that revision")
    {
      view.OnReport(Report("c", 6), At(200));
      view.OnReport(Report("b", 5), At(300));
      BW_CHECK(view.Check(At(400)).mReason == freshness_reason::kNewerRevision);
      BW_CHECK(!view.Report(At(400)).mConfirmedAge);
      view.OnSettingsApplied(6);
      BW_CHECK(view.Check(At(400)).IsFresh());
    }
  }
  BW_SECTION("a majority confirms the view as of its oldest request")
  {
    view.OnMemberRecord(Record(
      20, { kThree.at(0), kThree.at(1), kThree.at(2), Scheduler("d", 4), Scheduler("e", 5) }));
    view.OnStoreRead(At(0));
    freshness_report report = Report("b", 5);
    report.mRecord = 20;
    view.OnReport(report, At(3'000));
    report.mMember = "c";
    view.OnReport(report, At(4'000));
    BW_CHECK(view.Check(At(5'000)).mUntil == At(5'000));
  }
}

// Guards against two disjoint majorities while the set of members changes: a change must need a
// majority of the new and of the previous set until enough members hold the record with both.
BW_STORY("a member record is replaced by way of a record with both sets")
{
  const member_check none = [](const member&) { return false; };
  const member_check all = [](const member&) { return true; };
  const member_record first = *NextRecord({}, kThree, all);
  BW_EQUAL(std::size_t{ 3 }, first.mMembers.size());
  member_record current{ 10, first.mMembers, {} };
  BW_SECTION("the record stays while the live members are the same")
  {
    BW_CHECK(!NextRecord(current, kThree, all).has_value());
  }
  BW_SECTION("a change of the live members gives a record with both sets")
  {
    const std::vector<member> live{ kThree.at(0), kThree.at(1), Scheduler("d", 4) };
    member_record both = *NextRecord(current, live, all);
    both.mRevision = 11;
    BW_CHECK(both.mPrevious == current.mMembers);
    BW_SECTION("both sets stay listed until majorities of both hold the record")
    {
      BW_CHECK(!NextRecord(both, live, none).has_value());
      const member_check isNewMember = [](const member& aMember) { return aMember.mId == "d"; };
      BW_CHECK(!NextRecord(both, live, isNewMember).has_value());
      BW_CHECK(NextRecord(both, live, all)->mPrevious.empty());
    }
    BW_SECTION("a change needs majorities of both sets")
    {
      const member_check isHolder = [](const member& aMember) {
        return aMember.mId == "a" || aMember.mId == "d";
      };
      BW_CHECK(!HeldByRecordMajorities(both, isHolder, none));
      BW_CHECK(HeldByRecordMajorities(both, all, none));
    }
  }
  BW_SECTION("previous members that were replaced at the same addresses count as holders")
  {
    const std::vector<member> live{ kThree.at(0), Scheduler("b2", 2), Scheduler("c2", 3) };
    member_record both = *NextRecord(current, live, all);
    const member_check isHolder = [&](const member& aMember) {
      return aMember.mId != "b" && aMember.mId != "c";
    };
    BW_CHECK(NextRecord(both, live, isHolder).has_value());
  }
  BW_SECTION("a record holds at most the maximum, spread over the failure domains")
  {
    std::vector<member> many;
    for (int i = 0; i < 40; ++i) {
      many.push_back(Scheduler("m" + std::to_string(i), static_cast<std::uint16_t>(100 + i)));
    }
    const member_record picked = *NextRecord({}, many, all);
    BW_EQUAL(kMaxRecordMembers, picked.mMembers.size());
    const auto even = std::ranges::count(picked.mMembers, "d0", &member::mDomain);
    BW_CHECK(even == 4 || even == 5);
    const auto read = ToIoResult([&] {
      stored_value stored;
      stored.mValue = Encode(picked);
      return DecodeMemberRecord(stored);
    });
    BW_CHECK(read.value() == picked);
  }
}
