/// @file
/// Prints API answers for people or for scripts.
#pragma once

#include <string>

namespace lentilsaddle::cli {

enum class OutputFormat {
    Table,
    Json,
};

/// Prints a JSON document to standard output, as it is or as a table. Text that is no JSON is printed unchanged.
void writeDocument(const std::string& document, OutputFormat format);

/// Prints an error answer to standard error.
void writeError(const std::string& document, OutputFormat format);

} // namespace lentilsaddle::cli
