package measure

import (
	"time"
)

const rateWindow = time.Second

// store is a fake of the weight store. It admits Rate loads a second in order of
// arrival. A load takes LoadTime, longer in proportion when more than FullRate
// were admitted in the last second or more than Knee are in flight.
type store struct {
	clock    *clock
	spec     StoreSpec
	slow     float64 // factor on load times
	inFlight int
	loads    int
	next     time.Time   // when the next load may be admitted
	admitted []time.Time // within the last second
}

func (s *store) load(done func()) {
	s.inFlight++
	s.loads++
	gap := time.Duration(float64(time.Second) / s.spec.Rate)
	// The store lets a second's worth of loads through at once after a pause.
	if earliest := s.clock.now.Add(-time.Second + gap); s.next.Before(earliest) {
		s.next = earliest
	}
	wait := max(0, s.next.Sub(s.clock.now))
	s.next = s.next.Add(gap)
	s.clock.after(wait, func() { s.admit(done) })
}

func (s *store) admit(done func()) {
	now := s.clock.now
	for len(s.admitted) > 0 && now.Sub(s.admitted[0]) >= rateWindow {
		s.admitted = s.admitted[1:]
	}
	s.admitted = append(s.admitted, now)
	factor := max(1, float64(len(s.admitted))/s.spec.FullRate)
	factor = max(factor, float64(s.inFlight)/float64(s.spec.Knee))
	took := time.Duration(float64(s.spec.LoadTime) * factor * s.slow)
	s.clock.after(took, func() {
		s.inFlight--
		done()
	})
}
