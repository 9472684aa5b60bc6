package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/standin/caller"
)

// Requests with one part in their prompts crash each engine that begins to answer them. Sound requests
// share the first part of their prompts with them.

const (
	firstPromptPart = "5c1e07a2"
	crashingPart    = "91bd3f06"
	soundParts      = 20 // second parts of the prompts of sound requests
	crashDownTime   = 1500 * time.Millisecond

	crashesUntilRefusal = 3
	maxRefusalDelay     = 3 * time.Second // after these crashes
	maxLateCrashes      = 3
	minSoundServed      = 0.5
)

// longPromptParts and longPromptPeriod are how many parts a long prompt has before the others, which all long prompts share,
// and that one prompt in so many is long.
const (
	longPromptParts  = 1200
	longPromptPeriod = 4
)

// conversation is the start of long prompts.
var conversation = func() string {
	var text strings.Builder
	for i := range longPromptParts {
		fmt.Fprintf(&text, "%x:1,", 0xc0000+i)
	}
	return text.String()
}()

// prompt returns the prompt of a request: two shared parts and one of its own, after a conversation if it is long.
func prompt(secondPart string, number, sequence int) string {
	text := fmt.Sprintf("%s:300,%s:200,%x:100", firstPromptPart, secondPart, number<<20|sequence)
	if sequence%longPromptPeriod == longPromptPeriod-1 {
		return conversation + text
	}
	return text
}

// soundPart returns the second prompt part of a caller's request that crashes no engine.
func soundPart(sequence int) string { return fmt.Sprintf("%x", 0x1000+sequence%soundParts) }

// runCrashingCaller sends requests with crashingPart until ctx ends, at random times to any daemon of
// the rotation, each over a connection of its own.
func (f *Fleet) runCrashingCaller(ctx context.Context, perSecond float64, r *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for sequence := 0; ; sequence++ {
		select {
		case <-time.After(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))):
		case <-ctx.Done():
			return
		}
		f.mu.Lock()
		target := f.rotation[r.IntN(len(f.rotation))]
		f.mu.Unlock()
		a := ClientRequest{Class: ClassChat, Daemon: target, Crashes: true}
		a.Request = caller.Request{
			ID: fmt.Sprintf("q-crash-%d", sequence), Host: hostName, Path: fmt.Sprintf("/%s/%d", a.Class, r.IntN(100)), Body: fmt.Sprint("body ", sequence),
			Deadline: chatDeadline, Stream: true, Model: model + "/" + adapterName(r.IntN(adapterCount)), Prompt: prompt(crashingPart, callerCount, sequence),
		}
		wg.Go(func() {
			c := caller.New(f.daemons[target].callerLink.Addr)
			defer c.Close()
			a.Answer = c.Send(context.WithoutCancel(ctx), a.Request, answerMargin)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.history.Requests = append(f.history.Requests, a)
		})
	}
}

// crashEngine closes the port and all connections of an engine and restarts it after crashDownTime.
func (f *Fleet) crashEngine(u *upstream) {
	defer f.disturb(Disturbance{Daemon: allDaemons, Upstream: u.name})()
	u.link.Refuse()
	time.Sleep(crashDownTime)
	if err := u.link.Accept(); err != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.failure = fmt.Errorf("soak: restart engine %s: %w", u.name, err)
		return
	}
	f.restartEngine(u)
}

// checkCrashingPart checks the runs of the requests with crashingPart, and at the end of the run the
// answers of the sound ones.
func (c *checker) checkCrashingPart() {
	count, late := 0, 0
	var known time.Time
	for _, r := range c.h.Executions {
		a := c.requests[r.RequestID]
		if a == nil || !a.Crashes {
			continue
		}
		if count++; count == crashesUntilRefusal {
			known = r.At
		}
		if count > crashesUntilRefusal && r.At.Sub(known) > maxRefusalDelay && c.h.settled(a.Daemon, "", r.At, r.At) {
			late++
		}
	}
	if count == 0 {
		return
	}
	c.expect("requests with a prompt part that crashes engines are refused", late <= maxLateCrashes, "%d of %d ran later than %s after the first %d", late, count, maxRefusalDelay, crashesUntilRefusal)
	sound, served := 0, 0
	for _, a := range c.requests {
		if a.Class != ClassChat || a.Crashes || a.Answer.StartedAt.Before(c.h.TrafficEnd.Add(-tailPeriod)) {
			continue
		}
		sound++
		if a.Answer.Status == http.StatusOK && a.Answer.Complete {
			served++
		}
	}
	c.expect("sound requests are served beside those that crash engines", float64(served) >= minSoundServed*float64(sound), "%d of %d", served, sound)
}
