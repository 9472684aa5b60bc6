// Package docs_test compares the pages with the program.
package docs_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/gorilla/mux"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/app"
	"github.com/celerydeck/celerydeck/internal/cli"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/metrics"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/report"
	"github.com/celerydeck/celerydeck/internal/transport/admin"
	"github.com/celerydeck/celerydeck/platform"
)

func read(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(name)
	qt.Assert(t, err, qt.IsNil)
	return string(data)
}

// same compares two sets of names.
func same(t *testing.T, what string, documented, known []string) {
	t.Helper()
	documented, known = unique(documented), unique(known)
	for _, name := range known {
		qt.Check(t, slices.Contains(documented, name), qt.IsTrue, qt.Commentf("%s %s is not documented", what, name))
	}
	for _, name := range documented {
		qt.Check(t, slices.Contains(known, name), qt.IsTrue, qt.Commentf("%s %s is documented but does not exist", what, name))
	}
}

func unique(names []string) []string {
	set := make(map[string]bool)
	for _, n := range names {
		set[n] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// find returns the first group of every match.
func find(text, pattern string) []string {
	var found []string
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		found = append(found, m[1])
	}
	return found
}

// section returns the text under a title, up to the next one.
func section(text, title string) string {
	_, rest, _ := strings.Cut(text, "\n"+title+"\n")
	end := regexp.MustCompile(`(?m)^#{1,3} `).FindStringIndex(rest)
	if end == nil {
		return rest
	}
	return rest[:end[0]]
}

// daemonSettings returns the flags and variables of the daemon.
func daemonSettings() (flags, variables []string) {
	for field := range reflect.TypeFor[app.Settings]().Fields() {
		for part := range strings.SplitSeq(field.Tag.Get("arg"), ",") {
			if name, ok := strings.CutPrefix(part, "env:"); ok {
				variables = append(variables, name)
			} else if strings.HasPrefix(part, "--") {
				flags = append(flags, part)
			}
		}
	}
	return flags, variables
}

func TestSettingsPageLagsBehind(t *testing.T) {
	table := section(read(t, "CONFIGURATION.md"), "## Settings of the daemon")
	flags, variables := daemonSettings()
	same(t, "flag", find(table, "(?m)^\\| `(--[a-z-]+)`"), flags)
	same(t, "variable", find(table, "`(CELERYDECK_[A-Z_]*[A-Z])`"), variables)
	for field := range reflect.TypeFor[app.Settings]().Fields() {
		if value := field.Tag.Get("default"); value != "" {
			flag, _, _ := strings.Cut(field.Tag.Get("arg"), ",")
			row := regexp.MustCompile("(?m)^\\| `" + flag + "`.*$").FindString(table)
			qt.Check(t, row, qt.Contains, "`"+value+"`")
		}
	}
}

func TestFieldsPageLagsBehind(t *testing.T) {
	table := section(read(t, "CONFIGURATION.md"), "## Configuration of the deployment")
	same(t, "field", find(table, "(?m)^\\| [a-z, ]+ \\| `([a-z_]+)`"), fieldsOf(reflect.TypeFor[deckconfig.Config]()))
}

func fieldsOf(t reflect.Type) []string {
	for t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var names []string
	for field := range t.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		names = append(append(names, name), fieldsOf(field.Type)...)
	}
	return names
}

func TestCommandPageLagsBehind(t *testing.T) {
	page := read(t, "OPERATORS.md")
	var names []string
	for _, c := range cli.Commands() {
		title := "## The command"
		if c.Name != "" {
			names = append(names, c.Name)
			title = "### `celerydeck " + c.Name + "`"
		}
		body := section(page, title)
		for _, flag := range c.Flags {
			qt.Check(t, body, qt.Contains, "`"+flag+"`", qt.Commentf("%s", c.Name))
		}
	}
	same(t, "command", find(page, "(?m)^### `celerydeck ([a-z ]+)`$"), names)
	same(t, "variable", find(page, "`(CELERYDECK_CLI_[A-Z_]*[A-Z])`"), cli.Variables())
}

func TestExitCodesPageLagsBehind(t *testing.T) {
	var rows []string
	for _, c := range cli.ExitCodes() {
		rows = append(rows, fmt.Sprintf("| %d | %s |", c.Code, c.Meaning))
	}
	same(t, "exit code", find(section(read(t, "OPERATORS.md"), "## Exit codes"), `(?m)^(\| \d+ \| .* \|)$`), rows)
}

func TestConditionsPageLagsBehind(t *testing.T) {
	var rows []string
	for _, kind := range protocol.ConditionKinds() {
		rows = append(rows, fmt.Sprintf("| `%s` | %s |", kind, report.Advice(kind)))
	}
	same(t, "condition", find(section(read(t, "OPERATORS.md"), "## Conditions"), "(?m)^(\\| `.*\\|)$"), rows)
}

func TestMetricsPageLagsBehind(t *testing.T) {
	same(t, "metric", find(section(read(t, "OPERATORS.md"), "## Metrics"), "`(celerydeck_[a-z_]+)`"), metrics.Names())
}

