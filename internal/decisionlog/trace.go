package decisionlog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	maxLineBytes = 1 << 20
	// windowBefore and windowAfter extend the period from the first to the last line of a
	// request. Lines about the request's upstreams and adapter belong to its trace only
	// within the extended period.
	windowBefore = 3 * time.Second
	windowAfter  = 500 * time.Millisecond
)

// Line is a parsed line of a daemon's log.
type Line struct {
	Time  time.Time
	VM    string
	Event string
	Attrs map[string]any
}

// durationKeys are the keys of attributes with values in nanoseconds.
var durationKeys = []string{"took", "first", "load_wait", "estimate", "report_age", "retry_after", "list_age", "held_age", "ready_in", "left", "after", "pause", "longest_pause", "hold", "wasted", "newest_age", "sent_after", "age"}

// Text formats the attributes as key=value, sorted by key. It omits empty values.
func (l *Line) Text() string {
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(l.Attrs)) {
		value := l.Attrs[key]
		if value == "" || value == nil {
			continue
		}
		if slices.Contains(durationKeys, key) {
			value = l.duration(key).Round(100 * time.Microsecond)
		}
		parts = append(parts, fmt.Sprintf("%s=%v", key, value))
	}
	return strings.Join(parts, " ")
}

// duration returns the attribute key, a number of nanoseconds. It returns zero if the line
// has no such attribute.
func (l *Line) duration(key string) time.Duration {
	ns, _ := l.Attrs[key].(float64)
	return time.Duration(ns)
}

// number returns the attribute key as an integer. It returns zero if the line has no such
// attribute.
func (l *Line) number(key string) int {
	n, _ := l.Attrs[key].(float64)
	return int(n)
}

func (l *Line) text(key string) string {
	s, _ := l.Attrs[key].(string)
	return s
}

// RequestTrace contains the log lines that concern a request and the cause of its end.
type RequestTrace struct {
	Request string
	Lines   []Line // of all daemons, sorted by time
	Cause   string
	// Others counts, by engine, the orders for other adapters at the engines that the
	// request was meant for. Such orders explain why a load had to wait.
	Others map[string]int
	// Summed is set if the request's end is in a summary and has no line of its own.
	Summed bool
}

