/// @file
/// Access to the golden files: bytes that the program wrote before its identifiers were renamed in
/// December 2026 (README.md in this directory). A missing file fails the test that reads it.
#pragma once

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

#include "history/pack.hpp"

namespace violetpulley::golden {

using Json = nlohmann::json;

inline std::filesystem::path path_of(const std::string& name) {
  return std::filesystem::path(VIOLETPULLEY_GOLDEN_FILES) / name;
}

/// The bytes of a golden file. Throws std::runtime_error if the file cannot be read.
inline std::string read_file(const std::string& name) {
  std::ifstream file(path_of(name), std::ios::binary);
  if (!file) throw std::runtime_error("golden file " + name + " is missing");
  return {std::istreambuf_iterator<char>(file), {}};
}

inline Json read_json(const std::string& name) { return Json::parse(read_file(name)); }

/// The list `field` of a golden file. Throws std::runtime_error if the list is empty, since a test
/// that loops over no case would pass.
inline Json cases_of(const std::string& name, const std::string& field = "cases") {
  auto cases = read_json(name).at(field);
  if (!cases.is_array() || cases.empty())
    throw std::runtime_error("golden file " + name + " holds no " + field);
  return cases;
}

inline std::string to_hex(std::string_view bytes) {
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  std::string out;
  for (const unsigned char byte : bytes) {
    out.push_back(kHexDigits[byte >> 4U]);
    out.push_back(kHexDigits[byte & 15U]);
  }
  return out;
}

inline std::string from_hex(const std::string& digits) {
  std::string out;
  for (std::size_t index = 0; index + 1 < digits.size(); index += 2)
    out.push_back(static_cast<char>(std::stoi(digits.substr(index, 2), nullptr, 16)));
  return out;
}

/// Encodes a value in the history's msgpack form, as hexadecimal digits.
template <class T>
std::string pack_to_hex(const T& value) {
  return to_hex(history::packed(value));
}

/// Decodes a value from the form that `pack_to_hex` writes.
template <class T>
T unpack_from_hex(const Json& digits) {
  return history::unpacked<T>(from_hex(digits.get<std::string>()));
}

/// The string member `field` of a JSON object. Throws nlohmann::json::exception if it is absent.
inline std::string text_field(const Json& value, const char* field) {
  return value.at(field).get<std::string>();
}

}  // namespace violetpulley::golden
