package protocol

// Sink receives the parts of an answer: one Head, then chunks, then one End. An error from
// a Sink means that the receiver is gone and the request should be canceled.
type Sink interface {
	Head(Head) error
	Chunk(Chunk) error
	End(End) error
}
