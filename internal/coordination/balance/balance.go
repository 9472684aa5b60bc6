// Package balance decides which upstream serves a request. It estimates when each
// upstream would start a request from what this daemon and its peers have in flight
// there, then picks the best upstream, asks for an adapter load, or refuses the request
// at once.
package balance

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// RankCount is the number of distinct ranks. Higher, less urgent ranks count as rank RankCount-1.
const RankCount = 4

const (
	// prefillTokensPerMS is the prior for the prompt tokens that an engine reads in a
	// millisecond beside its running requests. health.latencyRatio corrects it per engine.
	prefillTokensPerMS = 15.0
	// minFirstEventDelay is the minimum time to a first event.
	minFirstEventDelay = 25 * time.Millisecond
	// initialStreamTime is the prior for the time from the first to the last event of a
	// stream. The estimated wait for a slot is a fraction of it.
	initialStreamTime = 2 * time.Second
	// initialServiceTime is the prior for the time of a plain request and for the time to the first event of a plain
	// service's stream, in seconds.
	initialServiceTime = 0.05
	// streamTimeGain is the weight of a new sample in the mean stream time.
	streamTimeGain = 0.02
	// fillWeight is the weight of the share of an upstream's slots that is taken in the estimates of a plain service.
	fillWeight = 0.2
	// kvMemoryPenalty is added to the estimate of an engine whose KV memory is exhausted.
	kvMemoryPenalty = time.Second
	// otherZonePenalty is added to the estimate of an upstream in another zone.
	otherZonePenalty = 15 * time.Millisecond
	// failurePenalty is added to the estimate of an upstream in proportion to its recent share
	// of failures.
	failurePenalty = 1500 * time.Millisecond
	// peerInFlightTTL is how long the in-flight report of a peer is valid.
	peerInFlightTTL = 2 * time.Second
	// reportedLoadTTL is how long the load that a response reports is valid.
	reportedLoadTTL = 300 * time.Millisecond

	gain            = 0.15 // weight of a new sample in the moving averages of health
	minLatencyRatio = 0.3
	maxLatencyRatio = 6.0
	minEjectionTime = 400 * time.Millisecond // after the first broken connection
	maxEjectionTime = 3 * time.Second
	// probeTimeout limits how long a recently failed upstream stays ejected for other
	// requests while a single request probes it.
	probeTimeout = 400 * time.Millisecond
)

// ReportedLoad is the load that an upstream reports in its responses.
type ReportedLoad struct {
	Running  int
	Waiting  int
	Slots    int
	Slowdown float64 // time that work takes at present, relative to the usual time; at least 1
}

// InFlight sums up the requests in flight at one upstream.
type InFlight struct {
	Requests       int            `cbor:"1,keyasint"`
	PrefillTokens  [RankCount]int `cbor:"2,keyasint"` // prompt tokens of requests without a first event
	KVTokens       int            `cbor:"3,keyasint"` // estimated KV memory of all requests
	RequestsByRank [RankCount]int `cbor:"4,keyasint"`
	RecentTokens   int            `cbor:"5,keyasint,omitempty"` // prompt tokens sent within about recentPeriod
}

// Add adds the requests of another daemon.
func (w *InFlight) Add(o *InFlight) {
	w.Requests += o.Requests
	w.KVTokens += o.KVTokens
	w.RecentTokens += o.RecentTokens
	for i := range o.PrefillTokens {
		w.PrefillTokens[i] += o.PrefillTokens[i]
		w.RequestsByRank[i] += o.RequestsByRank[i]
	}
}

// Sub subtracts the requests of another daemon that Add added.
func (w *InFlight) Sub(o *InFlight) {
	w.Requests -= o.Requests
	w.KVTokens -= o.KVTokens
	w.RecentTokens -= o.RecentTokens
	for i := range o.PrefillTokens {
		w.PrefillTokens[i] -= o.PrefillTokens[i]
		w.RequestsByRank[i] -= o.RequestsByRank[i]
	}
}

