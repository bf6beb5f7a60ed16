// Package archtest checks that the imports between packages follow the table in docs/architecture.md, that the
// documents name existing tests and paths, and that the listed outward names still occur in the program.
package archtest

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const module = "rooktrestle/"

// layer is a set of packages, selected by a prefix of their paths, and the packages of this module that they may
// import. Packages of a layer may always import each other.
type layer struct {
	prefix string
	allows []string
}

// layers are matched in this order: a package belongs to the first layer whose prefix matches its path.
var layers = []layer{
	{prefix: "balance", allows: []string{"internal/control"}},
	{prefix: "internal/control"},
	{prefix: "internal/query"},
	{prefix: "internal/protocol", allows: []string{"internal/query"}},
	{prefix: "internal/settings", allows: []string{"balance"}},
	{
		prefix: "internal/config",
		allows: []string{
			"balance",
			"internal/control",
			"internal/protocol",
			"internal/settings",
		},
	},
	{prefix: "internal/state"},
	{prefix: "internal/aggregator", allows: []string{"balance", "internal/control"}},
	{
		prefix: "internal/net",
		allows: []string{
			"balance",
			"internal/aggregator",
			"internal/control",
			"internal/protocol",
		},
	},
	{
		prefix: "internal/gateway",
		allows: []string{
			"internal/aggregator",
			"internal/config",
			"internal/control",
			"internal/query",
		},
	},
	{
		prefix: "internal/backend",
		allows: []string{
			"balance",
			"internal/aggregator",
			"internal/config",
			"internal/control",
			"internal/net",
			"internal/protocol",
			"internal/query",
			"internal/settings",
		},
	},
	{
		prefix: "internal/frontend",
		allows: []string{
			"internal/aggregator",
			"internal/config",
			"internal/control",
			"internal/gateway",
			"internal/net",
			"internal/protocol",
			"internal/query",
		},
	},
	{
		prefix: "internal/app",
		allows: []string{
			"balance",
			"internal/aggregator",
			"internal/backend",
			"internal/config",
			"internal/control",
			"internal/frontend",
			"internal/gateway",
			"internal/net",
			"internal/protocol",
			"internal/query",
			"internal/settings",
			"internal/state",
		},
	},
	{prefix: "internal/simadapter", allows: []string{"balance", "internal/settings"}},
	{
		prefix: "internal/testbed",
		allows: []string{
			"balance",
			"internal/aggregator",
			"internal/app",
			"internal/backend",
			"internal/config",
			"internal/control",
			"internal/frontend",
			"internal/gateway",
			"internal/net",
			"internal/protocol",
			"internal/query",
			"internal/settings",
			"internal/state",
		},
	},
	{prefix: "cmd/rooktrestle", allows: []string{"internal/app", "internal/config", "internal/control"}},
	{prefix: "cmd/grpchealth", allows: []string{"internal/app", "internal/frontend/grpchealth"}},
	{prefix: "cmd/rookgrpc", allows: []string{"internal/app", "internal/frontend/grpchealth"}},
	{prefix: "cmd/simadapter", allows: []string{"balance", "internal/simadapter"}},
	{prefix: "cmd/testbed", allows: []string{"internal/control", "internal/testbed"}},
}

func within(path, prefix string) bool { return path == prefix || strings.HasPrefix(path, prefix+"/") }

func layerOf(path string) *layer {
	for i := range layers {
		if within(path, layers[i].prefix) {
			return &layers[i]
		}
	}
	return nil
}

func (l *layer) mayImport(path string) bool {
	if within(path, l.prefix) {
		return true
	}
	for _, allowed := range l.allows {
		if within(path, allowed) {
			return true
		}
	}
	return false
}

// goFiles returns the Go files below root, except those of other modules and of test data.
func goFiles(t *testing.T, root string) (files []string) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := entry.Name()
		if entry.IsDir() && path != root && (strings.HasPrefix(name, ".") || name == "tools" || name == "testdata") {
			return filepath.SkipDir
		}
		if strings.HasSuffix(name, ".go") {
			files = append(files, path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// sourceFiles returns the Go files below root that are not tests.
func sourceFiles(t *testing.T, root string) []string {
	t.Helper()
	isTest := func(path string) bool { return strings.HasSuffix(path, "_test.go") }
	return slices.DeleteFunc(goFiles(t, root), isTest)
}

// importsOf returns the packages of this module that a file imports.
func importsOf(t *testing.T, path string) (imports []string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	for _, spec := range file.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		if imported, ours := strings.CutPrefix(imported, module); ours {
			imports = append(imports, imported)
		}
	}
	return imports
}

func TestImports_FollowTheLayers(t *testing.T) {
	found := 0
	for _, path := range sourceFiles(t, root) {
		relative, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			t.Fatal(err)
		}
		from := filepath.ToSlash(relative)
		l := layerOf(from)
		if l == nil {
			t.Errorf("package %s is in no layer: add it to docs/architecture.md and to this test", from)
			continue
		}
		for _, to := range importsOf(t, path) {
			found++
			if !l.mayImport(to) {
				t.Errorf("%s imports %s, which its layer (%s) must not import", from, to, l.prefix)
			}
		}
	}
	if found < 100 {
		t.Errorf("checked only %d imports, want at least 100: were the module's files found?", found)
	}
}

func TestLayers_ForbidWhatTheyDoNotName(t *testing.T) {
	for _, c := range []struct{ from, to string }{
		{from: "balance", to: "internal/aggregator"},
		{from: "internal/control/health", to: "balance"},
		{from: "internal/control/quota", to: "internal/net/tcp"},
		{from: "internal/protocol/http1", to: "internal/net/tcp"},
		{from: "internal/aggregator", to: "internal/backend/leaf"},
		{from: "internal/app", to: "internal/testbed/sim"},
		{from: "cmd/rooktrestle", to: "internal/testbed/replica"},
		{from: "internal/controller", to: "balance"}, // shares a prefix with internal/control, but is not in that layer
	} {
		if l := layerOf(c.from); l != nil && l.mayImport(c.to) {
			t.Errorf("%s may import %s, want it forbidden", c.from, c.to)
		}
	}
}
