#include "tests/protocol/OddDocuments.h"

namespace lentilsaddle::testing_support {

using nlohmann::json;

namespace {

    constexpr std::size_t nestingDepth = 200'000;
    constexpr const char* placeholder = "placeholder of the odd value";

    std::vector<std::string> oddValues()
    {
        return { "null", "true", "-1", "0", "1e999", "1e300", "-1e300", "18446744073709551615", "9223372036854775807",
            "-9223372036854775808", "99999999999999999999999", R"("")", R"("\u0000")", R"("a\r\nb: c")",
            R"("10.0.0.1:99999")", R"("10.0.0.1:0")", R"("10.0.0.1:-1")", R"("10.0.0.1")", R"("300.0.0.1:80")", "[]",
            "{}", "[[]]", '"' + std::string(100'000, 'x') + '"', deeplyNestedArray() };
    }

    void addPointers(const json& value, const json::json_pointer& path, std::vector<json::json_pointer>& pointers)
    {
        if (!path.empty())
            pointers.push_back(path);
        if (value.is_object()) {
            for (const auto& [name, member] : value.items())
                addPointers(member, path / name, pointers);
        } else if (value.is_array()) {
            for (std::size_t index = 0; index < value.size(); ++index)
                addPointers(value[index], path / index, pointers);
        }
    }

} // namespace

std::string deeplyNestedArray()
{
    return std::string(nestingDepth, '[') + std::string(nestingDepth, ']');
}

std::vector<std::string> documentsWithOneOddValue(const json& document)
{
    std::vector<json::json_pointer> pointers;
    addPointers(document, json::json_pointer(), pointers);
    std::vector<std::string> documents = oddValues();
    const std::string quoted = json(placeholder).dump();
    for (const json::json_pointer& pointer : pointers) {
        json copy = document;
        copy[pointer] = placeholder;
        std::string text = copy.dump();
        std::size_t position = text.find(quoted);
        for (const std::string& odd : oddValues())
            documents.push_back(std::string(text).replace(position, quoted.size(), odd));
    }
    return documents;
}

} // namespace lentilsaddle::testing_support
