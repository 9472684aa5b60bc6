package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/routes"
)

// newClaimedSend returns a hedged send with two open attempts, and how many of them were ended.
func newClaimedSend() (h *hedgedSend, first, second *call, ended *int) {
	g := &Gateway{opts: Options{Clock: time.Now}}
	route := &routes.Route{Attempts: 2}
	first, second, ended = &call{g: g, route: route}, &call{g: g, route: route}, new(int)
	cancel := func() { *ended++ }
	h = &hedgedSend{c: first}
	h.first = attempt{call: first, isOpen: true, cancel: cancel}
	h.second = attempt{call: second, isOpen: true, cancel: cancel}
	return h, first, second, ended
}

// Guards against two responses to one caller: the loser may have received its whole response before
// its connection is reset.
func TestOnlyOneAttemptClaimsTheRequest(t *testing.T) {
	c := qt.New(t)
	for range 200 {
		h, first, second, ended := newClaimedSend()
		var claims [2]claim
		var both sync.WaitGroup
		both.Go(func() { claims[0] = h.claim(first, http.StatusOK) })
		both.Go(func() { claims[1] = h.claim(second, http.StatusNotFound) })
		both.Wait()
		c.Assert(claims == [2]claim{claimWon, claimLost} || claims == [2]claim{claimLost, claimWon}, qt.IsTrue)
		c.Assert(*ended, qt.Equals, 1)
		c.Assert(h.hasLateAnswer, qt.IsTrue)
		c.Assert(h.mayMove(first) || h.move(second), qt.IsFalse)
	}
}

// Guards against a failure that is passed on while the other attempt may still succeed, and against
// a third attempt of a route that allows two.
func TestAFailureYieldsToAnOpenAttempt(t *testing.T) {
	c := qt.New(t)
	h, first, second, ended := newClaimedSend()
	c.Assert(h.move(first), qt.IsFalse)
	c.Assert(h.claim(second, http.StatusBadGateway), qt.Equals, claimYield)
	c.Assert(*ended, qt.Equals, 0)
	c.Assert(h.otherRuns(first), qt.Equals, 1)
	c.Assert(h.move(first), qt.IsFalse)
	c.Assert(h.claim(first, http.StatusBadGateway), qt.Equals, claimWon)
	c.Assert(h.openSecond(second, nil), qt.IsFalse)
}
