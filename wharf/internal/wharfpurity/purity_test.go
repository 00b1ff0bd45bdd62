package wharfpurity

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// decisions lists the packages that decide and do nothing else.
var decisions = []string{
	"wharfoutcome", "wharfconfig", "wharfselector", "wharfbudget", "wharfadmission", "wharfrouting",
	"wharfidempotency", "wharfmember", "wharfquarantine", "wharfroute", "wharfstream", "wharfstate",
}

// allowedImports lists the packages that may be imported although their path
// begins with a forbidden one.
var allowedImports = []string{"net/http", "net/netip"}

// statusOnly lists the packages that may import net/http, for the names of
// status codes.
var statusOnly = []string{"wharfoutcome"}

var forbiddenImports = []string{
	"net", "os", "syscall", "math/rand", "crypto/rand",
	"google.golang.org/grpc", "github.com/alitto/pond", "github.com/VictoriaMetrics/metrics",
	"github.com/apex/log", "github.com/go-resty/resty",
}

// forbiddenCalls lists functions that read the clock or a global source.
var forbiddenCalls = []string{
	"time.Now", "time.Sleep", "time.After", "time.NewTimer", "time.NewTicker", "time.Since", "time.Until",
	"rand.Int", "rand.IntN", "rand.Uint64", "rand.Float64", "uuid.New", "uuid.NewString", "uuid.NewV7",
}

func TestDecisionsArePure(t *testing.T) {
	for _, pkg := range decisions {
		t.Run(pkg, func(t *testing.T) {
			for _, fault := range faultsOf(t, pkg) {
				t.Error(fault)
			}
		})
	}
}

func faultsOf(t *testing.T, pkg string) []string {
	t.Helper()
	files, err := filepath.Glob("../../" + pkg + "/*.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("no files of %s: %v", pkg, err)
	}
	var faults []string
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		faults = append(faults, faultsIn(t, pkg, file, source)...)
	}
	return faults
}

func faultsIn(t *testing.T, pkg, file string, source []byte) []string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, source, 0)
	if err != nil {
		t.Fatal(err)
	}
	var faults []string
	for _, i := range parsed.Imports {
		path := strings.Trim(i.Path.Value, `"`)
		if forbidden(pkg, path) {
			faults = append(faults, file+" imports "+path)
		}
	}
	ast.Inspect(parsed, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			faults = append(faults, file+" starts a goroutine")
		case *ast.SelectorExpr:
			x, ok := n.X.(*ast.Ident)
			if ok && slices.Contains(forbiddenCalls, x.Name+"."+n.Sel.Name) {
				faults = append(faults, file+" uses "+x.Name+"."+n.Sel.Name)
			}
		}
		return true
	})
	return faults
}

func forbidden(pkg, path string) bool {
	if path == "math/rand/v2" {
		return false // Sources are handed in; global functions are caught as calls.
	}
	if slices.Contains(allowedImports, path) {
		return path == "net/http" && !slices.Contains(statusOnly, pkg)
	}
	return slices.ContainsFunc(forbiddenImports, func(f string) bool {
		return path == f || strings.HasPrefix(path, f+"/")
	})
}

// TestCheckFindsFaults shows that the check above has teeth.
func TestCheckFindsFaults(t *testing.T) {
	source := "package p\nimport (\"os\"; \"time\")\nfunc f() { go f(); _ = time.Now(); _ = os.Args }\n"
	if n := len(faultsIn(t, "p", "p.go", []byte(source))); n != 3 {
		t.Fatalf("%d faults", n)
	}
}
