/// @file
/// Serialization of the core's values as msgpack. A struct is an array of the fields that its
/// `fields` function passes, in that order; a map is an array of pairs sorted by key, so that equal
/// states give equal bytes (digests depend on this). Time points are integer nanoseconds; durations
/// of `Seconds` are doubles, stored without rounding.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace violetpulley::history {

/// Bytes that are not msgpack, or a value of another type or variant alternative than expected.
struct DecodeError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using Buffer = msgpack::sbuffer;
using Packer = msgpack::packer<Buffer>;

namespace detail {

template <class T>
inline constexpr bool is_duration = false;
template <class R, class P>
inline constexpr bool is_duration<std::chrono::duration<R, P>> = true;

template <class T>
inline constexpr bool is_time = false;
template <class C, class D>
inline constexpr bool is_time<std::chrono::time_point<C, D>> = true;

template <class T>
inline constexpr bool is_optional = false;
template <class T>
inline constexpr bool is_optional<std::optional<T>> = true;

template <class T>
inline constexpr bool is_pair = false;
template <class A, class B>
inline constexpr bool is_pair<std::pair<A, B>> = true;

template <class T>
inline constexpr bool is_variant = false;
template <class... T>
inline constexpr bool is_variant<std::variant<T...>> = true;

template <class T>
inline constexpr bool is_unordered = false;
template <class K, class V>
inline constexpr bool is_unordered<std::unordered_map<K, V>> = true;

struct IgnoreFields {
  template <class... T>
  void operator()(T&&...) const {}
};
template <class T>
concept Struct = requires(T& value) {
  T::fields(value, IgnoreFields{});
};

template <class T>
concept Container = requires(T& value) {
  typename T::value_type;
  value.begin();
  value.size();
}
&&!std::is_same_v<T, std::string>;

}  // namespace detail

/// Appends the msgpack form of a value.
template <class T>
void write(Packer& out, const T& value) {
  if constexpr (std::is_enum_v<T>) {
    out.pack(static_cast<std::int64_t>(value));
  } else if constexpr (detail::is_duration<T>) {
    out.pack(value.count());
  } else if constexpr (detail::is_time<T>) {
    out.pack(static_cast<std::int64_t>(value.time_since_epoch().count()));
  } else if constexpr (detail::is_optional<T>) {
    if (value)
      write(out, *value);
    else
      out.pack_nil();
  } else if constexpr (detail::is_pair<T>) {
    out.pack_array(2);
    write(out, value.first);
    write(out, value.second);
  } else if constexpr (detail::is_variant<T>) {
    out.pack_array(2);
    out.pack(static_cast<std::uint64_t>(value.index()));
    std::visit([&](const auto& held) { write(out, held); }, value);
  } else if constexpr (detail::is_unordered<T>) {
    std::vector<const typename T::value_type*> sorted;
    for (const auto& entry : value) sorted.push_back(&entry);
    std::sort(sorted.begin(), sorted.end(),
              [](const auto* a, const auto* b) { return a->first < b->first; });
    out.pack_array(static_cast<std::uint32_t>(sorted.size()));
    for (const auto* entry : sorted) write(out, *entry);
  } else if constexpr (detail::Container<T>) {
    out.pack_array(static_cast<std::uint32_t>(value.size()));
    for (const auto& entry : value) write(out, entry);
  } else if constexpr (detail::Struct<T>) {
    T::fields(value, [&](const auto&... field) {
      out.pack_array(static_cast<std::uint32_t>(sizeof...(field)));
      (write(out, field), ...);
    });
  } else {
    out.pack(value);
  }
}

namespace detail {

inline const msgpack::object_array& expect_array(const msgpack::object& object,
                                                 std::size_t min_size) {
  if (object.type != msgpack::type::ARRAY || object.via.array.size < min_size)
    throw DecodeError("expected an array of at least " + std::to_string(min_size) + " values");
  return object.via.array;
}

}  // namespace detail

/// Decodes a value. Throws DecodeError.
template <class T>
void read(const msgpack::object& object, T& value);

namespace detail {

template <class T>
void read_container(const msgpack::object& object, T& value) {
  const auto& elements = expect_array(object, 0);
  value.clear();
  for (std::uint32_t i = 0; i < elements.size; ++i) {
    if constexpr (requires { typename T::mapped_type; }) {
      const auto& entry = expect_array(elements.ptr[i], 2);
      typename T::key_type key{};
      read(entry.ptr[0], key);
      read(entry.ptr[1], value[std::move(key)]);
    } else if constexpr (requires { typename T::key_type; }) {
      typename T::key_type key{};
      read(elements.ptr[i], key);
      value.insert(value.end(), std::move(key));
    } else {
      read(elements.ptr[i], value.emplace_back());
    }
  }
}

template <class T>
void read_variant(const msgpack::object& object, T& value) {
  const auto& elements = expect_array(object, 2);
  std::uint64_t index = 0;
  read(elements.ptr[0], index);
  const auto emplace_alternative = [&]<std::size_t... I>(std::index_sequence<I...>) {
    return ((index == I ? (read(elements.ptr[1], value.template emplace<I>()), true) : false) ||
            ...);
  };
  if (!emplace_alternative(std::make_index_sequence<std::variant_size_v<T>>{}))
    throw DecodeError("variant kind " + std::to_string(index) + " is unknown");
}

template <class T>
void read_struct(const msgpack::object& object, T& value) {
  T::fields(value, [&](auto&... field) {
    const auto& elements = expect_array(object, sizeof...(field));
    std::size_t at = 0;
    (read(elements.ptr[at++], field), ...);
  });
}

}  // namespace detail

template <class T>
void read(const msgpack::object& object, T& value) {
  if constexpr (std::is_enum_v<T>) {
    std::int64_t number = 0;
    read(object, number);
    value = static_cast<T>(number);
  } else if constexpr (detail::is_duration<T>) {
    typename T::rep count{};
    read(object, count);
    value = T(count);
  } else if constexpr (detail::is_time<T>) {
    typename T::duration since{};
    read(object, since);
    value = T(since);
  } else if constexpr (detail::is_optional<T>) {
    if (object.is_nil()) {
      value.reset();
    } else {
      value.emplace();
      read(object, *value);
    }
  } else if constexpr (detail::is_pair<T>) {
    const auto& elements = detail::expect_array(object, 2);
    read(elements.ptr[0], const_cast<std::remove_const_t<typename T::first_type>&>(value.first));
    read(elements.ptr[1], value.second);
  } else if constexpr (detail::is_variant<T>) {
    detail::read_variant(object, value);
  } else if constexpr (detail::Container<T>) {
    detail::read_container(object, value);
  } else if constexpr (detail::Struct<T>) {
    detail::read_struct(object, value);
  } else {
    try {
      object.convert(value);
    } catch (const msgpack::type_error&) {
      throw DecodeError("a value has another type than expected");
    }
  }
}

/// Encodes a value as msgpack.
template <class T>
std::string packed(const T& value) {
  Buffer buffer;
  Packer out(buffer);
  write(out, value);
  return {buffer.data(), buffer.size()};
}

/// Decodes a value from msgpack. Throws DecodeError.
template <class T>
T unpacked(std::string_view bytes) {
  T value{};
  try {
    const auto handle = msgpack::unpack(bytes.data(), bytes.size());
    read(handle.get(), value);
  } catch (const msgpack::unpack_error& problem) {
    throw DecodeError(std::string("not msgpack: ") + problem.what());
  }
  return value;
}

}  // namespace violetpulley::history
