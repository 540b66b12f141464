// Reads operators' files without taking in more than their limit.
#pragma once

#include <string>

#include "cornelhead/base/error.h"

namespace cornelhead::detail {

/// Reads a file, or its first bytes up to one beyond the limit of a YAML file.  Fails with
/// `NotFound`.
Result<std::string> readBoundedFile(const std::string &path);

} // namespace cornelhead::detail
