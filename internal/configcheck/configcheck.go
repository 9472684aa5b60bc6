// Package configcheck checks a configuration file, of this project's format or of the users'
// platform, before it is submitted. It reports findings and differences as data. No report
// contains an API key: keys are shown by fingerprint.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
)

// Severity tells whether a configuration with the finding should be submitted.
type Severity string

// Severities. A configuration with an error is refused, or does not do what it says for some
// requests. A warning names an entry without effect or with an unusual value.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Kind is the kind of a finding.
type Kind string

// Kinds of findings.
const (
	Unreadable            Kind = "unreadable"
	WrongType             Kind = "wrong_type"
	UnknownField          Kind = "unknown_field"
	DuplicateField        Kind = "duplicate_field"
	Invalid               Kind = "invalid"
	NoRoute               Kind = "no_route"
	UnknownKind           Kind = "unknown_kind"
	UnknownService        Kind = "unknown_service"
	OutOfRange            Kind = "out_of_range"
	DuplicateName         Kind = "duplicate_name"
	ShadowedRoute         Kind = "shadowed_route"
	NeverMatches          Kind = "never_matches"
	NoWeight              Kind = "no_weight"
	NoEngines             Kind = "service_without_engines"
	UnusedService         Kind = "unused_service"
	UnusedField           Kind = "unused_field"
	DuplicateKey          Kind = "duplicate_key"
	UnusableKey           Kind = "unusable_key"
	NoKey                 Kind = "account_without_key"
	UnusableAccount       Kind = "unusable_account"
	TimeoutUnderObjective Kind = "timeout_under_objective"
	PauseOverTimeout      Kind = "pause_over_timeout"
	Attempts              Kind = "attempts"
	QuotaBurst            Kind = "quota_burst"
	BodyOverMemory        Kind = "body_over_memory"
	Priority              Kind = "priority"
	HeaderLimit           Kind = "header_limit"
	OldVersion            Kind = "old_version"
	ChangedVersion        Kind = "changed_version"
)

// Finding is a fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Kind     Kind     `json:"kind"`
	Path     string   `json:"path,omitempty"` // such as services[2].adapters[0].name
	Line     int      `json:"line,omitempty"` // of the entry, or of the closest one around it; 0 if there is none
	Text     string   `json:"text"`
}

// Format is a format of configurations.
type Format string

// Formats. Own is that of package deckconfig.
const (
	Own      Format = "celerydeck"
	Platform Format = "platform"
)

// Options are facts about the deployment that the configuration doesn't contain.
type Options struct {
	MemoryMB   int     // of the smallest VM of a daemon; 0 if not known
	RetryRatio float64 // retries in a window as a share of the requests
	RetryBurst float64 // retries in a window beyond RetryRatio, over all daemons
	Daemons    int     // that share RetryBurst
}

// Report is the result of a check.
type Report struct {
	Format   Format    `json:"format"`
	Findings []Finding `json:"findings"`
	// Compared is set if the configuration was compared with another one.
	Compared bool     `json:"compared"`
	Changes  []Change `json:"changes,omitempty"`

	own      *deckconfig.Config // nil unless decoded
	platform *routes.Config     // nil unless decoded
	redact   *strings.Replacer  // replaces keys by fingerprints
}

// Errors counts the findings of severity Error.
func (r *Report) Errors() int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == Error {
			n++
		}
	}
	return n
}

// Check checks a configuration. It recognizes the format by the top-level fields.
func Check(data []byte, o Options) *Report {
	c := &checker{report: &Report{Format: formatOf(data), Findings: []Finding{}}, options: o}
	if c.report.Format == Own {
		c.checkOwn(data)
	} else {
		c.checkPlatform(data)
	}
	c.sortFindings()
	c.report.redactFindings(c.report.redact)
	return c.report
}

// checker collects the findings of a configuration.
type checker struct {
	report  *Report
	options Options
	doc     document
}

// add adds a finding at a path.
func (c *checker) add(severity Severity, kind Kind, path, format string, args ...any) {
	c.report.Findings = append(c.report.Findings, Finding{
		Severity: severity, Kind: kind, Path: path, Line: c.doc.line(path), Text: fmt.Sprintf(format, args...),
	})
}

// sortFindings orders the findings by line. Findings on one line keep their order.
func (c *checker) sortFindings() {
	slices.SortStableFunc(c.report.Findings, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
}

// minRedacted is the length of the shortest key that redactor replaces. Shorter ones occur in
// ordinary words.
const minRedacted = 8

// redactor returns a replacer of keys by their fingerprints, for texts that quote names. A name may
// contain a key by mistake.
func redactor(keys []string) *strings.Replacer {
	var pairs []string
	// A replacer prefers earlier pairs. A key may begin with a shorter one.
	keys = slices.SortedFunc(slices.Values(keys), func(a, b string) int { return cmp.Compare(len(b), len(a)) })
	for _, key := range keys {
		if len(key) < minRedacted {
			continue
		}
		shown := "key " + accounts.DigestOf(key).Fingerprint()
		pairs = append(pairs, key, shown)
		if quoted := strings.Trim(strconv.Quote(key), `"`); quoted != key {
			pairs = append(pairs, quoted, shown)
		}
	}
	return strings.NewReplacer(pairs...)
}

func (r *Report) redactFindings(replacer *strings.Replacer) {
	for i := range r.Findings {
		r.Findings[i].Text = redactWith(replacer, r.Findings[i].Text)
	}
}

// redactWith replaces keys in a text. The replacer may be nil.
func redactWith(replacer *strings.Replacer, text string) string {
	if replacer == nil {
		return text
	}
	return replacer.Replace(text)
}
