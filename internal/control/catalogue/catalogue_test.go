package catalogue_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/comfreyhoist/comfreyhoist/internal/control/catalogue"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/quarantine"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/routing"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/throttle"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

const root = "../../.."

// If this test fails, run: go run ./cmd/comfreyhoist events -markdown docs
func TestPagesMatchTheData(t *testing.T) {
	for name, page := range catalogue.Pages() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			written, err := os.ReadFile(filepath.Join(root, "docs", name))
			is.NoErr(err)
			is.Equal(string(written), page)
		})
	}
}

func TestEntriesAreComplete(t *testing.T) {
	is := is.New(t)
	names := map[string]bool{}
	for n, e := range events.Catalogue {
		is.True(n >= 1000 && n <= 9999)
		is.True(e.Name != "" && e.Text != "" && e.Since != "")                // name, text and version are set
		is.True(e.Level < zerolog.WarnLevel || e.Action != "")                // a warning or error has an action
		is.True(!names[e.Name])                                               // names are unique
		is.True(!strings.ContainsAny(e.Name, "- ABCDEFGHIJKLMNOPQRSTUVWXYZ")) // snake case
		names[e.Name] = true
	}
	for reason, e := range call.Reasons {
		is.True(e.Text != "" && e.Status >= 200)
		is.True(reason == call.ReasonNone || e.Status >= 400)
	}
}

// TestEmittedEventsAreInTheCatalogue parses the source: each constant of type Number must have an entry, and each
// constant passed to Emit must be one of them.
func TestEmittedEventsAreInTheCatalogue(t *testing.T) {
	is := is.New(t)
	declared := declaredNumbers(t)
	is.Equal(len(declared), len(events.Catalogue)) // one entry for each constant
	for position, name := range emittedNumbers(t) {
		if !declared[name] {
			t.Errorf("%s: emits %s, which is not in the catalogue", position, name)
		}
	}
}

// TestEveryEventIsEmitted finds events of the catalogue that are not used anywhere in the program.
func TestEveryEventIsEmitted(t *testing.T) {
	source := programSource(t)
	for name := range declaredNumbers(t) {
		if !strings.Contains(source, "events."+name) {
			t.Errorf("%s is in the catalogue but never emitted", name)
		}
	}
}

// TestEveryReasonIsUsed finds reasons of the catalogue that are not used anywhere in the program.
func TestEveryReasonIsUsed(t *testing.T) {
	source := programSource(t)
	constants := regexp.MustCompile(`(?m)^\t(Reason\w+) +Reason = `)
	text, err := os.ReadFile(root + "/internal/traffic/call/reason.go")
	is.New(t).NoErr(err)
	for _, found := range constants.FindAllStringSubmatch(string(text), -1) {
		if name := found[1]; name != "ReasonNone" && !strings.Contains(source, "call."+name) {
			t.Errorf("%s is in the catalogue but never used", name)
		}
	}
}

// TestDecisionReasonsAreComplete checks that each reason constant of the decision packages is on the page and used.
func TestDecisionReasonsAreComplete(t *testing.T) {
	page := catalogue.Pages()[catalogue.ReasonsPage]
	source := programSource(t)
	constants := regexp.MustCompile(`(?m)^\t(\w+) +(?:Limit|Shed)?(?:Reason|Source) += "(\w+)"$`)
	files, err := filepath.Glob(root + "/internal/decide/*/*.go")
	is.New(t).NoErr(err)
	found := 0
	for _, file := range files {
		text, err := os.ReadFile(file)
		is.New(t).NoErr(err)
		for _, constant := range constants.FindAllStringSubmatch(string(text), -1) {
			found++
			if !strings.Contains(page, "| `"+constant[2]+"` |") {
				t.Errorf("%s: %s is in no catalogue", file, constant[1])
			}
			// The declaration, the entry in the catalogue and at least one use.
			if uses := regexp.MustCompile(`\b`+constant[1]+`\b`).FindAllString(source, -1); len(uses) < 3 {
				t.Errorf("%s: %s is never used", file, constant[1])
			}
		}
	}
	is.New(t).Equal(found, len(admission.LimitReasons)+len(admission.ShedReasons)+len(throttle.Reasons)+
		len(routing.Reasons)+len(quarantine.Reasons)+len(quarantine.Sources))
}

// programSource returns the source text of the packages under internal, without tests.
func programSource(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	err := filepath.WalkDir(root+"/internal", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		all.Write(text)
		return err
	})
	is.New(t).NoErr(err)
	return all.String()
}

func declaredNumbers(t *testing.T) map[string]bool {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), root+"/internal/control/events/catalogue.go", nil, 0)
	is.New(t).NoErr(err)
	names := map[string]bool{}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if typed, ok := spec.Type.(*ast.Ident); ok && typed.Name == "Number" {
			names[spec.Names[0].Name] = true
		}
		return true
	})
	return names
}

// emittedNumbers returns the names of the constants passed to Emit, by their position in the source.
func emittedNumbers(t *testing.T) map[string]string {
	t.Helper()
	found := map[string]string{}
	files := token.NewFileSet()
	err := filepath.WalkDir(root+"/internal", func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(files, path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			emit, ok := n.(*ast.CallExpr)
			if !ok || len(emit.Args) == 0 || !isEmit(emit.Fun) {
				return true
			}
			if number, ok := emit.Args[0].(*ast.SelectorExpr); ok {
				found[files.Position(emit.Pos()).String()] = number.Sel.Name
			}
			return true
		})
		return nil
	})
	is.New(t).NoErr(err)
	return found
}

func isEmit(f ast.Expr) bool {
	selector, ok := f.(*ast.SelectorExpr)
	return ok && strings.HasPrefix(selector.Sel.Name, "Emit")
}

func TestLinksInPagesExist(t *testing.T) {
	is := is.New(t)
	pages, err := filepath.Glob(root + "/docs/*.md")
	is.NoErr(err)
	links := regexp.MustCompile(`\]\(([^)#:]+)\)`)
	for _, page := range append(pages, root+"/README.md") {
		text, err := os.ReadFile(page)
		is.NoErr(err)
		for _, link := range links.FindAllStringSubmatch(string(text), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), link[1])); err != nil {
				t.Errorf("%s links to %s, which does not exist", page, link[1])
			}
		}
	}
}