// Request describes a request to be placed.
type Request struct {
	Rank      int
	TokensIn  int
	TokensOut int
	Zone      state.Zone
	StartBy   time.Time // when the first event is due; requests that wait for an engine are admitted in this order
	// IsScheduled is set if the engine's lease holder has scheduled the prompt, so that the prompt
	// limit of this daemon does not apply.
	IsScheduled bool
	// IsStream is set if the response is a stream, of which only the first event must come in time.
	IsStream bool
	// ReplicaRatio is how many replicas the adapter should have for each one that it has. Values of
	// 1 and below ask for none.
	ReplicaRatio float64
	Ticket       uint64 // grows with the arrival of requests; unique at this daemon
}

func (r *Request) rank() int { return min(max(r.Rank, 0), RankCount-1) }

// peerInFlight is the last in-flight report of a peer.
type peerInFlight struct {
	at       time.Time
	inFlight map[state.UpstreamID]InFlight
	isSummed bool // included in Tracker.peerSums
}

// health is what this daemon has observed of an upstream.
type health struct {
	failureRate         float64 // moving average of outcomes, 1 for a failure
	latencyRatio        float64 // moving average of actual over estimated time to the first event
	serviceTime         float64 // moving average of the time of a plain request, in seconds; of a stream, until its last event
	firstEventTime      float64 // moving average of the time to the first event of a plain service's stream, in seconds
	consecutiveFailures int
	ejectedUntil        time.Time
	lastProgress        time.Time // when the last bytes came from the upstream
	reportedLoad        ReportedLoad
	reportedAt          time.Time
	hasReportedLoad     bool
	slowdown            float64 // last reported
	slowdownAt          time.Time
}

// Tracker tracks the requests in flight and the health of upstreams. It is not safe for
// concurrent use.
//
// Invariant: peerSums is the sum of the peers' reports with isSummed set. With these sums
// the time that a choice takes does not depend on the number of peers.
type Tracker struct {
	own            map[state.UpstreamID]*InFlight
	peers          map[state.DaemonID]*peerInFlight
	peerSums       map[state.UpstreamID]InFlight
	nextExpiry     time.Time     // no report in peerSums expires earlier
	meanStreamTime time.Duration // from the first event of an engine's stream to its last
	// meanPlainStreamTime is meanStreamTime for the streams of plain services.
	meanPlainStreamTime time.Duration
	health              map[state.UpstreamID]*health
	recent              map[state.UpstreamID]recentTokens // tokens of this daemon, and of peers that send notices
	reportRecent        bool                              // reports contain the recent tokens
	limits              map[string]*promptLimit           // by service
	waiters             map[state.UpstreamID][]waiter     // by engine
	waitsFor            map[uint64]state.UpstreamID       // engine by ticket
	rates               map[state.UpstreamID]*rateLimit   // that upstreams named
	memory              map[string]int                    // of an engine in tokens, by service
	daemons             int                               // that share the limits of upstreams
	position            int                               // of this daemon among them, from 0
}

// NewTracker returns a tracker without requests.
func NewTracker() *Tracker {
	return &Tracker{
		own:            make(map[state.UpstreamID]*InFlight),
		peers:          make(map[state.DaemonID]*peerInFlight),
		peerSums:       make(map[state.UpstreamID]InFlight),
		meanStreamTime: initialStreamTime, meanPlainStreamTime: initialStreamTime,
		health:       make(map[state.UpstreamID]*health),
		reportRecent: true,
		recent:       make(map[state.UpstreamID]recentTokens),
		limits:       make(map[string]*promptLimit),
		waiters:      make(map[state.UpstreamID][]waiter),
		waitsFor:     make(map[uint64]state.UpstreamID),
		rates:        make(map[state.UpstreamID]*rateLimit),
		memory:       make(map[string]int),
	}
}

