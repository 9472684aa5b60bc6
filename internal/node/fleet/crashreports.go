package fleet

import (
	"log/slog"
	"slices"
	"sort"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	"github.com/celerydeck/celerydeck/internal/protocol"
)

const (
	// crashReportTTL is how long a daemon keeps a crash or a survival for peers that have not acknowledged it.
	crashReportTTL = 2 * time.Second
	// maxQueuedReports is the number of crashes and survivals that are kept for the peers.
	maxQueuedReports = 1 << 16
	// maxReports is the number of new crashes and survivals in a message. The others follow with the next ones.
	maxReports = 1 << 13
	// crashRepeatInterval is the minimum time between two messages to a peer that repeat older
	// crashes.
	crashRepeatInterval = time.Second
	// maxFreeRepeats is the number of older crashes that are repeated whatever the peer knows. More are repeated only to
	// a peer that knows others. If that does not change it, the pause until they are repeated again doubles each time, up
	// to maxRepeatPause.
	maxFreeRepeats = 256
	maxRepeatPause = 10 * time.Second
)

// crashReport is a crash or a survival that this daemon or a peer observed, with its age when this daemon learned of it.
type crashReport struct {
	quarantine.Crash // of a survival, only the trait and the age are set
	isSurvival       bool
	at               time.Time // when this daemon learned of it
	sequence         uint64
}

// reportQueue holds reports for the peers. Each peer gets those after the last one that it has acknowledged.
type reportQueue struct {
	reports []crashReport // ordered by sequence
	last    uint64        // sequence of the newest report, also if it has expired
	dropped int           // for lack of room, since the last call of takeDropped
}

func (q *reportQueue) addCrash(now time.Time, c quarantine.Crash) {
	q.add(crashReport{Crash: c, at: now})
}

func (q *reportQueue) addSurvival(now time.Time, s quarantine.Survival) {
	q.add(crashReport{Crash: quarantine.Crash{Kind: s.Kind, ID: s.ID, Age: s.Age}, isSurvival: true, at: now})
}

// add adds a report. If there is no room, it first drops an eighth of the others: crashes of contents, and then the oldest.
func (q *reportQueue) add(r crashReport) {
	if len(q.reports) >= maxQueuedReports {
		excess := maxQueuedReports / 8
		q.dropped += excess
		q.reports = slices.DeleteFunc(q.reports, func(r crashReport) bool {
			if excess == 0 || r.isSurvival || r.Kind != quarantine.Content {
				return false
			}
			excess--
			return true
		})
		q.reports = slices.Delete(q.reports, 0, excess)
	}
	q.last++
	r.sequence = q.last
	q.reports = append(q.reports, r)
}

// expire drops the reports that are older than crashReportTTL.
func (q *reportQueue) expire(now time.Time) {
	q.reports = slices.DeleteFunc(q.reports, func(r crashReport) bool { return now.Sub(r.at) > crashReportTTL })
}

// takeDropped returns the number of reports that were dropped for lack of room since the last call.
func (q *reportQueue) takeDropped() int {
	dropped := q.dropped
	q.dropped = 0
	return dropped
}

// after adds to m the reports after a sequence, at most maxReports, with their present age.
func (q *reportQueue) after(now time.Time, sequence uint64, m *protocol.CrashReports) {
	m.Sequence = q.last
	list := q.reports[sort.Search(len(q.reports), func(i int) bool { return q.reports[i].sequence > sequence }):]
	if len(list) > maxReports {
		list = list[:maxReports]
		m.Sequence = list[len(list)-1].sequence
	}
	var crashes []quarantine.Crash
	var survivals []quarantine.Survival
	for _, r := range list {
		r.Age += now.Sub(r.at)
		if r.isSurvival {
			survivals = append(survivals, quarantine.Survival{Kind: r.Kind, ID: r.ID, Age: r.Age})
			continue
		}
		crashes = append(crashes, r.Crash)
	}
	m.Crashes, m.Survivals = quarantine.GroupCrashes(crashes), quarantine.GroupSurvivals(survivals)
}

