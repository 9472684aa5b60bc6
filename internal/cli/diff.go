package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/transport/admin"
)

// maxShownChanges is the maximum number of changes in the table output.
const maxShownChanges = 200

// diffCmd shows how a configuration in a file differs from a stored revision.
type diffCmd struct {
	File     string `arg:"positional,required" help:"file with the configuration, - for standard input"`
	Base     string `arg:"--base" default:"current" help:"revision to compare with: a number or current"`
	ExitCode bool   `arg:"--exit-code" help:"exit with 9 when there are changes"`
}

// changeKind is the kind of a change to an object.
type changeKind string

const (
	changeAdd    changeKind = "add"
	changeModify changeKind = "modify"
	changeDelete changeKind = "delete"
)

// objectChange describes the change of one object in the output of diff.
type objectChange struct {
	Kind   changeKind           `json:"kind"`
	Object configsync.ObjectKey `json:"object"`
	Fields []fieldChange        `json:"fields,omitempty"`
}

// fieldChange holds the old and new value of a field.
type fieldChange struct {
	Field string          `json:"field"`
	From  json.RawMessage `json:"from,omitempty"`
	To    json.RawMessage `json:"to,omitempty"`
}

// diffOutput is the JSON output of diff.
type diffOutput struct {
	Base    uint64         `json:"base"`
	Changes []objectChange `json:"changes"`
}

func (c *diffCmd) run(ctx context.Context, e *env) error {
	p, err := e.proposal(ctx, c.File, c.Base)
	if err != nil {
		return err
	}
	descriptions, err := describeChanges(p.base.Config, p.changes)
	if err != nil {
		return err
	}
	if err := e.printDiff(p.base.Revision, descriptions); err != nil {
		return err
	}
	if c.ExitCode && len(p.changes) > 0 {
		return &codeError{code: ExitDiffers, err: fmt.Errorf("%d objects differ", len(p.changes))}
	}
	return nil
}

// proposal holds a configuration to submit, the revision that the configuration is based on and the changes
// from this revision to the configuration.
type proposal struct {
	base    admin.ConfigBody
	next    *deckconfig.Config
	changes []configsync.Change
}

// proposal reads a configuration from a file and compares it with the base revision.
func (e *env) proposal(ctx context.Context, file, from string) (proposal, error) {
	next, err := e.readConfig(file)
	if err != nil {
		return proposal{}, err
	}
	base, err := e.baseConfig(ctx, from)
	if err != nil {
		return proposal{}, err
	}
	changes, err := compare(base.Config, next)
	return proposal{base: base, next: next, changes: changes}, err
}

// baseConfig fetches the revision that a change is based on, given as a number or "current".
func (e *env) baseConfig(ctx context.Context, base string) (admin.ConfigBody, error) {
	if base == "current" {
		return e.client.Config(ctx, 0)
	}
	revision, err := strconv.ParseUint(base, 10, 64)
	if err != nil || revision == 0 {
		return admin.ConfigBody{}, usageError("--base must be the number of a revision, or current")
	}
	return e.client.Config(ctx, revision)
}

// compare returns the changes from base to next. It returns an error if deckconfig.CheckChange rejects a change.
func compare(base, next *deckconfig.Config) ([]configsync.Change, error) {
	if err := deckconfig.CheckChange(base, next); err != nil {
		return nil, err
	}
	return configsync.Diff(base, next)
}

// describeChanges converts changes for the output: it determines the kind of each change, and for a modified
// object the fields that differ.
func describeChanges(base *deckconfig.Config, changes []configsync.Change) ([]objectChange, error) {
	objects, err := configsync.Split(base)
	if err != nil {
		return nil, err
	}
	old := make(map[configsync.ObjectKey]json.RawMessage, len(objects))
	for _, o := range objects {
		old[o.Key] = o.Value
	}
	list := make([]objectChange, 0, len(changes))
	for _, c := range changes {
		before, exists := old[c.Key]
		switch {
		case !exists:
			list = append(list, objectChange{Kind: changeAdd, Object: c.Key})
		case len(c.Value) == 0:
			list = append(list, objectChange{Kind: changeDelete, Object: c.Key})
		default:
			list = append(list, objectChange{Kind: changeModify, Object: c.Key, Fields: changedFields(before, c.Value)})
		}
	}
	return list, nil
}

// changedFields returns the top-level fields in which two JSON objects differ. If a value is not a JSON object,
// it returns the whole values as one changed field.
func changedFields(before, after json.RawMessage) []fieldChange {
	var a, b map[string]json.RawMessage
	if json.Unmarshal(before, &a) != nil || json.Unmarshal(after, &b) != nil {
		return []fieldChange{{Field: "value", From: before, To: after}}
	}
	names := make(map[string]bool)
	for name := range a {
		names[name] = true
	}
	for name := range b {
		names[name] = true
	}
	var list []fieldChange
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if !bytes.Equal(a[name], b[name]) {
			list = append(list, fieldChange{Field: name, From: a[name], To: b[name]})
		}
	}
	return list
}

func (e *env) printDiff(revision uint64, changes []objectChange) error {
	if e.json() {
		return e.printJSON(diffOutput{Base: revision, Changes: changes})
	}
	if len(changes) == 0 {
		fmt.Fprintf(e.Stdout, "no changes against revision %d\n", revision)
		return nil
	}
	counts := make(map[changeKind]int)
	for i, c := range changes {
		counts[c.Kind]++
		if i < maxShownChanges {
			e.printChange(c)
		}
	}
	if more := len(changes) - maxShownChanges; more > 0 {
		fmt.Fprintf(e.Stdout, "and %d more\n", more)
	}
	fmt.Fprintf(e.Stdout, "%d added, %d changed, %d deleted against revision %d; submit with: %s apply --base %d\n",
		counts[changeAdd], counts[changeModify], counts[changeDelete], revision, Program, revision)
	return nil
}

func (e *env) printChange(c objectChange) {
	switch c.Kind {
	case changeAdd:
		fmt.Fprintln(e.Stdout, e.colorize(colorGreen, "+ "+c.Object.String()))
	case changeDelete:
		fmt.Fprintln(e.Stdout, e.colorize(colorRed, "- "+c.Object.String()))
	default:
		fmt.Fprintln(e.Stdout, e.colorize(colorYellow, "~ "+c.Object.String()))
		for _, f := range c.Fields {
			fmt.Fprintf(e.Stdout, "    %s: %s -> %s\n", f.Field, truncate(f.From), truncate(f.To))
		}
	}
}

// truncate formats a JSON value for the table output and truncates long values.
func truncate(value json.RawMessage) string {
	const limit = 160
	text := strings.TrimSpace(string(value))
	if text == "" {
		return "none"
	}
	if len(text) > limit {
		return text[:limit] + "..."
	}
	return text
}
