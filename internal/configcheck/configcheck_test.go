package configcheck

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
)

var testOptions = Options{MemoryMB: 184, RetryRatio: 0.2, RetryBurst: 214, Daemons: 20}

func readTestdata(t testing.TB, name string) string {
	data, err := os.ReadFile("testdata/" + name)
	qt.Assert(t, err, qt.IsNil)
	return string(data)
}

// faults are edits of a sound file and the finding that each of them must give, as "severity kind
// line path".
var faults = map[string][]struct{ old, new, want string }{
	"platform.json": {
		{`"version": 7,`, `"version": 7,,`, "error unreadable 2 "},
		{`16384,`, `16384`, "error unreadable 18 "},
		{`"version": 7`, `"version": -7`, "error wrong_type 2 version"},
		{`"timeout_ms": 30000`, `"timeout_ms": "30 s"`, "error wrong_type 4 routes[0].timeout_ms"},
		{`"rate_per_s": 5`, `"rate_per_s": "5"`, "error unusable_account 15 tenants[1]"},
		{`"resumable"`, `"resumeable"`, "warning unknown_field 4 routes[0].resumeable"},
		{`"priority": 2`, `"keys": 2`, "warning unknown_field 15 tenants[1].(unknown)"},
		{`"version": 7`, `"version": 7, "version": 8`, "error duplicate_field 2 version"},
		{`"routes": [`, `"route": [`, "error no_route 1 routes"},
		{`"idempotent"`, `"idempotents"`, "error unknown_kind 5 routes[1].kind"},
		{`"service": "plain", "attempts"`, `"service": "plane", "attempts"`, "error unknown_service 5 routes[1].service"},
		{`"service": "canary"`, `"service": "canaries"`, "error unknown_service 4 routes[0].backends[1].service"},
		{`"weight": 1`, `"weight": -1`, "error out_of_range 4 routes[0].backends[1].weight"},
		{`"max_conns": 64`, `"max_conns": -1`, "error out_of_range 11 services[2].max_conns"},
		{`"timeout_ms": 30000`, `"timeout_ms": 0`, "error out_of_range 4 routes[0].timeout_ms"},
		{`"weights_mb": 1000`, `"weights_mb": 3000`, "error out_of_range 9 services[0].backend.models[0].weights_mb"},
		{`/v1/chat/`, `/v1/chat`, "warning out_of_range 4 routes[0].path_prefix"},
		{`/v1/chat/`, `v1/chat/`, "error never_matches 4 routes[0].path_prefix"},
		{`/v1/chat/`, ``, "warning out_of_range 4 routes[0].path_prefix"},
		{`b.example`, `b.example:443`, "error never_matches 6 routes[2].host"},
		{`b.example`, `*.example`, "error never_matches 6 routes[2].host"},
		{`b.example`, ``, "error never_matches 6 routes[2].host"},
		{`"host": "b.example", "path_prefix": "/"`, `"host": "A.example", "path_prefix": "/v1/lookup/"`, "error shadowed_route 6 routes[2]"},
		{`"name": "status"`, `"name": "lookup"`, "warning duplicate_name 6 routes[2].name"},
		{`"name": "plain"`, `"name": "canary"`, "error duplicate_name 11 services[2].name"},
		{`"name": "free"`, `"name": "big"`, "error duplicate_name 16 tenants[2].name"},
		{`"weight": 3}, {"service": "canary", "weight": 1}`, `"weight": 0}, {"service": "canary", "weight": 0}`, "error no_weight 4 routes[0].backends"},
		{`"slots": 32`, `"slots": 0`, "error service_without_engines 9 services[0].backend.slots"},
		{`, "models": [{"name": "m", "weights_mb": 1000, "lora_mb": 10, "load_time_s": 3}]`, ``, "error service_without_engines 9 services[0].backend.models"},
		{`, {"service": "canary", "weight": 1}`, ``, "warning unused_service 10 services[1]"},
		{`"backends"`, `"service": "plain", "backends"`, "warning unused_field 4 routes[0].service"},
		{`"idempotent"`, `"idempotent", "resumable": true`, "warning unused_field 5 routes[1].resumable"},
		{`"idempotent"`, `"idempotent", "gap_aim_ms": 5`, "warning unused_field 5 routes[1].gap_aim_ms"},
		{`"rate_per_s": 5,`, ``, "warning unused_field 15 tenants[1].burst"},
		{`"key-of-big-2"`, `"key-of-big-1"`, "warning duplicate_key 14 tenants[0].api_keys[1]"},
		{`"key-of-free"`, `"key-of-big-1"`, "error duplicate_key 16 tenants[2].api_keys[0]"},
		{`"key-of-free"`, `"key of free"`, "error unusable_key 16 tenants[2].api_keys[0]"},
		{`"key-of-free"`, ``, "warning account_without_key 16 tenants[2]"},
		{`"free"`, `" free"`, "error unusable_account 16 tenants[2].name"},
		{`"goal_ms": 800`, `"goal_ms": 31000`, "error timeout_under_objective 4 routes[0].timeout_ms"},
		{`"gap_aim_ms": 300`, `"gap_aim_ms": 31000`, "error pause_over_timeout 4 routes[0].gap_aim_ms"},
		{`"attempts": 2`, `"attempts": 0`, "error attempts 5 routes[1].attempts"},
		{`"attempts": 3`, `"attempts": 10`, "warning attempts 4 routes[0].attempts"},
		{`"burst": 20000`, `"burst": 150`, "error quota_burst 14 tenants[0].burst"},
		{`"burst": 10`, `"burst": 0.5`, "error quota_burst 15 tenants[1].burst"},
		{`4194304`, `64000000`, "error body_over_memory 18 limits.max_body_bytes"},
		{`"priority": 3`, `"priority": -1`, "error priority 6 routes[2].priority"},
		{`"priority": 3`, `"priority": 4`, "warning priority 6 routes[2].priority"},
		{`"priority": 2`, `"priority": 2.5`, "error priority 15 tenants[1].priority"},
		{`"priority": 2`, `"priority": 2000000`, "error priority 15 tenants[1].priority"},
		{`16384`, `0`, "error header_limit 18 limits.header_bytes"},
	},
	"own.json": {
		{`"ranks": [`, `"ranks": [[`, "error unreadable 7 "},
		{`"requests_per_second": 50`, `"requests_per_second": "50"`, "error wrong_type 8 customers[0].requests_per_second"},
		{`"requests_per_second": 50`, `"requests": 50`, "error unknown_field 8 customers[0].(unknown)"},
		{`"share": 0.5`, `"share": 0.5, "share": 0.5`, "error duplicate_field 4 ranks[0].share"},
		{`"kind": "model"`, `"kind": "models"`, "error unknown_kind 15 services[0].kind"},
		{`"worth": 4`, `"worth": 0`, "error out_of_range 4 ranks[0].worth"},
		{`"default_rank": "batch"`, `"default_rank": "night"`, "error invalid 16 services[1].default_rank"},
		{`"default": "v1"`, `"default": "v2"`, "error invalid 15 services[0].adapters[0].default"},
		{`"name": "bo"`, `"name": "ana"`, "error duplicate_name 9 customers[1].name"},
		{`["69c6`, `["xxxx`, "error unusable_key 9 customers[1].key_hashes[0]"},
		{`"adapters": [{"name": "blitz", "default": "v1", "versions": [{"name": "v1", "source": "s3/blitz/1"}]}]`, `"adapters": []`, "warning service_without_engines 15 services[0]"},
		{`["ana", "bo"]`, `["ana"]`, "warning never_matches 9 customers[1]"},
		{`30000`, `300`, "error timeout_under_objective 15 services[0].timeout_ms"},
		{`"between_tokens_ms": 100`, `"between_tokens_ms": 40000`, "error pause_over_timeout 15 services[0].timeout_ms"},
	},
}

