package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/cli"
	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/demo"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/admin"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

// result is the outcome of a run of the command.
type result struct {
	code     int
	out, err string
}

// run runs the command with the given arguments. No daemon is started; the arguments may address one.
func run(t *testing.T, shell cli.Shell, args ...string) result {
	t.Helper()
	var out, errs bytes.Buffer
	shell.Stdout, shell.Stderr = &out, &errs
	if shell.Stdin == nil {
		shell.Stdin = strings.NewReader("")
	}
	shell.Clock = time.Now
	code := cli.Run(t.Context(), shell, args)
	return result{code: code, out: out.String(), err: errs.String()}
}

// stubServer answers every request with the given status and body, and returns its URL.
func stubServer(t *testing.T, status int, body any) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func errorBody(code protocol.ErrorKind, outcome protocol.Outcome) admin.ErrorBody {
	return admin.ErrorBody{Error: admin.ErrorDetail{Code: code, Message: "m", Step: "s", Peer: "p", Outcome: outcome}}
}

func TestTwoFailuresShareAnExitCode(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.json")
	qt.Assert(t, os.WriteFile(bad, []byte(`{"format":"x"}`), 0o600), qt.IsNil)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer silent.Close()
	view := protocol.FleetView{Missing: []protocol.MissingDaemon{{Daemon: "d2", Zone: "z", Reason: "timeout"}}}
	for _, c := range []struct {
		want int
		args []string
	}{
		{cli.ExitOK, []string{"--help"}},
		{cli.ExitUsage, []string{}},
		{cli.ExitUsage, []string{"no-such-command"}},
		{cli.ExitUsage, []string{"--color", "pink", "history"}},
		{cli.ExitUsage, []string{"apply", bad}},
		{cli.ExitUsage, []string{"keys"}},
		{cli.ExitUsage, []string{"explain"}},
		{cli.ExitUsage, []string{"drain", "planet", "x"}},
		{cli.ExitUsage, []string{"handover", "--since", "yesterday"}},
		{cli.ExitUsage, []string{"validate", filepath.Join(dir, "none.json")}},
		{cli.ExitUsage, []string{"--key-file", filepath.Join(dir, "none"), "history"}},
		{cli.ExitInvalid, []string{"validate", bad}},
		{cli.ExitInvalid, []string{"diff", bad}},
		{cli.ExitUnreachable, []string{"--addr", "127.0.0.1:1", "history"}},
		{cli.ExitUnreachable, []string{"--addr", silent.Addr().String(), "--timeout", "50ms", "history"}},
		{cli.ExitUnauthorized, []string{"--addr", stubServer(t, 401, errorBody(protocol.KindUnauthorized, "")), "history"}},
		{cli.ExitUnauthorized, []string{"--addr", stubServer(t, 403, errorBody(protocol.KindForbidden, "")), "note", "x"}},
		{cli.ExitNotFound, []string{"--addr", stubServer(t, 404, errorBody(protocol.KindNotFound, "")), "get"}},
		{cli.ExitUnknown, []string{"--addr", stubServer(t, 503, errorBody(protocol.KindUnavailable, protocol.OutcomeUnknown)), "note", "x"}},
		{cli.ExitFailed, []string{"--addr", stubServer(t, 503, errorBody(protocol.KindUnavailable, protocol.OutcomeNotRun)), "note", "x"}},
		{cli.ExitFailed, []string{"--addr", stubServer(t, 502, "a proxy"), "history"}},
		{cli.ExitPartial, []string{"--addr", stubServer(t, 200, view), "status"}},
		{cli.ExitPartial, []string{"--addr", stubServer(t, 200, view), "-o", "json", "top"}},
	} {
		got := run(t, cli.Shell{}, c.args...)
		qt.Check(t, got.code, qt.Equals, c.want, qt.Commentf("%v\n%s%s", c.args, got.out, got.err))
	}
}

func TestPartialAnswerLooksWhole(t *testing.T) {
	view := protocol.FleetView{Missing: []protocol.MissingDaemon{{Daemon: "d2", Zone: "z", Reason: "timeout"}}}
	for _, command := range []string{"status", "top"} {
		got := run(t, cli.Shell{}, "--addr", stubServer(t, 200, view), command)
		qt.Check(t, got.out, qt.Contains, "PARTIAL: d2 in z did not answer: timeout")
	}
	got := run(t, cli.Shell{}, "--addr", stubServer(t, 200, protocol.Explanation{Missing: []string{"d2"}}), "explain", "a/b")
	qt.Check(t, got.code, qt.Equals, cli.ExitPartial)
	qt.Check(t, got.out, qt.Contains, "PARTIAL: did not answer: d2")
}

