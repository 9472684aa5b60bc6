package operator

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

const (
	notesKey     = "operators/notes" // in the object store
	maxNotes     = 100
	noteAttempts = 5 // attempts to add a note while other notes are added concurrently
	stepNote     = "leave note"
)

// storedNotes is the object that holds all notes.
type storedNotes struct {
	Next  uint64          `json:"next"`  // ID of the next note
	Notes []protocol.Note `json:"notes"` // oldest first
}

// Notes returns the stored notes, oldest first.
func (n *Node) Notes(ctx context.Context) ([]protocol.Note, error) {
	stored, _, err := n.readNotes(ctx)
	if err != nil {
		return nil, protocol.Errorf(protocol.KindUnavailable, "read notes", protocol.OutcomeNotRun, "%v", err).WithPeer(objectStoreSubject)
	}
	return stored.Notes, nil
}

// readNotes returns the stored notes and the version of the object that holds them. The
// version is 0 if the object does not exist.
func (n *Node) readNotes(ctx context.Context) (storedNotes, platform.Version, error) {
	stored := storedNotes{Next: 1, Notes: []protocol.Note{}}
	o, err := n.opts.Objects.Get(ctx, notesKey)
	if errors.Is(err, platform.ErrNotFound) {
		return stored, 0, nil
	}
	if err != nil {
		return stored, 0, err
	}
	err = json.Unmarshal(o.Value, &stored)
	return stored, o.Version, err
}

// AddNote appends a note and removes the oldest notes beyond maxNotes. Notes that are
// added concurrently at several daemons are all kept. If the author has already added a note
// with the same key, which is not empty, AddNote returns that note.
func (n *Node) AddNote(ctx context.Context, author, key, text string) (protocol.Note, error) {
	note := protocol.Note{Key: key, Author: author, Text: text, At: n.opts.Clock().UTC()}
	outcome := protocol.OutcomeNotRun
	var lastErr error
	for range noteAttempts {
		stored, version, err := n.readNotes(ctx)
		if err != nil {
			lastErr = err
			break
		}
		if added, ok := findNote(stored.Notes, note); ok {
			return added, nil
		}
		note.ID = stored.Next
		stored.Next++
		stored.Notes = append(stored.Notes, note)
		stored.Notes = stored.Notes[max(0, len(stored.Notes)-maxNotes):]
		value, err := json.Marshal(stored)
		if err != nil {
			return note, err
		}
		if _, lastErr = n.opts.Objects.Put(ctx, notesKey, value, version); lastErr == nil {
			return note, nil
		}
		if errors.Is(lastErr, platform.ErrUnknown) {
			outcome = protocol.OutcomeUnknown
		}
	}
	return note, protocol.Errorf(protocol.KindUnavailable, stepNote, outcome, "%v", lastErr).WithPeer(objectStoreSubject)
}

// findNote returns the stored note with the same author and key as note, or without a key the
// one with the same author, text and time. An earlier attempt of AddNote whose outcome is
// unknown, or a client's call of another daemon, may have stored it.
func findNote(notes []protocol.Note, note protocol.Note) (protocol.Note, bool) {
	for _, stored := range notes {
		isSame := stored.Key == note.Key
		if note.Key == "" {
			isSame = isSame && stored.Text == note.Text && stored.At.Equal(note.At)
		}
		if isSame && stored.Author == note.Author {
			return stored, true
		}
	}
	return protocol.Note{}, false
}
