#include "briarwind/settings_book.h"
#include "briarwind/settings_change.h"
#include "briarwind/testing.h"

#include <rapidcheck.h>

#include <map>

using namespace briarwind;

namespace {

stored_value Domain(const std::string& aName, store_revision aRevision, bool aWithdrawn)
{
  settings_record record;
  record.mSettings = aWithdrawn ? R"({"withdrawn":true})" : R"({"withdrawn":false})";
  stored_value value;
  value.mKey = std::string(kSettingsPrefix) + "domains/" + aName;
  value.mValue = Encode(record);
  value.mModified = aRevision;
  return value;
}

settings_path Path(std::string_view aText)
{
  return Settle([&] { return ParseSettingsPath(aText); }).value();
}

change_request Request(std::string_view aPath, std::optional<std::string> aValue)
{
  return { Path(aPath), std::move(aValue), "ana", "id-1", wall_time(milliseconds(1'000)) };
}

} // namespace

BW_STORY("a book of settings")
{
  settings_book book;
  BW_CHECK(book.Apply(Domain("d1", 5, true)) == book_outcome::kApplied);
  BW_SECTION("applies a higher revision")
  {
    BW_CHECK(book.Apply(Domain("d1", 6, false)) == book_outcome::kApplied);
    BW_CHECK(!book.View()->mDomains.at("d1").mWithdrawn);
    BW_EQUAL(store_revision{ 6 }, book.Revision());
  }
  BW_SECTION("never goes back to a lower one")
  {
    BW_CHECK(book.Apply(Domain("d1", 4, false)) == book_outcome::kOlder);
    BW_CHECK(book.View()->mDomains.at("d1").mWithdrawn);
    BW_EQUAL(std::uint64_t{ 1 }, book.OlderOffers());
  }
  BW_SECTION("keeps what a restored store has lost, and is not confirmed by it")
  {
    const listing_outcome outcome = book.ApplyListing({ 9, { Domain("d2", 7, true) } });
    BW_CHECK(!outcome.Confirms());
    BW_CHECK(book.View()->mDomains.contains("d1"));
    BW_CHECK(book.View()->mDomains.contains("d2"));
  }
  BW_SECTION("keeps the last good value when a newer one cannot be read")
  {
    stored_value wrong = Domain("d1", 8, false);
    BW_SECTION("because it is no record")
    {
      wrong.mValue = "{";
    }
    BW_SECTION("because its settings are wrong")
    {
      wrong.mValue = R"({"settings":{"withdrawn":1},"history":[]})";
    }
    BW_CHECK(book.Apply(wrong) == book_outcome::kInvalid);
    BW_CHECK(book.View()->mDomains.at("d1").mWithdrawn);
    BW_EQUAL(std::size_t{ 1 }, book.InvalidValues().size());
  }
}

namespace {

// A subtree as the changes c1 … cN of one history leave it, newest first.
stored_value Changed(store_revision aRevision, const std::vector<std::string>& aChanges)
{
  settings_record record;
  record.mSettings = R"({"withdrawn":true})";
  for (const std::string& each : aChanges) {
    record.mHistory.push_back({ each, "ana", wall_time(milliseconds(1'000)), 0, "" });
  }
  stored_value value;
  value.mKey = std::string(kSettingsPrefix) + "domains/d1";
  value.mValue = Encode(record);
  value.mModified = aRevision;
  return value;
}

} // namespace

BW_STORY("a book and a store that went back to an older copy")
{
  settings_book book;
  book.Apply(Changed(5, { "c2", "c1" }));
  BW_SECTION("keeps out a later value that was written without the held change")
  {
    BW_CHECK(book.Apply(Changed(7, { "c3", "c1" })) == book_outcome::kDiverged);
    BW_EQUAL(std::string("c2"), book.Find(Path("/domains/d1"))->mRecord.mHistory.front().mId);
    BW_EQUAL(store_revision{ 5 }, book.Revision());
  }
  BW_SECTION("takes no other change for the held one though its revision is the same")
  {
    BW_CHECK(book.Apply(Changed(5, { "c3", "c1" })) == book_outcome::kDiverged);
    BW_CHECK(!book.ApplyListing({ 5, { Changed(5, { "c3", "c1" }) } }).Confirms());
  }
  BW_SECTION("goes on once the held change is back in the history")
  {
    BW_CHECK(book.Apply(Changed(9, { "c4", "c2", "c1" })) == book_outcome::kApplied);
  }
  BW_SECTION("goes on after more changes than a history remembers")
  {
    stored_value value = Changed(90, std::vector<std::string>(kHistoryLength, "later"));
    settings_record record = Settle([&] { return DecodeSettingsRecord(value.mValue); }).value();
    BW_SECTION("when the oldest of them was made on what is held, or later")
    {
      record.mHistory.back().mBase = 5;
      value.mValue = Encode(record);
      BW_CHECK(book.Apply(value) == book_outcome::kApplied);
    }
    BW_SECTION("but not when it was made on something earlier")
    {
      record.mHistory.back().mBase = 4;
      value.mValue = Encode(record);
      BW_CHECK(book.Apply(value) == book_outcome::kDiverged);
    }
  }
}

BW_STORY("a book offered the same values in any order and any number of times")
{
  const bool holds = rc::check("holds the highest revision of each subtree", [] {
    const auto offers = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(1, 30)));
    settings_book book;
    std::map<std::string, store_revision> highest;
    store_revision last = 0;
    for (const auto& [domain, revision] : offers) {
      const std::string name = "d" + std::to_string(domain);
      book.Apply(Domain(name, revision, revision % 2 == 0));
      highest[name] = std::max(highest[name], store_revision{ revision });
      RC_ASSERT(book.Revision() >= last);
      last = book.Revision();
    }
    for (const auto& [name, revision] : highest) {
      RC_ASSERT(book.View()->mDomains.at(name).mWithdrawn == (revision % 2 == 0));
    }
  });
  BW_CHECK(holds);
}

BW_STORY("a change is planned against everything that is stored")
{
  settings_book book;
  BW_SECTION("a team of an unknown organisation is refused with all other findings")
  {
    const change_plan plan =
      PlanChange(book, Request("/teams/t", R"({"organisation":"o","acceleratorQuota":-1,"x":1})"));
    BW_EQUAL(std::size_t{ 2 }, plan.mFindings.size());
    BW_EQUAL(std::string("/teams/t/acceleratorQuota"), plan.mFindings.at(0).mPlace);
    BW_EQUAL(std::string("/teams/t/x"), plan.mFindings.at(1).mPlace);
    BW_SECTION("once its own fields are right")
    {
      const change_plan second = PlanChange(book, Request("/teams/t", R"({"organisation":"o"})"));
      BW_EQUAL(std::string("/teams/t/organisation"), second.mFindings.at(0).mPlace);
    }
  }
  BW_SECTION("one field of a subtree is set and leaves the others as they are")
  {
    book.Apply(Domain("d1", 5, true));
    const change_plan plan = PlanChange(book, Request("/domains/d1/reason", R"("fire")"));
    BW_CHECK(plan.mFindings.empty());
    BW_EQUAL(store_revision{ 5 }, plan.mBase);
    BW_EQUAL(std::string(R"({"withdrawn":true,"reason":"fire"})"), plan.mRecord.mSettings);
    BW_EQUAL(std::string("ana"), plan.mRecord.mHistory.at(0).mAuthor);
  }
  BW_SECTION("a check of the caller's sees the settings as they would be")
  {
    const change_plan plan =
      PlanChange(book, Request("/domains/d9", "{}"), [](const settings_view& aView) {
        return findings{ { severity::kError, "/domains", "",
                           std::to_string(aView.mDomains.size()) } };
      });
    BW_EQUAL(std::string("1"), plan.mFindings.at(0).mExpected);
  }
  BW_SECTION("deleting leaves a record that deletes it in force")
  {
    book.Apply(Domain("d1", 5, true));
    const change_plan plan = PlanChange(book, Request("/domains/d1", std::nullopt));
    stored_value stored = Domain("d1", 6, true);
    stored.mValue = Encode(plan.mRecord);
    BW_CHECK(book.Apply(stored) == book_outcome::kApplied);
    BW_CHECK(book.View()->mDomains.empty());
    BW_CHECK(book.Apply(Domain("d1", 5, true)) == book_outcome::kOlder);
  }
}

BW_STORY("a record keeps its last changes through its stored form")
{
  settings_record record;
  record.mSettings = R"({"withdrawn":true})";
  record.mHistory.push_back({ "id", "ana", wall_time(milliseconds(1'764'812'345'678)), 41, "x" });
  const auto read = Settle([&] { return DecodeSettingsRecord(Encode(record)); });
  BW_CHECK(read.has_value());
  BW_CHECK(record == read.value());
  BW_EQUAL(std::string("2025-12-04T01:39:05.678Z"), ToString(record.mHistory.at(0).mAt));
}
