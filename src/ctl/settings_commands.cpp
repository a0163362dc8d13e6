#include "ctl_command.h"
#include "ctl_input.h"
#include "guarantee_check.h"
#include "in_force.h"

#include "briarwind/settings_change.h"
#include "briarwind/swap_with_retry.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <random>

namespace briarwind {

namespace json = boost::json;

namespace {

constexpr milliseconds kReadTimeout{ 3'000 };
constexpr milliseconds kFirstPollInterval{ 2 };
constexpr milliseconds kMaxPollInterval{ 200 };
constexpr milliseconds kFirstBackoff{ 50 };
constexpr milliseconds kMaxBackoff{ 1'000 };

std::uint64_t RandomNumber()
{
  std::random_device device;
  return (std::uint64_t{ device() } << 32U) | device();
}

// Retries until the deadline, since the store may be unreachable only briefly.
io_result<settings_book> ReadSettings(ctl_context& aContext)
{
  const instant deadline = aContext.Deadline();
  backoff retryBackoff(kFirstBackoff, kMaxBackoff, RandomNumber());
  for (;;) {
    const instant now = monotonic_clock::now();
    auto listing = aContext.mStore.List(kSettingsPrefix, std::min(deadline, now + kReadTimeout));
    if (listing) {
      settings_book book;
      book.ApplyListing(listing.value());
      return book;
    }
    const duration wait = retryBackoff.Next();
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

ctl_result ConflictResult(const settings_path& aPath, store_revision aRevision,
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
  const auto record = ToIoResult([&] { return DecodeSettingsRecord(aStored.mValue); });
  return record && HasChange(record.value(), aId);
}

void AddMembersWithoutChange(json::object& aBody, const std::vector<member_answer>& aMembers)
{
  json::array names;
  std::ranges::transform(aMembers, std::back_inserter(names),
                         [](const member_answer& aAnswer) { return ToJson(aAnswer); });
  aBody["notInForceAt"] = std::move(names);
}

std::int64_t MicrosecondsSince(instant aStart)
{
  return std::chrono::duration_cast<microseconds>(monotonic_clock::now() - aStart).count();
}

// How far a stored change has propagated.
struct rollout_progress
{
  bool mIsAccepted = false;   // a majority of the member record holds the change
  bool mIsEverywhere = false; // all live members hold the change
};

void UpdateProgress(json::object& aBody, rollout_progress& aProgress, const in_force_poll& aPoll,
                    instant aStoredAt)
{
  if (!aProgress.mIsAccepted && aPoll.IsAccepted()) {
    aProgress.mIsAccepted = true;
    aBody["acceptedAfterUs"] = MicrosecondsSince(aStoredAt);
  }
  aProgress.mIsEverywhere = aPoll.HasReadMembers() && aPoll.MembersWithoutChange().empty();
  if (aProgress.mIsAccepted && aProgress.mIsEverywhere) {
    aBody["everywhereAfterUs"] = MicrosecondsSince(aStoredAt);
  }
}

ctl_result NotInForceResult(json::object aBody, const in_force_poll& aPoll, bool aIsAccepted)
{
  aBody["state"] =
    aIsAccepted ? "accepted, not yet in force everywhere" : "stored, not yet in force";
  if (aPoll.Record().mMembers.empty()) {
    aBody["why"] = "no scheduler has joined the member record";
  }
  AddMembersWithoutChange(aBody, aPoll.MembersWithoutChange());
  return { ctl_status::kNotInForce, std::move(aBody) };
}

// Waits until a majority of the member record holds the change, and with --wait until all live
// members hold it.
ctl_result AwaitInForce(ctl_context& aContext, json::object aBody, awaited_change aChange,
                        instant aDeadline)
{
  const instant storedAt = monotonic_clock::now();
  in_force_poll poll(aContext, std::move(aChange));
  rollout_progress progress;
  duration wait = kFirstPollInterval;
  for (;;) {
    const instant pollDeadline = std::min(aDeadline, monotonic_clock::now() + kReadTimeout);
    poll.ReadMembers(pollDeadline);
    poll.PollMembers(pollDeadline);
    UpdateProgress(aBody, progress, poll, storedAt);
    if (progress.mIsAccepted && (progress.mIsEverywhere || !aContext.mOptions.mWait)) {
      aBody["state"] = progress.mIsEverywhere ? "in force everywhere" : "accepted";
      return { ctl_status::kDone, std::move(aBody) };
    }
    if (monotonic_clock::now() + wait >= aDeadline) {
      return NotInForceResult(std::move(aBody), poll, progress.mIsAccepted);
    }
    SleepFor(wait);
    wait = std::min<duration>(kMaxPollInterval, wait * 2);
  }
}

// Writes a checked change to the store and waits for it to come into force.
ctl_result StoreChange(ctl_context& aContext, const change_request& aRequest,
                       const change_plan& aPlan)
{
  const instant deadline = aContext.Deadline();
  backoff retryBackoff(kFirstBackoff, kMaxBackoff, RandomNumber());
  const swap_retry_request write{ StoreKey(aRequest.mPath), aPlan.mBase, Encode(aPlan.mRecord), 0,
                                  [&](const stored_value& aStored) {
                                    return HoldsChange(aStored, aRequest.mId);
                                  } };
  const swap_retry_result settled = SwapWithRetry(aContext.mStore, write, retryBackoff, deadline);
  json::object body{ { "path", ToString(aRequest.mPath) }, { "change", aRequest.mId } };
  if (settled.mSwapOutcome == swap_outcome::kConflict) {
    const auto record = ToIoResult([&] { return DecodeSettingsRecord(settled.mCurrent.mValue); });
    return ConflictResult(aRequest.mPath, settled.mRevision,
                          record ? record.value() : settings_record());
  }
  if (settled.mSwapOutcome == swap_outcome::kNotStored) {
    body["state"] = "not stored";
    body["why"] = settled.mError.mWhat;
    return { ctl_status::kUnreachable, std::move(body) };
  }
  if (settled.mSwapOutcome == swap_outcome::kUnknown) {
    body["state"] = "unknown whether stored";
    body["next"] = "history " + ToString(SubtreeOf(aRequest.mPath)) + " shows the change if it was";
    return { ctl_status::kUnknown, std::move(body) };
  }
  body["revision"] = settled.mRevision;
  body["what"] = aPlan.mRecord.mHistory.front().mWhat;
  if (!aPlan.mFindings.empty()) {
    body["findings"] = ToJson(aPlan.mFindings);
  }
  return AwaitInForce(aContext, std::move(body),
                      { StoreKey(aRequest.mPath), aRequest.mId, settled.mRevision }, deadline);
}

io_result<settings_path> ParsePath(const std::string& aText)
{
  return ToIoResult([&] { return ParseSettingsPath(aText); });
}

ctl_result InvalidPathResult(const error& aError)
{
  return FindingsResult({ { severity::kError, "PATH", aError.mWhere, aError.mWhat } });
}

change_request MakeChangeRequest(const ctl_context& aContext, settings_path aPath,
                                 std::optional<std::string> aValue)
{
  return { std::move(aPath), std::move(aValue), aContext.mOptions.mAuthor,
           fmt::format("{:016x}", RandomNumber()), std::chrono::system_clock::now() };
}

using plan_handler = ctl_result (*)(ctl_context&, const change_request&, const change_plan&);

// Checks the change against the settings in the store and passes the resulting plan to aHandler,
// unless the check found errors or --base names another revision than the stored one.
ctl_result HandlePlan(ctl_context& aContext, const change_request& aRequest, plan_handler aHandler)
{
  const auto book = ReadSettings(aContext);
  if (!book) {
    return FailureResult(ctl_status::kUnreachable, book.error());
  }
  const change_plan plan =
    PlanChange(book.value(), aRequest, MakeGuaranteeCheck(aContext, aRequest.mPath, book.value()));
  const std::int64_t base = aContext.mOptions.mBaseRevision;
  if (base != 0 && base != plan.mBase) {
    const settings_book::entry* subtree = book.value().Find(aRequest.mPath);
    return ConflictResult(aRequest.mPath, plan.mBase,
                          subtree != nullptr ? subtree->mRecord : settings_record());
  }
  if (HasErrors(plan.mFindings)) {
    return FindingsResult(plan.mFindings);
  }
  return aHandler(aContext, aRequest, plan);
}

// Parses the path and plans the change; aHandler stores or shows the plan.
ctl_result HandleChange(ctl_context& aContext, const std::string& aPath,
                        std::optional<std::string> aValue, plan_handler aHandler)
{
  auto path = ParsePath(aPath);
  if (!path) {
    return InvalidPathResult(path.error());
  }
  return HandlePlan(
    aContext, MakeChangeRequest(aContext, std::move(path).value(), std::move(aValue)), aHandler);
}

ctl_result ShowPlan(ctl_context&, const change_request& aRequest, const change_plan& aPlan)
{
  return { ctl_status::kDone, json::object{ { "path", ToString(aRequest.mPath) },
                                            { "base", aPlan.mBase },
                                            { "what", aPlan.mRecord.mHistory.front().mWhat },
                                            { "findings", ToJson(aPlan.mFindings) } } };
}

// All subtrees whose path starts with aPrefix, without the deleted ones.
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

ctl_result NotFoundResult(const std::string& aPath)
{
  return FailureResult(ctl_status::kFailed,
                       { error_kind::kNotFound, aPath, "there is no such setting" });
}

std::string DomainValue(bool aWithdrawn, const std::string& aReason)
{
  return json::serialize(json::object{ { "withdrawn", aWithdrawn }, { "reason", aReason } });
}

} // namespace

ctl_result Get(ctl_context& aContext, std::span<const std::string> aArguments)
{
  const auto book = ReadSettings(aContext);
  if (!book) {
    return FailureResult(ctl_status::kUnreachable, book.error());
  }
  const auto path = ParsePath(aArguments[0]);
  if (!path) {
    return aArguments[0].starts_with('/') ? GetBranch(book.value(), aArguments[0])
                                          : InvalidPathResult(path.error());
  }
  const settings_book::entry* subtree = book.value().Find(path.value());
  if (subtree == nullptr || subtree->mRecord.mDeleted) {
    return NotFoundResult(aArguments[0]);
  }
  const json::value settings = json::parse(subtree->mRecord.mSettings);
  boost::system::error_code lookupError;
  const json::value* field = settings.find_pointer(path.value().mField, lookupError);
  if (field == nullptr) {
    return NotFoundResult(aArguments[0]);
  }
  return { ctl_status::kDone, json::object{ { "path", aArguments[0] },
                                            { "revision", subtree->mRevision },
                                            { "settings", *field } } };
}

ctl_result Set(ctl_context& aContext, std::span<const std::string> aArguments)
{
  auto value = ReadInput(aArguments[1]);
  if (!value) {
    return FailureResult(ctl_status::kFindings, value.error());
  }
  return HandleChange(aContext, aArguments[0], std::move(value).value(), StoreChange);
}

ctl_result Delete(ctl_context& aContext, std::span<const std::string> aArguments)
{
  return HandleChange(aContext, aArguments[0], std::nullopt, StoreChange);
}

ctl_result Diff(ctl_context& aContext, std::span<const std::string> aArguments)
{
  auto value = ReadInput(aArguments[1]);
  if (!value) {
    return FailureResult(ctl_status::kFindings, value.error());
  }
  return HandleChange(aContext, aArguments[0], std::move(value).value(), ShowPlan);
}

ctl_result History(ctl_context& aContext, std::span<const std::string> aArguments)
{
  const auto book = ReadSettings(aContext);
  if (!book) {
    return FailureResult(ctl_status::kUnreachable, book.error());
  }
  const auto path = ParsePath(aArguments[0]);
  if (!path) {
    return InvalidPathResult(path.error());
  }
  const settings_book::entry* subtree = book.value().Find(path.value());
  if (subtree == nullptr) {
    return NotFoundResult(aArguments[0]);
  }
  json::array changes;
  std::ranges::transform(subtree->mRecord.mHistory, std::back_inserter(changes),
                         [](const change_record& aChange) { return ToJson(aChange); });
  return { ctl_status::kDone, json::object{ { "path", ToString(SubtreeOf(path.value())) },
                                            { "revision", subtree->mRevision },
                                            { "changes", std::move(changes) } } };
}

ctl_result Withdraw(ctl_context& aContext, std::span<const std::string> aArguments)
{
  return HandleChange(aContext, "/domains/" + aArguments[0],
                      DomainValue(true, aContext.mOptions.mReason), StoreChange);
}

ctl_result Return(ctl_context& aContext, std::span<const std::string> aArguments)
{
  return HandleChange(aContext, "/domains/" + aArguments[0],
                      DomainValue(false, aContext.mOptions.mReason), StoreChange);
}

ctl_result Drain(ctl_context& aContext, std::span<const std::string> aArguments)
{
  return HandleChange(aContext, "/targets/" + aArguments[0], R"({"leaving":true})", StoreChange);
}

ctl_result Undrain(ctl_context& aContext, std::span<const std::string> aArguments)
{
  return HandleChange(aContext, "/targets/" + aArguments[0], R"({"leaving":false})", StoreChange);
}

} // namespace briarwind
