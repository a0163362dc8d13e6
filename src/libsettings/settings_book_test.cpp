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
  return ToIoResult([&] { return ParseSettingsPath(aText); }).value();
}

change_request Request(std::string_view aPath, std::optional<std::string> aValue)
{
  return { Path(aPath), std::move(aValue), "ana", "id-1", wall_time(milliseconds(1'000)) };
}

} // namespace

// Guards against settings that go back: a stale answer, a store that was restored from an older
// copy or an invalid value must not replace a newer value in force.
BW_STORY("a settings book replaces a value only by a newer valid one")
{
  settings_book book;
  BW_CHECK(book.Apply(Domain("d1", 5, true)) == book_outcome::kApplied);
  BW_SECTION("a value with a higher revision is applied")
  {
    BW_CHECK(book.Apply(Domain("d1", 6, false)) == book_outcome::kApplied);
    BW_CHECK(!book.View()->mDomains.at("d1").mWithdrawn);
    BW_EQUAL(store_revision{ 6 }, book.Revision());
  }
  BW_SECTION("a value with a lower revision is rejected")
  {
    BW_CHECK(book.Apply(Domain("d1", 4, false)) == book_outcome::kOlder);
    BW_CHECK(book.View()->mDomains.at("d1").mWithdrawn);
    BW_EQUAL(std::uint64_t{ 1 }, book.OlderOffers());
  }
  BW_SECTION("a listing without a held subtree keeps the subtree and does not confirm the view")
  {
    const listing_outcome outcome = book.ApplyListing({ 9, { Domain("d2", 7, true) } });
    BW_CHECK(!outcome.Confirms());
    BW_CHECK(book.View()->mDomains.contains("d1"));
    BW_CHECK(book.View()->mDomains.contains("d2"));
  }
  BW_SECTION("the last valid value stays when a newer one is invalid")
  {
    stored_value wrong = Domain("d1", 8, false);
    BW_SECTION("the newer value is no record")
    {
      wrong.mValue = "{";
    }
    BW_SECTION("the newer value has settings of a wrong type")
    {
      wrong.mValue = R"({"settings":{"withdrawn":1},"history":[]})";
    }
    BW_CHECK(book.Apply(wrong) == book_outcome::kInvalid);
    BW_CHECK(book.View()->mDomains.at("d1").mWithdrawn);
    BW_EQUAL(std::size_t{ 1 }, book.InvalidValues().size());
  }
}

namespace {

// The stored value of /domains/d1 with aChanges, newest first, as the ids in its history.
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

// Guards against the loss of an accepted change after the store was restored from an older copy.
// Such a store assigns the same revisions again, so a value may have a higher revision than the one
// in force and still have been made without the change in force.
BW_STORY("a settings book rejects values of a restored store that lack the held change")
{
  settings_book book;
  book.Apply(Changed(5, { "c2", "c1" }));
  BW_SECTION("a value with a higher revision but without the held change is rejected")
  {
    BW_CHECK(book.Apply(Changed(7, { "c3", "c1" })) == book_outcome::kDiverged);
    BW_EQUAL(std::string("c2"), book.Find(Path("/domains/d1"))->mRecord.mHistory.front().mId);
    BW_EQUAL(store_revision{ 5 }, book.Revision());
  }
  BW_SECTION("a different change with the held revision is rejected")
  {
    BW_CHECK(book.Apply(Changed(5, { "c3", "c1" })) == book_outcome::kDiverged);
    BW_CHECK(!book.ApplyListing({ 5, { Changed(5, { "c3", "c1" }) } }).Confirms());
  }
  BW_SECTION("a value with the held change in its history is applied")
  {
    BW_CHECK(book.Apply(Changed(9, { "c4", "c2", "c1" })) == book_outcome::kApplied);
  }
  BW_SECTION("a full history that no longer lists the held change is judged by its oldest change")
  {
    stored_value value = Changed(90, std::vector<std::string>(kHistoryLength, "later"));
    settings_record record = ToIoResult([&] { return DecodeSettingsRecord(value.mValue); }).value();
    BW_SECTION("the value is applied when that change was made on the held revision")
    {
      record.mHistory.back().mBase = 5;
      value.mValue = Encode(record);
      BW_CHECK(book.Apply(value) == book_outcome::kApplied);
    }
    BW_SECTION("the value is rejected when that change was made on an earlier revision")
    {
      record.mHistory.back().mBase = 4;
      value.mValue = Encode(record);
      BW_CHECK(book.Apply(value) == book_outcome::kDiverged);
    }
  }
}

// Guards against a result that depends on the order in which a process receives values: watches,
// listings and answers of peers may deliver them repeatedly and out of order.
BW_STORY("a settings book ends with the same values in any order and with any repetition")
{
  const bool holds = rc::check("the book holds the highest revision of each subtree", [] {
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

// Guards against a change that is valid alone but not together with the other settings, and against
// a change of one field that loses the other fields.
BW_STORY("a planned change is checked against all stored settings")
{
  settings_book book;
  BW_SECTION("a team with invalid fields gives one finding for each of them")
  {
    const change_plan plan =
      PlanChange(book, Request("/teams/t", R"({"organisation":"o","acceleratorQuota":-1,"x":1})"));
    BW_EQUAL(std::size_t{ 2 }, plan.mFindings.size());
    BW_EQUAL(std::string("/teams/t/acceleratorQuota"), plan.mFindings.at(0).mPlace);
    BW_EQUAL(std::string("/teams/t/x"), plan.mFindings.at(1).mPlace);
    BW_SECTION("a team with valid fields gives a finding for its unknown organisation")
    {
      const change_plan second = PlanChange(book, Request("/teams/t", R"({"organisation":"o"})"));
      BW_EQUAL(std::string("/teams/t/organisation"), second.mFindings.at(0).mPlace);
    }
  }
  BW_SECTION("a change of one field leaves the other fields unchanged")
  {
    book.Apply(Domain("d1", 5, true));
    const change_plan plan = PlanChange(book, Request("/domains/d1/reason", R"("fire")"));
    BW_CHECK(plan.mFindings.empty());
    BW_EQUAL(store_revision{ 5 }, plan.mBase);
    BW_EQUAL(std::string(R"({"withdrawn":true,"reason":"fire"})"), plan.mRecord.mSettings);
    BW_EQUAL(std::string("ana"), plan.mRecord.mHistory.at(0).mAuthor);
  }
  BW_SECTION("the caller's check gets the view that the change would produce")
  {
    const change_plan plan =
      PlanChange(book, Request("/domains/d9", "{}"), [](const settings_view& aView) {
        return findings{ { severity::kError, "/domains", "",
                           std::to_string(aView.mDomains.size()) } };
      });
    BW_EQUAL(std::string("1"), plan.mFindings.at(0).mExpected);
  }
  BW_SECTION("a deleted subtree leaves a record that removes it from the view")
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

// Guards against a field of a record that is lost or changed when the record is stored and read
// back.
BW_STORY("a settings record and its history survive encoding and decoding")
{
  settings_record record;
  record.mSettings = R"({"withdrawn":true})";
  record.mHistory.push_back({ "id", "ana", wall_time(milliseconds(1'764'812'345'678)), 41, "x" });
  const auto read = ToIoResult([&] { return DecodeSettingsRecord(Encode(record)); });
  BW_CHECK(read.has_value());
  BW_CHECK(record == read.value());
  BW_EQUAL(std::string("2025-12-04T01:39:05.678Z"), ToString(record.mHistory.at(0).mAt));
}
