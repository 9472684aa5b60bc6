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
	submitTimeout = 20 * time.Second
	submitPause   = 200 * time.Millisecond
)

// ErrUnknownRevision reports a revision that is not kept or does not exist.
var ErrUnknownRevision = errors.New("config: no such revision")

// Current returns the configuration in force, nil before the first one.
func (n *Node) Current() (uint64, string, *deckconfig.Config) {
	catalog := n.Catalog()
	if catalog == nil {
		return 0, "", nil
	}
	return catalog.Revision, catalog.Digest, catalog.Config()
}

// Submit brings a submission into the order of revisions and into force here. The
// error is a *configsync.ConflictError when another change came first.
func (n *Node) Submit(ctx context.Context, sub configsync.Submission) (configsync.Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	submitter := configsync.NewSubmitter(&sub, lockedView{n})
	var event configsync.SubmitterEvent = configsync.SubmissionStarted{}
	for {
		action := submitter.Handle(n.opts.Clock(), event)
		if finish, ok := action.(configsync.FinishSubmission); ok {
			n.bringIntoForce(finish.Record)
			return finish.Accepted, finish.Err
		}
		event = n.runSubmit(ctx, action)
		if ctx.Err() != nil {
			event = configsync.SubmissionDeadlineReached{}
		}
	}
}

// bringIntoForce applies an accepted record here and tells the peers of the zone,
// so that it spreads even if the platform fails now. If the replica is not at the
// revision before, the follower reads the records in between.
func (n *Node) bringIntoForce(rec *configsync.ChangeRecord) {
	if rec == nil {
		return
	}
	if err := n.applyOne(rec); err != nil {
		n.handle(configsync.ObjectStoreChanged{})
		return
	}
	n.handle(configsync.SubmissionApplied{Revision: n.Revision()})
	n.spawn(n.tellZone)
}

func (n *Node) runSubmit(ctx context.Context, action configsync.SubmitterAction) configsync.SubmitterEvent {
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
		head, _, err := n.readHead(ctx)
		if err != nil {
			return configsync.ObjectStoreFailed{}
		}
		return configsync.ManifestRead{CompactedThrough: head.CompactedThrough}
	case configsync.RefreshReplica:
		if err := n.readPlatform(ctx); err != nil {
			return configsync.ObjectStoreFailed{}
		}
		return configsync.ReplicaRefreshed{}
	case configsync.RetryStep:
		n.pause(submitPause)
		return n.runSubmit(ctx, a.Step)
	}
	panic(fmt.Sprintf("config: unknown submit action %T", action))
}

// lockedView gives a submitter the replica under its lock.
type lockedView struct{ n *Node }

// Prepare implements configsync.View. The configuration is checked outside the
// lock: the catalog that goes with the record is immutable.
func (v lockedView) Prepare(s *configsync.Submission, at time.Time) (configsync.ChangeRecord, error) {
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

// Accepted implements configsync.View.
func (v lockedView) Accepted(s *configsync.Submission) (uint64, bool) {
	v.n.mu.Lock()
	defer v.n.mu.Unlock()
	return v.n.replica.Accepted(s)
}

// Progress asks all known daemons whether a revision is in force there.
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
			reply, err := n.askState(n.ctx, to)
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

// History returns the newest revisions first, at most limit.
func (n *Node) History(ctx context.Context, limit int) ([]configsync.RevisionInfo, error) {
	n.mu.Lock()
	infos := n.log.infos(limit)
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

// At returns the configuration of a past revision by undoing later records.
func (n *Node) At(ctx context.Context, revision uint64) (*deckconfig.Config, error) {
	n.mu.Lock()
	current := n.replica.Revision()
	stored := n.replica.Objects()
	n.mu.Unlock()
	if revision == 0 || revision > current {
		return nil, ErrUnknownRevision
	}
	values := make(map[configsync.ObjectKey]json.RawMessage, len(stored))
	for _, o := range stored {
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
