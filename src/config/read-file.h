// Reads the operators' files up to a size limit.
#pragma once

#include <string>

#include "cornelhead/base/error.h"

namespace cornelhead::detail {

/// Reads a file, but at most one byte more than the size limit of YAML files.  Fails with
/// `NotFound`.
Result<std::string> readBoundedFile(const std::string &path);

} // namespace cornelhead::detail
