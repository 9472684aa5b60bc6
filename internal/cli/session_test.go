package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/cli"
	"github.com/celerydeck/celerydeck/internal/demo"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/admin"
)

// demoOptions returns options of the demo with free ports and short delays.
func demoOptions() demo.Options {
	opts := demo.DefaultOptions()
	opts.CallerPorts, opts.DrainGrace = nil, 0
	opts.Engine.TokenTime = time.Millisecond
	opts.StoreLoadTime = 10 * time.Millisecond
	return opts
}

// startDemo starts the demo and waits until every daemon reports the whole fleet as healthy.
func startDemo(t testing.TB) *demo.Demo {
	t.Helper()
	opts := demoOptions()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	d, err := demo.Start(ctx, opts)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { d.Close(context.Background()) })
	qt.Assert(t, d.WaitReady(ctx), qt.IsNil)
	for _, daemon := range d.Daemons {
		client := admin.NewClient([]string{daemon.AdminAddr()}, demo.OperatorKey)
		defer client.Close()
		for !allHealthy(ctx, client) {
			qt.Assert(t, ctx.Err(), qt.IsNil, qt.Commentf("the daemons do not see the whole fleet"))
			time.Sleep(20 * time.Millisecond)
		}
	}
	return d
}

// allHealthy reports whether a daemon sees both daemons and all six upstreams of the demo, each owned and
// healthy.
func allHealthy(ctx context.Context, client *admin.Client) bool {
	view, err := client.Fleet(ctx)
	if err != nil || len(view.Daemons) != 2 || len(view.Unowned) > 0 {
		return false
	}
	healthy := 0
	for _, d := range view.Daemons {
		for _, u := range d.Upstreams {
			if u.Healthy {
				healthy++
			}
		}
	}
	return healthy == 6
}

// session runs commands in two shells, as an operator would, and records the commands with their output.
type session struct {
	t    *testing.T
	demo *demo.Demo
	dir  string
	log  strings.Builder
}

func newSession(t *testing.T) *session {
	s := &session{t: t, demo: startDemo(t), dir: t.TempDir()}
	s.write("operator.key", demo.OperatorKey+"\n")
	return s
}

func (s *session) file(name string) string { return filepath.Join(s.dir, name) }

func (s *session) write(name, text string) {
	qt.Assert(s.t, os.WriteFile(s.file(name), []byte(text), 0o600), qt.IsNil)
}

// command runs a command line in a shell, which calls the daemon of the same number. In line, underscores stand
// for spaces within an argument, and file names are relative to the directory of the session.
func (s *session) command(shell int, line string) (string, int) {
	args := strings.Fields(line)
	for i, a := range args {
		args[i] = strings.ReplaceAll(a, "_", " ")
		if strings.HasSuffix(a, ".json") || strings.HasSuffix(a, ".html") {
			args[i] = s.file(a)
		}
	}
	all := append([]string{"--addr", s.demo.Daemons[shell].AdminAddr(), "--key-file", s.file("operator.key")}, args...)
	var out, errs bytes.Buffer
	code := cli.Run(s.t.Context(), cli.Shell{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &errs, Clock: time.Now}, all)
	fmt.Fprintf(&s.log, "shell %d $ celerydeck %s\n%s%s[exit %d]\n\n", shell+1, line, out.String(), errs.String(), code)
	return out.String(), code
}

// configProgram runs the example program newcomer and writes the configuration that it prints to a file.
func (s *session) configProgram(version, name string) {
	cmd := exec.CommandContext(s.t.Context(), "go", "run", "./examples/newcomer", "-endgame", version)
	cmd.Dir = filepath.Join("..", "..")
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	qt.Assert(s.t, err, qt.IsNil)
	s.write(name, string(out))
	fmt.Fprintf(&s.log, "shell 1 $ go run ./examples/newcomer -endgame %s > %s\n\n", version, name)
}

// complete sends a completion request as a customer.
func (s *session) complete(model string) {
	body := fmt.Sprintf(`{"model":%q,"prompt":"Set the clock","max_tokens":4}`, model)
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost,
		"http://"+s.demo.Daemons[1].CallerAddr()+"/v1/completions", strings.NewReader(body))
	qt.Assert(s.t, err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+demo.CustomerKey)
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(s.t, err, qt.IsNil)
	defer resp.Body.Close()
	var answer struct {
		Model string `json:"model"`
	}
	qt.Assert(s.t, json.NewDecoder(resp.Body).Decode(&answer), qt.IsNil)
	fmt.Fprintf(&s.log, "shell 1 $ curl .../v1/completions -d '%s'\n%d, answered by %s\n\n", body, resp.StatusCode, answer.Model)
}

