package configcheck

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
)

// ChangeKind is the kind of a difference.
type ChangeKind string

// Kinds of differences.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is a difference in meaning between two configurations.
type Change struct {
	Kind   ChangeKind `json:"kind"`
	Object string     `json:"object"`          // such as route lookups
	Field  string     `json:"field,omitempty"` // that differs; empty if the whole object was added or removed
	From   string     `json:"from,omitempty"`
	To     string     `json:"to,omitempty"`
}

// String returns the change as a line of text.
func (c Change) String() string {
	switch {
	case c.Field == "":
		return c.Object + ": " + string(c.Kind)
	case c.Kind == Changed:
		return fmt.Sprintf("%s: %s: %s -> %s", c.Object, c.Field, c.From, c.To)
	default:
		return fmt.Sprintf("%s: %s %s: %s", c.Object, c.Field, c.Kind, c.From+c.To)
	}
}

// Errors of Compare.
var (
	ErrFormats    = errors.New("the two configurations have different formats")
	ErrUnreadable = errors.New("the configuration to compare with is unreadable")
)

// Compare adds to the report what the configuration changes against a base. It changes nothing if
// the checked configuration itself is unreadable.
func (r *Report) Compare(base []byte) error {
	b := Check(base, Options{})
	switch {
	case b.own == nil && b.platform == nil:
		return ErrUnreadable
	case r.own == nil && r.platform == nil:
		return nil
	case b.Format != r.Format:
		return ErrFormats
	}
	var changes []Change
	if r.Format == Own {
		var err error
		if changes, err = r.compareOwn(b.own); err != nil {
			return err
		}
	} else {
		changes = r.comparePlatform(b.platform)
	}
	for i := range changes {
		for _, text := range []*string{&changes[i].Object, &changes[i].From, &changes[i].To} {
			*text = strings.Map(printable, redactWith(b.redact, redactWith(r.redact, *text)))
		}
	}
	r.Compared, r.Changes = true, changes
	r.redactFindings(r.redact)
	r.redactFindings(b.redact)
	return nil
}

// printable replaces characters that could change what a terminal shows.
func printable(r rune) rune {
	if unicode.IsPrint(r) {
		return r
	}
	return unicode.ReplacementChar
}

// fields are the fields of an object with their values as text.
type fields map[string]string

// object is an object of a configuration. Its sets are lists whose order has no meaning, such as
// the fingerprints of keys.
type object struct {
	fields fields
	sets   map[string][]string
}

// compareObjects returns the differences of two sets of objects, ordered by name.
func compareObjects(kind string, before, after map[string]object) []Change {
	names := maps.Clone(before)
	maps.Copy(names, after)
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(names)) {
		title := strings.TrimSpace(kind + " " + name)
		old, wasThere := before[name]
		now, isThere := after[name]
		switch {
		case !wasThere:
			changes = append(changes, Change{Kind: Added, Object: title})
		case !isThere:
			changes = append(changes, Change{Kind: Removed, Object: title})
		default:
			changes = append(changes, compareFields(title, old, now)...)
		}
	}
	return changes
}

func compareFields(title string, old, now object) []Change {
	var changes []Change
	names := maps.Clone(old.fields)
	maps.Copy(names, now.fields)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if from, to := old.fields[name], now.fields[name]; from != to {
			changes = append(changes, Change{Kind: Changed, Object: title, Field: name, From: shownValue(from), To: shownValue(to)})
		}
	}
	sets := maps.Clone(old.sets)
	if sets == nil {
		sets = make(map[string][]string)
	}
	maps.Copy(sets, now.sets)
	for _, name := range slices.Sorted(maps.Keys(sets)) {
		for _, x := range without(old.sets[name], now.sets[name]) {
			changes = append(changes, Change{Kind: Removed, Object: title, Field: name, From: x})
		}
		for _, x := range without(now.sets[name], old.sets[name]) {
			changes = append(changes, Change{Kind: Added, Object: title, Field: name, To: x})
		}
	}
	return changes
}

func shownValue(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// without returns the sorted elements of a that are not in b, each once.
func without(a, b []string) []string {
	in := make(map[string]bool, len(b))
	for _, x := range b {
		in[x] = true
	}
	out := slices.DeleteFunc(slices.Clone(a), func(x string) bool { return in[x] })
	slices.Sort(out)
	return slices.Compact(out)
}

// comparePlatform returns the differences between two configurations of the users' platform, and
// adds a finding if daemons would not take the new one.
func (r *Report) comparePlatform(base *routes.Config) []Change {
	c := r.platform
	before, after := routeObjects(base), routeObjects(c)
	keepNames(before, after)
	changes := compareObjects("route", before, after)
	changes = append(changes, compareObjects("service", serviceObjects(base), serviceObjects(c))...)
	changes = append(changes, compareObjects("limits", limitObjects(base), limitObjects(c))...)
	changes = append(changes, compareObjects("account", accountObjects(base), accountObjects(c))...)
	if len(changes) > 0 && c.Version <= base.Version {
		r.Findings = append(r.Findings, Finding{
			Severity: Error, Kind: OldVersion,
			Text: fmt.Sprintf("version %d is not higher than version %d, so that daemons keep the latter", c.Version, base.Version),
		})
	}
	return changes
}

// keepNames matches routes that were renamed: a route that is in one configuration only, by its
// name, is the one with the same host and path prefix in the other.
func keepNames(before, after map[string]object) {
	match := func(o object) string { return o.fields["host"] + " " + o.fields["prefix"] }
	renamed := make(map[string]string)
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[name]; !ok {
			renamed[match(before[name])] = name
		}
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		o := after[name]
		old, ok := renamed[match(o)]
		if _, isOld := before[name]; isOld || !ok {
			continue
		}
		delete(renamed, match(o))
		delete(after, name)
		after[old] = o
	}
}

