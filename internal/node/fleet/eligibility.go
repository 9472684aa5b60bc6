package fleet

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/eligibility"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// ResponseCause identifies the response that changed what is known of an upstream.
type ResponseCause struct {
	Status  int    // zero if it is not known
	Request string // ID of the request, or the kind of call
}

func runOf(u *upstreams.Upstream) eligibility.Run {
	return eligibility.Run{ID: u.ID, StartTime: u.StartTime}
}

// RecordSignals records what a response of an upstream says about the upstream. It is called as soon
// as the response head was read. isMisrouted is set if the response may come from another upstream at
// the same address.
func (v *View) RecordSignals(u *upstreams.Upstream, s eligibility.Signals, isMisrouted bool, cause ResponseCause) {
	if s.SignalErr != nil {
		v.opts.Log.Event("malformed signal", slog.String("upstream", string(u.ID)), slog.String("request", cause.Request),
			slog.Int("status", cause.Status), slog.String("err", s.SignalErr.Error()))
	}
	if !s.Leaving && !s.HasRetryAfter {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordSignals(runOf(u), s, cause)
	if !s.Leaving || !isMisrouted {
		return
	}
	for _, other := range v.byID {
		if other.Addr == u.Addr && other.ID != u.ID {
			v.recordSignals(runOf(other), eligibility.Signals{Leaving: true}, cause)
		}
	}
}

// RecordOrderSignals records what an answer to an order says about its engine.
func (v *View) RecordOrderSignals(to *upstreams.Upstream, status int, s eligibility.Signals) {
	v.RecordSignals(to, s, status == http.StatusMisdirectedRequest, ResponseCause{Status: status, Request: "order"})
}

// recordSignals records the signals of a run. The caller holds the lock.
func (v *View) recordSignals(run eligibility.Run, s eligibility.Signals, cause ResponseCause) {
	change := v.signals.Record(v.opts.Clock(), run, s)
	attrs := []slog.Attr{
		slog.String("upstream", string(run.ID)), slog.Int64("boot", run.StartTime),
		slog.Int("status", cause.Status), slog.String("request", cause.Request),
	}
	if change.Leaving {
		v.opts.Log.Event("upstream leaving", append(attrs, slog.String("peer", ""))...)
	}
	if change.NamedWait > 0 {
		v.opts.Log.Event("upstream wait", append(attrs, slog.Duration("wait", change.NamedWait))...)
	}
}

// MergeLeaving records which upstreams told a peer that they leave, by the start time of the run.
func (v *View) MergeLeaving(peer string, leaving map[state.UpstreamID]int64) {
	if len(leaving) == 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, start := range leaving {
		if v.signals.Merge(v.opts.Clock(), eligibility.Run{ID: id, StartTime: start}) {
			v.opts.Log.Event("upstream leaving", slog.String("upstream", string(id)), slog.Int64("boot", start), slog.String("peer", peer))
		}
	}
}

// OwnLeaving returns the upstreams that told this daemon that they leave, by the start time of the run.
func (v *View) OwnLeaving() map[state.UpstreamID]int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.signals.Reported()
}

// Eligibility decides whether something may be sent to one run of an upstream. counted is set if
// Admit has already counted the request.
func (v *View) Eligibility(u *upstreams.Upstream, counted bool) eligibility.Decision {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.opts.Clock()
	return v.signals.Decide(now, v.eligibilityInput(now, u, counted))
}

// eligibilityInput returns what the view knows of a run. The caller holds the lock.
func (v *View) eligibilityInput(now time.Time, u *upstreams.Upstream, counted bool) eligibility.Input {
	in := eligibility.Input{Run: runOf(u), Counted: counted, ListAge: now.Sub(v.listConfirmedAt)}
	listed := v.byID[u.ID]
	in.Unlisted = listed == nil || listed.StartTime != u.StartTime
	in.Draining = listed != nil && listed.Draining
	return in
}

// BeginSend counts a request that is about to be sent to an upstream, unless the upstream is barred.
// EndSend must be called afterwards.
func (v *View) BeginSend(u *upstreams.Upstream) eligibility.Decision {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.opts.Clock()
	d := v.signals.Decide(now, v.eligibilityInput(now, u, false))
	if !d.IsBarred() {
		v.signals.Begin(now, runOf(u))
	}
	return d
}

// EndSend ends what BeginSend counted.
func (v *View) EndSend(u *upstreams.Upstream) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.signals.End(runOf(u))
}

// RecordAnswered records that an upstream served a request that was sent at a time.
func (v *View) RecordAnswered(u *upstreams.Upstream, sentAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.signals.Answered(v.opts.Clock(), runOf(u), sentAt)
}

// barred sums up the upstreams of a service that a placement may not use.
type barred struct {
	waiting, leaving int
	earliest         time.Duration // until the first of the waiting upstreams may be sent to
}

// concerns reports whether a decision is due to what the upstream said.
func (b *barred) concerns(d eligibility.Decision) bool {
	return d.Reason == eligibility.Leaving || d.Reason == eligibility.NamedWait || d.Reason == eligibility.Returning
}

func (b *barred) add(d eligibility.Decision) {
	if d.Reason == eligibility.Leaving {
		b.leaving++
		return
	}
	wait := d.Wait
	if d.Reason == eligibility.Returning {
		wait = returnTime
	}
	if b.waiting == 0 || wait < b.earliest {
		b.earliest = wait
	}
	b.waiting++
}

// returnTime estimates how long a returning upstream refuses further requests.
const returnTime = 200 * time.Millisecond

// decision returns the refusal of a request that no upstream may be sent. It returns false if no
// upstream is barred for what it said.
func (b *barred) decision(timeLeft time.Duration, draw float64) (balance.Decision, bool) {
	d := balance.Decision{Reason: decisionlog.UpstreamsWait, RetryAfter: eligibility.RetryAfter(b.earliest, timeLeft, draw), Candidates: b.waiting + b.leaving}
	if b.waiting == 0 {
		d.Reason = decisionlog.UpstreamsLeave
	}
	return d, b.waiting+b.leaving > 0
}

// standing returns why a listed upstream is not simply sent to, for any request. The caller holds the
// lock.
func (v *View) standing(now time.Time, u *upstreams.Upstream) eligibility.Decision {
	in := v.eligibilityInput(now, u, false)
	in.Ejected = v.tracker.IsEjected(now, u.ID)
	return v.signals.Decide(now, in)
}

// BarredUpstreams returns the number of listed upstreams that are not simply sent to, by reason.
func (v *View) BarredUpstreams() map[string]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.opts.Clock()
	var counts [eligibility.ReasonCount]int
	for _, u := range v.byID {
		counts[v.standing(now, u).Reason]++
	}
	list := make(map[string]int)
	for _, r := range []eligibility.Reason{eligibility.Leaving, eligibility.NamedWait, eligibility.Draining, eligibility.Returning, eligibility.Ejected} {
		list[r.String()] = counts[r]
	}
	return list
}
