#include "net/transaction_token.h"

#include "net/bad_token_error.h"
#include "net/sealed_token.h"
#include "wire/msgpack_fields.h"

namespace poplarmoor {

namespace {
// The constructor cannot throw: the text is so short that std::string allocates no memory for it.
const std::string kPurpose = "transaction";  // NOLINT: constructor cannot throw, see above.
}  // namespace

std::string EncodeTransactionToken(const KeyRing& keys, const TransactionToken& transaction) {
  MsgpackWriter writer(7);
  writer.Field("daemon", std::string_view(transaction.daemon));
  writer.Field("address", std::string_view(transaction.address));
  writer.Field("service", std::string_view(transaction.service));
  writer.Field("site", std::string_view(transaction.site));
  writer.Field("endpoint", std::string_view(transaction.endpoint));
  writer.Field("id", std::string_view(transaction.id));
  writer.Field("rank", kRankNames.NameOf(transaction.rank));
  return SealToken(keys, kPurpose, writer.Take());
}

TransactionToken DecodeTransactionToken(const KeyRing& keys, const std::string& token) {
  const std::string payload = OpenToken(keys, kPurpose, token);
  try {
    const MsgpackFields fields(payload);
    TransactionToken transaction;
    transaction.daemon = fields.String("daemon");
    transaction.address = fields.String("address");
    transaction.service = fields.String("service");
    transaction.site = fields.String("site");
    transaction.endpoint = fields.String("endpoint");
    transaction.id = fields.String("id");
    transaction.rank = fields.Name("rank", kRankNames);
    return transaction;
  } catch (const CodecError& error) {
    throw BadTokenError(std::string("transaction token: ") + error.what());
  }
}

}  // namespace poplarmoor
