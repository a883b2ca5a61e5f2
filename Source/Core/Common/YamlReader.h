#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace YAML {
class Node;
}

/// Validating YAML reader: collects every error with file, line and key, so
/// that a user sees all of them at once.
namespace magnolia::common {

/// One error in a document.
struct yaml_error {
  /// From one, zero where unknown.
  int Line = 0;
  /// Path of the key such as "routes[3].timeout", empty for the document.
  std::string Key;
  std::string Message;
};

/// Collects the errors found while a document is read.
class yaml_errors {
public:
  explicit yaml_errors(std::string File) : File(std::move(File)) {}

  /// Records an error; \p Line counts from one, zero where unknown.
  void add(int Line, std::string_view Key, std::string_view Message);

  /// Ok, or one InvalidArgument whose message has a line for each error.
  absl::Status status() const;

  const std::vector<yaml_error> &list() const { return Errors; }

private:
  std::string toText(const yaml_error &Error) const;

  std::string File;
  std::vector<yaml_error> Errors;
};

/// One mapping of a document. Each key read counts as known; finish() reports
/// the others as errors.
class yaml_section {
public:
  yaml_section(const YAML::Node &Node, std::string Path, yaml_errors &Errors);
  ~yaml_section();
  yaml_section(yaml_section &&) noexcept;

  bool has(std::string_view Key) const;

  /// Each reads a scalar; a default makes the key optional.
  std::string text(std::string_view Key,
                   std::optional<std::string_view> Default = std::nullopt);
  double number(std::string_view Key,
                std::optional<double> Default = std::nullopt);
  int64_t integer(std::string_view Key,
                  std::optional<int64_t> Default = std::nullopt);
  bool boolean(std::string_view Key,
               std::optional<bool> Default = std::nullopt);

  /// A duration with its unit: "250us", "20ms", "5s", "10m" or "6h".
  std::chrono::microseconds
  duration(std::string_view Key,
           std::optional<std::chrono::microseconds> Default = std::nullopt);

  /// "IP:port" with a numeric IPv4 address; port 0 lets the system choose.
  std::string address(std::string_view Key,
                      std::optional<std::string_view> Default = std::nullopt);

  /// A mapping, empty where absent.
  yaml_section section(std::string_view Key);

  /// A list of mappings, empty where absent.
  std::vector<yaml_section> sections(std::string_view Key);

  /// A list of scalars, empty where absent.
  std::vector<std::string> texts(std::string_view Key);

  /// Records an error about \p Key of this mapping.
  void fail(std::string_view Key, std::string_view Message);

  /// Records an error for each key that was never read and each duplicate key.
  void finish();

private:
  std::optional<std::string> scalar(std::string_view Key, bool Required);
  std::string pathOf(std::string_view Key) const;
  int lineOf(std::string_view Key) const;

  std::unique_ptr<YAML::Node> Node;
  std::string Path;
  yaml_errors *Errors;
  std::set<std::string, std::less<>> Known;
};

/// Parses \p Text; on a syntax error, records it in \p Errors and returns an
/// empty mapping.
yaml_section parseYaml(std::string_view Text, yaml_errors &Errors);

/// Parses a duration with its unit ("1500ms", "2.5s"); empty for anything else.
std::optional<std::chrono::microseconds> parseDuration(std::string_view Text);

/// The same; a duration above \p Longest is taken as that one.
std::optional<std::chrono::microseconds>
parseDurationUpTo(std::string_view Text, std::chrono::microseconds Longest);

/// The whole content of the file at \p Path.
absl::StatusOr<std::string> readFile(const std::string &Path);

/// Whether \p Text is a numeric "IPv4:port" address.
bool isAddress(std::string_view Text);

} // namespace magnolia::common
