// Package docs_test checks that the documentation lists every flag, variable, command, field, route, metric,
// condition and log event of the program, and none that the program does not have.
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

func readFile(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(name)
	qt.Assert(t, err, qt.IsNil)
	return string(data)
}

// checkSameNames checks that the documented and the defined names are the same, regardless of order and duplicates.
func checkSameNames(t *testing.T, what string, documented, defined []string) {
	t.Helper()
	documented, defined = sortedUnique(documented), sortedUnique(defined)
	for _, name := range defined {
		qt.Check(t, slices.Contains(documented, name), qt.IsTrue, qt.Commentf("%s %s is not documented", what, name))
	}
	for _, name := range documented {
		qt.Check(t, slices.Contains(defined, name), qt.IsTrue, qt.Commentf("%s %s is documented but does not exist", what, name))
	}
}

func sortedUnique(names []string) []string {
	set := make(map[string]bool)
	for _, n := range names {
		set[n] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// findGroups returns the first capture group of every match.
func findGroups(text, pattern string) []string {
	var found []string
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		found = append(found, m[1])
	}
	return found
}

// section returns the text from the line after a title up to the next title of level 1 to 3.
func section(text, title string) string {
	_, rest, _ := strings.Cut(text, "\n"+title+"\n")
	end := regexp.MustCompile(`(?m)^#{1,3} `).FindStringIndex(rest)
	if end == nil {
		return rest
	}
	return rest[:end[0]]
}

// daemonSettings returns the flags and environment variables of the daemon, from the struct tags of its settings.
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
	table := section(readFile(t, "CONFIGURATION.md"), "## Settings of the daemon")
	flags, variables := daemonSettings()
	checkSameNames(t, "flag", findGroups(table, "(?m)^\\| `(--[a-z-]+)`"), flags)
	checkSameNames(t, "variable", findGroups(table, "`(CELERYDECK_[A-Z_]*[A-Z])`"), variables)
	for field := range reflect.TypeFor[app.Settings]().Fields() {
		if value := field.Tag.Get("default"); value != "" {
			flag, _, _ := strings.Cut(field.Tag.Get("arg"), ",")
			row := regexp.MustCompile("(?m)^\\| `" + flag + "`.*$").FindString(table)
			qt.Check(t, row, qt.Contains, "`"+value+"`")
		}
	}
}

func TestSettingsOnThePlatformPageLagsBehind(t *testing.T) {
	table := section(readFile(t, "CONFIGURATION.md"), "## Settings on the users' platform")
	checkSameNames(t, "variable", findGroups(table, "(?m)^\\| `(CELERYDECK_[A-Z_]*[A-Z])`"), app.PlatformVariables())
}

func TestFieldsPageLagsBehind(t *testing.T) {
	table := section(readFile(t, "CONFIGURATION.md"), "## Configuration of the deployment")
	checkSameNames(t, "field", findGroups(table, "(?m)^\\| [a-z, ]+ \\| `([a-z_]+)`"), jsonFieldNames(reflect.TypeFor[deckconfig.Config]()))
}

// jsonFieldNames returns the JSON names of the fields of a type and of the types it refers to.
func jsonFieldNames(t reflect.Type) []string {
	for t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var names []string
	for field := range t.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		names = append(append(names, name), jsonFieldNames(field.Type)...)
	}
	return names
}

func TestCommandPageLagsBehind(t *testing.T) {
	page := readFile(t, "OPERATORS.md")
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
	checkSameNames(t, "command", findGroups(page, "(?m)^### `celerydeck ([a-z ]+)`$"), names)
	checkSameNames(t, "variable", findGroups(page, "`(CELERYDECK_CLI_[A-Z_]*[A-Z])`"), cli.Variables())
}

func TestExitCodesPageLagsBehind(t *testing.T) {
	var rows []string
	for _, c := range cli.ExitCodes() {
		rows = append(rows, fmt.Sprintf("| %d | %s |", c.Code, c.Meaning))
	}
	checkSameNames(t, "exit code", findGroups(section(readFile(t, "OPERATORS.md"), "## Exit codes"), `(?m)^(\| \d+ \| .* \|)$`), rows)
}

func TestConditionsPageLagsBehind(t *testing.T) {
	var rows []string
	for _, kind := range protocol.ConditionKinds() {
		rows = append(rows, fmt.Sprintf("| `%s` | %s |", kind, report.Advice(kind)))
	}
	checkSameNames(t, "condition", findGroups(section(readFile(t, "OPERATORS.md"), "## Conditions"), "(?m)^(\\| `.*\\|)$"), rows)
}

func TestMetricsPageLagsBehind(t *testing.T) {
	checkSameNames(t, "metric", findGroups(section(readFile(t, "OPERATORS.md"), "## Metrics"), "`(celerydeck_[a-z_]+)`"), metrics.Names())
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
	checkSameNames(t, "route", findGroups(section(readFile(t, "OPERATORS.md"), "## HTTP API for operators"), "(?m)^\\| ([A-Z]+ \\| `[^`]+`)"), routes)
}

func TestErrorKindsPageLagsBehind(t *testing.T) {
	checkSameNames(t, "error kind", findGroups(readFile(t, "API.md"), "(?m)^\\| `([a-z_]+)` \\| [0-9]"), errorKinds(t))
}

// errorKinds returns the values of the constants of type ErrorKind, read from the source.
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

