package httpconn

import (
	"errors"
	"io"
	"net/http"
	"net/textproto"
)

// errMalformedTrailer reports a malformed trailer behind a chunked body.
var errMalformedTrailer = errors.New("httpconn: malformed trailer")

// hideTrailer replaces errors of the body of resp that quote a trailer, since they may reach callers.
func hideTrailer(resp *http.Response) {
	if len(resp.TransferEncoding) > 0 {
		resp.Body = chunkedBody{resp.Body}
	}
}

// chunkedBody is a body that a trailer may follow.
type chunkedBody struct{ io.ReadCloser }

// Read implements io.Reader.
func (b chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	var quoting textproto.ProtocolError
	if errors.As(err, &quoting) {
		err = errMalformedTrailer
	}
	return n, err
}
