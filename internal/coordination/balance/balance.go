// Package balance decides where a request runs: it estimates when each upstream
// would begin with it, from what this daemon and its peers have in flight there, and
// picks the best one, asks for a load, or refuses at once.
package balance

import (
	"math"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// RankCount is the number of ranks that are told apart; less urgent ones count as the last.
const RankCount = 4

const (
	// readPerMS is the prior for the prompt tokens that an engine reads in a
	// millisecond beside its running requests; pace corrects it for each engine.
	readPerMS = 15.0
	// baseFirst is the least time to a first event.
	baseFirst = 25 * time.Millisecond
	// initialRun is the prior for the time that a stream takes from its first event to
	// its last one. A slot becomes free after a share of it.
	initialRun = 2 * time.Second
	runGain    = 0.02
	// memoryWait is added where the memory for running requests is taken.
	memoryWait = time.Second
	// farPenalty prefers upstreams of the daemon's own zone.
	farPenalty = 15 * time.Millisecond
	// failurePenalty is added in proportion to the recent share of failures.
	failurePenalty = 1500 * time.Millisecond
	// peerFresh is how long the figures of a peer count.
	peerFresh = 2 * time.Second
	// loadFresh is how long the load in an answer counts.
	loadFresh = 300 * time.Millisecond

	gain     = 0.15 // share of a new sample in the means
	minPace  = 0.3
	maxPace  = 6.0
	minBench = 400 * time.Millisecond // first suspension after a broken connection
	maxBench = 3 * time.Second
	// probeFor is how long a suspended upstream is kept from others while one request
	// finds out whether it is back.
	probeFor = 400 * time.Millisecond
)

// ReportedLoad is what an upstream says in its answers.
type ReportedLoad struct {
	Running int
	Waiting int
	Slots   int
}

// InFlight is what daemons have in flight at one upstream.
type InFlight struct {
	Requests       int            `cbor:"1,keyasint"`
	PrefillTokens  [RankCount]int `cbor:"2,keyasint"` // prompt tokens before the first event
	KVTokens       int            `cbor:"3,keyasint"` // tokens of all requests in flight
	RequestsByRank [RankCount]int `cbor:"4,keyasint"`
}

// Add adds the work of others.
func (w *InFlight) Add(o *InFlight) {
	w.Requests += o.Requests
	w.KVTokens += o.KVTokens
	for i := range o.PrefillTokens {
		w.PrefillTokens[i] += o.PrefillTokens[i]
		w.RequestsByRank[i] += o.RequestsByRank[i]
	}
}

// Sub takes work away that Add added.
func (w *InFlight) Sub(o *InFlight) {
	w.Requests -= o.Requests
	w.KVTokens -= o.KVTokens
	for i := range o.PrefillTokens {
		w.PrefillTokens[i] -= o.PrefillTokens[i]
		w.RequestsByRank[i] -= o.RequestsByRank[i]
	}
}

// Request is what the choice depends on.
type Request struct {
	Rank      int
	TokensIn  int
	TokensOut int
	Zone      state.Zone
}

func (r *Request) rank() int { return min(max(r.Rank, 0), RankCount-1) }

type peerWork struct {
	at      time.Time
	works   map[state.UpstreamID]InFlight
	counted bool // in the sums
}

type health struct {
	failed    float64 // mean of outcomes, 1 for a failure
	pace      float64 // mean of actual over estimated time to the first event
	service   float64 // mean time of a plain request in seconds
	inRow     int
	benched   time.Time // not used before
	progress  time.Time // last bytes from the upstream
	load      ReportedLoad
	loadAt    time.Time
	loadKnown bool
}

// Tracker holds what is in flight. It is not safe for concurrent use.
//
// Invariant: sums is the work of the peers that are counted, so that a choice costs
// the same however many peers there are.
type Tracker struct {
	own    map[state.UpstreamID]*InFlight
	peers  map[state.DaemonID]*peerWork
	sums   map[state.UpstreamID]InFlight
	stale  time.Time     // no counted peer is too old before
	run    time.Duration // mean time of a stream after its first event
	health map[state.UpstreamID]*health
}

// NewTracker returns a tracker without work.
func NewTracker() *Tracker {
	return &Tracker{
		own:    make(map[state.UpstreamID]*InFlight),
		peers:  make(map[state.DaemonID]*peerWork),
		sums:   make(map[state.UpstreamID]InFlight),
		run:    initialRun,
		health: make(map[state.UpstreamID]*health),
	}
}

// Begin counts a request that is sent to an upstream.
func (t *Tracker) Begin(id state.UpstreamID, r Request) {
	w := t.own[id]
	if w == nil {
		w = &InFlight{}
		t.own[id] = w
	}
	w.Requests++
	w.RequestsByRank[r.rank()]++
	w.PrefillTokens[r.rank()] += r.TokensIn
	w.KVTokens += r.TokensIn + r.TokensOut/2
}

// FirstEvent notes that a request's prompt has been read.
func (t *Tracker) FirstEvent(id state.UpstreamID, r Request) {
	if w := t.own[id]; w != nil {
		w.PrefillTokens[r.rank()] -= r.TokensIn
	}
}

// End ends a request; read tells whether First was called for it.
func (t *Tracker) End(id state.UpstreamID, r Request, read bool) {
	w := t.own[id]
	if w == nil {
		return
	}
	w.Requests--
	w.RequestsByRank[r.rank()]--
	w.KVTokens -= r.TokensIn + r.TokensOut/2
	if !read {
		w.PrefillTokens[r.rank()] -= r.TokensIn
	}
	if w.Requests <= 0 {
		delete(t.own, id)
	}
}

// OwnInFlight returns a copy of this daemon's work, for its peers.
func (t *Tracker) OwnInFlight() map[state.UpstreamID]InFlight {
	out := make(map[state.UpstreamID]InFlight, len(t.own))
	for id, w := range t.own {
		out[id] = *w
	}
	return out
}

// SetPeerInFlight takes the work of a peer.
func (t *Tracker) SetPeerInFlight(now time.Time, id state.DaemonID, works map[state.UpstreamID]InFlight) {
	if old := t.peers[id]; old != nil {
		t.discount(old)
	}
	if len(t.peers) == 0 {
		t.stale = now.Add(peerFresh)
	}
	t.peers[id] = &peerWork{at: now, works: works, counted: true}
	for up, w := range works {
		sum := t.sums[up]
		sum.Add(&w)
		t.sums[up] = sum
	}
}

// discount takes the work of a peer out of the sums.
func (t *Tracker) discount(p *peerWork) {
	if !p.counted {
		return
	}
	p.counted = false
	for up, w := range p.works {
		sum := t.sums[up]
		sum.Sub(&w)
		if sum == (InFlight{}) {
			delete(t.sums, up)
		} else {
			t.sums[up] = sum
		}
	}
}

// expire drops the peers that have not told their work for too long.
func (t *Tracker) expire(now time.Time) {
	if !now.After(t.stale) {
		return
	}
	t.stale = now.Add(peerFresh)
	for id, p := range t.peers {
		if now.Sub(p.at) > peerFresh {
			t.discount(p)
			delete(t.peers, id)
		} else if end := p.at.Add(peerFresh); end.Before(t.stale) {
			t.stale = end
		}
	}
}

// InFlight returns all known work at an upstream.
func (t *Tracker) InFlight(now time.Time, id state.UpstreamID) InFlight {
	t.expire(now)
	sum := t.sums[id]
	if w := t.own[id]; w != nil {
		sum.Add(w)
	}
	return sum
}

func (t *Tracker) healthOf(id state.UpstreamID) *health {
	h := t.health[id]
	if h == nil {
		h = &health{pace: 1, service: 0.05}
		t.health[id] = h
	}
	return h
}

// Retain drops the upstreams that are not listed any more.
func (t *Tracker) Retain(listed func(state.UpstreamID) bool) {
	for id := range t.health {
		if !listed(id) {
			delete(t.health, id)
		}
	}
}

// SetReportedLoad takes the load that an answer carries.
func (t *Tracker) SetReportedLoad(now time.Time, id state.UpstreamID, l ReportedLoad) {
	h := t.healthOf(id)
	h.load, h.loadAt, h.loadKnown = l, now, true
}

// RecordProgress notes bytes from an upstream.
func (t *Tracker) RecordProgress(now time.Time, id state.UpstreamID) { t.healthOf(id).progress = now }

// LastProgress returns when the last bytes came from an upstream.
func (t *Tracker) LastProgress(id state.UpstreamID) time.Time { return t.healthOf(id).progress }

// RecordSuccess notes a good answer.
func (t *Tracker) RecordSuccess(now time.Time, id state.UpstreamID) {
	h := t.healthOf(id)
	h.failed -= gain * h.failed
	h.inRow, h.benched, h.progress = 0, time.Time{}, now
}

// RecordFailure notes an answer that failed. A broken connection also suspends the upstream
// for a moment, longer with each failure in a row.
func (t *Tracker) RecordFailure(now time.Time, id state.UpstreamID, broken bool) {
	h := t.healthOf(id)
	h.failed += gain * (1 - h.failed)
	if !broken {
		return
	}
	h.inRow++
	h.benched = now.Add(min(maxBench, minBench<<min(h.inRow-1, 4)))
}

// ObserveFirstEvent corrects the pace of an upstream by a time to the first event.
func (t *Tracker) ObserveFirstEvent(id state.UpstreamID, estimated, actual time.Duration) {
	if estimated <= 0 {
		return
	}
	h := t.healthOf(id)
	sample := h.pace * float64(actual) / float64(estimated)
	h.pace += gain * (min(max(sample, minPace), maxPace) - h.pace)
}

// ObserveStreamTime corrects the mean time of streams from the first event to the last one.
func (t *Tracker) ObserveStreamTime(actual time.Duration) {
	t.run += time.Duration(runGain * float64(actual-t.run))
}

// ObserveServiceTime corrects the mean time of plain requests at an upstream.
func (t *Tracker) ObserveServiceTime(id state.UpstreamID, actual time.Duration) {
	h := t.healthOf(id)
	h.service += gain * (actual.Seconds() - h.service)
}

// IsEjected reports whether an upstream is suspended.
func (t *Tracker) IsEjected(now time.Time, id state.UpstreamID) bool {
	h := t.health[id]
	return h != nil && now.Before(h.benched)
}

// chosen notes that a request goes to an upstream. If that was suspended, the request
// is a probe, and no other follows before its outcome.
func (t *Tracker) chosen(now time.Time, id state.UpstreamID) {
	if h := t.healthOf(id); h.inRow > 0 {
		h.benched = now.Add(probeFor)
	}
}

// EstimateFirstEvent returns when an engine would send the first event of a request.
func (t *Tracker) EstimateFirstEvent(now time.Time, u *upstreams.Upstream, kvTokens int, r Request) time.Duration {
	w := t.InFlight(now, u.ID)
	h := t.healthOf(u.ID)
	reading, ahead := r.TokensIn, 0
	for rank := 0; rank <= r.rank(); rank++ {
		reading += w.PrefillTokens[rank]
		ahead += w.RequestsByRank[rank]
	}
	d := time.Duration(float64(reading) / readPerMS * h.pace * float64(time.Millisecond))
	d += baseFirst
	if over := ahead - u.Slots + 1; u.Slots > 0 && over > 0 {
		d += time.Duration(over) * t.run / time.Duration(u.Slots)
	}
	if kvTokens > 0 && w.KVTokens+r.TokensIn+r.TokensOut/2 > kvTokens {
		d += memoryWait
	}
	return d
}

// EstimateAnswer returns when a plain service's upstream would have answered.
func (t *Tracker) EstimateAnswer(now time.Time, u *upstreams.Upstream) time.Duration {
	w := t.InFlight(now, u.ID)
	h := t.healthOf(u.ID)
	busy := w.Requests
	if h.loadKnown && now.Sub(h.loadAt) < loadFresh {
		busy = max(busy, h.load.Running+h.load.Waiting)
	}
	slots := max(u.Slots, 1)
	rounds := 1 + math.Max(0, float64(busy-slots+1))/float64(slots)
	rounds += 0.2 * float64(busy) / float64(slots) // prefers idle ones
	return time.Duration(rounds * h.service * float64(time.Second))
}

// Penalty is added to an estimate to rank upstreams.
func (t *Tracker) Penalty(u *upstreams.Upstream, zone state.Zone) time.Duration {
	p := time.Duration(t.healthOf(u.ID).failed * float64(failurePenalty))
	if u.Zone != zone {
		p += farPenalty
	}
	return p
}
