/// @file
/// Prints API responses as text tables or JSON.
#pragma once

#include <string>

namespace lentilsaddle::cli {

enum class OutputFormat {
    /// Key-value lines and tables, for reading.
    Table,
    /// The document as received, for scripts.
    Json,
};

/// Prints a response body to standard output. A body that is not a JSON object is printed unchanged in both formats.
void writeDocument(const std::string& document, OutputFormat format);

/// Prints the body of an error response to standard error.
void writeError(const std::string& document, OutputFormat format);

} // namespace lentilsaddle::cli
