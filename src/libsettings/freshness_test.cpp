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

BW_STORY("a scheduler's view is confirmed")
{
  freshness view("a", kBound);
  view.OnRecord(Record(kRecordRevision, kThree));
  view.OnHeld(5);
  BW_SECTION("by nothing before its first read of the store")
  {
    view.OnReport(Report("b", 5), At(0));
    view.OnReport(Report("c", 5), At(0));
    BW_CHECK(view.Check(At(1)).mReason == freshness_reason::kNoStoreRead);
    BW_CHECK(!view.Report(At(1)).mHasRead);
  }
  BW_SECTION("by others only, after a read of an older store, and confirms none itself")
  {
    view.OnOlderStoreRead();
    view.OnReport(Report("b", 5), At(0));
    BW_CHECK(view.Check(At(1)).mReason == freshness_reason::kNotConfirmed);
    view.OnReport(Report("c", 5), At(0));
    BW_CHECK(view.Check(At(1)).IsFresh());
    BW_CHECK(!view.Report(At(1)).mHasRead);
  }
  BW_SECTION("by its own read, for the bound and no longer")
  {
    view.OnStoreRead(At(100));
    BW_CHECK(view.Check(At(2'100)).IsFresh());
    BW_CHECK(view.Check(At(2'100)).mUntil == At(2'100));
    BW_CHECK(view.Check(At(2'101)).mReason == freshness_reason::kNotConfirmed);
    BW_SECTION("then by a peer that has one, no younger than the peer's")
    {
      freshness_report report = Report("router", 5); // in no majority
      report.mConfirmedAge = milliseconds(500);
      view.OnReport(report, At(3'000));
      BW_CHECK(view.Check(At(4'500)).IsFresh());
      BW_CHECK(!view.Check(At(4'501)).IsFresh());
    }
    BW_SECTION("then by a majority of the record that holds nothing newer")
    {
      view.OnReport(Report("b", 5), At(3'000));
      BW_CHECK(view.Check(At(5'000)).IsFresh());
      BW_CHECK(view.Check(At(5'000)).mSource == confirmation_source::kMajority);
    }
    BW_SECTION("but not by a member that is in no record")
    {
      view.OnReport(Report("x", 5), At(3'000));
      BW_CHECK(!view.Check(At(3'000)).IsFresh());
    }
    BW_SECTION("but not by a restarted member that has not read the store")
    {
      freshness_report report = Report("b", 0);
      report.mHasRead = false;
      view.OnReport(report, At(3'000));
      BW_CHECK(!view.Check(At(3'000)).IsFresh());
    }
    BW_SECTION("but not by a member that holds another record")
    {
      freshness_report report = Report("b", 5);
      report.mRecord = kRecordRevision + 1;
      view.OnReport(report, At(3'000));
      BW_CHECK(!view.Check(At(3'000)).IsFresh());
    }
    BW_SECTION("and by nothing once a member holds a newer revision, until it holds that too")
    {
      view.OnReport(Report("c", 6), At(200));
      view.OnReport(Report("b", 5), At(300));
      BW_CHECK(view.Check(At(400)).mReason == freshness_reason::kNewerRevision);
      BW_CHECK(!view.Report(At(400)).mConfirmedAge);
      view.OnHeld(6);
      BW_CHECK(view.Check(At(400)).IsFresh());
    }
  }
  BW_SECTION("by the oldest answer that makes up its majority")
  {
    view.OnRecord(Record(
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

BW_STORY("a member record follows another")
{
  const member_check none = [](const member&) { return false; };
  const member_check all = [](const member&) { return true; };
  const member_record first = *NextRecord({}, kThree, all);
  BW_EQUAL(std::size_t{ 3 }, first.mMembers.size());
  member_record current{ 10, first.mMembers, {} };
  BW_SECTION("not while the live members are the same")
  {
    BW_CHECK(!NextRecord(current, kThree, all).has_value());
  }
  BW_SECTION("by way of both sets")
  {
    const std::vector<member> live{ kThree.at(0), kThree.at(1), Scheduler("d", 4) };
    member_record both = *NextRecord(current, live, all);
    both.mRevision = 11;
    BW_CHECK(both.mPrevious == current.mMembers);
    BW_SECTION("and stays until a majority of the old one holds it")
    {
      BW_CHECK(!NextRecord(both, live, none).has_value());
      const member_check onlyNew = [](const member& aMember) { return aMember.mId == "d"; };
      BW_CHECK(!NextRecord(both, live, onlyNew).has_value());
      BW_CHECK(NextRecord(both, live, all)->mPrevious.empty());
    }
    BW_SECTION("and a change is accepted only by majorities of both")
    {
      const member_check newOnes = [](const member& aMember) {
        return aMember.mId == "a" || aMember.mId == "d";
      };
      BW_CHECK(!HeldByRecord(both, newOnes, none));
      BW_CHECK(HeldByRecord(both, all, none));
    }
  }
  BW_SECTION("also when most of the old one was replaced at the same addresses")
  {
    const std::vector<member> live{ kThree.at(0), Scheduler("b2", 2), Scheduler("c2", 3) };
    member_record both = *NextRecord(current, live, all);
    const member_check newOnes = [&](const member& aMember) {
      return aMember.mId != "b" && aMember.mId != "c";
    };
    BW_CHECK(NextRecord(both, live, newOnes).has_value());
  }
  BW_SECTION("and holds no more than the most, spread over the failure domains")
  {
    std::vector<member> many;
    for (int i = 0; i < 40; ++i) {
      many.push_back(Scheduler("m" + std::to_string(i), static_cast<std::uint16_t>(100 + i)));
    }
    const member_record picked = *NextRecord({}, many, all);
    BW_EQUAL(kMostRecordMembers, picked.mMembers.size());
    const auto even = std::ranges::count(picked.mMembers, "d0", &member::mDomain);
    BW_CHECK(even == 4 || even == 5);
    const auto read = Settle([&] {
      stored_value stored;
      stored.mValue = Encode(picked);
      return DecodeMemberRecord(stored);
    });
    BW_CHECK(read.value() == picked);
  }
}
