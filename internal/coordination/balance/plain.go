package balance

import (
	"math"
	"time"

	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// ObserveServiceTime updates the mean time of plain requests at an upstream.
func (t *Tracker) ObserveServiceTime(id state.UpstreamID, actual time.Duration) {
	h := t.healthOf(id)
	h.serviceTime += gain * (actual.Seconds() - h.serviceTime)
}

// ObservePlainFirstEvent updates the mean time from the request to the first event of a plain service's stream.
func (t *Tracker) ObservePlainFirstEvent(id state.UpstreamID, actual time.Duration) {
	h := t.healthOf(id)
	h.firstEventTime += gain * (actual.Seconds() - h.firstEventTime)
}

// ObservePlainStream updates the mean time of an upstream's requests with a stream of a plain service, which took
// whole, and the mean time of such streams after their first event.
func (t *Tracker) ObservePlainStream(id state.UpstreamID, whole, afterFirstEvent time.Duration) {
	t.ObserveServiceTime(id, whole)
	t.meanPlainStreamTime += time.Duration(streamTimeGain * float64(afterFirstEvent-t.meanPlainStreamTime))
}

// MeanPlainStreamTime returns the mean time of plain services' streams from the first event to the last one.
func (t *Tracker) MeanPlainStreamTime() time.Duration { return t.meanPlainStreamTime }

// EstimateResponse estimates the time until an upstream of a plain service has responded.
func (t *Tracker) EstimateResponse(now time.Time, u *upstreams.Upstream) time.Duration {
	waiting, fill := t.plainQueue(now, u)
	// The share of the fill prefers upstreams with fewer requests.
	return time.Duration((1 + waiting + fillWeight*fill) * t.healthOf(u.ID).serviceTime * float64(time.Second))
}

// EstimatePlainFirstEvent estimates the time until an upstream of a plain service sends the first event of a stream.
func (t *Tracker) EstimatePlainFirstEvent(now time.Time, u *upstreams.Upstream) time.Duration {
	waiting, fill := t.plainQueue(now, u)
	h := t.healthOf(u.ID)
	return time.Duration((waiting*h.serviceTime + (1+fillWeight*fill)*h.firstEventTime) * float64(time.Second))
}

// plainQueue returns the requests of an upstream of a plain service that wait, and all of them, relative to its slots.
func (t *Tracker) plainQueue(now time.Time, u *upstreams.Upstream) (waiting, fill float64) {
	h := t.healthOf(u.ID)
	busy := t.InFlight(now, u.ID).Requests
	if h.hasReportedLoad && now.Sub(h.reportedAt) < reportedLoadTTL {
		busy = max(busy, h.reportedLoad.Running+h.reportedLoad.Waiting)
	}
	slots := max(u.Slots, 1)
	return math.Max(0, float64(busy-slots+1)) / float64(slots), float64(busy) / float64(slots)
}
