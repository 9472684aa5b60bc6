package admission

import "time"

const (
	observationWeight  = 0.1 // weight of the newest observation in the mean
	defaultServiceTime = time.Second
)

// ServiceTime estimates the service time of requests at an upstream from observed
// durations.
type ServiceTime struct {
	mean time.Duration // 0 before the first observation
}

// Observe adds the duration of a request that ran to completion.
func (s *ServiceTime) Observe(d time.Duration) {
	if s.mean == 0 {
		s.mean = d
		return
	}
	s.mean += time.Duration(observationWeight * float64(d-s.mean))
}

// Mean returns the mean service time, or defaultServiceTime before the first observation.
func (s *ServiceTime) Mean() time.Duration {
	if s.mean == 0 {
		return defaultServiceTime
	}
	return s.mean
}

// StartDelay estimates the start delay of a request that is queued behind the given number
// of requests, when the given number of batch slots serves them.
func (s *ServiceTime) StartDelay(ahead, slots int) time.Duration {
	return time.Duration(float64(s.Mean()) * float64(ahead) / float64(max(1, slots)))
}