func TestApplyWaitsWithoutEnd(t *testing.T) {
	file := filepath.Join(t.TempDir(), "c.json")
	config := demo.DefaultConfig()
	data, err := config.Canonical()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, os.WriteFile(file, data, 0o600), qt.IsNil)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var answer any = admin.ConfigBody{Revision: 1, Config: &deckconfig.Config{Format: deckconfig.Format}}
		switch {
		case strings.Contains(r.URL.Path, "submissions"):
			answer = configsync.Accepted{Revision: 2}
		case strings.Contains(r.URL.Path, "progress"):
			answer = configsync.Progress{Revision: 2, InForce: 1, Daemons: 2, Behind: []state.DaemonID{"d2"}}
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	defer server.Close()
	got := run(t, cli.Shell{}, "--addr", server.URL, "--timeout", "1s", "apply", "--base", "1", file)
	qt.Assert(t, got.code, qt.Equals, cli.ExitNotInForce)
	qt.Assert(t, got.out, qt.Contains, "in force at 1 of 2 daemons")
	qt.Assert(t, got.err, qt.Contains, "not yet at [d2]")
	got = run(t, cli.Shell{}, "--addr", server.URL, "-o", "json", "apply", "--base", "1", "--no-wait", "--id", "s1", file)
	qt.Assert(t, got.code, qt.Equals, cli.ExitOK)
	qt.Assert(t, got.out, qt.Contains, `"id": "s1"`)
}

func TestLostAnswerOfASubmissionMakesASecondOne(t *testing.T) {
	file := filepath.Join(t.TempDir(), "c.json")
	data, err := demo.DefaultConfig().Canonical()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, os.WriteFile(file, data, 0o600), qt.IsNil)
	var ids []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.URL.Path, "submissions") {
			_ = json.NewEncoder(w).Encode(admin.ConfigBody{Revision: 1, Config: &deckconfig.Config{Format: deckconfig.Format}})
			return
		}
		var s configsync.Submission
		_ = json.NewDecoder(r.Body).Decode(&s)
		ids = append(ids, s.ID)
		if len(ids) == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(errorBody(protocol.KindUnavailable, protocol.OutcomeUnknown))
			return
		}
		_ = json.NewEncoder(w).Encode(configsync.Accepted{Revision: 2, Repeated: true})
	}))
	defer server.Close()
	got := run(t, cli.Shell{}, "--addr", server.URL, "apply", "--base", "1", "--no-wait", file)
	qt.Assert(t, got.code, qt.Equals, cli.ExitOK, qt.Commentf(got.err))
	qt.Assert(t, ids, qt.HasLen, 2)
	qt.Assert(t, ids[0], qt.Equals, ids[1])
	ids = nil
	got = run(t, cli.Shell{}, "--addr", server.URL, "--timeout", "100ms", "apply", "--base", "1", "--id", "mine", file)
	qt.Assert(t, got.code, qt.Equals, cli.ExitUnknown)
	qt.Assert(t, got.err, qt.Contains, "--id mine")
}

func TestColorsReachAFile(t *testing.T) {
	addr := stubServer(t, 200, protocol.FleetView{Missing: []protocol.MissingDaemon{{Daemon: "d2"}}})
	for _, c := range []struct {
		shell cli.Shell
		args  []string
		want  bool
	}{
		{cli.Shell{}, nil, false},
		{cli.Shell{Terminal: true}, nil, true},
		{cli.Shell{Terminal: true, Environ: []string{"NO_COLOR=1"}}, nil, false},
		{cli.Shell{Terminal: true}, []string{"--color", "never"}, false},
		{cli.Shell{}, []string{"--color", "always"}, true},
	} {
		got := run(t, c.shell, append(append([]string{"--addr", addr}, c.args...), "status")...)
		qt.Check(t, strings.Contains(got.out, "\x1b["), qt.Equals, c.want, qt.Commentf("%v", c.args))
	}
}

func TestMisspeltVariableIsIgnored(t *testing.T) {
	got := run(t, cli.Shell{Environ: []string{"CELERYDECK_CLI_ADRR=x", "CELERYDECK_ZONE=fine"}}, "--color", "pink", "-o", "xml", "history")
	qt.Assert(t, got.code, qt.Equals, cli.ExitUsage)
	for _, want := range []string{"CELERYDECK_CLI_ADRR is no setting", "--color must be", "--output must be"} {
		qt.Check(t, got.err, qt.Contains, want)
	}
	qt.Assert(t, strings.Contains(got.err, "CELERYDECK_ZONE"), qt.IsFalse)
}

func TestErrorForProgramsIsText(t *testing.T) {
	got := run(t, cli.Shell{Stdin: strings.NewReader(`{"format":"celerydeck/v1","rank":[]}`)}, "-o", "json", "validate", "-")
	var body struct {
		Code   int                     `json:"exit_code"`
		Fields []deckconfig.FieldError `json:"fields"`
	}
	qt.Assert(t, json.Unmarshal([]byte(got.err), &body), qt.IsNil)
	qt.Assert(t, body.Code, qt.Equals, cli.ExitInvalid)
	qt.Assert(t, body.Fields[0].Field, qt.Equals, "rank")
}

