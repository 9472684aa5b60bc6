package demo_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/demo"
	"github.com/celerydeck/celerydeck/internal/standin/engine"
	"github.com/celerydeck/celerydeck/internal/standin/rawserver"
	"github.com/celerydeck/celerydeck/internal/standin/vmlist"
)

const (
	oddBody   = "Oddity" // body of the responses whose head is malformed
	soundBody = "sound answer"
)

// runCounts counts the runs of requests, by path.
type runCounts struct {
	mu   sync.Mutex
	runs map[string]int
}

func (r *runCounts) add(path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = make(map[string]int)
	}
	r.runs[path]++
}

func (r *runCounts) of(path string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[path]
}

// addRaw adds an upstream that writes its responses itself.
func addRaw(t *testing.T, d *demo.Demo, vm vmlist.VM, answer func(r *http.Request) string) *rawserver.Server {
	t.Helper()
	s, err := rawserver.Listen(answer)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(s.Close)
	vm.Zone, vm.Region, vm.Address, vm.State = "cascadia-a", "cascadia", s.Addr(), "live"
	d.VMs.Put(vm)
	return s
}

// rawPost sends a request and returns all bytes that come back until the daemon closes the connection.
func rawPost(t *testing.T, addr, path, body string, lines ...string) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second)) // a closed connection fails the next call
	lines = append(lines, "Host: "+addr, "Connection: close", "Authorization: Bearer "+demo.CustomerKey, fmt.Sprintf("Content-Length: %d", len(body)))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\n%s\r\n\r\n%s", path, strings.Join(lines, "\r\n"), body)
	qt.Assert(t, err, qt.IsNil)
	text, _ := io.ReadAll(conn) // a response that is broken off ends with a reset
	return string(text)
}

// checkCallerBytes checks the bytes that a caller got: one response, which carries nothing of a malformed one.
func checkCallerBytes(t *testing.T, text string, note qt.Comment) (status int, outcome, body string) {
	t.Helper()
	qt.Check(t, strings.Count(text, "HTTP/1."), qt.Equals, 1, note)
	qt.Check(t, text, qt.Not(qt.Contains), "Odd", note)
	qt.Check(t, text, qt.Matches, `(?s)HTTP/1\.1 [2-5][0-9][0-9] .*`, note)
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
	if err != nil {
		qt.Check(t, err, qt.IsNil, note)
		return 0, "", ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	qt.Check(t, err, qt.IsNil, note)
	return resp.StatusCode, resp.Header.Get("X-Celerydeck-Outcome"), string(data)
}

// startPlainDemo starts a deployment with plain services that may repeat calls and that may not.
func startPlainDemo(t *testing.T, services ...string) *demo.Demo {
	t.Helper()
	opts := demo.DefaultOptions()
	opts.CallerPorts = nil
	opts.DrainGrace = 0
	opts.StoreRate = 0
	opts.Config = demo.DefaultConfig()
	for _, name := range services {
		opts.Config.Services = append(opts.Config.Services, deckconfig.Service{
			Name: name, Kind: deckconfig.PlainService, DefaultRank: "desk", NonRepeatable: strings.HasSuffix(name, "once"),
		})
	}
	return startWith(t, opts)
}

// Plain services answered with the status 000 or with a blank in the name of a field. The daemon panicked, or passed
// the response on.
func TestAPlainResponseWithAMalformedHeadReachesNoCaller(t *testing.T) {
	for name := range rawserver.Malformed("200 OK", oddBody) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startPlainDemo(t, "pair-once", "pair-often", "lone-once", "lone-often")
			var odd, sound runCounts
			malformed := func(status string, lines ...string) func(r *http.Request) string {
				return func(r *http.Request) string {
					odd.add(r.URL.Path)
					return rawserver.Malformed(status, oddBody, lines...)[name]
				}
			}
			answer := func(r *http.Request) string {
				sound.add(r.URL.Path)
				return rawserver.Response("200 OK", soundBody)
			}
			var servers []*rawserver.Server
			for i, service := range []string{"pair-once", "pair-often", "lone-once", "lone-often"} {
				vm := vmlist.VM{ID: fmt.Sprintf("odd-%d", i), Kind: "plain", Service: service}
				servers = append(servers, addRaw(t, d, vm, malformed([]string{"200 OK", "503 Full"}[i/2], "X-Boot-Id: b")))
				if strings.HasPrefix(service, "pair") {
					addRaw(t, d, vmlist.VM{ID: fmt.Sprintf("sound-%d", i), Kind: "plain", Service: service}, answer)
				}
			}
			for i := range 24 {
				service := []string{"pair-once", "pair-often", "lone-once", "lone-often"}[i%4]
				daemon := d.Daemons[i/4%2]
				path := fmt.Sprintf("/%d", i)
				var lines []string
				if i%8 < 4 && strings.HasSuffix(service, "once") {
					lines = []string{fmt.Sprintf("Idempotency-Key: k-%d", i)}
				}
				text := rawPost(t, daemon.CallerAddr(), "/services/"+service+path, "x", lines...)
				oddRuns, soundRuns := odd.of(path), sound.of(path)
				note := qt.Commentf("%s%s after %d odd and %d sound runs: %.500q", service, path, oddRuns, soundRuns, text)
				status, outcome, body := checkCallerBytes(t, text, note)
				switch {
				case soundRuns > 0:
					qt.Check(t, status, qt.Equals, http.StatusOK, note)
					qt.Check(t, body, qt.Equals, soundBody, note)
				case oddRuns > 0:
					qt.Check(t, status, qt.Equals, http.StatusBadGateway, note)
					qt.Check(t, outcome, qt.Equals, "unknown", note)
				default:
					qt.Check(t, outcome, qt.Equals, "not-run", note)
				}
				isOnce := strings.HasSuffix(service, "once")
				qt.Check(t, !isOnce || oddRuns+soundRuns <= 1, qt.IsTrue, note)
				qt.Check(t, soundRuns <= 1, qt.IsTrue, note)
				qt.Check(t, soundRuns == 1 || service != "pair-often", qt.IsTrue, note)
			}
			for _, s := range servers {
				qt.Check(t, s.Reused(), qt.Equals, 0, qt.Commentf("requests on a connection after a malformed response"))
			}
		})
	}
}

