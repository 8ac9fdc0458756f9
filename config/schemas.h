#pragma once

namespace poplarmoor {

/// JSON Schema of a daemon's settings file.
extern const char* const kDaemonSettingsSchema;

/// JSON Schema of the base file of a deployment.
extern const char* const kBaseSchema;

/// JSON Schema of a site's overlay.
extern const char* const kOverlaySchema;

}  // namespace poplarmoor
