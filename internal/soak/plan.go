package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// EventKind is the kind of an event.
type EventKind string

// Event kinds: faults, and changes by the operator. Plan draws a link mode for each kind
// whose value begins with "link".
const (
	KindKill            EventKind = "daemon killed and started again"
	KindStop            EventKind = "daemon stopped by SIGTERM and started again"
	KindPause           EventKind = "daemon paused"
	KindReload          EventKind = "daemon reloaded by SIGHUP"
	KindCallerLink      EventKind = "link from callers to a daemon"
	KindStoreLink       EventKind = "link from a daemon to the store"
	KindPeerLink        EventKind = "link from daemons to a daemon"
	KindEngineLink      EventKind = "link from daemons to an engine"
	KindServiceLink     EventKind = "link from daemons to a plain upstream"
	KindStoreBusy       EventKind = "store refuses calls"
	KindStoreHang       EventKind = "store does not answer"
	KindStoreWritesLost EventKind = "store loses answers to writes"
	KindStoreCompact    EventKind = "store compacts its history"
	KindEngineRestart   EventKind = "engine restarts"
	KindOrdersLost      EventKind = "engine loses answers to orders"
	KindAnswersLost     EventKind = "plain upstream loses answers"
	KindConfig          EventKind = "new configuration"
	KindVersion         EventKind = "new version of an adapter"
	KindDrain           EventKind = "plain upstream drained and ready again"
)

// Event is a fault or a change. At counts from the start of traffic.
type Event struct {
	At     time.Duration
	For    time.Duration // zero for instantaneous events
	Kind   EventKind
	Target int
	Mode   LinkMode // only for link faults
}

func (e Event) String() string {
	text := fmt.Sprintf("%5.1f s  %s, number %d", e.At.Seconds(), e.Kind, e.Target)
	if e.Mode != "" {
		text += ", " + string(e.Mode)
	}
	if e.For > 0 {
		text += fmt.Sprintf(", for %.1f s", e.For.Seconds())
	}
	return text
}

// Size is the number of processes and upstreams of a run and the length of its phases.
type Size struct {
	Daemons     int
	Engines     int
	Services    int // upstreams per plain service
	Warmup      time.Duration
	FaultPeriod time.Duration
	Recovery    time.Duration // after the fault period; Check measures the share served at its end
	CrashRate   float64       // requests per second that crash the engines that answer them; zero for none
}

// DefaultSize returns the size of a run of 25 seconds.
func DefaultSize() Size {
	return Size{Daemons: 4, Engines: 3, Services: 2, Warmup: 3 * time.Second, FaultPeriod: 12 * time.Second, Recovery: 10 * time.Second}
}

const (
	minEvents, maxEvents = 4, 11
	longestFault         = 4 * time.Second
	shortestFault        = 300 * time.Millisecond
)

var linkModes = []LinkMode{ModeDelayed, ModeBlockTo, ModeBlockFrom, ModeBlock, ModeReset}

// drawnKinds are the kinds that Plan draws from, with equal probability per entry. Changes
// by the operator are listed repeatedly, so that most runs have several changes.
var drawnKinds = []EventKind{
	KindKill, KindStop, KindPause, KindReload, KindCallerLink, KindStoreLink, KindPeerLink, KindEngineLink, KindServiceLink,
	KindStoreBusy, KindStoreHang, KindStoreWritesLost, KindStoreCompact, KindEngineRestart, KindOrdersLost, KindAnswersLost, KindAnswersLost,
	KindConfig, KindConfig, KindConfig, KindVersion, KindVersion, KindDrain,
}

// Plan returns the events of a seed, ordered by time. The same seed and size always give
// the same plan. Events may overlap and repeat.
func Plan(seed uint64, size Size) []Event {
	r := rand.New(rand.NewPCG(seed, 1))
	count := minEvents + r.IntN(maxEvents-minEvents+1)
	var list []Event
	for range count {
		e := Event{
			At:   size.Warmup + time.Duration(r.Int64N(int64(size.FaultPeriod))),
			Kind: drawnKinds[r.IntN(len(drawnKinds))],
		}
		switch e.Kind {
		case KindEngineLink, KindEngineRestart, KindOrdersLost:
			e.Target = r.IntN(size.Engines)
		case KindServiceLink, KindDrain, KindAnswersLost:
			e.Target = r.IntN(serviceCount * size.Services)
		case KindVersion:
			e.Target = r.IntN(adapterCount)
		default:
			e.Target = r.IntN(size.Daemons)
		}
		if strings.HasPrefix(string(e.Kind), "link") {
			e.Mode = linkModes[r.IntN(len(linkModes))]
		}
		switch e.Kind {
		case KindReload, KindStoreCompact, KindEngineRestart, KindOrdersLost, KindConfig, KindVersion, KindStop, KindKill:
		default:
			e.For = shortestFault + time.Duration(r.Int64N(int64(longestFault-shortestFault)))
		}
		list = append(list, e)
		if r.IntN(4) == 0 { // repeat the event, possibly while the first occurrence lasts
			e.At += time.Duration(r.Int64N(int64(2 * time.Second)))
			list = append(list, e)
		}
	}
	slices.SortStableFunc(list, func(a, b Event) int { return int(a.At - b.At) })
	return list
}
