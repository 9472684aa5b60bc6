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
	// roundsVariable is the environment variable with the number of rounds. Each round
	// runs deploymentsPerRound deployments.
	roundsVariable            = "SESSION_ROUNDS"
	sessionsPerDeployment     = 80
	parallelSessions          = 16
	itemsPerDeployment        = 12
	sessionTokens             = 12
	maxBudget                 = 8 * time.Second
	settleTime                = 80 * time.Second
	minSessionsForAllOutcomes = 2000 // sessions in a run from which every outcome must occur
)

// faultPlan holds the number of times that each fault is injected into one deployment.
type faultPlan struct {
	seed          uint64
	restarts      int  // of engines
	misbehave     int  // answers of engines that are cut, misnamed, ended early or refused
	hangs         int  // of engines
	handovers     int  // of upstreams between daemons
	crashes       int  // of daemons
	shutdowns     int  // of daemons
	leaving       int  // engines that are drained for a second
	platform      int  // outages and lost writes of the object store
	lost          int  // answers of the plain service that are lost
	breakPerMille int  // probability that a link breaks at a part of an answer
	scrambled     bool // misbehaving engines also duplicate and reorder parts
}

func drawPlan(t *rapid.T) faultPlan {
	n := func(name string, limit int) int { return rapid.IntRange(0, limit).Draw(t, name) }
	return faultPlan{
		seed:          rapid.Uint64().Draw(t, "seed"),
		restarts:      n("restarts", 3),
		misbehave:     n("misbehave", 6),
		hangs:         n("hangs", 1),
		handovers:     n("handovers", 4),
		crashes:       n("crashes", 2),
		shutdowns:     n("shutdowns", 2),
		leaving:       n("leaving", 1),
		platform:      n("platform", 3),
		lost:          n("lost", 3),
		breakPerMille: n("breakPct", 30),
		scrambled:     rapid.Bool().Draw(t, "scrambled"),
	}
}

// Sessions of random requests run through production code in virtual time while faults
// of every kind are injected. No caller may get a wrong or repeated part of an answer;
// a request that was reported as not run must not have run; and a request that must not
// be repeated runs at most once. A failing plan is printed with its seed.
func TestSessionsKeepTheirPromisesUnderFaults(t *testing.T) {
	rounds, _ := strconv.Atoi(os.Getenv(roundsVariable))
	var total counts
	for range max(rounds, 1) {
		rapid.Check(t, func(rt *rapid.T) {
			plan := drawPlan(rt)
			synctest.Test(t, func(t *testing.T) { runDeployment(t, plan, &total) })
		})
	}
	t.Logf("sessions: %+v", total)
	if total.sessions < minSessionsForAllOutcomes {
		return
	}
	if total.ran == 0 || total.notRun == 0 || total.unknown == 0 || total.replayed == 0 {
		t.Errorf("a kind of outcome never occurred: %+v", total)
	}
}

// counts holds the number of sessions by outcome. A session is abandoned if its daemon
// crashed before the session ended.
type counts struct{ sessions, ran, notRun, unknown, replayed, abandoned int }

// scenario runs sessions and faults against one deployment and checks the outcomes.
type scenario struct {
	t       *testing.T
	w       *deployment
	plan    faultPlan
	mu      sync.Mutex
	ids     int
	refused []string // ids of requests that were reported as not run
	counts  *counts
	items   map[string]bookingHistory
}

// bookingHistory holds the outcomes that callers got for one item of the plain service.
type bookingHistory struct {
	unknown bool // an outcome was unknown
	answers map[string]bool
}

func runDeployment(t *testing.T, plan faultPlan, total *counts) {
	w := newDeployment(plan.seed)
	w.breakPerMille = plan.breakPerMille
	sc := &scenario{t: t, w: w, plan: plan, counts: total, items: make(map[string]bookingHistory)}
	done := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { sc.heartbeats(done) })
	time.Sleep(time.Second) // until the first load reports have arrived
	var sessions, faults sync.WaitGroup
	for range parallelSessions {
		sessions.Go(func() {
			for range sessionsPerDeployment / parallelSessions {
				sc.session()
				time.Sleep(time.Duration(w.intn(100)) * time.Millisecond)
			}
		})
	}
	faults.Go(sc.injectFaults)
	sessions.Wait()
	faults.Wait()
	w.objects.SetFaults(objectapi.Faults{})
	close(done)
	background.Wait()
	w.closeManagers()
	time.Sleep(settleTime)
	sc.check()
	w.close()
	time.Sleep(settleTime)
}

func (sc *scenario) heartbeats(done chan struct{}) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			sc.w.gossip()
		case <-done:
			return
		}
	}
}

func (sc *scenario) fail(format string, args ...any) {
	sc.t.Helper()
	sc.t.Errorf("%s (plan %+v)", fmt.Sprintf(format, args...), sc.plan)
}

func (sc *scenario) nextID() string {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.ids++
	return fmt.Sprintf("request-%d", sc.ids)
}

func (sc *scenario) session() {
	if sc.w.chance(500) {
		sc.sendCompletion()
		return
	}
	sc.sendBooking()
}

// caller is a protocol.Sink that records what a caller received.
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