func routeObjects(c *routes.Config) map[string]object {
	list := make(map[string]object, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		f := fields{
			"name": r.Name, "host": r.Host, "prefix": r.Prefix, "kind": r.Kind.String(), "resumable": strconv.FormatBool(r.Resumable),
			"timeout": shownTime(r.Timeout), "objective": shownTime(r.Goal), "pause objective": shownTime(r.GapGoal),
			"priority": strconv.Itoa(r.Rank), "attempts": strconv.Itoa(r.Attempts), "public": strconv.FormatBool(r.Public),
			"services": shares(r.Targets),
		}
		list[uniqueName(list, r.Name)] = object{fields: f}
	}
	return list
}

// uniqueName returns the name under which an object is put into a list. The second object of one
// name gets a number.
func uniqueName(list map[string]object, name string) string {
	unique := name
	for n := 2; ; n++ {
		if _, ok := list[unique]; !ok {
			return unique
		}
		unique = fmt.Sprintf("%s (%d)", name, n)
	}
}

func shownTime(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// shares returns the services of a route with the share of the requests that each one gets.
func shares(targets []routes.Target) string {
	weights, total := make(map[string]float64), 0.0
	for _, t := range targets {
		weights[t.Service] += float64(t.Weight)
		total += float64(t.Weight)
	}
	var parts []string
	for _, service := range slices.Sorted(maps.Keys(weights)) {
		if weights[service] != 0 {
			parts = append(parts, fmt.Sprintf("%s %.4g%%", service, 100*weights[service]/total))
		}
	}
	return strings.Join(parts, ", ")
}

func serviceObjects(c *routes.Config) map[string]object {
	list := make(map[string]object, len(c.Services))
	for name, s := range c.Services {
		f := fields{"connections": strconv.Itoa(s.MaxConns), "engines": strconv.FormatBool(s.Engine != nil)}
		o := object{fields: f}
		if e := s.Engine; e != nil {
			f["slots"], f["token memory"], f["adapter slots"] = strconv.Itoa(e.Slots), strconv.Itoa(e.KVTokens), strconv.Itoa(e.AdapterSlots)
			f["memory in MB"], f["loads per second"] = shownNumber(e.WeightsMB), shownNumber(e.LoadsPerSec)
			o.sets = map[string][]string{"model": nil}
			for _, m := range e.Models {
				o.sets["model"] = append(o.sets["model"], fmt.Sprintf("%s (%v MB, adapters of %v MB, loaded in %s)", m.Name, m.WeightsMB, m.AdapterMB, m.LoadTime))
			}
		}
		list[name] = o
	}
	return list
}

func shownNumber(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }

func limitObjects(c *routes.Config) map[string]object {
	l := &c.Limits
	return map[string]object{"": {fields: fields{
		"header bytes": strconv.Itoa(l.HeaderBytes), "body bytes": strconv.FormatInt(l.BodyBytes, 10),
		"header timeout": shownTime(l.HeaderTimeout), "idle timeout": shownTime(l.IdleTimeout),
	}}}
}

func accountObjects(c *routes.Config) map[string]object {
	list := make(map[string]object, len(c.Accounts))
	for i := range c.Accounts {
		a := &c.Accounts[i]
		f := fields{"quota": shownQuota(a.Quota)}
		if a.HasPriority {
			f["priority"] = strconv.Itoa(a.Priority)
		}
		keys := make([]string, len(a.Keys))
		for j, digest := range a.Keys {
			keys[j] = digest.Fingerprint()
		}
		name := a.Name
		if a.Unusable {
			name = "(unusable)"
		}
		list[uniqueName(list, name)] = object{fields: f, sets: map[string][]string{"key": keys}}
	}
	return list
}

func shownQuota(q accounts.Quota) string {
	if q.PerSecond <= 0 {
		return ""
	}
	unit := "requests"
	if q.InTokens {
		unit = "tokens"
	}
	text := fmt.Sprintf("%v %s/s, burst %v", q.PerSecond, unit, q.Burst)
	if q.InTokens {
		text += fmt.Sprintf(", %d for a request without token counts", q.PlainTokens)
	}
	return text
}

// rawObject returns the fields of a JSON object.
func rawObject(value json.RawMessage) map[string]json.RawMessage {
	var f map[string]json.RawMessage
	if json.Unmarshal(value, &f) != nil {
		return map[string]json.RawMessage{"value": value}
	}
	return f
}
