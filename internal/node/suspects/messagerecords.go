package suspects

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/quarantine"
	"github.com/celerydeck/celerydeck/internal/statelog"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

const (
	refusedMessagePrefix = "refused-message/" // prefix of the object keys of refused messages
	maxSavedCrashes      = 16                 // of one message
)

// refusedMessage is the record of a message with which requests are refused.
type refusedMessage struct {
	Crashes   []quarantine.Crash `json:"crashes"`
	RefusedAt time.Time          `json:"refused_at"`
}

// refusedMessageKey returns the object key of a refused message.
func refusedMessageKey(id uint64) string { return fmt.Sprintf("%s%016x", refusedMessagePrefix, id) }

// saveMessages writes the records of messages whose refusal began, and deletes those of messages
// whose refusal ended. It repeats what failed in the last call.
func (n *Node) saveMessages() {
	n.mu.Lock()
	now := n.opts.Clock()
	records := make(map[uint64]refusedMessage)
	for id := range n.unsavedMessages {
		records[id] = refusedMessage{}
	}
	for _, trait := range n.messages.Refused(now) {
		if _, ok := records[trait.ID]; ok {
			crashes := n.messages.Crashes(trait)
			records[trait.ID] = refusedMessage{Crashes: crashes[:min(len(crashes), maxSavedCrashes)], RefusedAt: now}
		}
	}
	n.mu.Unlock()
	for id, record := range records {
		err := n.saveMessage(id, record)
		if err != nil {
			statelog.Info("Refused message not recorded", "daemon", n.opts.Self, "key", refusedMessageKey(id), "err", err)
			continue
		}
		n.mu.Lock()
		delete(n.unsavedMessages, id)
		n.mu.Unlock()
	}
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
