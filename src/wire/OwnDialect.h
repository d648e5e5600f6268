// The daemon's own HTTP dialect for callers and backend servers.
#pragma once

#include "wire/HttpDialect.h"

namespace Coltsfootwell {

/// \return the dialect that uses the headers of HeaderNames.h; valid until the process ends.
const HttpDialect &ownDialect();

} // namespace Coltsfootwell
