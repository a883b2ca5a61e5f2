#include "Common/YamlReader.h"

#include <string>

#include <doctest/doctest.h>

using namespace magnolia::common;

TEST_CASE("A settings document") {
  yaml_errors Errors("node.yaml");

  SUBCASE("reads values with their units and defaults") {
    yaml_section Root = parseYaml("listen: 127.0.0.1:0\nterm: 250ms\n", Errors);
    CHECK(Root.address("listen") == "127.0.0.1:0");
    CHECK(Root.duration("term") == std::chrono::milliseconds(250));
    CHECK(Root.integer("threads", 4) == 4);
    Root.finish();
    CHECK(Errors.status().ok());
  }

  SUBCASE("reports every error at once, with file, line and key") {
    yaml_section Root = parseYaml("listen: localhost:80\n"
                                  "term: 250\n"
                                  "color: red\n"
                                  "limits:\n"
                                  "  body: many\n",
                                  Errors);
    Root.address("listen");
    Root.duration("term");
    Root.text("name");
    yaml_section Limits = Root.section("limits");
    Limits.integer("body");
    Limits.finish();
    Root.finish();
    const std::string Message(Errors.status().message());
    CHECK(Message.find("node.yaml:1: listen: ") != std::string::npos);
    CHECK(Message.find("node.yaml:2: term: ") != std::string::npos);
    CHECK(Message.find("node.yaml:3: color: is not a known key") !=
          std::string::npos);
    CHECK(Message.find("node.yaml:5: limits.body: ") != std::string::npos);
    CHECK(Message.find("name: is missing") != std::string::npos);
  }

  SUBCASE("reports a syntax error with its line") {
    parseYaml("a: [1, 2\nb: }", Errors);
    CHECK_FALSE(Errors.status().ok());
  }
}
