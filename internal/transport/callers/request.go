package callers

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

const (
	stepAuthenticate = "authenticate caller"
	stepParse        = "parse request"
	bytesPerToken    = 4 // estimate, to convert the length of a prompt to tokens
)

type completionRequest struct {
	Model     string            `json:"model"`
	Prompt    json.RawMessage   `json:"prompt"`
	Messages  []json.RawMessage `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens uint32            `json:"max_tokens"`
	N         *int              `json:"n"`
	Options   *streamOptions    `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// caller is an authenticated customer and the configuration with which the request of the
// customer is served.
type caller struct {
	catalog  *state.Catalog
	customer state.CustomerID
}

// notRunError returns an error whose outcome is that the request was not run.
func notRunError(kind protocol.ErrorKind, step, format string, args ...any) *protocol.Error {
	return protocol.Errorf(kind, step, protocol.OutcomeNotRun, format, args...)
}

// authenticate returns the caller that the API key of a request belongs to. It returns an
// error if the key is unknown or the daemon is not ready.
func (s *Server) authenticate(r *http.Request) (caller, *protocol.Error) {
	if !s.opts.Ready() {
		err := notRunError(protocol.KindUnavailable, "accept request", "the daemon is not ready or is shutting down")
		err.RetryAfter = time.Second
		return caller{}, err
	}
	catalog := s.opts.Catalog()
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return caller{}, notRunError(protocol.KindUnauthorized, stepAuthenticate, "the Authorization header must be: Bearer KEY")
	}
	customer, ok := catalog.CustomerByKey(key)
	if !ok {
		return caller{}, notRunError(protocol.KindUnauthorized, stepAuthenticate, "unknown API key")
	}
	return caller{catalog: catalog, customer: customer}, nil
}

// authenticatedRequest is a request with its caller and its whole body.
type authenticatedRequest struct {
	w      http.ResponseWriter
	r      *http.Request
	id     string
	caller caller
	body   []byte
}

// authenticated returns a handler that assigns each request an id, authenticates its
// caller, reads its body and calls serve. It writes an error of serve as the answer.
func (s *Server) authenticated(serve func(authenticatedRequest) *protocol.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		in := authenticatedRequest{w: w, r: r, id: s.opts.NewID()}
		w.Header().Set(HeaderRequestID, in.id)
		var err *protocol.Error
		if in.caller, err = s.authenticate(r); err == nil {
			in.body, err = readBody(w, r)
		}
		if err == nil {
			err = serve(in)
		}
		if err != nil {
			writeError(w, err)
		}
	}
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *protocol.Error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, notRunError(protocol.KindTooLarge, stepParse, "the body exceeds %d bytes", MaxBodyBytes)
	}
	if err != nil {
		return nil, notRunError(protocol.KindBadRequest, stepParse, "read body: %v", err)
	}
	return body, nil
}

// setWriteDeadline sets the deadline for writing the answer to writeGracePeriod after the
// deadline of the request, so that a caller that does not read its answer cannot keep the
// connection open.
func setWriteDeadline(w http.ResponseWriter, budget time.Duration) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(budget + writeGracePeriod))
}

// service returns the service with the given id and kind if the caller may use it.
func (c caller) service(id state.ServiceID, kind deckconfig.ServiceKind) (*deckconfig.Service, *protocol.Error) {
	service := c.catalog.Service(id)
	if service == nil || service.Kind != kind {
		return nil, notRunError(protocol.KindNotFound, stepParse, "no %s service %q", kind, id)
	}
	if !c.catalog.Admits(service, c.customer) {
		return nil, notRunError(protocol.KindForbidden, stepAuthenticate, "customer %q may not call service %q", c.customer, id)
	}
	return service, nil
}

// newCall returns a call with the customer, service, rank and time budget of a request.
// Completions and plain calls both need these fields.
func (c caller) newCall(r *http.Request, service *deckconfig.Service) (protocol.Call, *protocol.Error) {
	call := protocol.Call{
		Customer: c.customer,
		Service:  state.ServiceID(service.Name),
		TimeLeft: DefaultTimeout,
	}
	name := r.Header.Get(HeaderRank)
	if name == "" {
		name = service.DefaultRank
	}
	rank, ok := c.catalog.RankByName(name)
	if !ok {
		return call, notRunError(protocol.KindBadRequest, stepParse, "unknown rank %q in %s", name, HeaderRank)
	}
	call.Rank = rank
	if service.TimeoutMS > 0 {
		call.TimeLeft = time.Duration(service.TimeoutMS) * time.Millisecond
	}
	if text := r.Header.Get(HeaderTimeout); text != "" {
		budget, err := time.ParseDuration(text)
		if err != nil || budget <= 0 || budget > MaxTimeout {
			return call, notRunError(protocol.KindBadRequest, stepParse, "%s must be a duration such as 30s, at most %s", HeaderTimeout, MaxTimeout)
		}
		call.TimeLeft = budget
	}
	return call, nil
}