// send serves a call at a random daemon and returns what the caller received, the error of
// the call, and whether the outcome reached the caller. The outcome does not reach the
// caller if the daemon crashed. The returned caller is nil if the daemon accepted no call.
func (sc *scenario) send(call *protocol.Call, base string) (*caller, *protocol.Error, bool) {
	d := sc.w.daemon(sc.w.intn(numDaemons))
	if d.drained.Load() || d.ctx.Err() != nil {
		return nil, nil, false
	}
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	if sc.w.chance(100) {
		time.AfterFunc(time.Duration(sc.w.intn(200))*time.Millisecond, cancel)
	}
	c := &caller{}
	err := d.gateway.Serve(ctx, call, base, c)
	sc.recordOutcome(call, err, c, d.ctx.Err() != nil)
	return c, err, d.ctx.Err() == nil
}

func (sc *scenario) recordOutcome(call *protocol.Call, err *protocol.Error, c *caller, crashed bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.counts.sessions++
	switch {
	case crashed:
		sc.counts.abandoned++
	case err == nil && c.replayed:
		sc.counts.replayed++
	case err == nil:
		sc.counts.ran++
	case err.Outcome == protocol.OutcomeNotRun:
		sc.counts.notRun++
		sc.refused = append(sc.refused, call.RequestID)
	default:
		sc.counts.unknown++
	}
}

// sendCompletion sends a repeatable completion and checks its answer.
func (sc *scenario) sendCompletion() {
	id := sc.nextID()
	ref := state.AdapterRef{Service: "advice", Adapter: []string{"blitz", "rapid", "classic"}[sc.w.intn(3)], Version: []string{"v1", "v2"}[sc.w.intn(2)]}
	call := &protocol.Call{
		RequestID:  id,
		Customer:   "ridgeline",
		Service:    "advice",
		Rank:       state.Rank(sc.w.intn(3)),
		TimeLeft:   500*time.Millisecond + time.Duration(sc.w.intn(7000))*time.Millisecond,
		Repeatable: true,
		Model: &protocol.ModelCall{
			Adapter:         ref,
			Body:            fmt.Appendf(nil, `{"model":%q,"prompt":%q,"max_tokens":%d}`, ref, id, sessionTokens),
			MaxTokens:       sessionTokens,
			WeightsLocation: "weights",
		},
	}
	c, err, known := sc.send(call, baseModel)
	if c == nil {
		return
	}
	whole := engine.Answer(ref.String(), id, sessionTokens)
	got := c.text.String()
	switch {
	case !strings.HasPrefix(whole, got):
		sc.fail("%s got %q, which is not a prefix of %q", id, got, whole)
	case known && err == nil && (got != whole || !c.whole || c.adapter != ref):
		sc.fail("%s got %q from adapter %s as its complete answer", id, got, c.adapter)
	case err != nil && c.whole && known:
		sc.fail("%s got the end of an answer and the error %v", id, err)
	case err != nil && err.Outcome == protocol.OutcomeNotRun && got != "":
		sc.fail("%s got %q, but was reported as not run", id, got)
	}
}

// sendBooking sends a call that must not run twice, with an idempotency key, a ticket
// or neither. With a key or a ticket it retries until the call succeeds.
func (sc *scenario) sendBooking() {
	const maxSends = 3
	item := fmt.Sprintf("item-%d", sc.w.intn(itemsPerDeployment))
	call := &protocol.Call{
		Customer: "ridgeline",
		Service:  "booking",
		TimeLeft: time.Duration(500+sc.w.intn(5000)) * time.Millisecond,
	}
	switch sc.w.intn(3) {
	case 0:
		call.IdempotencyKey = "key of " + item
	case 1:
		item = "ticket of " + sc.nextID()
		call.Ticket = sc.w.daemon(sc.w.intn(numDaemons)).gateway.IssueTicket("ridgeline", "booking").String()
	default:
		item = "single " + sc.nextID()
	}
	call.Plain = &protocol.PlainCall{Method: "POST", Path: "/", Body: fmt.Appendf(nil, `{"item":%q}`, item)}
	for range maxSends {
		call.RequestID = sc.nextID()
		c, err, known := sc.send(call, "")
		if c == nil {
			continue
		}
		sc.recordBooking(item, c, err, known)
		if call.IdempotencyKey == "" && call.Ticket == "" || err == nil && known {
			return
		}
	}
}

func (sc *scenario) recordBooking(item string, c *caller, err *protocol.Error, known bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	h := sc.items[item]
	if h.answers == nil {
		h.answers = make(map[string]bool)
	}
	switch {
	case known && err == nil:
		h.answers[c.text.String()] = true
	case !known || err.Outcome != protocol.OutcomeNotRun:
		h.unknown = true
	}
	sc.items[item] = h
}

// check compares the outcomes that callers got with the requests that upstreams ran.
func (sc *scenario) check() {
	for item, h := range sc.items {
		runs := sc.w.booking.Runs(item)
		switch {
		case runs > 1:
			sc.fail("%s ran %d times", item, runs)
		case len(h.answers) > 1:
			sc.fail("%s has %d different answers", item, len(h.answers))
		case len(h.answers) == 1 && runs != 1:
			sc.fail("%s has an answer but ran %d times", item, runs)
		case len(h.answers) == 0 && !h.unknown && runs != 0:
			sc.fail("%s ran, but was reported as not run", item)
		}
	}
	for _, id := range sc.refused {
		for _, e := range sc.w.engines {
			if e.Attempts(id) > 0 {
				sc.fail("%s ran, but was reported as not run", id)
			}
		}
	}
}
