package entry_test

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/standin/engine"
	"github.com/celerydeck/celerydeck/internal/standin/objectapi"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	// roundsVariable repeats the run: each round draws worldsPerRound worlds.
	roundsVariable   = "SESSION_ROUNDS"
	sessionsPerWorld = 80
	parallelSessions = 16
	itemsPerWorld    = 12
	sessionTokens    = 12
	longestBudget    = 8 * time.Second
	worldSettles     = 80 * time.Second
	enoughSessions   = 2000 // that every outcome must occur
)

// faultPlan is the number of times that each fault strikes one world.
type faultPlan struct {
	seed      uint64
	restarts  int // of engines
	misbehave int // streams that are cut, misnamed, ended early or refused
	hangs     int
	handovers int
	crashes   int // of daemons
	shutdowns int // of daemons
	leaving   int
	platform  int // outages and lost answers
	lost      int // answers of the plain service
	breakPct  int // broken links, in thousandths of all parts
	scrambled bool
}

func drawPlan(t *rapid.T) faultPlan {
	n := func(name string, most int) int { return rapid.IntRange(0, most).Draw(t, name) }
	return faultPlan{
		seed:      rapid.Uint64().Draw(t, "seed"),
		restarts:  n("restarts", 3),
		misbehave: n("misbehave", 6),
		hangs:     n("hangs", 1),
		handovers: n("handovers", 4),
		crashes:   n("crashes", 2),
		shutdowns: n("shutdowns", 2),
		leaving:   n("leaving", 1),
		platform:  n("platform", 3),
		lost:      n("lost", 3),
		breakPct:  n("breakPct", 30),
		scrambled: rapid.Bool().Draw(t, "scrambled"),
	}
}

// TestSessionsKeepTheirPromisesUnderFaults runs random sessions over the real
// cores and shells in virtual time, while faults of every kind strike. A failing
// draw is printed with its seed.
func TestSessionsKeepTheirPromisesUnderFaults(t *testing.T) {
	rounds, _ := strconv.Atoi(os.Getenv(roundsVariable))
	var total counts
	for range max(rounds, 1) {
		rapid.Check(t, func(rt *rapid.T) {
			plan := drawPlan(rt)
			synctest.Test(t, func(t *testing.T) { runWorld(t, plan, &total) })
		})
	}
	t.Logf("sessions: %+v", total)
	if total.sessions < enoughSessions {
		return
	}
	if total.ran == 0 || total.notRun == 0 || total.unknown == 0 || total.replayed == 0 {
		t.Errorf("a kind of outcome never occurred: %+v", total)
	}
}

// counts are the outcomes of all sessions.
type counts struct{ sessions, ran, notRun, unknown, replayed, left int }

type trial struct {
	t       *testing.T
	w       *world
	plan    faultPlan
	mu      sync.Mutex
	ids     int
	refused []string // ids of requests that were told not-run
	counts  *counts
	items   map[string]itemHistory
}

// itemHistory is what callers were told of one item of the plain service.
type itemHistory struct {
	unknown bool
	answers map[string]bool
}

func runWorld(t *testing.T, plan faultPlan, total *counts) {
	w := newWorld(plan.seed)
	w.breakPct = plan.breakPct
	tr := &trial{t: t, w: w, plan: plan, counts: total, items: make(map[string]itemHistory)}
	done := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { tr.heartbeats(done) })
	time.Sleep(time.Second) // the first load reports are in
	var sessions, faults sync.WaitGroup
	for range parallelSessions {
		sessions.Go(func() {
			for range sessionsPerWorld / parallelSessions {
				tr.session()
				time.Sleep(time.Duration(w.intn(100)) * time.Millisecond)
			}
		})
	}
	faults.Go(tr.strike)
	sessions.Wait()
	faults.Wait()
	w.objects.SetFaults(objectapi.Faults{})
	close(done)
	background.Wait()
	w.stopOwners()
	time.Sleep(worldSettles)
	tr.check()
	w.close()
	time.Sleep(worldSettles)
}

func (tr *trial) heartbeats(done chan struct{}) {
	ticker := time.NewTicker(statusGap)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			tr.w.publish()
		case <-done:
			return
		}
	}
}

func (tr *trial) fail(format string, args ...any) {
	tr.t.Helper()
	tr.t.Errorf("%s (plan %+v)", fmt.Sprintf(format, args...), tr.plan)
}

func (tr *trial) nextID() string {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.ids++
	return fmt.Sprintf("request-%d", tr.ids)
}

func (tr *trial) session() {
	if tr.w.chance(500) {
		tr.ask()
		return
	}
	tr.book()
}

// caller is what a caller has received.
type caller struct {
	mu       sync.Mutex
	text     strings.Builder
	whole    bool
	replayed bool
	adapter  state.AdapterRef
}

func (c *caller) Head(h protocol.Head) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.adapter, c.replayed = h.Adapter, h.Replayed
	return nil
}

func (c *caller) Chunk(p protocol.Chunk) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.text.Write(p.Data)
	return nil
}

func (c *caller) End(protocol.End) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.whole = true
	return nil
}

