package entry

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/protocol"
)

// statusSink writes the head of an answer like the API for callers does.
type statusSink struct{ statuses []int }

func (s *statusSink) Head(h protocol.Head) error {
	s.statuses = append(s.statuses, h.Status)
	return nil
}

func (s *statusSink) Chunk(protocol.Chunk) error { return nil }

func (s *statusSink) End(protocol.End) error { return nil }

// Guards against a panic of the API for callers: a daemon of an earlier version passes on a status that is none.
func TestAHeadOfAnotherDaemonWithoutAValidStatusIsNotDelivered(t *testing.T) {
	for _, status := range []int{-1, 0, 20, 99, 100, http.StatusSwitchingProtocols, 199, 600, 1000} {
		c := qt.New(t)
		var sink statusSink
		call := &protocol.Call{Attempt: 1, Plain: &protocol.PlainCall{}}
		attempt := newDelivery(call, &sink).newAttempt(call, nil)
		c.Check(attempt.Head(protocol.Head{Attempt: 1, Status: status}), qt.IsNotNil, qt.Commentf("%d", status))
		c.Check(sink.statuses, qt.HasLen, 0, qt.Commentf("%d", status))
		failure := attempt.firstFailure()
		c.Assert(failure, qt.IsNotNil)
		c.Check(failure.Kind, qt.Equals, protocol.KindInterrupted)
		c.Check(failure.Outcome, qt.Equals, protocol.OutcomeUnknown)
	}
}
