#include "config/schemas.h"

namespace poplarmoor {

const char* BaseSchema() {
  return R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Base file of a poplarmoor deployment",
  "definitions": {
    "name": {
      "type": "string",
      "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$",
      "description": "a name of 1 to 63 lower-case letters, digits, dots and hyphens"
    },
    "slots": {"type": "integer", "minimum": 1, "maximum": 1000},
    "connections": {"type": "integer", "minimum": 2, "maximum": 10000},
    "connect_ms": {"type": "integer", "minimum": 1, "maximum": 10000},
    "deadline_ms": {"type": "integer", "minimum": 10, "maximum": 60000},
    "rank": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "floor_share": {"type": "number", "minimum": 0, "maximum": 1},
        "target_ms": {"type": "integer", "minimum": 1, "maximum": 60000},
        "worth": {"type": "number", "minimum": 0, "maximum": 1000000},
        "max_queue": {"type": "integer", "minimum": 1, "maximum": 100000}
      }
    },
    "ranks": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "urgent": {"$ref": "#/definitions/rank"},
        "standard": {"$ref": "#/definitions/rank"},
        "background": {"$ref": "#/definitions/rank"}
      }
    },
    "overridable": {
      "type": "array",
      "items": {"enum": ["ranks", "deadline_ms", "routing"]}
    }
  },
  "type": "object",
  "additionalProperties": false,
  "required": ["deployment", "failure_domains", "sites", "ranks", "pools", "services"],
  "properties": {
    "deployment": {"$ref": "#/definitions/name"},
    "region": {"$ref": "#/definitions/name"},
    "failure_domains": {"type": "array", "minItems": 1, "items": {"$ref": "#/definitions/name"}},
    "sites": {
      "type": "array",
      "minItems": 1,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "failure_domain"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "failure_domain": {"$ref": "#/definitions/name"}
        }
      }
    },
    "ranks": {"$ref": "#/definitions/ranks"},
    "overridable": {"$ref": "#/definitions/overridable"},
    "pools": {
      "type": "array",
      "minItems": 1,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "slots", "connections", "connect_ms", "server_connections"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "slots": {"$ref": "#/definitions/slots"},
          "connections": {"$ref": "#/definitions/connections"},
          "connect_ms": {"$ref": "#/definitions/connect_ms"},
          "server_connections": {"$ref": "#/definitions/connections"}
        }
      }
    },
    "services": {
      "type": "array",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "pool", "sites", "endpoints"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "pool": {"$ref": "#/definitions/name"},
          "sites": {"type": "array", "minItems": 1, "items": {"$ref": "#/definitions/name"}},
          "acknowledge": {"enum": ["quorum", "primary"]},
          "routing": {"type": "string"},
          "admission": {"type": "string"},
          "deadline_ms": {"$ref": "#/definitions/deadline_ms"},
          "records_request_ids": {"type": "boolean"},
          "slots": {"$ref": "#/definitions/slots"},
          "connections": {"$ref": "#/definitions/connections"},
          "connect_ms": {"$ref": "#/definitions/connect_ms"},
          "ranks": {"$ref": "#/definitions/ranks"},
          "overridable": {"$ref": "#/definitions/overridable"},
          "endpoints": {
            "type": "array",
            "items": {
              "type": "object",
              "additionalProperties": false,
              "required": ["name", "address", "failure_domain"],
              "properties": {
                "name": {"$ref": "#/definitions/name"},
                "address": {"type": "string", "description": "an address of the form IP:port"},
                "failure_domain": {"$ref": "#/definitions/name"}
              }
            }
          }
        }
      }
    }
  }
})json";
}

const char* OverlaySchema() {
  return R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Overlay of one site",
  "definitions": {
    "name": {
      "type": "string",
      "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$",
      "description": "a name of 1 to 63 lower-case letters, digits, dots and hyphens"
    },
    "deadline_ms": {"type": "integer", "minimum": 10, "maximum": 60000},
    "rank": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "target_ms": {"type": "integer", "minimum": 1, "maximum": 60000},
        "worth": {"type": "number", "minimum": 0, "maximum": 1000000}
      }
    },
    "ranks": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "urgent": {"$ref": "#/definitions/rank"},
        "standard": {"$ref": "#/definitions/rank"},
        "background": {"$ref": "#/definitions/rank"}
      }
    }
  },
  "type": "object",
  "additionalProperties": false,
  "required": ["site"],
  "properties": {
    "site": {"$ref": "#/definitions/name"},
    "ranks": {"$ref": "#/definitions/ranks"},
    "deadline_ms": {"$ref": "#/definitions/deadline_ms"},
    "routing": {"type": "string"},
    "services": {
      "type": "object",
      "additionalProperties": {
        "type": "object",
        "additionalProperties": false,
        "properties": {
          "ranks": {"$ref": "#/definitions/ranks"},
          "deadline_ms": {"$ref": "#/definitions/deadline_ms"},
          "routing": {"type": "string"}
        }
      }
    }
  }
})json";
}

}  // namespace poplarmoor
