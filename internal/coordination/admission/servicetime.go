package admission

import "time"

const (
	durationWeight  = 0.1 // weight of the newest duration in the mean
	defaultDuration = time.Second
)

// ServiceTime estimates how fast an upstream finishes requests.
type ServiceTime struct {
	mean time.Duration
}

// Observe adds the duration of a request that ran to its end.
func (p *ServiceTime) Observe(d time.Duration) {
	if p.mean == 0 {
		p.mean = d
		return
	}
	p.mean += time.Duration(durationWeight * float64(d-p.mean))
}

// Mean returns the mean time that a request runs.
func (p *ServiceTime) Mean() time.Duration {
	if p.mean == 0 {
		return defaultDuration
	}
	return p.mean
}

// StartDelay returns the expected wait of a request behind others when the given number
// of batch slots serves them.
func (p *ServiceTime) StartDelay(ahead, slots int) time.Duration {
	return time.Duration(float64(p.Mean()) * float64(ahead) / float64(max(1, slots)))
}
