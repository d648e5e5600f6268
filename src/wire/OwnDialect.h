// The daemon's own HTTP interface for callers and backend servers.
#pragma once

#include "wire/HttpDialect.h"

namespace Coltsfootwell {

/// \return the dialect of the headers in HeaderNames.h; lives as long as the process.
const HttpDialect &ownDialect();

} // namespace Coltsfootwell
