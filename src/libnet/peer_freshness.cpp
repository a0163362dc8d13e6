#include "peer_freshness.h"

#include <algorithm>
#include <iterator>

namespace briarwind {

namespace {

void AddNewerValue(wire::FreshnessAnswer& aAnswer, const stored_value& aValue)
{
  wire::StoredValue& value = *aAnswer.add_newer();
  value.set_key(aValue.mKey);
  value.set_value(aValue.mValue);
  value.set_created(aValue.mCreated);
  value.set_modified(aValue.mModified);
}

stored_value ToStored(const wire::StoredValue& aValue)
{
  return { aValue.key(), aValue.value(), aValue.created(), aValue.modified(), 0 };
}

} // namespace

wire::PeerRequest MakeFreshnessRequest(const settings_feed& aFeed)
{
  wire::PeerRequest request;
  request.mutable_freshness()->set_held(aFeed.Book().Revision());
  request.mutable_freshness()->set_record(aFeed.Record().mRevision);
  return request;
}

wire::PeerAnswer MakeFreshnessAnswer(const freshness_report& aReport, const freshness_check& aCheck,
                                     const settings_feed& aFeed,
                                     const wire::FreshnessRequest& aRequest)
{
  wire::PeerAnswer answer;
  wire::FreshnessAnswer& body = *answer.mutable_freshness();
  body.set_member(aReport.mMember);
  body.set_held(aReport.mHeldRevision);
  body.set_record(aReport.mRecord);
  body.set_has_read(aReport.mHasRead);
  if (aReport.mConfirmedAge) {
    body.set_confirmed_age_us(std::chrono::ceil<microseconds>(*aReport.mConfirmedAge).count());
  }
  body.set_is_fresh(aCheck.IsFresh());
  body.set_reason(std::string(ToString(aCheck.mReason)));
  for (const auto& [key, entry] : aFeed.Book().Entries()) {
    if (entry.mRevision > aRequest.held()) {
      AddNewerValue(body, { key, Encode(entry.mRecord), 0, entry.mRevision, 0 });
    }
  }
  if (aFeed.Record().mRevision > aRequest.record()) {
    AddNewerValue(body, aFeed.StoredRecord());
  }
  return answer;
}

freshness_report ToReport(const wire::FreshnessAnswer& aAnswer)
{
  freshness_report report;
  report.mMember = aAnswer.member();
  report.mHeldRevision = aAnswer.held();
  report.mRecord = aAnswer.record();
  report.mHasRead = aAnswer.has_read();
  if (aAnswer.has_confirmed_age_us()) {
    report.mConfirmedAge = microseconds(aAnswer.confirmed_age_us());
  }
  return report;
}

std::vector<stored_value> NewerValues(const wire::FreshnessAnswer& aAnswer)
{
  std::vector<stored_value> values;
  std::ranges::transform(aAnswer.newer(), std::back_inserter(values), ToStored);
  return values;
}

} // namespace briarwind
