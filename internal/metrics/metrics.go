// Package metrics records counters and durations of a daemon for Prometheus and for the
// status in the operators' API.
package metrics

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Names of the metrics, without the prefix.
const (
	prefix             = "celerydeck"
	nameRequests       = "requests_total"
	nameTokens         = "tokens_total"
	nameFirstToken     = "first_token_seconds"
	nameBetweenTokens  = "between_tokens_seconds"
	nameWait           = "wait_seconds"
	nameStall          = "stall_seconds"
	nameBatch          = "batch_requests"
	nameLoads          = "loads_total"
	nameLoad           = "load_seconds"
	nameRevision       = "configuration_revision"
	nameOwned          = "owned_upstreams"
	nameClassesDropped = "classes_dropped_total"
	namePeerRefusals   = "peer_refusals_total"
)

// Names returns the full names of all metrics.
func Names() []string {
	short := []string{
		nameRequests, nameTokens, nameFirstToken, nameBetweenTokens, nameWait, nameStall, nameBatch,
		nameLoads, nameLoad, nameRevision, nameOwned, nameClassesDropped, namePeerRefusals,
		nameRouteRequests, nameRouteTime, nameRoutePause, nameAccountTokens, nameAccountRefusals, nameBarredUpstreams,
		nameHedges, nameHedgesCancelled, nameHedgeWaste, nameHedgesSkipped,
		nameClientsClosed, nameClientConnections,
	}
	names := make([]string, len(short))
	for i, name := range short {
		names[i] = prefix + "_" + name
	}
	return names
}

// OtherLabel is the label value that all classes or routes beyond a limit share.
const OtherLabel = "other"

const reportInterval = time.Second

var (
	durationBuckets = tally.DurationBuckets{
		5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond,
		65 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
		970 * time.Millisecond, 2 * time.Second, 5 * time.Second, 15 * time.Second, time.Minute, 5 * time.Minute,
	}
	batchBuckets = tally.ValueBuckets{1, 2, 4, 8, 16, 32, 64, 128, 256}
)

// Options configures a Recorder.
type Options struct {
	// MaxClasses is the number of classes with labels of their own.
	MaxClasses int
	// RankName returns the label value of a rank.
	RankName func(state.Rank) string
	Clock    func() time.Time
}

// Recorder records the metrics of a daemon. It is safe for concurrent use.
type Recorder struct {
	opts    Options
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
	dropped tally.Counter
	loads   map[bool]tally.Counter
	load    tally.Histogram
	recent  *recent

	mu      sync.RWMutex
	classes map[state.Class]*classMetrics
	other   *classMetrics
	unknown []unknownCall // oldest first
}

type classMetrics struct {
	scope         tally.Scope
	tokens        tally.Counter
	firstToken    tally.Histogram
	betweenTokens tally.Histogram
	wait          tally.Histogram
	stall         tally.Histogram
	batch         tally.Histogram
}

// New returns a recorder. The caller must Close it.
func New(opts Options) *Recorder {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
		OnRegisterError: func(err error) {
			var exists prom.AlreadyRegisteredError
			if !errors.As(err, &exists) {
				panic("metrics: " + err.Error())
			}
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        sanitizer(),
		OmitCardinalityMetrics: true,
	}, reportInterval)
	r := &Recorder{
		opts:    opts,
		scope:   scope,
		closer:  closer,
		handler: reporter.HTTPHandler(),
		dropped: scope.Counter(nameClassesDropped),
		loads: map[bool]tally.Counter{
			true:  scope.Tagged(map[string]string{"result": "failed"}).Counter(nameLoads),
			false: scope.Tagged(map[string]string{"result": "ok"}).Counter(nameLoads),
		},
		load:    scope.Histogram(nameLoad, durationBuckets),
		recent:  newRecent(),
		classes: make(map[state.Class]*classMetrics),
	}
	r.other = r.newClass(OtherLabel, OtherLabel, OtherLabel)
	r.peerRefusals("stranger").Inc(0) // export the series before the first refusal
	return r
}

// sanitizer returns options that keep names of customers, services and ranks unchanged in
// label values.
func sanitizer() *tally.SanitizeOptions {
	opts := prometheus.DefaultSanitizerOpts
	opts.ValueCharacters = tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'-', '_', '.'},
	}
	return &opts
}

