#pragma once

#include <string>

#include "kernel/rank.h"

namespace poplarmoor {

class KeyRing;

/// Content of a transaction token. The token identifies an open transaction, so that any entry
/// daemon can forward statements of the transaction to the owner daemon.
struct TransactionToken {
  std::string daemon;   // Owner daemon, which has the endpoint connection of the transaction.
  std::string address;  // Address of the owner daemon's peer listener, "IP:port".
  std::string service;
  std::string site;
  std::string endpoint;
  std::string id;  // Id of the transaction, unique only among those of its owner daemon.
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