// Engines answered completions, or the probes of their daemons, with a malformed head.
func TestACompletionWithAMalformedHeadReachesNoCaller(t *testing.T) {
	models := []string{"advice/blitz@v1", "advice/rapid@v1", "advice/classic@v1", "advice/bughouse@v1", "advice/chess960@v1"}
	events := func(r *http.Request) string {
		var request engine.CompletionRequest
		qt.Check(t, json.NewDecoder(r.Body).Decode(&request), qt.IsNil)
		return fmt.Sprintf(`data: {"model":%q,"boot_id":"odd-boot","offset":0,"choices":[{"text":"Oddity","finish_reason":"stop"}]}`+"\n\ndata: [DONE]\n\n", request.Model)
	}
	for name := range rawserver.Malformed("200 OK", "") {
		for _, hasSound := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, sound engine %v", name, hasSound), func(t *testing.T) {
				t.Parallel()
				opts := demo.DefaultOptions()
				opts.CallerPorts = nil
				opts.DrainGrace = 0
				opts.StoreRate = 0
				opts.EnginesPerZone = 0
				opts.StoreLoadTime = 10 * time.Millisecond
				d := startWith(t, opts)
				var odd runCounts
				add := func(id string, isOdd bool) *rawserver.Server {
					inner := engine.New(engine.Options{ID: id, Slots: 8, Batch: 4, TokenTime: time.Millisecond, WeightStore: d.WeightStore}).Handler()
					return addRaw(t, d, vmlist.VM{ID: id, Kind: "engine", Base: "base-7b"}, func(r *http.Request) string {
						if isOdd && strings.HasSuffix(r.URL.Path, "/completions") {
							odd.add(r.URL.Path)
							return rawserver.Malformed("200 OK", events(r), "X-Boot-Id: odd-boot", "Content-Type: text/event-stream")[name]
						}
						return rawserver.Record(inner, r)
					})
				}
				servers := []*rawserver.Server{add("odd", true)}
				if hasSound {
					servers = append(servers, add("sound", false))
				}
				for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					if !slices.ContainsFunc(servers, func(s *rawserver.Server) bool { return s.Received() < 3 }) {
						break // the daemons know the engines
					}
				}
				var wg sync.WaitGroup
				for i := range 20 {
					wg.Go(func() {
						model, prompt := models[i%len(models)], fmt.Sprintf("prompt %d", i)
						body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":4,"stream":%v}`, model, prompt, i%2 == 0)
						text := rawPost(t, d.Daemons[i%2].CallerAddr(), "/v1/completions", body, "Content-Type: application/json")
						note := qt.Commentf("%s: %.500q", prompt, text)
						status, _, answer := checkCallerBytes(t, text, note)
						switch {
						case !hasSound:
							qt.Check(t, status >= 500, qt.IsTrue, note)
						case i%2 == 0:
							qt.Check(t, status, qt.Equals, http.StatusOK, note)
							qt.Check(t, answer, qt.Contains, "[DONE]", note)
						default:
							qt.Check(t, status, qt.Equals, http.StatusOK, note)
							qt.Check(t, answer, qt.Contains, engine.Answer(model, prompt, 4), note)
						}
					})
				}
				wg.Wait()
				qt.Check(t, odd.of("/v1/completions") > 0, qt.IsTrue, qt.Commentf("the engine got no request"))
			})
		}
	}
}