// Close reports the metrics a last time and stops the periodic reports.
func (r *Recorder) Close() { _ = r.closer.Close() }

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (r *Recorder) Handler() http.Handler { return r.handler }

func (r *Recorder) newClass(customer, service, rank string) *classMetrics {
	scope := r.scope.Tagged(map[string]string{"customer": customer, "service": service, "rank": rank})
	return &classMetrics{
		scope:         scope,
		tokens:        scope.Counter(nameTokens),
		firstToken:    scope.Histogram(nameFirstToken, durationBuckets),
		betweenTokens: scope.Histogram(nameBetweenTokens, durationBuckets),
		wait:          scope.Histogram(nameWait, durationBuckets),
		stall:         scope.Histogram(nameStall, durationBuckets),
		batch:         scope.Histogram(nameBatch, batchBuckets),
	}
}

// class returns the metrics of a class. All classes beyond the limit share the same
// metrics.
func (r *Recorder) class(c state.Class) *classMetrics {
	r.mu.RLock()
	m, full := r.classes[c], len(r.classes) >= r.opts.MaxClasses
	r.mu.RUnlock()
	if m != nil {
		return m
	}
	if full {
		r.dropped.Inc(1)
		return r.other
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.classes[c]; m != nil {
		return m
	}
	if len(r.classes) >= r.opts.MaxClasses {
		return r.other
	}
	m = r.newClass(string(c.Customer), string(c.Service), r.opts.RankName(c.Rank))
	r.classes[c] = m
	return m
}

// Result is the label value for the way in which a request ended.
type Result string

// Results of requests.
const (
	ResultOK      Result = "ok"
	ResultRefused Result = "refused" // not run
	ResultFailed  Result = "failed"
	// ResultCanceled is the result of requests that were canceled by their callers.
	ResultCanceled Result = "canceled"
)

func resultOf(err *protocol.Error) Result {
	switch {
	case err == nil:
		return ResultOK
	case err.Kind == protocol.KindCanceled:
		return ResultCanceled
	case err.Outcome == protocol.OutcomeNotRun:
		return ResultRefused
	}
	return ResultFailed
}

// ended counts the end of a request.
func (r *Recorder) ended(c state.Class, err *protocol.Error) {
	result := resultOf(err)
	tags := map[string]string{"result": string(result)}
	r.class(c).scope.Tagged(tags).Counter(nameRequests).Inc(1)
	r.recent.ended(r.opts.Clock(), c, result)
}

// firstToken records the time until the first token of a request.
func (r *Recorder) firstToken(c state.Class, d time.Duration) {
	r.class(c).firstToken.RecordDuration(d)
	r.recent.firstToken(r.opts.Clock(), c, d)
}

// betweenTokens records the gaps of count tokens that arrived d after the previous token.
func (r *Recorder) betweenTokens(c state.Class, d time.Duration, count uint32) {
	m := r.class(c)
	each := d / time.Duration(max(count, 1))
	m.betweenTokens.RecordDuration(each)
	r.recent.gap(r.opts.Clock(), c, each)
}

// Dispatched records a request that starts to run on an upstream: wait is the request's
// time in the queue, stall the part of wait spent on a load of its adapter, and batch the
// number of requests that run on the upstream together.
func (r *Recorder) Dispatched(c state.Class, wait, stall time.Duration, batch int) {
	m := r.class(c)
	m.wait.RecordDuration(wait)
	m.stall.RecordDuration(stall)
	m.batch.RecordValue(float64(batch))
}

// Loaded records the result and the duration of a load of an adapter.
func (r *Recorder) Loaded(d time.Duration, failed bool) {
	r.loads[failed].Inc(1)
	r.load.RecordDuration(d)
}

// SetRevision sets the revision of the configuration in force.
func (r *Recorder) SetRevision(revision uint64) {
	r.scope.Gauge(nameRevision).Update(float64(revision))
}

// SetOwned sets the number of upstreams that this daemon owns.
func (r *Recorder) SetOwned(n int) { r.scope.Gauge(nameOwned).Update(float64(n)) }

// PeerRefused counts a refused connection or message of a peer by the reason.
func (r *Recorder) PeerRefused(reason string) {
	r.peerRefusals(reason).Inc(1)
}

func (r *Recorder) peerRefusals(reason string) tally.Counter {
	return r.scope.Tagged(map[string]string{"reason": reason}).Counter(namePeerRefusals)
}