// repeatedCrashes are the older crashes that messages repeat.
type repeatedCrashes struct {
	at     time.Time // when they were collected; their ages are of then
	list   []quarantine.Crash
	digest uint64
}

// reportProgress is how far a daemon and a peer have exchanged reports.
type reportProgress struct {
	acknowledged uint64 // sequence of this daemon's last report that the peer has
	received     uint64 // sequence of the peer's last report that this daemon has
	repeatedAt   time.Time
	digest       uint64 // of the crashes that the peer would repeat, as of its last message that names it
	// sentDigest and heardDigest are this daemon's and the peer's digests when more than maxFreeRepeats crashes were last
	// repeated, at sentAt. They are repeated again after sentPause, unless one of the digests has changed.
	sentDigest, heardDigest uint64
	sentAt                  time.Time
	sentPause               time.Duration
}

// mustRepeat reports whether more than maxFreeRepeats crashes with a digest are to be repeated to the peer now.
func (p *reportProgress) mustRepeat(now time.Time, digest uint64) bool {
	if p.digest == digest {
		return false
	}
	if p.sentDigest != digest || p.heardDigest != p.digest {
		p.sentDigest, p.heardDigest, p.sentPause = digest, p.digest, crashRepeatInterval
	} else if now.Sub(p.sentAt) < p.sentPause {
		return false
	}
	p.sentAt, p.sentPause = now, min(2*p.sentPause, maxRepeatPause)
	return true
}

// expireReports drops expired reports, and logs how many were dropped for lack of room: by the view and since the last
// call. The caller holds the lock.
func (n *Node) expireReports(now time.Time, droppedByView int) {
	n.reports.expire(now)
	if dropped := droppedByView + n.reports.takeDropped(); dropped > 0 {
		n.opts.Log.Event("crash reports dropped", slog.Int("count", dropped), slog.Int("limit", maxQueuedReports))
	}
}

// crashReportsFor returns what a message tells a peer of crashes. The caller holds the lock.
func (n *Node) crashReportsFor(now time.Time, to *member) protocol.CrashReports {
	p := &to.reports
	m := protocol.CrashReports{Ack: p.received}
	n.reports.after(now, p.acknowledged, &m)
	if now.Sub(p.repeatedAt) < crashRepeatInterval {
		return m
	}
	p.repeatedAt = now
	if now.Sub(n.repeated.at) >= crashRepeatInterval/2 {
		list := n.opts.View.RepeatedCrashes()
		n.repeated = repeatedCrashes{at: now, list: list, digest: quarantine.Digest(list)}
	}
	r := n.repeated
	m.RepeatedDigest = r.digest
	if len(r.list) > maxFreeRepeats && !p.mustRepeat(now, r.digest) {
		return m
	}
	list := slices.Clone(r.list)
	for i := range list {
		list[i].Age += now.Sub(r.at)
	}
	m.Repeated = quarantine.GroupCrashes(list)
	return m
}

// applyCrashReports records the crashes and survivals that a peer reports, and queues the new ones to be
// gossiped further. The caller holds the lock.
func (n *Node) applyCrashReports(now time.Time, from *member, m *protocol.CrashReports) {
	p := &from.reports
	p.received = max(p.received, m.Sequence)
	if m.Ack <= n.reports.last {
		p.acknowledged = max(p.acknowledged, m.Ack)
	}
	if m.RepeatedDigest != 0 {
		p.digest = m.RepeatedDigest
	}
	for _, c := range quarantine.UngroupCrashes(m.Crashes) {
		if n.opts.View.RecordPeerCrash(c) {
			n.reports.addCrash(now, c)
		}
	}
	for _, s := range quarantine.UngroupSurvivals(m.Survivals) {
		if n.opts.View.RecordPeerSurvival(s) {
			n.reports.addSurvival(now, s)
		}
	}
	for _, c := range quarantine.UngroupCrashes(m.Repeated) { // each daemon repeats them itself
		n.opts.View.RecordPeerCrash(c)
	}
}
