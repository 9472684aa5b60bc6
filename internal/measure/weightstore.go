package measure

import (
	"time"
)

// rateWindow is the period for which admitted loads count towards FullSpeedRate.
const rateWindow = time.Second

// weightStore simulates the weight store. It admits Rate loads per second in order of
// arrival. A load takes LoadTime, and proportionally longer if more than FullSpeedRate
// loads were admitted in the last second or more than FullSpeedLoads are in flight.
type weightStore struct {
	clock         *clock
	spec          StoreSpec
	slowdown      float64 // factor on the load time
	inFlight      int
	loads         int
	nextAdmission time.Time   // earliest admission of the next load
	admitted      []time.Time // admission times within the last second
}

// load queues a load and calls done at its end.
func (s *weightStore) load(done func()) {
	s.inFlight++
	s.loads++
	interval := time.Duration(float64(time.Second) / s.spec.Rate)
	// After a pause, the store admits the loads of one second as a burst.
	if earliest := s.clock.now.Add(-time.Second + interval); s.nextAdmission.Before(earliest) {
		s.nextAdmission = earliest
	}
	wait := max(0, s.nextAdmission.Sub(s.clock.now))
	s.nextAdmission = s.nextAdmission.Add(interval)
	s.clock.after(wait, func() { s.admit(done) })
}

// admit starts a load.
func (s *weightStore) admit(done func()) {
	now := s.clock.now
	for len(s.admitted) > 0 && now.Sub(s.admitted[0]) >= rateWindow {
		s.admitted = s.admitted[1:]
	}
	s.admitted = append(s.admitted, now)
	factor := max(1, float64(len(s.admitted))/s.spec.FullSpeedRate)
	factor = max(factor, float64(s.inFlight)/float64(s.spec.FullSpeedLoads))
	duration := time.Duration(float64(s.spec.LoadTime) * factor * s.slowdown)
	s.clock.after(duration, func() {
		s.inFlight--
		done()
	})
}