// send serves a call at a random daemon. It reports false when that daemon crashed
// or refused, so that the caller learned nothing.
func (tr *trial) send(call *protocol.Call, base string) (*caller, *protocol.Error, bool) {
	d := tr.w.daemon(tr.w.intn(worldDaemons))
	if d.drained.Load() || d.ctx.Err() != nil {
		return nil, nil, false
	}
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	if tr.w.chance(100) {
		time.AfterFunc(time.Duration(tr.w.intn(200))*time.Millisecond, cancel)
	}
	c := &caller{}
	err := d.gateway.Serve(ctx, call, base, c)
	tr.note(call, err, c, d.ctx.Err() != nil)
	return c, err, d.ctx.Err() == nil
}

func (tr *trial) note(call *protocol.Call, err *protocol.Error, c *caller, crashed bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.counts.sessions++
	switch {
	case crashed:
		tr.counts.left++
	case err == nil && c.replayed:
		tr.counts.replayed++
	case err == nil:
		tr.counts.ran++
	case err.Outcome == protocol.OutcomeNotRun:
		tr.counts.notRun++
		tr.refused = append(tr.refused, call.RequestID)
	default:
		tr.counts.unknown++
	}
}

// ask sends a completion that may repeat, and checks every part of its answer.
func (tr *trial) ask() {
	id := tr.nextID()
	ref := state.AdapterRef{Service: "advice", Adapter: []string{"blitz", "rapid", "classic"}[tr.w.intn(3)], Version: []string{"v1", "v2"}[tr.w.intn(2)]}
	call := &protocol.Call{
		RequestID:  id,
		Customer:   "ridgeline",
		Service:    "advice",
		Rank:       state.Rank(tr.w.intn(3)),
		TimeLeft:   500*time.Millisecond + time.Duration(tr.w.intn(7000))*time.Millisecond,
		Repeatable: true,
		Model: &protocol.ModelCall{
			Adapter:         ref,
			Body:            fmt.Appendf(nil, `{"model":%q,"prompt":%q,"max_tokens":%d}`, ref, id, sessionTokens),
			MaxTokens:       sessionTokens,
			WeightsLocation: "weights",
		},
	}
	c, err, known := tr.send(call, worldBase)
	if c == nil {
		return
	}
	want := engine.Answer(ref.String(), id, sessionTokens)
	got := c.text.String()
	switch {
	case !strings.HasPrefix(want, got):
		tr.fail("%s got %q, which is no beginning of %q", id, got, want)
	case known && err == nil && (got != want || !c.whole || c.adapter != ref):
		tr.fail("%s got %q of %s as whole", id, got, c.adapter)
	case err != nil && c.whole && known:
		tr.fail("%s got an end and the error %v", id, err)
	case err != nil && err.Outcome == protocol.OutcomeNotRun && got != "":
		tr.fail("%s got %q and was told that it did not run", id, got)
	}
}

// book sends a call that must not repeat, with a key, a ticket or neither, and
// sends it again until its outcome is known.
func (tr *trial) book() {
	const sends = 3
	item := fmt.Sprintf("item-%d", tr.w.intn(itemsPerWorld))
	call := &protocol.Call{
		Customer: "ridgeline",
		Service:  "booking",
		TimeLeft: time.Duration(500+tr.w.intn(5000)) * time.Millisecond,
	}
	switch tr.w.intn(3) {
	case 0:
		call.IdempotencyKey = "key of " + item
	case 1:
		item = "ticket of " + tr.nextID()
		call.Ticket = tr.w.daemon(tr.w.intn(worldDaemons)).gateway.IssueTicket("ridgeline", "booking").String()
	default:
		item = "single " + tr.nextID()
	}
	call.Plain = &protocol.PlainCall{Method: "POST", Path: "/", Body: fmt.Appendf(nil, `{"item":%q}`, item)}
	for range sends {
		call.RequestID = tr.nextID()
		c, err, known := tr.send(call, "")
		if c == nil {
			continue
		}
		tr.noteItem(item, c, err, known)
		if call.IdempotencyKey == "" && call.Ticket == "" || err == nil && known {
			return
		}
	}
}

func (tr *trial) noteItem(item string, c *caller, err *protocol.Error, known bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	h := tr.items[item]
	if h.answers == nil {
		h.answers = make(map[string]bool)
	}
	switch {
	case known && err == nil:
		h.answers[c.text.String()] = true
	case !known || err.Outcome != protocol.OutcomeNotRun:
		h.unknown = true
	}
	tr.items[item] = h
}

// check compares what callers were told with what was run.
func (tr *trial) check() {
	for item, h := range tr.items {
		runs := tr.w.booking.Runs(item)
		switch {
		case runs > 1:
			tr.fail("%s ran %d times", item, runs)
		case len(h.answers) > 1:
			tr.fail("%s has %d answers", item, len(h.answers))
		case len(h.answers) == 1 && runs != 1:
			tr.fail("%s has an answer and ran %d times", item, runs)
		case len(h.answers) == 0 && !h.unknown && runs != 0:
			tr.fail("%s ran, and its callers were told that it did not", item)
		}
	}
	for _, id := range tr.refused {
		for _, e := range tr.w.engines {
			if e.Ran(id) > 0 {
				tr.fail("%s ran, and its caller was told that it did not", id)
			}
		}
	}
}
