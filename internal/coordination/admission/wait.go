package admission

import "time"

const (
	durationWeight  = 0.1 // weight of the newest duration in the mean
	defaultDuration = time.Second
)

// Pace estimates how fast an upstream finishes requests.
type Pace struct {
	mean time.Duration
}

// Note adds the duration of a request that ran to its end.
func (p *Pace) Note(d time.Duration) {
	if p.mean == 0 {
		p.mean = d
		return
	}
	p.mean += time.Duration(durationWeight * float64(d-p.mean))
}

// Duration returns the mean time that a request runs.
func (p *Pace) Duration() time.Duration {
	if p.mean == 0 {
		return defaultDuration
	}
	return p.mean
}

// Wait returns the expected wait of a request behind others when the given number
// of batch slots serves them.
func (p *Pace) Wait(ahead, slots int) time.Duration {
	return time.Duration(float64(p.Duration()) * float64(ahead) / float64(max(1, slots)))
}
