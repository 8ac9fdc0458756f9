#include "config/schemas.h"

namespace poplarmoor {

const char* DaemonSettingsSchema() {
  return R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Settings of one poplarmoor daemon",
  "definitions": {
    "name": {
      "type": "string",
      "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$",
      "description": "a name of 1 to 63 lower-case letters, digits, dots and hyphens"
    },
    "address": {
      "type": "string",
      "pattern": "^[0-9.]+:[0-9]+$",
      "description": "an address of the form IP:port"
    },
    "path": {"type": "string", "minLength": 1, "description": "path of a file"},
    "interval_ms": {"type": "integer", "minimum": 10, "maximum": 600000}
  },
  "type": "object",
  "additionalProperties": false,
  "required": ["daemon", "failure_domain", "listen", "platform", "keys_file", "operator_token_file"],
  "properties": {
    "daemon": {"$ref": "#/definitions/name"},
    "failure_domain": {"$ref": "#/definitions/name"},
    "listen": {
      "type": "object",
      "additionalProperties": false,
      "required": ["callers", "operators", "peers"],
      "properties": {
        "callers": {"$ref": "#/definitions/address"},
        "operators": {"$ref": "#/definitions/address"},
        "peers": {"$ref": "#/definitions/address"}
      }
    },
    "platform": {"$ref": "#/definitions/address"},
    "seed_peers": {
      "type": "array",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["daemon", "address", "failure_domain"],
        "properties": {
          "daemon": {"$ref": "#/definitions/name"},
          "address": {"$ref": "#/definitions/address"},
          "failure_domain": {"$ref": "#/definitions/name"}
        }
      }
    },
    "keys_file": {"$ref": "#/definitions/path"},
    "operator_token_file": {"$ref": "#/definitions/path"},
    "threads": {"type": "integer", "minimum": 0, "maximum": 256},
    "log": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "level": {"enum": ["debug", "info", "warn", "error"]},
        "file": {"type": "string", "description": "path of a file, or stderr"},
        "format": {"enum": ["json", "text"]},
        "spans": {"type": "boolean"}
      }
    },
    "limits": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "max_body": {"type": "integer", "minimum": 1024, "maximum": 1048576},
        "idle_timeout_ms": {"type": "integer", "minimum": 100, "maximum": 86400000},
        "read_timeout_ms": {"type": "integer", "minimum": 100, "maximum": 600000},
        "stop_limit_ms": {"type": "integer", "minimum": 0, "maximum": 600000},
        "max_deadline_ms": {"type": "integer", "minimum": 100, "maximum": 600000},
        "memory_mb": {"type": "integer", "minimum": 32, "maximum": 1048576},
        "max_connections": {"type": "integer", "minimum": 0, "maximum": 1000000},
        "max_in_flight": {"type": "integer", "minimum": 1, "maximum": 1000000},
        "trace_store": {"type": "integer", "minimum": 0, "maximum": 100000}
      }
    },
    "control": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "probe_ms": {"$ref": "#/definitions/interval_ms"},
        "probe_timeout_ms": {"$ref": "#/definitions/interval_ms"},
        "gossip_ms": {"$ref": "#/definitions/interval_ms"},
        "gossip_timeout_ms": {"$ref": "#/definitions/interval_ms"},
        "suspicion_ms": {"$ref": "#/definitions/interval_ms"},
        "digest_ms": {"$ref": "#/definitions/interval_ms"},
        "vm_poll_ms": {"$ref": "#/definitions/interval_ms"},
        "watch_ms": {"$ref": "#/definitions/interval_ms"},
        "platform_timeout_ms": {"$ref": "#/definitions/interval_ms"},
        "backoff_base_ms": {"$ref": "#/definitions/interval_ms"},
        "backoff_cap_ms": {"$ref": "#/definitions/interval_ms"},
        "electing_ms": {"$ref": "#/definitions/interval_ms"},
        "promotion_pause_ms": {"$ref": "#/definitions/interval_ms"},
        "replication_stall_ms": {"$ref": "#/definitions/interval_ms"},
        "retry_share": {"type": "number", "minimum": 0, "maximum": 1}
      }
    }
  }
})json";
}

}  // namespace poplarmoor
