package capacity

import (
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
)

const (
	longPrompt  = 5400    // parts of the longest prompt that a request head of 16,384 bytes has room for
	usualPrompt = 3       // parts
	fullTable   = 1 << 16 // traits of a full quarantine.Table
	fullMessage = 1 << 13 // new reports in a message between daemons
	fullRepeats = 1 << 14 // parts whose older crashes a message repeats
)

// PromptSlopes are the measured costs of a prompt part on the users' platform.
type PromptSlopes struct {
	AdmitSeconds    float64 // of CPU to look a part up while another one is refused
	SurvivalSeconds float64 // of CPU to record that a run with the part survived
	CrashSeconds    float64 // of CPU to record a crash that counts against the part
	CrashBytes      float64 // of memory for a part with one crash
	SurvivalBytes   float64 // of memory for a part that survived
	MessageBytes    float64 // of a part in a message, where it shares its crashes with many
}

// promptTraits returns parts with IDs spread like hashes.
func promptTraits(first, count int) []quarantine.Trait {
	list := make([]quarantine.Trait, count)
	for i := range list {
		list[i] = quarantine.Trait{Kind: quarantine.PromptPart, ID: uint64(first+i) * 0x9e3779b97f4a7c15}
	}
	return list
}

func crashOf(trait quarantine.Trait, boot int64) quarantine.Crash {
	return quarantine.Crash{ID: trait.ID, Kind: trait.Kind, Upstream: "zone-07-engine-0042", Boot: boot}
}

// measurePrompts measures what parts of prompts cost a daemon.
func measurePrompts() PromptSlopes {
	var s PromptSlopes
	now := time.Unix(1000, 0)
	table := quarantine.New()
	for i := range int64(3) {
		table.RecordCrash(now, crashOf(quarantine.Trait{Kind: quarantine.PromptPart, ID: 1}, i))
	}
	now = now.Add(time.Second)
	prompt := promptTraits(2, longPrompt)
	s.AdmitSeconds = secondsPerCall(func(int) { table.Admit(now, prompt) }) / longPrompt
	s.SurvivalSeconds = secondsPerCall(func(int) {
		now = now.Add(time.Millisecond)
		for _, trait := range prompt {
			table.RecordSurvival(now, trait)
		}
	}) / longPrompt
	fresh := quarantine.New()
	s.CrashSeconds = secondsPerCall(func(i int) {
		for _, trait := range promptTraits(i*longPrompt, longPrompt) {
			fresh.RecordCrash(now, crashOf(trait, 1))
		}
	}) / longPrompt
	s.CrashBytes = heapGrowth(func() any {
		t := quarantine.New()
		for _, trait := range promptTraits(0, fullTable) {
			t.RecordCrash(now, crashOf(trait, 1))
		}
		return t
	}) / fullTable
	s.SurvivalBytes = heapGrowth(func() any {
		t := quarantine.New()
		for _, trait := range promptTraits(0, fullTable) {
			t.RecordSurvival(now, trait)
		}
		return t
	}) / fullTable
	var crashes []quarantine.Crash
	for _, trait := range promptTraits(0, longPrompt) {
		crashes = append(crashes, crashOf(trait, 1_800_000_000_000))
	}
	s.MessageBytes = float64(len(must(cbor.Marshal(quarantine.GroupCrashes(crashes))))) / longPrompt
	return s
}

// writePrompts writes what long prompts cost a daemon.
func writePrompts(b *strings.Builder, s PromptSlopes) {
	fmt.Fprintf(b, `## Long prompts on the users' platform

A request head of 16,384 bytes has room for about %d shared parts; a usual prompt has %d. Tables and messages are bounded, whatever crowds send.

| What | For a part | %d parts | %d parts |
|---|---|---|---|
`, longPrompt, usualPrompt, usualPrompt, longPrompt)
	for _, r := range []struct {
		name  string
		value float64
		unit  string
	}{
		{"CPU to decide whether the request is refused, while another part is", s.AdmitSeconds * 1e6, "µs"},
		{"CPU to record that the run survived", s.SurvivalSeconds * 1e6, "µs"},
		{"CPU to record a crash, in a table that is full", s.CrashSeconds * 1e6, "µs"},
		{"memory of a table, after a crash", s.CrashBytes / 1e3, "kB"},
		{"memory of a table, after a survival", s.SurvivalBytes / 1e3, "kB"},
		{"message that reports the crash, to each peer once", s.MessageBytes / 1e3, "kB"},
	} {
		fmt.Fprintf(b, "| %s | %.3f %s | %.2f %s | %.0f %s |\n", r.name, r.value, r.unit, usualPrompt*r.value, r.unit, longPrompt*r.value, r.unit)
	}
	fmt.Fprintf(b, `
- **Table:** at most %d traits and as many survivals, %.1f MB.
- **Messages:** at most %d new reports, %.0f kB, and with more than 256 older crashes to repeat, to a peer that lacks them, at most %d parts,
  %.0f kB. Reports of a crowd beyond %d in two seconds are dropped and logged, those of contents first.
- **Refused parts in the store:** parts with the same crashes share records of at most 8,192, 90 kB; every read of the records contains them.

`, fullTable, fullTable*(s.CrashBytes+s.SurvivalBytes)/(1<<20), fullMessage, fullMessage*s.MessageBytes/1e3, fullRepeats, fullRepeats*s.MessageBytes/1e3, fullTable)
}