// Begin counts a request that is being sent to an upstream.
func (t *Tracker) Begin(now time.Time, id state.UpstreamID, r Request) {
	t.AddRecentTokens(now, id, r.TokensIn)
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

// FirstEvent records that the first event of a request came: its prompt has been read.
func (t *Tracker) FirstEvent(id state.UpstreamID, r Request) {
	if w := t.own[id]; w != nil {
		w.PrefillTokens[r.rank()] -= r.TokensIn
	}
}

// End removes a request that Begin counted; hadFirstEvent is whether FirstEvent was called
// for it.
func (t *Tracker) End(id state.UpstreamID, r Request, hadFirstEvent bool) {
	w := t.own[id]
	if w == nil {
		return
	}
	w.Requests--
	w.RequestsByRank[r.rank()]--
	w.KVTokens -= r.TokensIn + r.TokensOut/2
	if !hadFirstEvent {
		w.PrefillTokens[r.rank()] -= r.TokensIn
	}
	if w.Requests <= 0 {
		delete(t.own, id)
	}
}

// OwnInFlight returns a copy of this daemon's requests in flight, for its peers.
func (t *Tracker) OwnInFlight(now time.Time) map[state.UpstreamID]InFlight {
	out := make(map[state.UpstreamID]InFlight, len(t.own))
	for id, w := range t.own {
		out[id] = *w
	}
	for id, s := range t.recent {
		if n := s.at(now); n >= minRecentTokens {
			if !t.reportRecent {
				continue
			}
			w := out[id]
			w.RecentTokens = int(n)
			out[id] = w
		} else {
			delete(t.recent, id)
		}
	}
	return out
}

// SetPeerInFlight replaces the report of a peer's requests in flight.
func (t *Tracker) SetPeerInFlight(now time.Time, id state.DaemonID, inFlight map[state.UpstreamID]InFlight) {
	if old := t.peers[id]; old != nil {
		t.removeFromSums(old)
	}
	if len(t.peers) == 0 {
		t.nextExpiry = now.Add(peerInFlightTTL)
	}
	t.peers[id] = &peerInFlight{at: now, inFlight: inFlight, isSummed: true}
	for up, w := range inFlight {
		sum := t.peerSums[up]
		sum.Add(&w)
		t.peerSums[up] = sum
	}
}

// removeFromSums subtracts the report of a peer from peerSums.
func (t *Tracker) removeFromSums(p *peerInFlight) {
	if !p.isSummed {
		return
	}
	p.isSummed = false
	for up, w := range p.inFlight {
		sum := t.peerSums[up]
		sum.Sub(&w)
		if sum == (InFlight{}) {
			delete(t.peerSums, up)
		} else {
			t.peerSums[up] = sum
		}
	}
}

// expirePeers drops the reports of peers that are older than peerInFlightTTL.
func (t *Tracker) expirePeers(now time.Time) {
	if !now.After(t.nextExpiry) {
		return
	}
	t.nextExpiry = now.Add(peerInFlightTTL)
	for id, p := range t.peers {
		if now.Sub(p.at) > peerInFlightTTL {
			t.removeFromSums(p)
			delete(t.peers, id)
		} else if end := p.at.Add(peerInFlightTTL); end.Before(t.nextExpiry) {
			t.nextExpiry = end
		}
	}
}

// InFlight returns the requests that this daemon and its peers have in flight at an
// upstream. It drops expired reports of peers.
func (t *Tracker) InFlight(now time.Time, id state.UpstreamID) InFlight {
	t.expirePeers(now)
	sum := t.peerSums[id]
	if w := t.own[id]; w != nil {
		sum.Add(w)
	}
	return sum
}

// healthOf returns the health of an upstream, with priors if nothing was observed yet.
func (t *Tracker) healthOf(id state.UpstreamID) *health {
	h := t.health[id]
	if h == nil {
		h = &health{latencyRatio: 1, serviceTime: initialServiceTime, firstEventTime: initialServiceTime}
		t.health[id] = h
	}
	return h
}

// Retain forgets the health and the limits of upstreams that are no longer listed.
func (t *Tracker) Retain(isListed func(state.UpstreamID) bool) {
	for id := range t.health {
		if !isListed(id) {
			delete(t.health, id)
		}
	}
	for id := range t.rates {
		if !isListed(id) {
			delete(t.rates, id)
		}
	}
}

// SetReportedLoad sets the load that an upstream reported in a response.
func (t *Tracker) SetReportedLoad(now time.Time, id state.UpstreamID, l ReportedLoad) {
	h := t.healthOf(id)
	h.reportedLoad, h.reportedAt, h.hasReportedLoad = l, now, true
	t.SetSlowdown(now, id, l.Slowdown)
}

// RecordProgress records that this daemon received bytes from an upstream.
func (t *Tracker) RecordProgress(now time.Time, id state.UpstreamID) {
	t.healthOf(id).lastProgress = now
}

// LastProgress returns when the last bytes came from an upstream.
func (t *Tracker) LastProgress(id state.UpstreamID) time.Time { return t.healthOf(id).lastProgress }

// RecordSuccess records a successful response and ends the ejection of the upstream.
func (t *Tracker) RecordSuccess(now time.Time, id state.UpstreamID) {
	h := t.healthOf(id)
	h.failureRate -= gain * h.failureRate
	h.consecutiveFailures, h.ejectedUntil, h.lastProgress = 0, time.Time{}, now
}

// RecordFailure records a failed response. A broken connection also ejects the upstream,
// for longer with each consecutive failure.
func (t *Tracker) RecordFailure(now time.Time, id state.UpstreamID, broken bool) {
	h := t.healthOf(id)
	h.failureRate += gain * (1 - h.failureRate)
	if !broken {
		return
	}
	h.consecutiveFailures++
	h.ejectedUntil = now.Add(min(maxEjectionTime, minEjectionTime<<min(h.consecutiveFailures-1, 4)))
}

// ObserveFirstEvent updates the latency ratio of an upstream from the estimated and the
// actual time to the first event of a request.
func (t *Tracker) ObserveFirstEvent(id state.UpstreamID, estimated, actual time.Duration) {
	if estimated <= 0 {
		return
	}
	h := t.healthOf(id)
	sample := h.latencyRatio * float64(actual) / float64(estimated)
	h.latencyRatio += gain * (min(max(sample, minLatencyRatio), maxLatencyRatio) - h.latencyRatio)
}

// ObserveStreamTime updates the mean time of engines' streams from the first event to the last one.
func (t *Tracker) ObserveStreamTime(actual time.Duration) {
	t.meanStreamTime += time.Duration(streamTimeGain * float64(actual-t.meanStreamTime))
}

// MeanStreamTime returns the mean time of engines' streams from the first event to the last one.
func (t *Tracker) MeanStreamTime() time.Duration { return t.meanStreamTime }

// IsEjected reports whether an upstream is ejected.
func (t *Tracker) IsEjected(now time.Time, id state.UpstreamID) bool {
	h := t.health[id]
	return h != nil && now.Before(h.ejectedUntil)
}

// beginProbe records that an upstream was chosen for a request. If the upstream's last
// connections broke, the request is a probe: the upstream stays ejected for other requests
// until the outcome of the probe, at most for probeTimeout.
func (t *Tracker) beginProbe(now time.Time, id state.UpstreamID) {
	if h := t.healthOf(id); h.consecutiveFailures > 0 {
		h.ejectedUntil = now.Add(probeTimeout)
	}
}

// EstimateFirstEvent estimates the time until an engine sends the first event of a request.
func (t *Tracker) EstimateFirstEvent(now time.Time, u *upstreams.Upstream, kvTokens int, r Request) time.Duration {
	w := t.InFlight(now, u.ID)
	prefillTokens, ahead := r.TokensIn, 0
	for _, other := range t.waiters[u.ID] {
		if other.isBefore(&r) {
			prefillTokens += other.tokens
			ahead++
		}
	}
	for rank := 0; rank <= r.rank(); rank++ {
		prefillTokens += w.PrefillTokens[rank]
		ahead += w.RequestsByRank[rank]
	}
	d := time.Duration(float64(t.readTime(u.ID, prefillTokens)+minFirstEventDelay) * t.Slowdown(now, u.ID))
	if over := ahead - u.Slots + 1; u.Slots > 0 && over > 0 {
		d += time.Duration(over) * t.meanStreamTime / time.Duration(u.Slots)
	}
	if kvTokens > 0 && w.KVTokens+r.TokensIn+r.TokensOut/2 > kvTokens {
		d += kvMemoryPenalty
	}
	return d
}

// Penalty returns the time that is added to the estimate of an upstream to compare it with
// others: for its recent failures, and for being in another zone.
func (t *Tracker) Penalty(u *upstreams.Upstream, zone state.Zone) time.Duration {
	p := time.Duration(t.healthOf(u.ID).failureRate * float64(failurePenalty))
	if u.Zone != zone {
		p += otherZonePenalty
	}
	return p
}