func TestKeysOfDaemonsDoNotFit(t *testing.T) {
	dir := t.TempDir()
	qt.Assert(t, run(t, cli.Shell{}, "keys", "authority", "--dir", dir).code, qt.Equals, cli.ExitOK)
	qt.Assert(t, run(t, cli.Shell{}, "keys", "authority", "--dir", dir).code, qt.Equals, cli.ExitFailed)
	for _, name := range []string{"d1", "d2"} {
		qt.Assert(t, run(t, cli.Shell{}, "keys", "daemon", "--dir", dir, name).code, qt.Equals, cli.ExitOK)
	}
	file := func(name string) []byte {
		data, err := os.ReadFile(filepath.Join(dir, name))
		qt.Assert(t, err, qt.IsNil)
		return data
	}
	_, err := peer.LoadIdentity(file("d1.crt"), file("d1.key"), file("authority.crt"))
	qt.Assert(t, err, qt.IsNil)
	_, err = peer.LoadIdentity(file("d1.crt"), file("d2.key"), file("authority.crt"))
	qt.Assert(t, err, qt.IsNotNil)
	info, err := os.Stat(filepath.Join(dir, "authority.key"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, info.Mode().Perm(), qt.Equals, os.FileMode(0o600))
	_, err = peer.LoadCA(file("d1.crt"), file("d1.key"))
	qt.Assert(t, err, qt.ErrorIs, peer.ErrNotCA)
}

func TestHashOfAKeyDiffersFromTheLibrary(t *testing.T) {
	var made struct{ Key, Hash string }
	qt.Assert(t, json.Unmarshal([]byte(run(t, cli.Shell{}, "-o", "json", "keys", "api").out), &made), qt.IsNil)
	qt.Assert(t, made.Hash, qt.Equals, deckconfig.HashKey(made.Key))
	got := run(t, cli.Shell{Stdin: strings.NewReader(made.Key + "\n")}, "keys", "hash")
	qt.Assert(t, got.out, qt.Equals, "hash  "+made.Hash+"\n")
}

func TestCompletionBreaksInAShell(t *testing.T) {
	bash, err := exec.LookPath("bash")
	if err != nil {
		t.Skip("no bash")
	}
	script := run(t, cli.Shell{}, "completion", "bash").out
	for words, want := range map[string]string{
		`celerydeck ha`:        "handover",
		`celerydeck keys d`:    "daemon",
		`celerydeck apply --b`: "--base",
		`celerydeck drain --w`: "--wait",
	} {
		list := strings.Fields(words)
		code := script + "\nCOMP_WORDS=(" + words + ")\nCOMP_CWORD=" + string(rune('0'+len(list)-1)) + "\n_celerydeck\necho ${COMPREPLY[@]}\n"
		out, err := exec.CommandContext(context.Background(), bash, "-c", code).CombinedOutput()
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
		qt.Check(t, strings.TrimSpace(string(out)), qt.Equals, want, qt.Commentf(words))
	}
	qt.Assert(t, run(t, cli.Shell{}, "completion", "fish").code, qt.Equals, cli.ExitUsage)
}

func TestTicketOfTheDemoIsRefused(t *testing.T) {
	d := startDemo(t)
	t.Setenv("CELERYDECK_CLI_CALLER_KEY", demo.CustomerKey)
	got := run(t, cli.Shell{}, "-o", "json", "ticket", "--caller-addr", d.Daemons[0].CallerAddr(), "booking")
	qt.Assert(t, got.code, qt.Equals, cli.ExitOK, qt.Commentf(got.err))
	var ticket struct{ Ticket, Daemon string }
	qt.Assert(t, json.Unmarshal([]byte(got.out), &ticket), qt.IsNil)
	qt.Assert(t, ticket.Daemon, qt.Equals, "cascadia-a-entry-1")
	qt.Assert(t, ticket.Ticket, qt.Not(qt.Equals), "")
	got = run(t, cli.Shell{}, "ticket", "--caller-addr", d.Daemons[0].CallerAddr(), "advice")
	qt.Assert(t, got.code, qt.Not(qt.Equals), cli.ExitOK)
	t.Setenv("CELERYDECK_CLI_CALLER_KEY", "")
	qt.Assert(t, run(t, cli.Shell{}, "ticket", "booking").code, qt.Equals, cli.ExitUsage)
}

func TestExplainRequestFromLogs(t *testing.T) {
	log := `{"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"request","vm":"vm-1","request":"q1","outcome":"retry budget"}`
	got := run(t, cli.Shell{Stdin: strings.NewReader(log)}, "explain", "--request", "q1")
	qt.Assert(t, got.code, qt.Equals, 0)
	qt.Assert(t, got.out, qt.Contains, "cause: retry budget: another try would have gone beyond this daemon's share of retries")
	got = run(t, cli.Shell{}, "explain", "--request", "q1", "--logs", "/nonexistent")
	qt.Assert(t, got.code, qt.Not(qt.Equals), 0)
	qt.Assert(t, got.err, qt.Contains, "read log")
}
