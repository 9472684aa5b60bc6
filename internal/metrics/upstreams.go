package metrics

const nameBarredUpstreams = "barred_upstreams"

// SetBarredUpstreams sets the number of upstreams that are not simply sent to, by reason.
func (r *Recorder) SetBarredUpstreams(byReason map[string]int) {
	for reason, n := range byReason {
		r.scope.Tagged(map[string]string{"reason": reason}).Gauge(nameBarredUpstreams).Update(float64(n))
	}
}