// Guards against a fault that is not reported, or that is reported at another line or path.
func TestEachFaultIsReportedAtItsPlace(t *testing.T) {
	for file, cases := range faults {
		sound := readTestdata(t, file)
		qt.Assert(t, Check([]byte(sound), testOptions).Findings, qt.HasLen, 0)
		for _, test := range cases {
			t.Run(file+" "+test.want, func(t *testing.T) {
				qt.Assert(t, sound, qt.Contains, test.old)
				var got []string
				for _, f := range Check([]byte(strings.Replace(sound, test.old, test.new, 1)), testOptions).Findings {
					got = append(got, fmt.Sprintf("%s %s %d %s", f.Severity, f.Kind, f.Line, f.Path))
				}
				qt.Assert(t, got, qt.Contains, test.want)
			})
		}
	}
}

func compared(t *testing.T, base, next string) *Report {
	r := Check([]byte(next), testOptions)
	qt.Assert(t, r.Compare([]byte(base)), qt.IsNil)
	qt.Assert(t, r.Compared, qt.IsTrue)
	return r
}

func lines(r *Report) []string {
	var list []string
	for _, c := range r.Changes {
		list = append(list, c.String())
	}
	return list
}

// Guards against a comparison that reports the text instead of the meaning, or that misses a change.
func TestChangesAreReportedByMeaning(t *testing.T) {
	c := qt.New(t)
	base := readTestdata(t, "platform.json")
	sameMeaning := strings.NewReplacer(`"weight": 3`, `"weight": 6`, `"weight": 1`, `"weight": 2`, "a.example", "A.example", `"key-of-big-1", "key-of-big-2"`, `"key-of-big-2", "key-of-big-1"`, ", ", ",\n").Replace(base)
	r := compared(t, base, sameMeaning)
	c.Assert(lines(r), qt.HasLen, 0)
	c.Assert(r.Findings, qt.HasLen, 0)

	next := strings.NewReplacer(
		`"version": 7`, `"version": 8`, `"weight": 3`, `"weight": 1`, `"name": "lookup"`, `"name": "lookups"`, `"timeout_ms": 2000, "goal_ms"`, `"timeout_ms": 2500, "goal_ms"`,
		`"name": "status", "host": "b.example"`, `"name": "health", "host": "c.example"`, `"slots": 32`, `"slots": 16`,
		"key-of-big-2", "key-of-big-3", `"burst": 10`, `"burst": 20`, `"name": "free"`, `"name": "paid"`, "4194304", "1048576",
	).Replace(base)
	c.Assert(lines(compared(t, base, next)), qt.DeepEquals, []string{
		"route chat: services: canary 25%, engines 75% -> canary 50%, engines 50%",
		"route health: added",
		"route lookup: name: lookup -> lookups",
		"route lookup: timeout: 2s -> 2.5s",
		"route status: removed",
		"service engines: slots: 32 -> 16",
		"limits: body bytes: 4194304 -> 1048576",
		"account big: key removed: " + accounts.DigestOf("key-of-big-2").Fingerprint(),
		"account big: key added: " + accounts.DigestOf("key-of-big-3").Fingerprint(),
		"account free: removed",
		"account paid: added",
		"account small: quota: 5 requests/s, burst 10 -> 5 requests/s, burst 20",
	})
	// Characters that a terminal would interpret.
	c.Assert(lines(compared(t, base, strings.Replace(next, `"chat"`, `"chat\u001b[2J"`, 1)))[0], qt.Equals, "route chat: name: chat -> chat\ufffd[2J")
	c.Assert(compared(t, next, base).Findings[0].Kind, qt.Equals, OldVersion)
}

