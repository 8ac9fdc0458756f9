#include <catch2/catch.hpp>

#include "net/bad_token_error.h"
#include "net/base64url.h"
#include "net/key_ring.h"
#include "net/session_token.h"
#include "net/transaction_token.h"

namespace poplarmoor {
namespace {

const KeyRing kKeys("k2", {{"k1", "first secret of 16 bytes"}, {"k2", "second secret, 16 bytes"}});

SessionPositions MakePositions() {
  SessionPositions positions;
  positions.Record("fold-ledger", {4, 12});
  return positions;
}

TEST_CASE("base64url decoding restores the bytes and rejects malformed or non-canonical text") {
  std::string bytes;
  for (int i = 0; i < 300; ++i) {
    CHECK(DecodeBase64Url(EncodeBase64Url(bytes)) == bytes);
    bytes += static_cast<char>(i * 7);
  }
  CHECK(EncodeBase64Url("\xff\xfe") == "__4");
  CHECK_FALSE(DecodeBase64Url("__5"));  // The bits after the last whole byte are not zero.
  CHECK_FALSE(DecodeBase64Url("A"));
  CHECK_FALSE(DecodeBase64Url("AA=="));
  CHECK_FALSE(DecodeBase64Url("A/+A"));
}

TEST_CASE(
    "a session token decodes to the positions that it was made from, also when it was made with an "
    "older key that is still valid") {
  CHECK(DecodeSessionToken(kKeys, EncodeSessionToken(kKeys, MakePositions())) == MakePositions());
  const KeyRing old_keys("k1", {{"k1", "first secret of 16 bytes"}});
  CHECK(DecodeSessionToken(kKeys, EncodeSessionToken(old_keys, MakePositions())) ==
        MakePositions());
  CHECK(DecodeSessionToken(kKeys, "").size() == 0);
}

// If a token with a forged position were accepted, a read could miss the session's own writes.
TEST_CASE("session tokens that were changed, cut off or made with another secret are refused") {
  const std::string token = EncodeSessionToken(kKeys, MakePositions());
  for (size_t i = 0; i < token.size(); ++i) {
    std::string forged = token;
    forged[i] = forged[i] == 'A' ? 'B' : 'A';
    CHECK_THROWS_AS(DecodeSessionToken(kKeys, forged), BadTokenError);
    CHECK_THROWS_AS(DecodeSessionToken(kKeys, token.substr(0, i + 1 == token.size() ? i : i + 1)),
                    BadTokenError);
  }
  const KeyRing wrong_secret_keys("k2", {{"k2", "secret of another system"}});
  CHECK_THROWS_AS(DecodeSessionToken(wrong_secret_keys, token), BadTokenError);
  CHECK_THROWS_AS(DecodeSessionToken(kKeys, "not a token!"), BadTokenError);
}

TEST_CASE("a session token is not accepted as a transaction token, nor the other way round") {
  const std::string session = EncodeSessionToken(kKeys, MakePositions());
  CHECK_THROWS_AS(DecodeTransactionToken(kKeys, session), BadTokenError);
  const std::string transaction = EncodeTransactionToken(kKeys, {});
  CHECK_THROWS_AS(DecodeSessionToken(kKeys, transaction), BadTokenError);
}

TEST_CASE(
    "decoding a transaction token restores all its fields, so that statements reach the owner "
    "daemon of the transaction") {
  const TransactionToken transaction{"d1", "127.0.0.1:1", "fold-ledger", "portmore",
                                     "e1", "id-1",        Rank::kUrgent};
  const TransactionToken copy =
      DecodeTransactionToken(kKeys, EncodeTransactionToken(kKeys, transaction));
  CHECK(copy.daemon == "d1");
  CHECK(copy.address == "127.0.0.1:1");
  CHECK(copy.service == "fold-ledger");
  CHECK(copy.site == "portmore");
  CHECK(copy.endpoint == "e1");
  CHECK(copy.id == "id-1");
  CHECK(copy.rank == Rank::kUrgent);
}

}  // namespace
}  // namespace poplarmoor
