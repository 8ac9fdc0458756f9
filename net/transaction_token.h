#pragma once

#include <string>

#include "kernel/rank.h"

namespace poplarmoor {

class KeyRing;

/// Content of a transaction token. It identifies an open transaction, so that any entry daemon can
/// forward the transaction's statements to its owner.
struct TransactionToken {
  std::string daemon;   // Owner daemon, which holds the transaction's connection.
  std::string address;  // Address of the owner's peer listener, "IP:port".
  std::string service;
  std::string site;
  std::string endpoint;
  std::string id;  // Transaction id, unique only within the owner.
  Rank rank = Rank::kStandard;
};

/// @param keys Shared keys of the daemons.
/// @param transaction Content of the token.
/// @returns The token with a MAC under the current key, as base64url text.
std::string EncodeTransactionToken(const KeyRing& keys, const TransactionToken& transaction);

/// @param keys Shared keys of the daemons.
/// @param token Token that a caller sent.
/// @returns The content of the token.
/// @throws BadTokenError when the token is malformed or not authentic.
TransactionToken DecodeTransactionToken(const KeyRing& keys, const std::string& token);

}  // namespace poplarmoor