func TestRoutesPageLagsBehind(t *testing.T) {
	handler := admin.New(admin.Options{Metrics: http.NotFoundHandler()}).Handler().(*mux.Router)
	var routes []string
	err := handler.Walk(func(route *mux.Route, _ *mux.Router, _ []*mux.Route) error {
		if methods, err := route.GetMethods(); err == nil {
			path, _ := route.GetPathTemplate()
			path = regexp.MustCompile(`:[^}]*`).ReplaceAllString(path, "")
			routes = append(routes, methods[0]+" | `"+path+"`")
		}
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
	same(t, "route", find(section(read(t, "OPERATORS.md"), "## HTTP API for operators"), "(?m)^\\| ([A-Z]+ \\| `[^`]+`)"), routes)
}

func TestErrorKindsPageLagsBehind(t *testing.T) {
	same(t, "error kind", find(read(t, "API.md"), "(?m)^\\| `([a-z_]+)` \\| [0-9]"), errorKinds(t))
}

// errorKinds reads the constants of type ErrorKind from the source.
func errorKinds(t *testing.T) []string {
	file, err := parser.ParseFile(token.NewFileSet(), "../internal/protocol/errors.go", nil, 0)
	qt.Assert(t, err, qt.IsNil)
	var kinds []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if name, ok := spec.Type.(*ast.Ident); ok && name.Name == "ErrorKind" {
			value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			qt.Assert(t, err, qt.IsNil)
			kinds = append(kinds, value)
		}
		return true
	})
	qt.Assert(t, len(kinds) > 10, qt.IsTrue)
	return kinds
}

func TestPageForOperatorsIsNotLinked(t *testing.T) {
	pages, err := filepath.Glob("operators/*.md")
	qt.Assert(t, err, qt.IsNil)
	same(t, "page", find(read(t, "OPERATORS.md"), `\]\((operators/[^)#]+)\)`), pages)
}

// TestPagesNameWhatDoesNotExist checks every flag, variable, command and link of
// all pages.
func TestPagesNameWhatDoesNotExist(t *testing.T) {
	flags, variables := daemonSettings()
	commands := []string{}
	for _, c := range cli.Commands() {
		flags = append(flags, c.Flags...)
		word, _, _ := strings.Cut(c.Name, " ")
		commands = append(commands, word)
	}
	variables = append(variables, cli.Variables()...)
	variables = append(variables, testVariables(t)...)
	variables = append(variables, platform.SettingsEnv)
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".md" {
			return err
		}
		page := read(t, path)
		for _, name := range find(page, `\b(CELERYDECK_[A-Z_]*[A-Z])\b`) {
			qt.Check(t, slices.Contains(variables, name), qt.IsTrue, qt.Commentf("%s: variable %s", path, name))
		}
		for _, line := range commandLines(page) {
			word := strings.Fields(line)[0]
			qt.Check(t, strings.HasPrefix(word, "-") || slices.Contains(commands, word), qt.IsTrue, qt.Commentf("%s: celerydeck %s", path, line))
			for _, flag := range find(" "+line, ` (--[a-z][a-z-]*)`) {
				qt.Check(t, slices.Contains(flags, flag) || flag == "--help", qt.IsTrue, qt.Commentf("%s: %s", path, flag))
			}
		}
		for _, link := range find(page, `\]\(([^)#:]+)(?:#[^)]*)?\)`) {
			_, err := os.Stat(filepath.Join(filepath.Dir(path), link))
			qt.Check(t, err == nil, qt.IsTrue, qt.Commentf("%s: link %s", path, link))
		}
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
}

// testVariables returns the variables that set up tests.
func testVariables(t *testing.T) []string {
	var names []string
	err := filepath.WalkDir("../internal", func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, "_test.go") {
			names = append(names, find(read(t, path), `"(CELERYDECK_[A-Z_]*[A-Z])"`)...)
		}
		return err
	})
	qt.Assert(t, err, qt.IsNil)
	return names
}

// commandLines returns what follows the name of the command in code.
func commandLines(page string) []string {
	lines := find(page, "`celerydeck ([a-z-][^`]*)`")
	return append(lines, find(page, `(?m)^    celerydeck ([a-z-].*)$`)...)
}

// logSources are the packages that write decision lines.
var logSources = []string{"../internal/node/gateway/*.go", "../internal/node/fleet/*.go", "../internal/app/edge.go", "../internal/decisionlog/decisionlog.go"}

func logSource(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	for _, pattern := range logSources {
		paths, err := filepath.Glob(pattern)
		qt.Assert(t, err, qt.IsNil)
		for _, path := range paths {
			if !strings.HasSuffix(path, "_test.go") {
				all.WriteString(read(t, path))
			}
		}
	}
	return all.String()
}

// firstColumn returns the code spans in the first column of tables.
func firstColumn(text string) []string {
	var names []string
	for _, cell := range find(text, "(?m)^\\| (`[^|]+) \\|") {
		names = append(names, find(cell, "`([^`]+)`")...)
	}
	return names
}

func TestOperationsPageListsEveryEventAndKey(t *testing.T) {
	page, source := section(read(t, "OPERATIONS.md"), "## Lines"), logSource(t)
	events, keys, _ := strings.Cut(page, "| Key |")
	written := find(source, `(?:\.Event\(|\.logErr\(|\.write\(|event :?= )"([^"]+)"`)
	same(t, "log event", firstColumn(events), written)
	known := find(source, `slog\.[A-Z]\w*\("([a-z_]+)"`)
	known = append(known, decisionlog.KeyRequest, decisionlog.KeyErr)
	same(t, "log key", firstColumn(keys), known)
}

func TestOperationsPageListsEveryOutcome(t *testing.T) {
	documented := firstColumn(section(read(t, "OPERATIONS.md"), "## Outcomes"))
	same(t, "outcome", documented, slices.Collect(maps.Keys(decisionlog.Causes)))
	reasons := find(read(t, "../internal/coordination/balance/choose.go"), `Reason: "([^"]+)"`)
	qt.Assert(t, len(reasons) > 0, qt.IsTrue)
	for _, reason := range reasons {
		qt.Check(t, decisionlog.Causes[reason], qt.Not(qt.Equals), "", qt.Commentf("reason %q", reason))
	}
}
