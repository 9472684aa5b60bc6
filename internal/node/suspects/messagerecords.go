package suspects

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	"github.com/celerydeck/celerydeck/internal/statelog"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

const (
	refusedMessagePrefix = "refused-message/" // prefix of the object keys of refused messages
	maxSavedCrashes      = 16                 // of one message; fewer suffice for a refusal
	// maxOwnRecords is the number of messages with the same crashes that have a record each. More share records of at most
	// maxMessagesPerRecord.
	maxOwnRecords        = 8
	maxMessagesPerRecord = 1 << 13
)

// refusedMessage is the record of messages with which requests are refused.
type refusedMessage struct {
	Crashes   []quarantine.Crash `json:"crashes"`
	Others    []uint64           `json:"others,omitempty"` // further messages with these crashes
	RefusedAt time.Time          `json:"refused_at"`
}

// refusedMessageKey returns the object key of a refused message.
func refusedMessageKey(id uint64) string { return fmt.Sprintf("%s%016x", refusedMessagePrefix, id) }

// saveMessages writes the records of messages whose refusal began, and deletes those of messages
// whose refusal ended. It repeats what failed in the last call.
func (n *Node) saveMessages() {
	n.mu.Lock()
	records, saves := n.messageRecords()
	n.mu.Unlock()
	n.skipMissing(records, saves)
	for id, record := range records {
		err := n.saveMessage(id, record)
		if err != nil {
			statelog.Info("Refused message not recorded", "daemon", n.opts.Self, "key", refusedMessageKey(id), "err", err)
			continue
		}
		n.mu.Lock()
		for _, saved := range saves[id] {
			delete(n.unsavedMessages, saved)
		}
		n.mu.Unlock()
	}
}

// skipMissing leaves out the deletions of records that do not exist, if there are many: most messages of a shared record have
// none of their own.
func (n *Node) skipMissing(records map[uint64]refusedMessage, saves map[uint64][]uint64) {
	var deleted []uint64
	for id, record := range records {
		if len(record.Crashes) == 0 {
			deleted = append(deleted, id)
		}
	}
	if len(deleted) <= maxOwnRecords {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	page, err := n.opts.Objects.List(ctx, refusedMessagePrefix)
	if err != nil { // the deletions will fail, or find out one by one
		return
	}
	exists := make(map[string]bool, len(page.Objects))
	for _, o := range page.Objects {
		exists[o.Key] = true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range deleted {
		if !exists[refusedMessageKey(id)] {
			delete(records, id)
			delete(saves, id)
			delete(n.unsavedMessages, id)
		}
	}
}

// messageRecords returns the records that are to be written, by the message that names them, without crashes if they are to be
// deleted. saves are the unsaved messages that a record saves. The caller holds mu.
func (n *Node) messageRecords() (records map[uint64]refusedMessage, saves map[uint64][]uint64) {
	records, saves = make(map[uint64]refusedMessage), make(map[uint64][]uint64)
	if len(n.unsavedMessages) == 0 {
		return records, saves
	}
	now := n.opts.Clock()
	refused := n.messages.Refused(now)
	isRefused := make(map[uint64]bool, len(refused))
	var crashes []quarantine.Crash
	for _, trait := range refused {
		isRefused[trait.ID] = true
		crashes = append(crashes, n.messages.Crashes(trait)...)
	}
	hasEnded := false
	for id := range n.unsavedMessages {
		if !isRefused[id] {
			records[id], saves[id], hasEnded = refusedMessage{}, []uint64{id}, true
		}
	}
	for _, g := range quarantine.GroupCrashes(crashes) {
		size := 1
		if len(g.IDs) > maxOwnRecords {
			size = maxMessagesPerRecord
		}
		for ids := range slices.Chunk(g.IDs, size) {
			unsaved := slices.DeleteFunc(slices.Clone(ids), func(id uint64) bool { return !n.unsavedMessages[id] })
			// A refusal that has ended may have been in a shared record.
			if len(unsaved) == 0 && (size == 1 || !hasEnded) {
				continue
			}
			first := n.messages.Crashes(quarantine.Trait{Kind: quarantine.PromptPart, ID: ids[0]})
			records[ids[0]] = refusedMessage{Crashes: first[:min(len(first), maxSavedCrashes)], Others: ids[1:], RefusedAt: now}
			saves[ids[0]] = unsaved
		}
	}
	return records, saves
}

// saveMessage writes the record of a message, or deletes it if there are no crashes.
func (n *Node) saveMessage(id uint64, record refusedMessage) error {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	key := refusedMessageKey(id)
	stored, err := n.opts.Objects.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	if len(record.Crashes) == 0 {
		if err == nil {
			return n.opts.Objects.Delete(ctx, key, stored.Version)
		}
		return nil
	}
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	_, err = n.opts.Objects.Put(ctx, key, value, stored.Version)
	if errors.Is(err, platform.ErrConflict) { // another daemon recorded the same refusal
		return nil
	}
	return err
}

// loadMessages reads the records of refused messages and deletes the expired ones. It does nothing
// if an earlier call has succeeded.
func (n *Node) loadMessages() {
	n.mu.Lock()
	isLoaded := n.loadedMessages
	n.mu.Unlock()
	if isLoaded {
		return
	}
	page, err := n.opts.Objects.List(n.ctx, refusedMessagePrefix)
	if err != nil {
		return
	}
	now := n.opts.Clock()
	var expired []platform.Object
	n.mu.Lock()
	for _, o := range page.Objects {
		var record refusedMessage
		if json.Unmarshal(o.Value, &record) != nil || now.Sub(record.RefusedAt) >= quarantine.RefusalTTL {
			expired = append(expired, o)
			continue
		}
		for _, c := range record.Crashes {
			c.Age = max(now.Sub(record.RefusedAt), quarantine.ConfirmDelay)
			n.messages.RecordCrash(now, c)
			for _, id := range record.Others {
				c.ID = id
				n.messages.RecordCrash(now, c)
			}
		}
	}
	n.loadedMessages = true
	n.mu.Unlock()
	for _, o := range expired {
		if err := n.opts.Objects.Delete(n.ctx, o.Key, o.Version); err != nil && !errors.Is(err, platform.ErrNotFound) && !errors.Is(err, platform.ErrConflict) {
			statelog.Info("Expired record not deleted", "daemon", n.opts.Self, "key", o.Key, "err", err)
		}
	}
}
