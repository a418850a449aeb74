// Package docs holds the pages and the checks that they keep to the code.
package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// namedTest matches the name of a test in a page, such as `cell.TestX`.
var namedTest = regexp.MustCompile("`([a-z0-9/]+)\\.((?:Test|Fuzz|Benchmark)[A-Za-z0-9_]+)`")

// missingTests returns the tests that a page names and no package has.
func missingTests(t *testing.T, page string) []string {
	t.Helper()
	var missing []string
	sources := map[string]string{}
	for _, match := range namedTest.FindAllStringSubmatch(page, -1) {
		folder, name := match[1], match[2]
		if _, read := sources[folder]; !read {
			sources[folder] = testSource(t, folder)
		}
		if !strings.Contains(sources[folder], "func "+name+"(") {
			missing = append(missing, folder+"."+name)
		}
	}
	return missing
}

// testSource returns the text of the test files of a package.
func testSource(t *testing.T, folder string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", folder, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	var all strings.Builder
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		all.Write(content)
	}
	return all.String()
}

func TestEveryNamedProofExists(t *testing.T) {
	pages, err := filepath.Glob("incidents/*.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range append([]string{"PROOFS.md", "design/platform.md"}, pages...) {
		page, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if n := len(namedTest.FindAll(page, -1)); n == 0 && path != "incidents/README.md" {
			t.Errorf("%s names no test", path)
		}
		for _, name := range missingTests(t, string(page)) {
			t.Errorf("%s names %s, which does not exist", path, name)
		}
	}
}

func TestCheckerFindsANameWithoutATest(t *testing.T) {
	missing := missingTests(t, "`docs.TestEveryNamedProofExists` `docs.TestNobodyWrote` `nowhere.TestX`")
	if len(missing) != 2 {
		t.Fatalf("found %v", missing)
	}
}
