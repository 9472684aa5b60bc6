package once_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/protocol"
)

// output is what a caller observed of one call.
type output struct {
	outcome  protocol.Outcome
	value    string
	replayed bool
}

// unseen is the state of a key whose call ran, but whose answer no caller has received.
const unseen = "?"

// atMostOnce returns the sequential model against which the history is checked. The state
// of a key is empty if its call has not run. After the run, the state is the answer, or
// unseen as long as no caller has received the answer.
func atMostOnce() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byKey := map[any][]porcupine.Operation{}
			for _, op := range history {
				byKey[op.Input] = append(byKey[op.Input], op)
			}
			var out [][]porcupine.Operation
			for _, ops := range byKey {
				out = append(out, ops)
			}
			return out
		},
		Init: func() []any { return []any{""} },
		Step: func(st, _, out any) []any { return nextStates(st.(string), out.(output)) },
	}
	return model.ToModel()
}

// nextStates returns the possible states of a key after an output, or none if the model
// does not allow the output.
func nextStates(st string, out output) []any {
	switch {
	case out.outcome == protocol.OutcomeNotRun:
		return []any{st}
	case out.outcome == protocol.OutcomeUnknown && st == "":
		return []any{"", unseen}
	case out.outcome == protocol.OutcomeUnknown:
		return []any{st}
	case !out.replayed && st == "":
		return []any{out.value}
	case out.replayed && (st == unseen || st == out.value):
		return []any{out.value}
	}
	return nil
}

// history records the operations of all callers.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) add(op porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

const (
	histories         = 40
	callers           = 6
	callsPerCaller    = 12
	keysPerHistory    = 8
	fleetSize         = 3
	crashesPerHistory = 6
	settleTime        = 5 * time.Minute // by its end, delayed writes have taken effect and calls have ended
)

func TestConcurrentCallsWithOneKeyRunAtMostOnce(t *testing.T) {
	for seed := range uint64(histories) {
		synctest.Test(t, func(t *testing.T) { runHistory(t, seed, false) })
	}
}

func TestConcurrentCallsWithOneTicketRunAtMostOnce(t *testing.T) {
	for seed := range uint64(histories) {
		synctest.Test(t, func(t *testing.T) { runHistory(t, seed, true) })
	}
}

// runHistory sends calls from concurrent callers to random daemons while the object store
// fails at random and daemons crash and restart. It checks that no call runs twice and that
// the observed answers fit the model atMostOnce.
func runHistory(t *testing.T, seed uint64, tickets bool) {
	f := newFleet(fleetSize, seed)
	f.service.duration = 20 * time.Millisecond
	f.store.setFaults(faults{down: 5, lostReply: 10, lateEffect: 5, maxDelay: 30 * time.Millisecond})
	var issued []string
	for i := range keysPerHistory {
		issued = append(issued, f.at(i%fleetSize).IssueTicket("ridgeline", "booking").String())
	}
	var h history
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(c)+10))
			for n := range callsPerCaller {
				k := rng.IntN(keysPerHistory)
				call := keyed(fmt.Sprintf("%d-%d", c, n), fmt.Sprintf("key-%d", k), fmt.Sprintf("item-%d", k))
				call.TimeLeft = time.Duration(1+rng.IntN(3000)) * time.Millisecond
				if tickets {
					call.IdempotencyKey, call.Ticket = "", issued[k]
				}
				started := time.Now().UnixNano()
				r, err := send(t.Context(), f.at(rng.IntN(fleetSize)), call)
				h.add(porcupine.Operation{ClientId: c, Input: k, Call: started, Output: observed(r, err), Return: time.Now().UnixNano()})
				time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
			}
		})
	}
	wg.Go(func() {
		rng := rand.New(rand.NewPCG(seed, 5))
		for range crashesPerHistory {
			time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
			i := rng.IntN(fleetSize)
			f.at(i).crashed.Store(true)
			time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
			f.start(i)
		}
	})
	wg.Wait()
	time.Sleep(settleTime)
	for k := range keysPerHistory {
		runs := f.service.count(fmt.Sprintf("item-%d", k))
		qt.Assert(t, runs <= 1, qt.IsTrue, qt.Commentf("seed %d: key %d ran %d times", seed, k, runs))
	}
	qt.Assert(t, porcupine.CheckOperations(atMostOnce(), h.ops), qt.IsTrue, qt.Commentf("seed %d", seed))
	replayed := slices.ContainsFunc(h.ops, func(op porcupine.Operation) bool { return op.Output.(output).replayed })
	qt.Check(t, replayed, qt.IsTrue, qt.Commentf("seed %d: no answer was replayed", seed))
}

// observed returns the output of a call. A caller that only receives an error does not
// learn the answer, even if the call ran.
func observed(r *reply, err *protocol.Error) output {
	switch {
	case err != nil && err.Outcome == protocol.OutcomeRan:
		return output{outcome: protocol.OutcomeUnknown}
	case err != nil:
		return output{outcome: err.Outcome}
	case !r.complete:
		return output{outcome: protocol.OutcomeUnknown}
	}
	return output{outcome: protocol.OutcomeRan, value: string(r.data), replayed: r.replayed}
}