func TestEndedDrainKeepsAnUpstreamOrDaemonOutOfService(t *testing.T) {
	t.Parallel()
	d := startDemo(t)
	runOnDemo(t, d, "drain", "upstream", "cascadia-b-engine-2", "--wait")
	runOnDemo(t, d, "drain", "daemon", "cascadia-a-entry-1", "--wait")
	qt.Assert(t, d.Daemons[0].Ready(), qt.IsFalse)
	runOnDemo(t, d, "drain", "daemon", "cascadia-a-entry-1", "--end")
	runOnDemo(t, d, "drain", "upstream", "cascadia-b-engine-2", "--end")
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	client := admin.NewClient([]string{d.Daemons[1].AdminAddr()}, demo.OperatorKey)
	defer client.Close()
	for !allHealthy(ctx, client) || !d.Daemons[0].Ready() {
		qt.Assert(t, ctx.Err(), qt.IsNil, qt.Commentf("the daemon or upstream does not serve after the end of its drain"))
		time.Sleep(20 * time.Millisecond)
	}
	seen := make(map[state.DaemonID]bool)
	for len(seen) < 2 { // both daemons report changes of state
		qt.Assert(t, ctx.Err(), qt.IsNil, qt.Commentf("changes of state are missing"))
		h, err := client.Handover(ctx, time.Now().Add(-time.Hour))
		qt.Assert(t, err, qt.IsNil)
		for _, c := range h.Changes {
			seen[c.Daemon] = true
		}
	}
	view, err := client.Fleet(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, view.Daemons[0].Changes, qt.HasLen, 0)
}

func TestViewerChangesTheDeployment(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	config := demo.DefaultConfig()
	config.Operators = []deckconfig.Operator{
		{Name: "lee", Role: deckconfig.RoleOperator, KeyHashes: []string{deckconfig.HashKey("lee-key")}},
		{Name: "wall", Role: deckconfig.RoleViewer, KeyHashes: []string{deckconfig.HashKey("wall-key")}},
	}
	data, err := config.Canonical()
	qt.Assert(t, err, qt.IsNil)
	s.write("c.json", string(data))
	_, code := s.command(0, "apply --base 1 c.json")
	qt.Assert(t, code, qt.Equals, cli.ExitOK)
	for key, want := range map[string]int{"lee-key": cli.ExitOK, "wall-key": cli.ExitUnauthorized, "no-key": cli.ExitUnauthorized} {
		s.write("operator.key", key)
		_, code = s.command(1, "note hello")
		qt.Check(t, code, qt.Equals, want, qt.Commentf(key))
	}
	s.write("operator.key", "wall-key")
	out, code := s.command(1, "note")
	qt.Assert(t, code, qt.Equals, cli.ExitOK)
	qt.Assert(t, out, qt.Contains, " lee: hello")
}

func TestKeyOfAnOperatorIsSentInTheClear(t *testing.T) {
	dir := t.TempDir()
	for _, args := range [][]string{{"keys", "authority", "--dir", dir}, {"keys", "daemon", "--dir", dir, "localhost"}} {
		qt.Assert(t, run(t, cli.Shell{}, args...).code, qt.Equals, cli.ExitOK)
	}
	opts := demoOptions()
	opts.AdminCertFile, opts.AdminKeyFile = filepath.Join(dir, "localhost.crt"), filepath.Join(dir, "localhost.key")
	d, err := demo.Start(t.Context(), opts)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { d.Close(context.Background()) })
	_, port, err := net.SplitHostPort(d.Daemons[0].AdminAddr())
	qt.Assert(t, err, qt.IsNil)
	t.Setenv("CELERYDECK_CLI_KEY", demo.OperatorKey)
	addr, ca := "https://localhost:"+port, filepath.Join(dir, "authority.crt")
	got := run(t, cli.Shell{}, "--addr", addr, "--ca-file", ca, "history")
	qt.Assert(t, got.code, qt.Equals, cli.ExitOK, qt.Commentf(got.err))
	qt.Assert(t, run(t, cli.Shell{}, "--addr", addr, "history").code, qt.Equals, cli.ExitUnreachable)
	qt.Assert(t, run(t, cli.Shell{}, "--addr", "localhost:"+port, "history").code, qt.Not(qt.Equals), cli.ExitOK)
}

