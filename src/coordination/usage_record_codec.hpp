#pragma once

#include <zinniahub/error.hpp>
#include <zinniahub/usage_report_planner.hpp>

#include <string>
#include <string_view>

namespace zinniahub::coordination
{

/// @brief Encodes the record of the usage reports for the store. Equal records
/// give equal texts.
std::string encode_usage_record(const usage_record& record);

/// @return `errc::resource_invalid` if the text is not a record, if its windows
/// are not consecutive, or if it is beyond the bounds
result<usage_record> decode_usage_record(std::string_view text);

} // namespace zinniahub::coordination
