package demo_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/demo"
	"github.com/celerydeck/celerydeck/internal/standin/engine"
	"github.com/celerydeck/celerydeck/internal/standin/rawserver"
	"github.com/celerydeck/celerydeck/internal/standin/vmlist"
)

// A VM was listed with a new address while requests to it were in flight. Their entry panicked, "more requests ended than
// were sent", and callers got no answer.
func TestRequestsToAVMThatGetsANewAddressAreAnswered(t *testing.T) {
	opts := demo.DefaultOptions()
	opts.CallerPorts = nil
	opts.DrainGrace = 0
	opts.StoreRate = 0
	opts.EnginesPerZone = 0
	d := startWith(t, opts)
	list := func() {
		inner := engine.New(engine.Options{ID: "relisted", Slots: 4, Batch: 8, TokenTime: time.Second, WeightStore: d.WeightStore}).Handler()
		addRaw(t, d, vmlist.VM{ID: "relisted", Kind: "engine", Base: "base-7b"}, func(r *http.Request) string { return rawserver.Record(inner, r) })
	}
	complete := func(daemon, tokens int) string {
		body := fmt.Sprintf(`{"model":"advice/blitz@v1","prompt":"x","max_tokens":%d}`, tokens)
		return rawPost(t, d.Daemons[daemon].CallerAddr(), "/v1/completions", body, "Content-Type: application/json")
	}
	list()
	for end := time.Now().Add(20 * time.Second); !strings.HasPrefix(complete(0, 1), "HTTP/1.1 200"); {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("no completion within 20 s"))
	}
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			text := complete(i%2, 8)
			qt.Check(t, strings.HasPrefix(text, "HTTP/1.1 "), qt.IsTrue, qt.Commentf("request %d: %.200q", i, text))
		})
	}
	time.Sleep(200 * time.Millisecond) // the requests are in flight
	list()
	wg.Wait()
}
