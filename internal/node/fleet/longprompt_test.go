package fleet

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// longPrompt is the number of shared parts of the longest prompt that a request head of 16,384 bytes has room for.
const longPrompt = 5400

// promptSizes are prompts by the number of daemons in each of three zones; a model of many daemons takes long.
var promptSizes = map[int]int{3: longPrompt, 12: 700}

// promptTraits returns the traits of a request with a content of its own, and prompt parts. Those of different first are
// different.
func promptTraits(content, first uint64, count int) []quarantine.Trait {
	traits := []quarantine.Trait{{Kind: quarantine.Content, ID: content}}
	for i := range count {
		traits = append(traits, quarantine.Trait{Kind: quarantine.PromptPart, ID: (first + uint64(i)) * 0x9e3779b97f4a7c15})
	}
	return traits
}

// crashUnder records at one daemon that an upstream crashed under a request.
func (s *sim) crashUnder(vm, upstream string, traits []quarantine.Trait) {
	list := make([]quarantine.Crash, len(traits))
	for i, trait := range traits {
		list[i] = quarantine.Crash{ID: trait.ID, Kind: trait.Kind, Upstream: state.UpstreamID(upstream), Boot: 1_800_000_000_000}
	}
	s.nodes[vm].opts.View.RecordCrashes(list)
}

// refusingRequests returns the number of daemons that refuse requests with the traits.
func (s *sim) refusingRequests(traits []quarantine.Trait) int {
	count := 0
	for _, vm := range s.order {
		if wait, _ := s.nodes[vm].opts.View.AdmitTraits(traits); wait > 0 {
			count++
		}
	}
	return count
}

// TestTheCrashingPartOfALongPromptIsRefusedByAllDaemons guards against reports that leave out parts of a long prompt: each crash
// is seen by another daemon. Afterwards daemons restart, one of them and then all.
func TestTheCrashingPartOfALongPromptIsRefusedByAllDaemons(t *testing.T) {
	for each, parts := range promptSizes {
		s := newSim(t, 3, each)
		store := s.storeRefusals()
		s.rounds(3)
		for i, vm := range []string{"z0-00", "z1-01", "z2-02"} {
			// The parts are all those of one conversation; nothing else is known of any of them.
			s.crashUnder(vm, fmt.Sprint("e", i), append(promptTraits(uint64(i), 1000, parts), crashingPart))
			s.rounds(3)
		}
		s.rounds(15) // 3 s
		s.Check(s.refusing(crashingPart), qt.Equals, 3*each)
		s.syncAll(store)
		s.Check(len(store.records) <= 2, qt.IsTrue, qt.Commentf("%d records", len(store.records)))

		s.restart(t, "z2-01")
		s.Check(s.refusing(crashingPart), qt.Equals, 3*each-1)
		s.rounds(15)
		s.Check(s.refusing(crashingPart), qt.Equals, 3*each)

		for _, vm := range s.order {
			s.restart(t, vm)
		}
		s.syncAll(store)
		s.rounds(15)
		s.Check(s.refusing(crashingPart), qt.Equals, 3*each)
	}
}

// TestTheOtherPartsOfALongPromptAreServedEverywhereOnceOneRunSurvives guards against innocent parts that stay refused at other
// daemons because a message has no room for the survival of all of them.
func TestTheOtherPartsOfALongPromptAreServedEverywhereOnceOneRunSurvives(t *testing.T) {
	for each, parts := range promptSizes {
		s := newSim(t, 3, each)
		s.rounds(3)
		sound := promptTraits(77, 1000, parts)
		for i, vm := range []string{"z0-00", "z1-01", "z2-02"} {
			s.crashUnder(vm, fmt.Sprint("e", i), append(promptTraits(uint64(i), 1000, parts), crashingPart))
			s.rounds(3)
		}
		s.rounds(15)
		s.Check(s.refusing(crashingPart), qt.Equals, 3*each)
		s.nodes["z1-00"].opts.View.RecordSurvival(sound) // of a trial
		s.rounds(10)                                     // 2 s
		s.Check(s.refusingRequests(sound), qt.Equals, 0)
		s.Check(s.refusing(crashingPart), qt.Equals, 3*each)
	}
}

// encodedSize returns the size of a message in bytes.
func encodedSize(c *qt.C, msg any) int {
	var b bytes.Buffer
	c.Assert(protocol.WriteMessage(&b, protocol.MsgFleet, msg), qt.IsNil)
	return b.Len()
}