// modelCall parses the body of a completion and returns its call and its service.
func (c caller) modelCall(r *http.Request, chat bool, body []byte) (protocol.Call, completionRequest, *deckconfig.Service, *protocol.Error) {
	var req completionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return protocol.Call{}, req, nil, notRunError(protocol.KindBadRequest, stepParse, "the body is not valid JSON: %v", err)
	}
	if err := req.check(chat); err != nil {
		return protocol.Call{}, req, nil, err
	}
	ref, err := state.ParseAdapterRef(req.Model)
	if err != nil {
		return protocol.Call{}, req, nil, notRunError(protocol.KindBadRequest, stepParse, "model %q: %v", req.Model, err)
	}
	service, perr := c.service(ref.Service, deckconfig.ModelService)
	if perr != nil {
		return protocol.Call{}, req, nil, perr
	}
	ref, version, ok := c.catalog.Resolve(ref)
	if !ok {
		return protocol.Call{}, req, nil, notRunError(protocol.KindNotFound, stepParse, "no adapter %q", req.Model)
	}
	call, perr := c.newCall(r, service)
	if perr != nil {
		return call, req, nil, perr
	}
	call.Repeatable = !service.NonRepeatable
	call.Model = &protocol.ModelCall{
		Adapter:          ref,
		Chat:             chat,
		Body:             body,
		MaxTokens:        req.MaxTokens,
		PromptTokens:     uint32(req.promptLen() / bytesPerToken),
		FirstMessageHash: req.firstMessageHash(),
		WeightsLocation:  version.Source,
		SharedMessages:   req.sharedMessages(),
	}
	call.Fingerprint = req.fingerprint(ref)
	return call, req, service, nil
}

// check returns an error for an empty prompt and for parameters that the system does not
// support.
func (req completionRequest) check(chat bool) *protocol.Error {
	switch {
	case req.N != nil && *req.N != 1:
		return notRunError(protocol.KindBadRequest, stepParse, "n must be 1")
	case chat && len(req.Messages) == 0:
		return notRunError(protocol.KindBadRequest, stepParse, "messages must not be empty")
	case len(req.Messages) > MaxMessages:
		return notRunError(protocol.KindBadRequest, stepParse, "a request has at most %d messages", MaxMessages)
	case !chat && len(req.Prompt) == 0:
		return notRunError(protocol.KindBadRequest, stepParse, "prompt must not be empty")
	}
	return nil
}

// promptLen returns the length of the prompt or of the messages in bytes of JSON.
func (req completionRequest) promptLen() int {
	n := len(req.Prompt)
	for _, m := range req.Messages {
		n += len(m)
	}
	return n
}

// fingerprint returns a hash of the adapter without its version and of the prompt or the
// messages. Sampling parameters do not change the fingerprint. The hash is cryptographic,
// so that callers cannot craft prompts with colliding fingerprints.
func (req completionRequest) fingerprint(ref state.AdapterRef) uint64 {
	h := sha256.New()
	_, _ = io.WriteString(h, string(ref.Service)+"/"+ref.Adapter)
	_, _ = h.Write(req.Prompt)
	for _, m := range req.Messages {
		_, _ = h.Write(m)
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// firstMessageHash returns a hash of the first message, or of the first bytes of the prompt
// if there are no messages. It stays the same during a conversation.
func (req completionRequest) firstMessageHash() uint64 {
	if len(req.Messages) > 0 {
		return xxhash.Sum64(req.Messages[0])
	}
	const prefixBytes = 256
	return xxhash.Sum64(req.Prompt[:min(len(req.Prompt), prefixBytes)])
}

// MaxMessages is the maximum number of messages of a conversation. Requests that crash upstreams are recognized by each of
// them.
const MaxMessages = 1 << 16

// sharedMessages returns cryptographic hashes of the messages that other requests may share. The
// last message is the caller's own.
func (req completionRequest) sharedMessages() []uint64 {
	if len(req.Messages) < 2 {
		return nil
	}
	list := make([]uint64, len(req.Messages)-1)
	for i := range list {
		sum := sha256.Sum256(req.Messages[i])
		list[i] = binary.BigEndian.Uint64(sum[:])
	}
	return list
}
