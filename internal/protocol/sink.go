package protocol

// Sink takes the parts of an answer: one Head, then chunks, then one End. An
// error means that the receiver is gone and the answer should be canceled.
type Sink interface {
	Head(Head) error
	Chunk(Chunk) error
	End(End) error
}
