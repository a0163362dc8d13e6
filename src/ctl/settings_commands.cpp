#include "ctl_command.h"
#include "ctl_input.h"
#include "guarantee_check.h"
#include "in_force.h"

#include "briarwind/settings_change.h"
#include "briarwind/settled_swap.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <random>

namespace briarwind {

namespace json = boost::json;

namespace {

constexpr milliseconds kReadTime{ 3'000 };
constexpr milliseconds kFirstPoll{ 2 };
constexpr milliseconds kLongestPoll{ 200 };
constexpr milliseconds kFirstWait{ 50 };
constexpr milliseconds kLongestWait{ 1'000 };

std::uint64_t RandomNumber()
{
  std::random_device device;
  return (std::uint64_t{ device() } << 32U) | device();
}

// Tries again until the deadline, since the store may be away for a moment.
io_result<settings_book> ReadBook(ctl_context& aContext)
{
  const instant deadline = aContext.Deadline();
  backoff pause(kFirstWait, kLongestWait, RandomNumber());
  for (;;) {
    const instant now = monotonic_clock::now();
    auto listing = aContext.mStore.List(kSettingsPrefix, std::min(deadline, now + kReadTime));
    if (listing) {
      settings_book book;
      book.ApplyListing(listing.value());
      return book;
    }
    const duration wait = pause.Next();
    if (monotonic_clock::now() + wait >= deadline) {
      return boost::outcome_v2::failure(std::move(listing).error());
    }
    SleepFor(wait);
  }
}

json::object ToJson(const change_record& aChange)
{
  return { { "id", aChange.mId },
           { "author", aChange.mAuthor },
           { "at", ToString(aChange.mAt) },
           { "base", aChange.mBase },
           { "what", aChange.mWhat } };
}

ctl_result Conflict(const settings_path& aPath, store_revision aRevision,
                    const settings_record& aRecord)
{
  json::object body{ { "conflict", ToString(SubtreeOf(aPath)) }, { "revision", aRevision } };
  if (!aRecord.mHistory.empty()) {
    body["by"] = ToJson(aRecord.mHistory.front());
  }
  return { ctl_status::kConflict, body };
}

bool HoldsChange(const stored_value& aStored, const std::string& aId)
{
  const auto record = Settle([&] { return DecodeSettingsRecord(aStored.mValue); });
  return record && HasChange(record.value(), aId);
}

void AddWithout(json::object& aBody, const std::vector<member_answer>& aWithout)
{
  json::array names;
  std::ranges::transform(aWithout, std::back_inserter(names),
                         [](const member_answer& aAnswer) { return ToJson(aAnswer); });
  aBody["notInForceAt"] = std::move(names);
}

std::int64_t MicrosecondsSince(instant aBegun)
{
  return std::chrono::duration_cast<microseconds>(monotonic_clock::now() - aBegun).count();
}

// How far a stored change has come.
struct force_progress
{
  bool mIsAccepted = false;
  bool mIsEverywhere = false;
};

void NoteProgress(json::object& aBody, force_progress& aProgress, const in_force_poll& aPoll,
                  instant aStored)
{
  if (!aProgress.mIsAccepted && aPoll.IsAccepted()) {
    aProgress.mIsAccepted = true;
    aBody["acceptedAfterUs"] = MicrosecondsSince(aStored);
  }
  aProgress.mIsEverywhere = aPoll.HasMembers() && aPoll.Without().empty();
  if (aProgress.mIsAccepted && aProgress.mIsEverywhere) {
    aBody["everywhereAfterUs"] = MicrosecondsSince(aStored);
  }
}

ctl_result NotInForce(json::object aBody, const in_force_poll& aPoll, bool aIsAccepted)
{
  aBody["state"] =
    aIsAccepted ? "accepted, not yet in force everywhere" : "stored, not yet in force";
  if (aPoll.Record().mMembers.empty()) {
    aBody["why"] = "no scheduler has joined the member record";
  }
  AddWithout(aBody, aPoll.Without());
  return { ctl_status::kNotInForce, std::move(aBody) };
}

// Waits until a majority of the record holds the change, and with --wait until all live members do.
ctl_result AwaitForce(ctl_context& aContext, json::object aBody, awaited_change aChange,
                      instant aDeadline)
{
  const instant stored = monotonic_clock::now();
  in_force_poll poll(aContext, std::move(aChange));
  force_progress progress;
  duration wait = kFirstPoll;
  for (;;) {
    const instant pollEnds = std::min(aDeadline, monotonic_clock::now() + kReadTime);
    poll.ReadMembers(pollEnds);
    poll.AskAll(pollEnds);
    NoteProgress(aBody, progress, poll, stored);
    if (progress.mIsAccepted && (progress.mIsEverywhere || !aContext.mOptions.mWait)) {
      aBody["state"] = progress.mIsEverywhere ? "in force everywhere" : "accepted";
      return { ctl_status::kDone, std::move(aBody) };
    }
    if (monotonic_clock::now() + wait >= aDeadline) {
      return NotInForce(std::move(aBody), poll, progress.mIsAccepted);
    }
    SleepFor(wait);
    wait = std::min<duration>(kLongestPoll, wait * 2);
  }
}

ctl_result Store(ctl_context& aContext, const change_request& aRequest, const change_plan& aPlan)
{
  const instant deadline = aContext.Deadline();
  backoff pause(kFirstWait, kLongestWait, RandomNumber());
  const settled_request write{ StoreKey(aRequest.mPath), aPlan.mBase, Encode(aPlan.mRecord), 0,
                               [&](const stored_value& aStored) {
                                 return HoldsChange(aStored, aRequest.mId);
                               } };
  const settled_result settled = SettledSwap(aContext.mStore, write, pause, deadline);
  json::object body{ { "path", ToString(aRequest.mPath) }, { "change", aRequest.mId } };
  if (settled.mFate == swap_fate::kConflict) {
    const auto record = Settle([&] { return DecodeSettingsRecord(settled.mCurrent.mValue); });
    return Conflict(aRequest.mPath, settled.mRevision, record ? record.value() : settings_record());
  }
  if (settled.mFate == swap_fate::kNotStored) {
    body["state"] = "not stored";
    body["why"] = settled.mError.mWhat;
    return { ctl_status::kNotReached, std::move(body) };
  }
  if (settled.mFate == swap_fate::kUnknown) {
    body["state"] = "unknown whether stored";
    body["next"] = "history " + ToString(SubtreeOf(aRequest.mPath)) + " shows the change if it was";
    return { ctl_status::kUnknown, std::move(body) };
  }
  body["revision"] = settled.mRevision;
  body["what"] = aPlan.mRecord.mHistory.front().mWhat;
  if (!aPlan.mFindings.empty()) {
    body["findings"] = ToJson(aPlan.mFindings);
  }
  return AwaitForce(aContext, std::move(body),
                    { StoreKey(aRequest.mPath), aRequest.mId, settled.mRevision }, deadline);
}

io_result<settings_path> ReadPath(const std::string& aText)
{
  return Settle([&] { return ParseSettingsPath(aText); });
}

ctl_result WrongPath(const error& aError)
{
  return Wrong({ { severity::kError, "PATH", aError.mWhere, aError.mWhat } });
}

change_request RequestOf(const ctl_context& aContext, settings_path aPath,
                         std::optional<std::string> aValue)
{
  return { std::move(aPath), std::move(aValue), aContext.mOptions.mAuthor,
           fmt::format("{:016x}", RandomNumber()), std::chrono::system_clock::now() };
}

using plan_user = ctl_result (*)(ctl_context&, const change_request&, const change_plan&);

// Reads what is stored, checks the change against it and hands both on.
ctl_result Plan(ctl_context& aContext, const change_request& aRequest, plan_user aUse)
{
  const auto book = ReadBook(aContext);
  if (!book) {
    return Failure(ctl_status::kNotReached, book.error());
  }
  const change_plan plan =
    PlanChange(book.value(), aRequest, GuaranteeCheck(aContext, aRequest.mPath, book.value()));
  const std::int64_t base = aContext.mOptions.mBase;
  if (base != 0 && base != plan.mBase) {
    const settings_book::entry* held = book.value().Find(aRequest.mPath);
    return Conflict(aRequest.mPath, plan.mBase,
                    held != nullptr ? held->mRecord : settings_record());
  }
  if (HasErrors(plan.mFindings)) {
    return Wrong(plan.mFindings);
  }
  return aUse(aContext, aRequest, plan);
}

ctl_result Change(ctl_context& aContext, const std::string& aPath,
                  std::optional<std::string> aValue, plan_user aUse)
{
  auto path = ReadPath(aPath);
  if (!path) {
    return WrongPath(path.error());
  }
  return Plan(aContext, RequestOf(aContext, std::move(path).value(), std::move(aValue)), aUse);
}

ctl_result Show(ctl_context&, const change_request& aRequest, const change_plan& aPlan)
{
  return { ctl_status::kDone, json::object{ { "path", ToString(aRequest.mPath) },
                                            { "base", aPlan.mBase },
                                            { "what", aPlan.mRecord.mHistory.front().mWhat },
                                            { "findings", ToJson(aPlan.mFindings) } } };
}

ctl_result GetBranch(const settings_book& aBook, const std::string& aPrefix)
{
  json::object found;
  for (const auto& [key, entry] : aBook.Entries()) {
    const std::string path = ToString(*PathOfStoreKey(key));
    if (path.starts_with(aPrefix) && !entry.mRecord.mDeleted) {
      found[path] = json::object{ { "revision", entry.mRevision },
                                  { "settings", json::parse(entry.mRecord.mSettings) } };
    }
  }
  return { ctl_status::kDone, std::move(found) };
}

ctl_result NoSuch(const std::string& aPath)
{
  return Failure(ctl_status::kFailed, { error_kind::kNotFound, aPath, "there is no such setting" });
}

std::string DomainValue(bool aWithdrawn, const std::string& aReason)
{
  return json::serialize(json::object{ { "withdrawn", aWithdrawn }, { "reason", aReason } });
}

} // namespace

ctl_result Get(ctl_context& aContext, std::span<const std::string> aArguments)
{
  const auto book = ReadBook(aContext);
  if (!book) {
    return Failure(ctl_status::kNotReached, book.error());
  }
  const auto path = ReadPath(aArguments[0]);
  if (!path) {
    return aArguments[0].starts_with('/') ? GetBranch(book.value(), aArguments[0])
                                          : WrongPath(path.error());
  }
  const settings_book::entry* held = book.value().Find(path.value());
  if (held == nullptr || held->mRecord.mDeleted) {
    return NoSuch(aArguments[0]);
  }
  const json::value whole = json::parse(held->mRecord.mSettings);
  boost::system::error_code missing;
  const json::value* field = whole.find_pointer(path.value().mField, missing);
  if (field == nullptr) {
    return NoSuch(aArguments[0]);
  }
  return { ctl_status::kDone, json::object{ { "path", aArguments[0] },
                                            { "revision", held->mRevision },
                                            { "settings", *field } } };
}

ctl_result Set(ctl_context& aContext, std::span<const std::string> aArguments)
{
  auto value = ReadInput(aArguments[1]);
  if (!value) {
    return Failure(ctl_status::kFindings, value.error());
  }
  return Change(aContext, aArguments[0], std::move(value).value(), Store);
}

ctl_result Delete(ctl_context& aContext, std::span<const std::string> aArguments)
{
  return Change(aContext, aArguments[0], std::nullopt, Store);
}

ctl_result Diff(ctl_context& aContext, std::span<const std::string> aArguments)
{
  auto value = ReadInput(aArguments[1]);
  if (!value) {
    return Failure(ctl_status::kFindings, value.error());
  }
  return Change(aContext, aArguments[0], std::move(value).value(), Show);
}

ctl_result History(ctl_context& aContext, std::span<const std::string> aArguments)
{
  const auto book = ReadBook(aContext);
  if (!book) {
    return Failure(ctl_status::kNotReached, book.error());
  }
  const auto path = ReadPath(aArguments[0]);
  if (!path) {
    return WrongPath(path.error());
  }
  const settings_book::entry* held = book.value().Find(path.value());
  if (held == nullptr) {
    return NoSuch(aArguments[0]);
  }
  json::array changes;
  std::ranges::transform(held->mRecord.mHistory, std::back_inserter(changes),
                         [](const change_record& aChange) { return ToJson(aChange); });
  return { ctl_status::kDone, json::object{ { "path", ToString(SubtreeOf(path.value())) },
                                            { "revision", held->mRevision },
                                            { "changes", std::move(changes) } } };
}

ctl_result Withdraw(ctl_context& aContext, std::span<const std::string> aArguments)
{
  return Change(aContext, "/domains/" + aArguments[0], DomainValue(true, aContext.mOptions.mReason),
                Store);
}

ctl_result Return(ctl_context& aContext, std::span<const std::string> aArguments)
{
  return Change(aContext, "/domains/" + aArguments[0],
                DomainValue(false, aContext.mOptions.mReason), Store);
}

ctl_result Drain(ctl_context& aContext, std::span<const std::string> aArguments)
{
  return Change(aContext, "/targets/" + aArguments[0], R"({"leaving":true})", Store);
}

ctl_result Undrain(ctl_context& aContext, std::span<const std::string> aArguments)
{
  return Change(aContext, "/targets/" + aArguments[0], R"({"leaving":false})", Store);
}

} // namespace briarwind
