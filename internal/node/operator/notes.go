package operator

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

const (
	notesKey     = "operators/notes"
	maxNotes     = 100
	noteAttempts = 5
	stepNote     = "leave note"
)

// noteBook is the object that holds the notes, oldest first.
type noteBook struct {
	Next  uint64          `json:"next"`
	Notes []protocol.Note `json:"notes"`
}

// Notes returns the notes in the platform, oldest first.
func (n *Node) Notes(ctx context.Context) ([]protocol.Note, error) {
	book, _, err := n.readNotes(ctx)
	if err != nil {
		return nil, protocol.Errorf(protocol.KindUnavailable, "read notes", protocol.OutcomeNotRun, "%v", err).WithPeer(peerPlatform)
	}
	return book.Notes, nil
}

func (n *Node) readNotes(ctx context.Context) (noteBook, platform.Version, error) {
	book := noteBook{Next: 1, Notes: []protocol.Note{}}
	o, err := n.opts.Objects.Get(ctx, notesKey)
	if errors.Is(err, platform.ErrNotFound) {
		return book, 0, nil
	}
	if err != nil {
		return book, 0, err
	}
	err = json.Unmarshal(o.Value, &book)
	return book, o.Version, err
}

// AddNote appends a note. Of two notes at the same time both are kept. The oldest
// notes make room for new ones.
func (n *Node) AddNote(ctx context.Context, author, text string) (protocol.Note, error) {
	note := protocol.Note{Author: author, Text: text, At: n.opts.Clock().UTC()}
	outcome := protocol.OutcomeNotRun
	var last error
	for range noteAttempts {
		book, version, err := n.readNotes(ctx)
		if err != nil {
			last = err
			break
		}
		if kept, ok := find(book.Notes, note); ok {
			return kept, nil
		}
		note.ID = book.Next
		book.Next++
		book.Notes = append(book.Notes, note)
		book.Notes = book.Notes[max(0, len(book.Notes)-maxNotes):]
		value, err := json.Marshal(book)
		if err != nil {
			return note, err
		}
		if _, last = n.opts.Objects.Put(ctx, notesKey, value, version); last == nil {
			return note, nil
		}
		if errors.Is(last, platform.ErrUnknown) {
			outcome = protocol.OutcomeUnknown
		}
	}
	return note, protocol.Errorf(protocol.KindUnavailable, stepNote, outcome, "%v", last).WithPeer(peerPlatform)
}

// find returns the note that an earlier attempt left whose answer was lost.
func find(notes []protocol.Note, note protocol.Note) (protocol.Note, bool) {
	for _, kept := range notes {
		if kept.Author == note.Author && kept.Text == note.Text && kept.At.Equal(note.At) {
			return kept, true
		}
	}
	return protocol.Note{}, false
}
