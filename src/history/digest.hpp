/// @file
/// Incremental digest of values: equal sequences of states or actions give equal digests on all
/// machines with the same byte order.
#pragma once

#include <xxhash.h>

#include <cstdio>
#include <memory>

#include "history/pack.hpp"

namespace violetpulley::history {

/// XXH3 (64 bits) over the bytes added so far.
class Digest {
 public:
  Digest() : state_(XXH3_createState(), &XXH3_freeState) { XXH3_64bits_reset(state_.get()); }

  /// Adds the msgpack form of a value (history/pack.hpp).
  template <class T>
  void add(const T& value) {
    buffer_.clear();
    Packer out(buffer_);
    write(out, value);
    add_bytes({buffer_.data(), buffer_.size()});
  }
  void add_bytes(std::string_view bytes) {
    XXH3_64bits_update(state_.get(), bytes.data(), bytes.size());
  }
  /// The digest of these bytes alone.
  static std::uint64_t of_bytes(std::string_view bytes) {
    Digest digest;
    digest.add_bytes(bytes);
    return digest.value();
  }
  std::uint64_t value() const { return XXH3_64bits_digest(state_.get()); }

 private:
  std::unique_ptr<XXH3_state_t, XXH_errorcode (*)(XXH3_state_t*)> state_;
  Buffer buffer_;
};

/// Formats a value as 16 hexadecimal digits.
inline std::string hex(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

}  // namespace violetpulley::history
