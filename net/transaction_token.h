#pragma once

#include <string>

#include "kernel/rank.h"

namespace poplarmoor {

class KeyRing;

/// What a transaction token names, so that any entry can forward the transaction's statements.
struct TransactionToken {
  std::string daemon;   // Owner that holds the connection.
  std::string address;  // Of the owner's peer listener, "IP:port".
  std::string service;
  std::string site;
  std::string endpoint;
  std::string id;  // Local to the owner.
  Rank rank = Rank::kStandard;
};

/// @param keys Shared keys of the daemons.
/// @returns The authenticated token, base64url.
std::string EncodeTransactionToken(const KeyRing& keys, const TransactionToken& transaction);

/// @param keys Shared keys of the daemons.
/// @param token Token of a caller.
/// @returns What it names.
/// @throws BadTokenError when the token is malformed or not authentic.
TransactionToken DecodeTransactionToken(const KeyRing& keys, const std::string& token);

}  // namespace poplarmoor
