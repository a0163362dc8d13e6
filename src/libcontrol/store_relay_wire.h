#pragma once

#include "briarwind/http.h"
#include "briarwind/record_store.h"

/// Wire format of store calls that hosts relay for each other: `POST /v1/store/NAME` with a JSON
/// body. A response with status 200 carries the result, any other the kind of the error.

namespace briarwind::store_relay {

/// Performs a relayed call on aStore and formats the response. An unknown name or a body that is no
/// JSON object is answered with kInvalid.
http_response Serve(record_store& aStore, std::string_view aName, std::string_view aBody);

/// Name and JSON body of a call to be sent to a peer.
struct relay_call
{
  std::string mName;
  std::string mBody;
};

// The peer counts each timeout from the receipt of the call.
relay_call MakeGetCall(std::string_view aKey, milliseconds aTimeout);
relay_call MakeListCall(std::string_view aPrefix, milliseconds aTimeout);
relay_call MakeWatchCall(std::string_view aPrefix, store_revision aAfter, milliseconds aWait);
relay_call MakeCommitCall(const store_transaction& aTransaction, milliseconds aTimeout);
relay_call MakeGrantCall(milliseconds aTimeToLive, milliseconds aTimeout);
relay_call MakeLeaseCall(std::string_view aName, store_lease aLease, milliseconds aTimeout);

// Each returns the result in a response, or the error that the peer reported. A response that
// cannot be parsed is kUnknownOutcome.
io_result<std::optional<stored_value>> ParseGetAnswer(const http_response& aAnswer);
io_result<store_listing> ParseListAnswer(const http_response& aAnswer);
io_result<watch_result> ParseWatchAnswer(const http_response& aAnswer);
io_result<transaction_result> ParseCommitAnswer(const http_response& aAnswer);
io_result<granted_lease> ParseGrantAnswer(const http_response& aAnswer);

} // namespace briarwind::store_relay
