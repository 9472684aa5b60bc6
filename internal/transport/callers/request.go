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
	bytesPerToken    = 4
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

// caller is an authenticated caller with the configuration of the request.
type caller struct {
	catalog  *state.Catalog
	customer state.CustomerID
}

func notRun(kind protocol.ErrorKind, step, format string, args ...any) *protocol.Error {
	return protocol.Errorf(kind, step, protocol.OutcomeNotRun, format, args...)
}

func (s *Server) authenticate(r *http.Request) (caller, *protocol.Error) {
	if !s.opts.Ready() {
		err := notRun(protocol.KindUnavailable, "accept request", "the daemon is not ready or is shutting down")
		err.RetryAfter = time.Second
		return caller{}, err
	}
	catalog := s.opts.Catalog()
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return caller{}, notRun(protocol.KindUnauthorized, stepAuthenticate, "the Authorization header must be: Bearer KEY")
	}
	customer, ok := catalog.CustomerByKey(key)
	if !ok {
		return caller{}, notRun(protocol.KindUnauthorized, stepAuthenticate, "unknown API key")
	}
	return caller{catalog: catalog, customer: customer}, nil
}

// incoming is a request of an authenticated caller with its whole body.
type incoming struct {
	w    http.ResponseWriter
	r    *http.Request
	id   string
	who  caller
	body []byte
}

// authenticated gives each request an id, checks its caller and reads its body. An
// error that serve returns is written as the answer.
func (s *Server) authenticated(serve func(incoming) *protocol.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		in := incoming{w: w, r: r, id: s.opts.NewID()}
		w.Header().Set(HeaderRequestID, in.id)
		var err *protocol.Error
		if in.who, err = s.authenticate(r); err == nil {
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
		return nil, notRun(protocol.KindTooLarge, stepParse, "the body exceeds %d bytes", MaxBodyBytes)
	}
	if err != nil {
		return nil, notRun(protocol.KindBadRequest, stepParse, "read body: %v", err)
	}
	return body, nil
}

// limitWrites ends the connection of a caller that does not read its answer until
// some time after the deadline of the request.
func limitWrites(w http.ResponseWriter, budget time.Duration) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(budget + writeMargin))
}

// service returns a service that the caller may use.
func (c caller) service(id state.ServiceID, kind deckconfig.ServiceKind) (*deckconfig.Service, *protocol.Error) {
	service := c.catalog.Service(id)
	if service == nil || service.Kind != kind {
		return nil, notRun(protocol.KindNotFound, stepParse, "no %s service %q", kind, id)
	}
	if !c.catalog.Admits(service, c.customer) {
		return nil, notRun(protocol.KindForbidden, stepAuthenticate, "customer %q may not call service %q", c.customer, id)
	}
	return service, nil
}

// base fills in what all kinds of calls share.
func (c caller) base(r *http.Request, service *deckconfig.Service) (protocol.Call, *protocol.Error) {
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
		return call, notRun(protocol.KindBadRequest, stepParse, "unknown rank %q in %s", name, HeaderRank)
	}
	call.Rank = rank
	if service.TimeoutMS > 0 {
		call.TimeLeft = time.Duration(service.TimeoutMS) * time.Millisecond
	}
	if text := r.Header.Get(HeaderTimeout); text != "" {
		budget, err := time.ParseDuration(text)
		if err != nil || budget <= 0 || budget > MaxTimeout {
			return call, notRun(protocol.KindBadRequest, stepParse, "%s must be a duration such as 30s, at most %s", HeaderTimeout, MaxTimeout)
		}
		call.TimeLeft = budget
	}
	return call, nil
}

// modelCall builds the call of a completion.
func (c caller) modelCall(r *http.Request, chat bool, body []byte) (protocol.Call, completionRequest, *deckconfig.Service, *protocol.Error) {
	var req completionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return protocol.Call{}, req, nil, notRun(protocol.KindBadRequest, stepParse, "the body is not valid JSON: %v", err)
	}
	if err := req.check(chat); err != nil {
		return protocol.Call{}, req, nil, err
	}
	ref, err := state.ParseAdapterRef(req.Model)
	if err != nil {
		return protocol.Call{}, req, nil, notRun(protocol.KindBadRequest, stepParse, "model %q: %v", req.Model, err)
	}
	service, perr := c.service(ref.Service, deckconfig.ModelService)
	if perr != nil {
		return protocol.Call{}, req, nil, perr
	}
	ref, version, ok := c.catalog.Resolve(ref)
	if !ok {
		return protocol.Call{}, req, nil, notRun(protocol.KindNotFound, stepParse, "no adapter %q", req.Model)
	}
	call, perr := c.base(r, service)
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
		FirstMessageHash: req.prefix(),
		WeightsLocation:  version.Source,
	}
	call.Fingerprint = req.fingerprint(ref)
	return call, req, service, nil
}

func (req completionRequest) check(chat bool) *protocol.Error {
	switch {
	case req.N != nil && *req.N != 1:
		return notRun(protocol.KindBadRequest, stepParse, "n must be 1")
	case chat && len(req.Messages) == 0:
		return notRun(protocol.KindBadRequest, stepParse, "messages must not be empty")
	case !chat && len(req.Prompt) == 0:
		return notRun(protocol.KindBadRequest, stepParse, "prompt must not be empty")
	}
	return nil
}

func (req completionRequest) promptLen() int {
	n := len(req.Prompt)
	for _, m := range req.Messages {
		n += len(m)
	}
	return n
}

// fingerprint identifies the content of the request: the adapter and the prompt,
// without sampling parameters. Callers can't craft two prompts with the same one.
func (req completionRequest) fingerprint(ref state.AdapterRef) uint64 {
	h := sha256.New()
	_, _ = io.WriteString(h, string(ref.Service)+"/"+ref.Adapter)
	_, _ = h.Write(req.Prompt)
	for _, m := range req.Messages {
		_, _ = h.Write(m)
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// prefix identifies a conversation by its first message.
func (req completionRequest) prefix() uint64 {
	if len(req.Messages) > 0 {
		return xxhash.Sum64(req.Messages[0])
	}
	const prefixBytes = 256
	return xxhash.Sum64(req.Prompt[:min(len(req.Prompt), prefixBytes)])
}