// ReadLines parses the lines of logs. It skips text in front of a line's JSON object, as
// tools that collect logs prepend some, and lines without a valid object.
func ReadLines(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var attrs map[string]any
		if json.Unmarshal([]byte(text[start:]), &attrs) != nil {
			continue
		}
		l := Line{Attrs: attrs}
		l.Event, l.VM = l.text("msg"), l.text("vm")
		at, err := time.Parse(time.RFC3339Nano, l.text("time"))
		if err != nil || l.Event == "" {
			continue
		}
		l.Time = at
		for _, key := range []string{"time", "msg", "vm", "level"} {
			delete(l.Attrs, key)
		}
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// Trace selects the lines that concern a request and derives the cause of its end.
func Trace(lines []Line, request string) RequestTrace {
	s := RequestTrace{Request: request, Others: make(map[string]int)}
	upstreams, adapters := map[string]bool{}, map[string]bool{}
	var first, last time.Time
	var end *Line
	for i := range lines {
		l := &lines[i]
		if l.Event == "requests summed" && slices.Contains(strings.Fields(l.text("requests")), request) {
			s.Summed = true
			end = l
		}
		if l.text(KeyRequest) != request {
			continue
		}
		if l.Event == "request" {
			end = l
		}
		for _, key := range []string{"upstream", "peer"} {
			if name := l.text(key); name != "" {
				upstreams[name] = true
			}
		}
		if name := l.text("adapter"); name != "" {
			adapters[name] = true
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	for i := range lines {
		l := &lines[i]
		about := l.text(KeyRequest) == "" && (upstreams[l.text("upstream")] || adapters[l.text("adapter")])
		near := l.Time.After(first.Add(-windowBefore)) && l.Time.Before(last.Add(windowAfter))
		other := l.text("adapter") != "" && !adapters[l.text("adapter")] || l.Event == "adapter replicated"
		if about && near && other {
			s.Others[l.text("upstream")]++
			continue
		}
		if l.text(KeyRequest) == request || l == end || about && near {
			s.Lines = append(s.Lines, *l)
		}
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	s.Cause = explainEnd(end, s.Lines)
	return s
}

// explainEnd describes why a request ended as it did. End is the line about the end of the
// request, or nil if the log has no such line.
func explainEnd(end *Line, lines []Line) string {
	if end == nil {
		return "no line tells how the request ended: it never reached a daemon whose log is here, or its line was dropped"
	}
	outcome := end.text("outcome")
	text := Causes[outcome]
	if text == "" {
		return outcome
	}
	parts := append([]string{text}, decisionInputs(outcome, end)...)
	for _, l := range lines {
		switch l.Event {
		case "step":
			parts = append(parts, fmt.Sprintf("%s at %s (%s)", l.text("step"), l.text("peer"), l.text(KeyErr)))
		case "quota refused":
			parts = append(parts, quotaInputs(&l))
		case "load wanted":
			if ok, _ := l.Attrs["ok"].(bool); !ok {
				parts = append(parts, fmt.Sprintf("no load at %s (%s)", l.text("upstream"), l.text("reason")))
			}
		case "hedge":
			parts = append(parts, explainHedge(&l))
		case "upstream gone", "upstream crashed under a request":
			parts = append(parts, l.Event+": "+l.text("upstream"))
		}
	}
	return outcome + ": " + strings.Join(parts, "; ")
}

// quotaInputs describes the inputs of a refusal because of a quota.
func quotaInputs(l *Line) string {
	number := func(key string) float64 {
		n, _ := l.Attrs[key].(float64)
		return n
	}
	text := fmt.Sprintf("account %s with a quota of %.0f/s had %.0f of %.0f in use and the request needed %.0f (%s)",
		l.text("account"), number("quota"), number("in_use"), number("capacity"), number("tokens"), l.text("reason"))
	if age := l.duration("report_age"); age >= 0 {
		return fmt.Sprintf("%s; the other daemons' sums were %s old, this daemon's share was %.0f%%", text, age.Round(time.Millisecond), 100*number("share"))
	}
	return text + fmt.Sprintf("; the other daemons' sums were not known, this daemon's share was %.0f%%", 100*number("share"))
}

// explainHedge describes a second attempt and what became of it.
func explainHedge(l *Line) string {
	text := fmt.Sprintf("a second attempt was sent to %s after %s at %s and %s", l.text("upstream"), l.duration("after").Round(time.Millisecond), l.text("peer"), l.text("result"))
	if isCancelled, _ := l.Attrs["cancelled"].(bool); isCancelled {
		text += fmt.Sprintf(", the other one was reset after %s", l.duration("wasted").Round(time.Millisecond))
	}
	return text
}

// decisionInputs describes the inputs of the decision that ended a request.
func decisionInputs(outcome string, end *Line) []string {
	switch outcome {
	case Answered:
		if status := end.number("status"); status >= 500 {
			return []string{fmt.Sprintf("the upstream itself failed with status %d after %s", status, end.duration("took").Round(time.Millisecond))}
		}
		var parts []string
		if hold := end.duration("hold"); hold > 0 {
			parts = append(parts, fmt.Sprintf("it waited %s for room for its prompt", hold.Round(time.Millisecond)))
		}
		if stalled, _ := end.Attrs["stalled"].(bool); stalled {
			parts = append(parts, fmt.Sprintf("%s paused for %s between two events", end.text("longest_pause_at"), end.duration("longest_pause").Round(time.Millisecond)))
		}
		return parts
	case NoCapacity:
		return []string{fmt.Sprintf("the best one would have begun in %s", end.duration("estimate").Round(time.Millisecond)), engineCounts(end)}
	case UnknownKey, UnconfirmedKey, KeyRemoved:
		return []string{fmt.Sprintf("the key has the fingerprint %s, and version %d of the configuration was in force", end.text("key"), end.number("config")), configAge(end)}
	case NoRoute, UnconfirmedRoute:
		return []string{fmt.Sprintf("version %d of the configuration was in force", end.number("config")), configAge(end)}
	case UpstreamsWait, UpstreamsLeave, EngineMemory:
		return []string{fmt.Sprintf("%d could have served it", end.number("candidates"))}
	case NoEngine:
		return []string{engineCounts(end)}
	case CallerLeft:
		if last := end.number("last_event"); last >= 0 {
			return []string{fmt.Sprintf("event %d had come %s before", last, end.duration("pause").Round(time.Millisecond))}
		}
		return []string{fmt.Sprintf("no event had come in %s", end.duration("took").Round(time.Millisecond))}
	}
	return nil
}

// configAge says how long before the end of a request its configuration was known to be the newest, and how it had
// come.
func configAge(end *Line) string {
	text := fmt.Sprintf("it was confirmed %s before, and in force for %s by a %s", end.duration("config_age").Round(time.Millisecond), end.duration("config_held").Round(time.Millisecond), end.text("config_way"))
	if peer := end.text("config_peer"); peer != "" {
		text += " of " + peer
	}
	if newer := end.number("newer_config"); newer > 0 {
		text += fmt.Sprintf("; version %d had been known for %s", newer, end.duration("newer_known").Round(time.Millisecond))
	}
	return text
}

// engineCounts describes how many engines could serve the adapter of a request. Of these
// engines it counts those that accepted no load, and those that could not become a replica
// before other engines.
func engineCounts(end *Line) string {
	return fmt.Sprintf("%d could serve the adapter, %d of them took no load, %d might not take a copy before others",
		end.number("candidates"), end.number("full"), end.number("far"))
}

// Outcomes of requests.
const (
	Answered             = "answered"
	NoRoute              = "no route"
	NoConfiguration      = "no configuration"
	NoEngine             = "no engine"
	NoUpstream           = "no upstream"
	NoCapacity           = "no room in time"
	LoadNotOrdered       = "no engine loads the adapter"
	NoRoomForPrompt      = "no room for the prompt"
	RetryBudget          = "retry budget"
	Rejected             = "rejected by upstreams"
	UpstreamDisconnected = "upstream broke off"
	Deadline             = "deadline"
	CallerLeft           = "caller left"
	Quarantined          = "crashes upstreams"
	DaemonLeaving        = "daemon is leaving"
	DaemonStopped        = "daemon stopped"
	BodyTooLarge         = "body too large"
	BodyMemoryExhausted  = "memory for bodies is taken"
	NoKey                = "no usable key"
	UnknownKey           = "unknown key"
	KeyRemoved           = "key removed"
	UnconfirmedKey       = "unknown key, old configuration"
	UnconfirmedRoute     = "no route, old configuration"
	QuotaExceeded        = "quota exceeded"
	UpstreamsWait        = "upstreams wait"
	UpstreamsLeave       = "upstreams leave"
	EngineMemory         = "no memory at engines"
)

// Causes maps each outcome to its explanation for operators.
var Causes = map[string]string{
	Answered:             "an upstream's whole answer was passed on",
	NoRoute:              "no route of the configuration in force has the host and a prefix of the path",
	NoConfiguration:      "the daemon had not read a configuration yet; the request did not run",
	NoEngine:             "no engine held the adapter, and none could be asked to load it; the request did not run",
	NoUpstream:           "no upstream of the service was listed; the request did not run",
	NoCapacity:           "no upstream could have begun in time; the request did not run",
	NoRoomForPrompt:      "the holders of several engines had no room for the prompt in time; it was not sent to them",
	LoadNotOrdered:       "the holders of the adapter's engines did not order the load in time; the request did not run",
	RetryBudget:          "another try would have gone beyond this daemon's share of retries",
	Rejected:             "several upstreams said that they did not run it",
	UpstreamDisconnected: "the connection to the upstream broke and the request may have run",
	Deadline:             "the caller's deadline or the route's timeout came first",
	CallerLeft:           "the caller closed its connection",
	Quarantined:          "upstreams crashed while they began to run this request, or requests with one of its prompt parts",
	DaemonLeaving:        "the daemon was shutting down; the request did not run",
	DaemonStopped:        "the grace period of a shutdown ended while the request may have been running",
	BodyTooLarge:         "the body is longer than the configuration allows",
	BodyMemoryExhausted:  "the daemon held too many bodies at that moment; the request did not run",
	NoKey:                "the route needs an API key, and the request had no Authorization header, several, or one that is not of the form Bearer KEY; the request did not run",
	UnknownKey:           "no client account of the configuration in force holds the key; the request did not run",
	KeyRemoved:           "the key was removed from the configuration after the request had come",
	UnconfirmedKey:       "no client account of the configuration in force holds the key, but the daemon was cut off from the store and its peers and could not know whether a newer one does; the request did not run",
	UnconfirmedRoute:     "no route of the configuration in force has the host and a prefix of the path, but the daemon was cut off from the store and its peers and could not know whether a newer one has; the request did not run",
	QuotaExceeded:        "the client account has used up its quota for the moment; the request did not run",
	UpstreamsWait:        "every upstream that could serve it had answered 503 with a Retry-After, or leaves; the request did not run",
	EngineMemory:         "the requests of all daemons fill twice the memory of each engine that could serve it; the request did not run",
	UpstreamsLeave:       "every upstream that could serve it had said that it leaves; the request did not run",
}