func TestDisjointChangesUndoEachOther(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	write := func(name string, change func(*deckconfig.Config)) {
		config := demo.DefaultConfig()
		change(config)
		data, err := config.Canonical()
		qt.Assert(t, err, qt.IsNil)
		s.write(name, string(data))
	}
	write("a.json", func(c *deckconfig.Config) { c.Services[0].Adapters[0].Default = "v1" })
	write("b.json", func(c *deckconfig.Config) { c.Customers[0].RequestsPerSecond = 7 })
	for shell, file := range []string{"a.json", "b.json"} { // both are based on revision 1
		out, code := s.command(shell, "apply --base 1 "+file)
		qt.Assert(t, code, qt.Equals, cli.ExitOK, qt.Commentf(out))
	}
	out, _ := s.command(0, "get")
	config, err := deckconfig.Parse([]byte(out))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, config.Customers[0].RequestsPerSecond, qt.Equals, 7.0)
	defaults := make(map[string]string)
	for _, a := range config.Services[0].Adapters {
		defaults[a.Name] = a.Default
	}
	qt.Assert(t, defaults["blitz"], qt.Equals, "v1")
	qt.Assert(t, defaults["rapid"], qt.Equals, "v2")
	_, code := s.command(1, "apply --base 2 a.json") // a.json has an old version of the customer that revision 3 changed
	qt.Assert(t, code, qt.Equals, cli.ExitConflict)
}

func TestDeadDaemonIsLeftOutOfTheHandover(t *testing.T) {
	t.Parallel()
	d := startDemo(t)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	qt.Assert(t, d.Daemons[1].Shutdown(ctx), qt.IsNil)
	client := admin.NewClient([]string{d.Daemons[0].AdminAddr()}, demo.OperatorKey)
	defer client.Close()
	h, err := client.Handover(ctx, time.Now().Add(-time.Hour))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(h.Missing), qt.Equals, 1)
	qt.Assert(t, h.Missing[0].Daemon, qt.Equals, state.DaemonID("cascadia-b-entry-1"))
	qt.Assert(t, h.NeedsYou[0].Kind, qt.Equals, protocol.ConditionDaemonSilent)
	unowned := 0
	for _, g := range h.NeedsYou {
		if g.Kind == protocol.ConditionUpstreamUnowned {
			unowned = g.Count
		}
	}
	qt.Assert(t, unowned, qt.Equals, 3)
	d.Daemons = d.Daemons[:1]
}

// masks replace text that differs between runs, so that the record of a session can be compared with a golden
// file.
var masks = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`\d{4}-\d\d-\d\d \d\d:\d\d:\d\dZ`), "TIME"},
	{regexp.MustCompile(`(?m)^in force at 1 of 2 daemons\n`), ""},
	{regexp.MustCompile(`(?m)^.*\(seen by .*\n`), ""},                    // the order of events varies
	{regexp.MustCompile(`(?m)^(  (arbiter|desk|summary) ).*$`), "${1}N"}, // durations
	{regexp.MustCompile(`(?m)^(cascadia-\S+ ).*(chosen|loaded).*$`), "${1}..."},
	{regexp.MustCompile(`(?m)^(  cascadia-.* (healthy|leaving)  ).*$`), "${1}N"},
	{regexp.MustCompile(`(?m)^  \[note\] engine_cold .*\n(      .*\n)+`), ""}, // which engines load adapters varies
	{regexp.MustCompile(`  +`), "  "},
	{regexp.MustCompile(`(?m) +$`), ""},
}

func maskVariable(text string) string {
	for _, m := range masks {
		text = m.pattern.ReplaceAllString(text, m.with)
	}
	return text
}

func TestFirstStepsWithAConcurrentSession(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	s.configProgram("v1", "deployment.json")
	s.command(0, "validate deployment.json")
	s.command(0, "diff deployment.json")
	s.command(0, "apply --base 1 -m add_the_endgame_adapter deployment.json")
	s.complete("advice/endgame")
	s.configProgram("v2", "deployment.json")
	s.command(0, "diff deployment.json")
	s.command(0, "apply --base 2 -m endgame_v2_is_better deployment.json")
	s.complete("advice/endgame")
	s.command(0, "rollback 2")
	s.complete("advice/endgame")
	_, code := s.command(1, "apply --base 3 -m from_another_shell deployment.json")
	qt.Assert(t, code, qt.Equals, cli.ExitConflict) // the file equals revision 3, but revision 4 is in force
	s.configProgram("v1", "other.json")
	_, code = s.command(1, "apply --base 3 -m from_another_shell other.json")
	qt.Assert(t, code, qt.Equals, cli.ExitConflict)
	s.command(1, "history")
	s.command(1, "get --object adapter/advice/endgame")
	s.command(1, "get --revision 3 --object adapter/advice/none")
	s.command(0, "drain upstream cascadia-a-engine-1 --reason new_disk --wait")
	s.command(1, "drain")
	s.command(1, "explain --upstream cascadia-a-engine-1")
	s.command(0, "note endgame_is_back_at_v1")
	s.command(1, "handover")
	s.command(0, "drain upstream cascadia-a-engine-1 --end")
	s.command(0, "drain upstream no-such-engine")
	goldie.New(t).Assert(t, "newcomer", []byte(maskVariable(s.log.String())))
}
