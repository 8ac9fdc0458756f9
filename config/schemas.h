#pragma once

namespace poplarmoor {

/// @returns The JSON Schema of a daemon's settings file.
const char* DaemonSettingsSchema();

/// @returns The JSON Schema of the base file of a deployment.
const char* BaseSchema();

/// @returns The JSON Schema of a site's overlay.
const char* OverlaySchema();

/// @returns The JSON Schema of a profile of the command line.
const char* OperatorProfileSchema();

}  // namespace poplarmoor
