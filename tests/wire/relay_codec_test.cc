#include "wire/relay_codec.h"

#include <catch2/catch.hpp>

#include "wire/codec_error.h"

namespace poplarmoor {
namespace {

TEST_CASE(
    "encoding a RelayRequest does not lose the session, log position or text of the statement") {
  RelayRequest request;
  request.lease = 7;
  request.endpoint = "i-1";
  request.rank = 2;
  request.transaction = true;
  request.session = ~uint64_t{0};
  request.values = {{"a", "1"}};
  request.has_prepared = true;
  request.prepared_shape = "q";
  request.opening = "writable";
  request.demanded = {3, 9};
  request.id = "5c0e";
  request.text = std::string("READ \0x", 7);
  request.limit_us = 800000;
  request.organisation = "north";
  request.key = ~uint64_t{1};
  request.config_version = 7;
  request.verified_age_us = 12;
  request.clock = ~uint64_t{2};
  request.sent_us = 9000000;
  const RelayRequest decoded = DecodeRelayRequest(EncodeRelayRequest(request));
  CHECK(decoded.lease == 7);
  CHECK(decoded.transaction);
  CHECK(decoded.session == request.session);
  CHECK(decoded.values == request.values);
  CHECK(decoded.demanded == request.demanded);
  CHECK(decoded.text == request.text);
  CHECK(decoded.limit_us == 800000);
  CHECK(decoded.organisation == "north");
  CHECK(decoded.key == request.key);
  CHECK(decoded.config_version == 7);
  CHECK(decoded.verified_age_us == 12);
  CHECK(decoded.clock == request.clock);
  CHECK(decoded.sent_us == 9000000);
}

TEST_CASE("encoding a RelayAnswer does not lose rows, signature or log positions") {
  RelayAnswer answer;
  answer.outcome = "answered";
  answer.rows = {"a", "b"};
  answer.signature = "7.1";
  answer.position = {3, 10};
  answer.newest = {3, 11};
  answer.newest_age_us = 5;
  const RelayAnswer decoded = DecodeRelayAnswer(EncodeRelayAnswer(answer));
  CHECK(decoded.rows == answer.rows);
  CHECK(decoded.signature == "7.1");
  CHECK(decoded.position == answer.position);
  CHECK(decoded.newest == answer.newest);
}

TEST_CASE(
    "decoding a malformed relay or sync message throws CodecError and does not crash the daemon") {
  const std::string valid = EncodeRelayRequest({});
  for (size_t size = 0; size < valid.size(); ++size) {
    CHECK_THROWS_AS(DecodeRelayRequest(std::string_view(valid).substr(0, size)), CodecError);
  }
  CHECK_THROWS_AS(DecodeRelayAnswer(valid), CodecError);
  CHECK_THROWS_AS(DecodeRelayOrder("\xc1"), CodecError);
  CHECK_THROWS_AS(DecodeSyncAnswer("\x93\x01\x02\x03"), CodecError);
  CHECK_THROWS_AS(DecodeSyncRequest(valid), CodecError);
}

TEST_CASE("encoding a RelayOrder, RelayReport, SyncRequest or SyncAnswer does not lose fields") {
  CHECK(DecodeRelayOrder(EncodeRelayOrder({"i-1", "pause", 4, 300})).term == 4);
  RelayReport report;
  report.received = {3, 8};
  report.active_pause_term = 4;
  CHECK(DecodeRelayReport(EncodeRelayReport(report)).received == report.received);
  CHECK(DecodeSyncRequest(EncodeSyncRequest({"config", {2, 4}, 9})).since == StoreRevision{2, 4});
  SyncAnswer answer;
  answer.reachable = true;
  answer.revision = {2, 6};
  // Guards against an older daemon, which does not send the age: its copy must not seem young.
  CHECK_FALSE(
      VerifiedTime(TimePoint() + 9s, DecodeSyncAnswer(EncodeSyncAnswer({})).verified_age_us));
  CHECK_FALSE(VerifiedTime(TimePoint() + 9s, 0));
  answer.verified_age_us = ToVerifiedAge(3s);
  answer.objects = {{"main", {2, 5}, "{}", false}, {"old", {2, 6}, "", true}};
  const SyncAnswer decoded = DecodeSyncAnswer(EncodeSyncAnswer(answer));
  CHECK(decoded.reachable);
  CHECK(decoded.revision == StoreRevision{2, 6});
  REQUIRE(decoded.objects.size() == 2);
  CHECK(decoded.objects[0].revision == StoreRevision{2, 5});
  CHECK(decoded.objects[1].deleted);
  const auto verified = VerifiedTime(TimePoint() + 9s, decoded.verified_age_us);
  REQUIRE(verified);
  CHECK(*verified <= TimePoint() + 6s);
  CHECK(*verified > TimePoint() + 5s);
}

TEST_CASE("messages about limits do not lose fields, and malformed ones throw CodecError") {
  const LimitRequest request = DecodeLimitRequest(EncodeLimitRequest({"school", 7}));
  CHECK(request.organisation == "school");
  CHECK(request.wanted == 7);
  const LimitAnswer answer = DecodeLimitAnswer(EncodeLimitAnswer({3, true}));
  CHECK(answer.granted == 3);
  CHECK(answer.is_issuer);

  const IssuerJoined joined = DecodeIssuerJoined(EncodeIssuerJoined({"d1", "127.0.0.1:1", "a"}));
  CHECK(joined.daemon == "d1");
  CHECK(joined.address == "127.0.0.1:1");
  CHECK(joined.failure_domain == "a");
  CHECK(DecodeIssuerAdded(EncodeIssuerAdded({true})).may_issue);
  CHECK_THROWS_AS(DecodeLimitRequest(EncodeLimitAnswer({})), CodecError);
  CHECK_THROWS_AS(DecodeIssuerAdded("\xc1"), CodecError);
}

}  // namespace
}  // namespace poplarmoor