// Guards against a comparison of the own format that shows lists as text or accepts a changed version.
func TestChangesOfTheOwnFormat(t *testing.T) {
	c := qt.New(t)
	base := readTestdata(t, "own.json")
	hash := accounts.DigestOf("bo-2")
	next := strings.NewReplacer("69c6", fmt.Sprintf("%x", hash[:2]), `["ana", "bo"]`, `["bo"]`, "s3/blitz/1", "s3/blitz/2", `"worth": 4`, `"worth": 5`, `"name": "booking"`, `"name": "bookings"`).Replace(base)
	r := compared(t, base, next)
	c.Assert(r.Findings[0].Kind, qt.Equals, ChangedVersion)
	got := strings.Join(lines(r), "\n")
	for _, want := range []string{
		"adapter/advice/blitz: version removed: v1 from s3/blitz/1", "adapter/advice/blitz: version added: v1 from s3/blitz/2",
		"customer/bo: key removed: 69c6", "customer/bo: key added: " + hash.Fingerprint()[:4], "rank/chat: worth: 4 -> 5",
		"service/advice: customer removed: ana", "service/booking: removed", "service/bookings: added",
	} {
		c.Check(got, qt.Contains, want)
	}
	c.Check(len(r.Changes), qt.Equals, 8)
}

