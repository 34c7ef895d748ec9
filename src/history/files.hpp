// The directory that a history lives in, as few calls: tests put one in its place that fails at the
// n-th call or loses what was not synced.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace violetpulley::history {

// What the operating system said: the disk is full, read-only, or the file is not there.
struct FileError : std::system_error {
  using std::system_error::system_error;
};

class Files {
 public:
  Files() = default;
  virtual ~Files() = default;
  Files(const Files&) = delete;
  Files& operator=(const Files&) = delete;

  // Every call throws FileError when it cannot be done; an append may then have written a part.
  virtual std::vector<std::string> list() = 0;
  virtual std::string read(const std::string& name) = 0;
  // At most so many bytes from a place on; fewer at the end.
  virtual std::string read(const std::string& name, std::size_t from, std::size_t most) = 0;
  virtual void append(const std::string& name, std::string_view bytes) = 0;
  // What was appended so far outlives a power cut from here on.
  virtual void sync(const std::string& name) = 0;
  // Atomic: after a crash there is one name or the other.
  virtual void rename(const std::string& from, const std::string& to) = 0;
  virtual void remove(const std::string& name) = 0;
  // Names made, changed and removed outlive a power cut from here on.
  virtual void sync_names() = 0;
};

// A directory of this machine, locked against a second process.
class Directory : public Files {
 public:
  // Makes the directory if need be. `writing`: takes the lock; readers need none.
  Directory(std::string path, bool writing);
  ~Directory() override;

  std::vector<std::string> list() override;
  std::string read(const std::string& name) override;
  std::string read(const std::string& name, std::size_t from, std::size_t most) override;
  void append(const std::string& name, std::string_view bytes) override;
  void sync(const std::string& name) override;
  void rename(const std::string& from, const std::string& to) override;
  void remove(const std::string& name) override;
  void sync_names() override;

 private:
  int handle_of(const std::string& name);
  std::string full(const std::string& name) const { return path_ + "/" + name; }
  void close_all();

  std::string path_;
  int lock_ = -1;
  std::map<std::string, int> open_;  // files being appended to: an event log and a save
};

}  // namespace violetpulley::history