func TestCheckPageListsEveryKindOfFinding(t *testing.T) {
	kinds := findGroups(readFile(t, "../internal/configcheck/configcheck.go"), `\bKind\s+= "([a-z_]+)"`)
	qt.Assert(t, len(kinds) > 20, qt.IsTrue)
	checkSameNames(t, "kind", findGroups(readFile(t, "operators/check.md"), "(?m)^\\| `([a-z_]+)` \\|"), kinds)
}

func TestPageForOperatorsIsNotLinked(t *testing.T) {
	pages, err := filepath.Glob("operators/*.md")
	qt.Assert(t, err, qt.IsNil)
	checkSameNames(t, "page", findGroups(readFile(t, "OPERATORS.md"), `\]\((operators/[^)#]+)\)`), pages)
}

// TestPagesNameWhatDoesNotExist checks that every flag, variable, command and link in the pages exists.
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
	variables = append(variables, app.PlatformVariables()...)
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".md" {
			return err
		}
		page := readFile(t, path)
		for _, name := range findGroups(page, `\b(CELERYDECK_[A-Z_]*[A-Z])\b`) {
			qt.Check(t, slices.Contains(variables, name), qt.IsTrue, qt.Commentf("%s: variable %s", path, name))
		}
		for _, line := range commandLines(page) {
			word := strings.Fields(line)[0]
			qt.Check(t, strings.HasPrefix(word, "-") || slices.Contains(commands, word), qt.IsTrue, qt.Commentf("%s: celerydeck %s", path, line))
			for _, flag := range findGroups(" "+line, ` (--[a-z][a-z-]*)`) {
				qt.Check(t, slices.Contains(flags, flag) || flag == "--help", qt.IsTrue, qt.Commentf("%s: %s", path, flag))
			}
		}
		for _, link := range findGroups(page, `\]\(([^)#:]+)(?:#[^)]*)?\)`) {
			_, err := os.Stat(filepath.Join(filepath.Dir(path), link))
			qt.Check(t, err == nil, qt.IsTrue, qt.Commentf("%s: link %s", path, link))
		}
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
}

// testVariables returns the environment variables that tests read.
func testVariables(t *testing.T) []string {
	var names []string
	err := filepath.WalkDir("../internal", func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, "_test.go") {
			names = append(names, findGroups(readFile(t, path), `"(CELERYDECK_[A-Z_]*[A-Z])"`)...)
		}
		return err
	})
	qt.Assert(t, err, qt.IsNil)
	return names
}

// commandLines returns the arguments of the command in code spans and code blocks.
func commandLines(page string) []string {
	lines := findGroups(page, "`celerydeck ([a-z-][^`]*)`")
	return append(lines, findGroups(page, `(?m)^    celerydeck ([a-z-].*)$`)...)
}

// logSourcePatterns match the source files that write decision log lines.
var logSourcePatterns = []string{"../internal/node/gateway/*.go", "../internal/node/fleet/*.go", "../internal/app/edge*.go", "../internal/decisionlog/decisionlog.go"}

// Guards against limits for clients that operators can't find.
func TestConfigurationPageListsEveryLimitForClients(t *testing.T) {
	documented := findGroups(readFile(t, "CONFIGURATION.md"), "(?m)^\\| `((?:limits|clients)\\.[a-z_]+)`")
	checkSameNames(t, "setting", documented, findGroups(readFile(t, "../platform/settings.go"), `"((?:limits|clients)\.[a-z_]+)"`))
}

// readLogSources returns the text of the source files that write decision log lines.
func readLogSources(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	for _, pattern := range logSourcePatterns {
		paths, err := filepath.Glob(pattern)
		qt.Assert(t, err, qt.IsNil)
		for _, path := range paths {
			if !strings.HasSuffix(path, "_test.go") {
				all.WriteString(readFile(t, path))
			}
		}
	}
	return all.String()
}

// firstColumn returns the code spans in the first column of all tables.
func firstColumn(text string) []string {
	var names []string
	for _, cell := range findGroups(text, "(?m)^\\| (`[^|]+) \\|") {
		names = append(names, findGroups(cell, "`([^`]+)`")...)
	}
	return names
}

func TestOperationsPageListsEveryEventAndKey(t *testing.T) {
	page, source := section(readFile(t, "OPERATIONS.md"), "## Lines"), readLogSources(t)
	events, keys, _ := strings.Cut(page, "| Key |")
	written := findGroups(source, `(?:\.Event\(|\.logErr\(|\.write\(|event :?= )"([^"]+)"`)
	checkSameNames(t, "log event", firstColumn(events), written)
	defined := findGroups(source, `slog\.[A-Z]\w*\("([a-z_]+)"`)
	defined = append(defined, decisionlog.KeyRequest, decisionlog.KeyErr)
	checkSameNames(t, "log key", firstColumn(keys), defined)
}

func TestOperationsPageListsEveryOutcome(t *testing.T) {
	documented := firstColumn(section(readFile(t, "OPERATIONS.md"), "## Outcomes"))
	checkSameNames(t, "outcome", documented, slices.Collect(maps.Keys(decisionlog.Causes)))
	reasons := findGroups(readFile(t, "../internal/coordination/balance/choose.go"), `Reason: "([^"]+)"`)
	qt.Assert(t, len(reasons) > 0, qt.IsTrue)
	for _, reason := range reasons {
		qt.Check(t, decisionlog.Causes[reason], qt.Not(qt.Equals), "", qt.Commentf("reason %q", reason))
	}
}