func TestIncomparableConfigurations(t *testing.T) {
	own, platform := readTestdata(t, "own.json"), readTestdata(t, "platform.json")
	qt.Assert(t, Check([]byte(own), testOptions).Compare([]byte(platform)), qt.Equals, ErrFormats)
	qt.Assert(t, Check([]byte(own), testOptions).Compare([]byte("{")), qt.Equals, ErrUnreadable)
	r := Check([]byte("{"), testOptions)
	qt.Assert(t, r.Compare([]byte(own)), qt.IsNil)
	qt.Assert(t, r.Compared, qt.IsFalse)
}

// shown returns everything of a report that may be printed.
func shown(r *Report) string { return fmt.Sprintf("%+v %+v", r.Findings, r.Changes) }

// Guards against a key in the report, also where it stands in a wrong place.
func TestNoKeyIsShown(t *testing.T) {
	base := readTestdata(t, "platform.json")
	const key = "sk-3f9a77c1d2"
	for _, old := range []string{`"key-of-free"`, `"key-of-free"]`, `"free"`, `"chat"`, `"stream"`, `"engines"`, `"a.example"`, `"/v1/chat/"`, `"tokens"`, `9000`, `"m"`, `"priority"`, `7,`} {
		next := strings.Replace(base, old, `"`+key+`"`, 1)
		next = strings.Replace(next, `"key-of-big-2"`, `"`+key+`", "`+key+` x"`, 1)
		r := Check([]byte(next), testOptions)
		_ = r.Compare([]byte(base))
		qt.Check(t, shown(r), qt.Not(qt.Contains), key, qt.Commentf("instead of %s", old))
	}
	r := Check([]byte(strings.Replace(readTestdata(t, "own.json"), `["`, `["`+key+`", "`, 1)), testOptions)
	qt.Check(t, r.Errors() > 0, qt.IsTrue)
	qt.Check(t, shown(r), qt.Not(qt.Contains), key[:6])
}

// Guards against inputs that end the process, lines outside the file and keys in the report.
func FuzzCheck(f *testing.F) {
	for file, cases := range faults {
		sound := readTestdata(f, file)
		f.Add(sound)
		for _, test := range cases {
			f.Add(strings.Replace(sound, test.old, test.new, 1))
		}
	}
	for _, text := range []string{"", "null", "[]", `{"tenants":[null,1,{"api_keys":null}]}`, `{"routes":[null],"services":[null]}`, `{"format":1,"customers":[null]}`, `{"routes":{"a":[{}]}}`, strings.Repeat(`{"limits":`, 20), strings.Repeat(`{"a":`, 200) + "1" + strings.Repeat("}", 200)} {
		f.Add(text)
	}
	base := readTestdata(f, "platform.json")
	f.Fuzz(func(t *testing.T, text string) {
		r := Check([]byte(text), testOptions)
		_ = r.Compare([]byte(base))
		for _, finding := range r.Findings {
			if finding.Line < 0 || finding.Line > 1+strings.Count(text, "\n") || finding.Text == "" {
				t.Errorf("finding %+v", finding)
			}
		}
		if r.Errors() == 0 && r.own == nil && r.platform == nil {
			t.Error("no error, though the configuration was not decoded")
		}
		for _, key := range []string{"key-of-big-1", "key-of-small", "key-of-free"} {
			if r.Compared && strings.Contains(shown(r), key) {
				t.Errorf("the report shows %s", key)
			}
		}
	})
}