// reportBytes plays rounds and returns the size of the crash reports in all messages: the largest and the sum, in bytes.
func (s *sim) reportBytes(rounds int) (largest, sum int) {
	empty := encodedSize(s.C, protocol.CrashReports{})
	for range rounds {
		s.now = s.now.Add(gossipInterval)
		for _, vm := range s.order {
			n := s.nodes[vm]
			for _, m := range n.roundMessages(n.opts.View.DrainOutgoing()) {
				m.to.callInFlight = false
				reply := s.nodes[m.to.VM].HandlePush(n.opts.Self.ID(), m.push)
				for _, reports := range []protocol.CrashReports{m.push.Crashes, reply.Crashes} {
					size := encodedSize(s.C, reports) - empty
					largest, sum = max(largest, size), sum+size
				}
				n.applyReply(m.to, reply)
			}
		}
	}
	return largest, sum
}

// TestMessagesUnderACrowdOfLongPromptsAreBounded guards against messages that grow with a crowd of long prompts that share
// nothing, and against reports of an ordinary crash that are sent again and again.
func TestMessagesUnderACrowdOfLongPromptsAreBounded(t *testing.T) {
	const (
		maxMessage      = 400 << 10 // bytes
		maxOnePrompt    = 60 << 10  // bytes, in each direction between two daemons
		rounds, daemons = 15, 9
	)
	for name, tc := range map[string]struct{ requests, parts int }{
		"3 parts": {1, 3}, "a long prompt": {1, longPrompt}, "a crowd": {40, longPrompt},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 3, 3)
			s.rounds(3)
			for i := range tc.requests {
				s.crashUnder("z0-00", "e1", promptTraits(uint64(i), uint64(i+1)<<20, tc.parts))
			}
			begin := time.Now()
			largest, sum := s.reportBytes(rounds)
			t.Logf("%d requests with %d parts: largest message %d bytes, %d bytes in %d rounds of %d daemons, %v of processor time", tc.requests, tc.parts, largest, sum, rounds, daemons, time.Since(begin))
			s.Check(largest < maxMessage, qt.IsTrue, qt.Commentf("%d bytes", largest))
			if tc.requests == 1 {
				s.Check(sum < maxOnePrompt*daemons*daemons, qt.IsTrue, qt.Commentf("%d bytes", sum))
			}
			for vm, n := range s.nodes {
				s.Check(len(n.reports.reports) <= maxQueuedReports, qt.IsTrue, qt.Commentf(vm))
			}
		})
	}
}

// TestManyRefusedPartsAreRepeatedOnlyToThoseThatLackThem guards against messages that repeat thousands of refused parts each
// second, for as long as they are refused.
func TestManyRefusedPartsAreRepeatedOnlyToThoseThatLackThem(t *testing.T) {
	s := newSim(t, 3, 3)
	s.rounds(3)
	for i := range 3 {
		s.crashUnder("z0-00", fmt.Sprint("e", i), append(promptTraits(uint64(i), 1000, longPrompt), crashingPart))
	}
	s.rounds(25) // 5 s
	s.Check(s.refusing(crashingPart), qt.Equals, 9)
	_, sum := s.reportBytes(50) // 10 s
	s.Check(sum < 64<<10, qt.IsTrue, qt.Commentf("%d bytes", sum))
	s.restart(t, "z1-01")
	_, sum = s.reportBytes(25)
	t.Logf("%d bytes after a restart", sum)
	s.Check(s.refusing(crashingPart), qt.Equals, 9)
}

// TestRepeatsThatAreLostFollowSoon guards against a daemon that lacks refused parts for long because one message was lost, and
// against messages that repeat thousands of parts each second to a daemon that has dropped some of them.
func TestRepeatsThatAreLostFollowSoon(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var p reportProgress
	var sent []time.Duration
	for at := time.Duration(0); at < time.Minute; at += crashRepeatInterval {
		if p.mustRepeat(now.Add(at), 7) {
			sent = append(sent, at)
		}
	}
	c.Check(sent[:4], qt.DeepEquals, []time.Duration{0, 2 * time.Second, 6 * time.Second, 14 * time.Second})
	c.Check(len(sent) <= 10, qt.IsTrue, qt.Commentf("%v", sent))
	p.digest = 8 // the peer has learned others
	c.Check(p.mustRepeat(now.Add(time.Minute), 7), qt.IsTrue)
	p.digest = 7
	c.Check(p.mustRepeat(now.Add(2*time.Minute), 7), qt.IsFalse)
}
