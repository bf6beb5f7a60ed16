package archtest

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const root = "../.."

var (
	// namedTest matches the name of a test or fuzz target in a document.
	namedTest = regexp.MustCompile(`\b(?:Test|Fuzz)[A-Z]\w+`)
	// declaredTest matches the declaration of a test or fuzz target.
	declaredTest = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Z]\w+)\(`)
	// namedPath matches the path of a package or of a Go file in a document.
	namedPath = regexp.MustCompile(`\b(?:internal|cmd)(?:/[a-z0-9_]+)+(?:\.go)?`)
)

// plannedPackages are packages that documents name and that do not exist yet.
var plannedPackages = map[string]bool{"internal/net/fleet": true}

// documents returns the texts of the module's documentation pages by their paths.
func documents(t *testing.T) map[string]string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	paths = append(paths, filepath.Join(root, "README.md"), filepath.Join(root, "CHANGELOG.md"))
	texts := map[string]string{}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		texts[path] = string(text)
	}
	return texts
}

// declaredTests returns the names of the module's tests and fuzz targets.
func declaredTests(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	for _, path := range goFiles(t, root) {
		if !strings.HasSuffix(path, "_test.go") {
			continue
		}
		source, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range declaredTest.FindAllStringSubmatch(string(source), -1) {
			names[match[1]] = true
		}
	}
	return names
}

func TestDocuments_NameTestsThatExist(t *testing.T) {
	declared := declaredTests(t)
	named := 0
	for path, text := range documents(t) {
		for _, name := range namedTest.FindAllString(text, -1) {
			named++
			if !declared[name] {
				t.Errorf("%s names the test %s, which does not exist", path, name)
			}
		}
	}
	if named < 50 {
		t.Errorf("found only %d names of tests in the documents, want at least 50", named)
	}
}

func TestDocuments_NamePathsThatExist(t *testing.T) {
	named := 0
	for path, text := range documents(t) {
		for _, name := range namedPath.FindAllString(text, -1) {
			named++
			if plannedPackages[name] {
				continue
			}
			if _, err := os.Stat(filepath.Join(root, name)); err != nil {
				t.Errorf("%s names the path %s: %v", path, name, err)
			}
		}
	}
	if named < 50 {
		t.Errorf("found only %d paths in the documents, want at least 50", named)
	}
}
