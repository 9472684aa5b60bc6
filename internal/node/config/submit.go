package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	submitTimeout    = 20 * time.Second
	submitRetryDelay = 200 * time.Millisecond
)

// ErrUnknownRevision reports a revision that does not exist, or whose records have
// been compacted.
var ErrUnknownRevision = errors.New("config: no such revision")

// Current returns the revision, digest and content of the configuration in force. The
// content is nil if no configuration is in force yet.
func (n *Node) Current() (uint64, string, *deckconfig.Config) {
	catalog := n.Catalog()
	if catalog == nil {
		return 0, "", nil
	}
	return catalog.Revision, catalog.Digest, catalog.Config()
}

// Submit stores a submission in the object store and waits for the outcome. It applies an
// accepted submission to this daemon and announces it to the peers of the zone. The error
// is a *configsync.ConflictError if another submission has changed an object since the
// content on which this submission is based.
func (n *Node) Submit(ctx context.Context, sub configsync.Submission) (configsync.Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	submitter := configsync.NewSubmitter(&sub, lockedReplica{n})
	var event configsync.SubmitterEvent = configsync.SubmissionStarted{}
	for {
		action := submitter.Handle(n.opts.Clock(), event)
		if finish, ok := action.(configsync.FinishSubmission); ok {
			n.applyAccepted(finish.Record)
			return finish.Accepted, finish.Err
		}
		event = n.runSubmitterAction(ctx, action)
		if ctx.Err() != nil {
			event = configsync.SubmissionDeadlineReached{}
		}
	}
}

// applyAccepted applies the record of an accepted submission and announces the revision
// to the peers of the zone. The peers can then read the record from this daemon even if
// the object store becomes unavailable. If the record can't be applied, for example
// because earlier records are missing in this daemon, the follower reads the object
// store. A nil record is ignored.
func (n *Node) applyAccepted(rec *configsync.ChangeRecord) {
	if rec == nil {
		return
	}
	if err := n.applyRecord(rec); err != nil {
		n.handle(configsync.ObjectStoreChanged{})
		return
	}
	n.handle(configsync.SubmissionApplied{Revision: n.Revision()})
	n.runAsync(n.exchangeWithZone)
}

// runSubmitterAction executes an action of a submitter and returns the result as an event
// for the submitter.
func (n *Node) runSubmitterAction(ctx context.Context, action configsync.SubmitterAction) configsync.SubmitterEvent {
	switch a := action.(type) {
	case configsync.CreateRecord:
		return n.createRecord(ctx, a.Record)
	case configsync.ReadRecord:
		rec, err := n.readRecord(ctx, a.Revision)
		if err != nil {
			return configsync.ObjectStoreFailed{}
		}
		return configsync.RecordRead{Record: rec}
	case configsync.ReadManifest:
		manifest, _, err := n.readManifest(ctx)
		if err != nil {
			return configsync.ObjectStoreFailed{}
		}
		return configsync.ManifestRead{CompactedThrough: manifest.CompactedThrough}
	case configsync.RefreshReplica:
		if err := n.readObjectStore(ctx); err != nil {
			return configsync.ObjectStoreFailed{}
		}
		return configsync.ReplicaRefreshed{}
	case configsync.RetryStep:
		n.sleep(submitRetryDelay)
		return n.runSubmitterAction(ctx, a.Step)
	}
	panic(fmt.Sprintf("config: unknown submitter action %T", action))
}

// lockedReplica implements configsync.ReplicaView with the replica of a node.
type lockedReplica struct{ n *Node }

// Prepare implements configsync.ReplicaView. It checks the submission and builds the
// record under the lock. It then validates the resulting configuration without the lock,
// based on the immutable catalog of the same revision.
func (v lockedReplica) Prepare(s *configsync.Submission, at time.Time) (configsync.ChangeRecord, error) {
	v.n.mu.Lock()
	err := v.n.replica.Check(s)
	var rec configsync.ChangeRecord
	if err == nil {
		rec = v.n.replica.NextRecord(s, at)
	}
	base := v.n.catalog.Load()
	v.n.mu.Unlock()
	if err != nil {
		return rec, err
	}
	if base == nil {
		base = state.EmptyCatalog()
	}
	edits, err := configsync.CatalogEdits(s.Changes)
	if err != nil {
		return rec, errors.Join(configsync.ErrInvalid, err)
	}
	if err := v.n.opts.Validate(base.With(rec.Revision, "", edits).Config()); err != nil {
		return rec, errors.Join(configsync.ErrInvalid, err)
	}
	return rec, nil
}

// Accepted implements configsync.ReplicaView.
func (v lockedReplica) Accepted(s *configsync.Submission) (uint64, bool) {
	v.n.mu.Lock()
	defer v.n.mu.Unlock()
	return v.n.replica.Accepted(s)
}

// Progress requests the revision in force of all known daemons, and returns at how many
// daemons the given revision is in force. Daemons that do not answer count as behind.
func (n *Node) Progress(revision uint64) configsync.Progress {
	peers := n.opts.Members.AllPeers()
	p := configsync.Progress{Revision: revision, Daemons: len(peers) + 1}
	if n.Revision() >= revision {
		p.InForce++
	} else {
		p.Behind = append(p.Behind, n.opts.Self)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, to := range peers {
		wg.Go(func() {
			reply, err := n.exchangeState(n.ctx, to)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && reply.Revision >= revision {
				p.InForce++
				return
			}
			p.Behind = append(p.Behind, to.ID)
		})
	}
	wg.Wait()
	slices.Sort(p.Behind)
	return p
}

// History describes the newest revisions, at most limit of them, newest first. The list
// ends early if the records of earlier revisions have been deleted by compaction.
func (n *Node) History(ctx context.Context, limit int) ([]configsync.RevisionInfo, error) {
	n.mu.Lock()
	infos := n.recent.infos(limit)
	revision := n.replica.Revision()
	n.mu.Unlock()
	next := revision
	if len(infos) > 0 {
		next = infos[len(infos)-1].Revision - 1
	}
	for next > 0 && len(infos) < limit {
		rec, err := n.readRecord(ctx, next)
		if err != nil {
			return infos, err
		}
		if rec == nil {
			break
		}
		infos = append(infos, rec.Info())
		next--
	}
	return infos, nil
}

// At returns the configuration of the revision in force or an earlier revision. It starts
// from the configuration in force and undoes the records above the requested revision,
// newest first.
func (n *Node) At(ctx context.Context, revision uint64) (*deckconfig.Config, error) {
	n.mu.Lock()
	current := n.replica.Revision()
	objectsInForce := n.replica.Objects()
	n.mu.Unlock()
	if revision == 0 || revision > current {
		return nil, ErrUnknownRevision
	}
	values := make(map[configsync.ObjectKey]json.RawMessage, len(objectsInForce))
	for _, o := range objectsInForce {
		values[o.Key] = o.Value
	}
	for r := current; r > revision; r-- {
		rec, err := n.readRecord(ctx, r)
		if err != nil {
			return nil, err
		}
		if rec == nil {
			return nil, fmt.Errorf("%w: the records before %d are no longer kept", ErrUnknownRevision, r)
		}
		if err := configsync.Undo(values, rec); err != nil {
			return nil, err
		}
	}
	objects := make([]configsync.Object, 0, len(values))
	for key, value := range values {
		objects = append(objects, configsync.Object{Key: key, Value: value})
	}
	return configsync.Join(objects)
}
